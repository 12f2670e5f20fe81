package processtest

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestTermDuringUpgrade sends SIGTERM to the new or the old process at steps of an upgrade, under load: before the new one is ready, and
// when it has just taken over. The terminated process exits cleanly, the other serves, no request is lost and no write is
// executed twice; at most one request for each client is not answered.
func TestTermDuringUpgrade(t *testing.T) {
	for name, upgrade := range map[string]func(h *harness, old *process) *process{
		"the new one, before it is ready": func(h *harness, old *process) *process {
			next := h.startStopped()
			before := old.eventCount("superseded") // above 0 if startStopped started a process that it could not stop in time
			next.signal(syscall.SIGTERM)
			next.signal(syscall.SIGCONT)
			next.waitExit()
			text := next.logText()
			becameReady := strings.Contains(text, "event=serving") && !strings.Contains(text, "event=listening front=postgres")
			if becameReady || old.eventCount("superseded") > before {
				h.t.Error("clients were handed to a process that was shutting down and never served")
			}
			return old
		},
		"the new one, when it has taken over": func(h *harness, old *process) *process {
			next := h.start()
			old.waitEvent("superseded")
			next.terminate()
			return old
		},
		"the old one, before the new one is ready": func(h *harness, old *process) *process {
			next := h.startStopped()
			old.terminate()
			next.signal(syscall.SIGCONT)
			return next.waitReady()
		},
		"the old one, while it passes connections": func(h *harness, old *process) *process {
			next := h.start()
			old.waitEvent("superseded")
			old.terminate()
			return next.waitReady()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 256)
			old := h.start().waitReady()
			l := h.startLoad(12, 4*time.Millisecond)
			l.waitProgress()
			survivor := upgrade(h, old)
			l.waitProgress()
			l.end()
			l.check(t, l.clients)
			survivor.terminate()
		})
	}
}
