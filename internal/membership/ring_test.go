package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// fault is one fault that a test injects.
type fault struct {
	kind  string // "loss", "twice", "late", "pause" or "cut"
	at    int    // number of the message, or of the first tick
	a, b  int    // the link from a to b that is cut; of a pause: member a
	ticks int    // duration of a pause or a cut
}

// testFleet is a few members on a network without faults other than the injected ones.
type testFleet struct {
	nodes          []*Node
	now            time.Duration
	messagesSent   int
	queue          []queuedMessage
	faults         []fault
	declaredFailed []string
	maxBudgetSum   float64 // largest sum of the members' budget shares
}

// queuedMessage is a message in transit.
type queuedMessage struct {
	at      time.Duration // time of arrival in a testFleet, of sending in a steppedFleet
	message Message
}

const (
	tick        = 100 * time.Millisecond
	transitTime = 2 * time.Millisecond
)

func newTestFleet(t *testing.T, n int, faults ...fault) *testFleet {
	fleet := &testFleet{faults: faults}
	for i := range n {
		node, err := New(0, Options{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i), Addr: fmt.Sprint("a", i), Join: []string{"a0", "a1"},
			Gateways: n, Seed: uint64(i + 1)})
		if err != nil {
			t.Fatal(err)
		}
		fleet.nodes = append(fleet.nodes, node)
	}
	return fleet
}

func (f *testFleet) isPaused(i, tickNo int) bool {
	return slices.ContainsFunc(f.faults, func(d fault) bool {
		return d.kind == "pause" && d.a == i && tickNo >= d.at && tickNo < d.at+d.ticks
	})
}

func (f *testFleet) collect(tickNo int, from *Node) {
	out, changes := from.Ready()
	for _, c := range changes {
		if c.Member.State == Failed && !c.New {
			f.declaredFailed = append(f.declaredFailed, fmt.Sprintf("%s failed %s at %v", from.Self().Name, c.Member.Name, f.now))
		}
	}
	for _, m := range out {
		f.messagesSent++
		at, copies := f.now+transitTime, 1
		for _, d := range f.faults {
			switch cut := d.kind == "cut" && tickNo >= d.at && tickNo < d.at+d.ticks; {
			case cut && m.From.Addr == fmt.Sprint("a", d.a) && m.To == fmt.Sprint("a", d.b), d.kind == "loss" && d.at == f.messagesSent:
				copies = 0
			case d.kind == "late" && d.at == f.messagesSent:
				at += 700 * time.Millisecond
			case d.kind == "twice" && d.at == f.messagesSent:
				f.queue = append(f.queue, queuedMessage{at + 3*time.Second, m})
			}
		}
		if copies > 0 {
			f.queue = append(f.queue, queuedMessage{at, m})
		}
	}
}

// run advances the fleet by a number of ticks and delivers messages between them.
func (f *testFleet) run(ticks int) {
	first := int(f.now / tick)
	for k := first; k < first+ticks; k++ {
		f.now = time.Duration(k+1) * tick
		for i, n := range f.nodes {
			if !f.isPaused(i, k) {
				n.Tick(f.now)
				f.collect(k, n)
			}
		}
		end := f.now + tick - transitTime
		for {
			earliest := -1
			for j, w := range f.queue {
				if w.at <= end && (earliest < 0 || w.at < f.queue[earliest].at) {
					earliest = j
				}
			}
			if earliest < 0 {
				break
			}
			w := f.queue[earliest]
			f.queue = slices.Delete(f.queue, earliest, earliest+1)
			for to, n := range f.nodes {
				if n.Self().Addr != w.message.To {
					continue
				}
				if f.isPaused(to, k) {
					w.at = f.now + 2*tick // as if it waited in the socket's buffer
					f.queue = append(f.queue, w)
					continue
				}
				f.now = max(f.now, w.at)
				n.Step(f.now, w.message)
				f.collect(k, n)
			}
		}
		budgetSum := 0.0
		for _, n := range f.nodes {
			budgetSum += n.BudgetShare()
		}
		f.maxBudgetSum = max(f.maxBudgetSum, budgetSum)
	}
}
