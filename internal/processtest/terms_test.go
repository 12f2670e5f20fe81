package processtest

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// inOrder waits for a process that was told to end, which has to do so in order.
func (p *process) inOrder() {
	p.r.t.Helper()
	select {
	case <-p.ended:
		if p.err != nil {
			p.r.t.Errorf("exit after SIGTERM: %v", p.err)
		}
	case <-time.After(patience):
		p.r.t.Fatal("it does not end after SIGTERM")
	}
}

// TestTermInATakeover tells the new or the old process to end at steps of an upgrade, under load: before the new one's yes, and
// as it has just taken over. It ends in order, the other serves, and nothing is lost or run twice; at most a request for each
// connection is asked anew.
func TestTermInATakeover(t *testing.T) {
	for name, do := range map[string]func(r *rig, old *process) *process{
		"the new one, before its yes": func(r *rig, old *process) *process {
			next := r.startStopped()
			before := old.said("superseded") // by one that could not be stopped in time
			next.signal(syscall.SIGTERM)
			next.signal(syscall.SIGCONT)
			next.inOrder()
			serves := strings.Contains(next.log(), "event=serving") && !strings.Contains(next.log(), "event=listening front=postgres")
			if serves || old.said("superseded") > before {
				r.t.Error("clients were left to a process that had been told to end, and never served")
			}
			return old
		},
		"the new one, as clients have been left to it": func(r *rig, old *process) *process {
			next := r.start()
			old.says("superseded")
			next.term()
			return old
		},
		"the old one, before the new one's yes": func(r *rig, old *process) *process {
			next := r.startStopped()
			old.term()
			next.signal(syscall.SIGCONT)
			return next.ready()
		},
		"the old one, as it passes connections on": func(r *rig, old *process) *process {
			next := r.start()
			old.says("superseded")
			old.term()
			return next.ready()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 256)
			old := r.start().ready()
			l := r.newLoad(12, 4*time.Millisecond)
			l.goesOn()
			p := do(r, old)
			l.goesOn()
			l.end()
			l.judge(t, l.clients)
			p.term()
		})
	}
}
