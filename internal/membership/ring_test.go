package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// deviation is one fault of a run.
type deviation struct {
	kind  string // "loss", "twice", "late", "pause" or "cut"
	at    int    // the message's number, or the tick
	a, b  int    // the member that stands still, or the direction of the cut
	ticks int    // ticks that it lasts
}

// ring is a few members on a network without loss, apart from the deviations.
type ring struct {
	nodes      []*Node
	now        time.Duration
	sent       int
	waiting    []waiting
	deviations []deviation
	failed     []string
	maxBudget  float64 // parts of a budget
}

type waiting struct {
	at time.Duration
	m  Message
}

const (
	tick        = 100 * time.Millisecond
	transitTime = 2 * time.Millisecond
)

func newRing(t *testing.T, n int, devs ...deviation) *ring {
	r := &ring{deviations: devs}
	for i := range n {
		x, err := New(0, Options{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i), Addr: fmt.Sprint("a", i), Join: []string{"a0", "a1"},
			Gateways: n, Seed: uint64(i + 1)})
		if err != nil {
			t.Fatal(err)
		}
		r.nodes = append(r.nodes, x)
	}
	return r
}

func (r *ring) stopped(i, tickNo int) bool {
	return slices.ContainsFunc(r.deviations, func(d deviation) bool {
		return d.kind == "pause" && d.a == i && tickNo >= d.at && tickNo < d.at+d.ticks
	})
}

func (r *ring) collect(tickNo int, from *Node) {
	out, changes := from.Ready()
	for _, c := range changes {
		if c.Member.State == Failed && !c.New {
			r.failed = append(r.failed, fmt.Sprintf("%s failed %s at %v", from.Self().Name, c.Member.Name, r.now))
		}
	}
	for _, m := range out {
		r.sent++
		at, copies := r.now+transitTime, 1
		for _, d := range r.deviations {
			switch cut := d.kind == "cut" && tickNo >= d.at && tickNo < d.at+d.ticks; {
			case cut && m.From.Addr == fmt.Sprint("a", d.a) && m.To == fmt.Sprint("a", d.b), d.kind == "loss" && d.at == r.sent:
				copies = 0
			case d.kind == "late" && d.at == r.sent:
				at += 700 * time.Millisecond
			case d.kind == "twice" && d.at == r.sent:
				r.waiting = append(r.waiting, waiting{at + 3*time.Second, m})
			}
		}
		if copies > 0 {
			r.waiting = append(r.waiting, waiting{at, m})
		}
	}
}

// run advances the ring by a number of ticks. Messages arrive between them.
func (r *ring) run(ticks int) {
	first := int(r.now / tick)
	for k := first; k < first+ticks; k++ {
		r.now = time.Duration(k+1) * tick
		for i, n := range r.nodes {
			if !r.stopped(i, k) {
				n.Tick(r.now)
				r.collect(k, n)
			}
		}
		end := r.now + tick - transitTime
		for {
			i := -1
			for j, w := range r.waiting {
				if w.at <= end && (i < 0 || w.at < r.waiting[i].at) {
					i = j
				}
			}
			if i < 0 {
				break
			}
			w := r.waiting[i]
			r.waiting = slices.Delete(r.waiting, i, i+1)
			for to, n := range r.nodes {
				if n.Self().Addr != w.m.To {
					continue
				}
				if r.stopped(to, k) {
					w.at = r.now + 2*tick // it waits in the socket
					r.waiting = append(r.waiting, w)
					continue
				}
				r.now = max(r.now, w.at)
				n.Step(r.now, w.m)
				r.collect(k, n)
			}
		}
		parts := 0.0
		for _, n := range r.nodes {
			parts += n.BudgetShare()
		}
		r.maxBudget = max(r.maxBudget, parts)
	}
}
