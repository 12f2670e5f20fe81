package backend_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/routing"
)

// connStep is a step of a connection's use at which a test can intervene.
type connStep string

const (
	beforePark     connStep = "before park"
	afterPark      connStep = "after park"
	beforeExchange connStep = "before exchange"
	afterExchange  connStep = "after exchange"
)

// steppedConn is a connection that calls onStep at each step.
type steppedConn struct {
	backend.Conn
	onStep func(step connStep, conn *steppedConn)
	woken  chan struct{} // receives a value when an attempt has been handed to the connection
}

func (c *steppedConn) Park(until time.Time, woken func() bool) error {
	c.onStep(beforePark, c)
	err := c.Conn.Park(until, woken)
	c.onStep(afterPark, c)
	return err
}

func (c *steppedConn) Wake() {
	c.woken <- struct{}{}
	c.Conn.Wake()
}

func (c *steppedConn) Exchange(a *core.Attempt) (core.Outcome, bool) {
	c.onStep(beforeExchange, c)
	outcome, inStep := c.Conn.Exchange(a)
	c.onStep(afterExchange, c)
	return outcome, inStep
}

// withSteps has the pool's connections call onStep.
func withSteps(onStep func(step connStep, conn *steppedConn)) func(*backend.Options) {
	return func(options *backend.Options) {
		start := options.Start
		options.Start = func(raw net.Conn) (backend.Conn, error) {
			conn, err := start(raw)
			if err != nil {
				return nil, err
			}
			return &steppedConn{Conn: conn, onStep: onStep, woken: make(chan struct{}, 100)}, nil
		}
	}
}

// TestDrainDuringAttempt has a host begin to drain, or leave the endpoint list, right before an attempt is written, while the
// attempt is at the host, and right after the answer has been read. In the first case nothing must be written; in the others
// the answer counts.
func TestDrainDuringAttempt(t *testing.T) {
	const atHost connStep = "at the host"
	for _, protocol := range protocols {
		for _, phase := range []routing.Phase{routing.PhaseDraining, routing.PhaseRemoved} {
			for _, when := range []connStep{beforeExchange, atHost, afterExchange} {
				var h *harness
				var once sync.Once
				drain := func(step connStep) {
					if step == when {
						once.Do(func() { h.updateHost(routing.EndpointListPatch, phase) })
					}
				}
				host := &fake.Host{Act: func(_, _ string, prepare bool) fake.Act {
					if !prepare {
						drain(atHost)
					}
					return fake.Serve
				}}
				h = newHarness(t, protocol, host, withSteps(func(step connStep, _ *steppedConn) { drain(step) }))
				a := h.wait(h.request("brief", "q1"))
				if when != beforeExchange {
					h.checkServed(a, "q1")
				} else if a.Status != core.Rejected || host.Ran("q1") != 0 {
					t.Errorf("%s, phase %d %s: status %d, ran %d times", protocol, phase, when, a.Status, host.Ran("q1"))
				}
			}
		}
	}
}

// TestDisconnectAfterAnswer has a client disconnect right after its answer has been read from the host. The request must
// not have a second outcome, and the connection must be in step for the next request.
func TestDisconnectAfterAnswer(t *testing.T) {
	for _, protocol := range protocols {
		var h *harness
		var request atomic.Pointer[core.Request]
		submitted := make(chan struct{})
		var once sync.Once
		disconnect := func() {
			<-submitted
			h.core.ClientDisconnected(request.Load())
			h.waitCore()
		}
		h = newHarness(t, protocol, &fake.Host{}, withSteps(func(step connStep, _ *steppedConn) {
			if step == afterExchange {
				once.Do(disconnect)
			}
		}))
		var answers atomic.Int32
		request.Store(h.send("put", "q1", func(core.Answer) { answers.Add(1) }))
		close(submitted)
		waitFor(t, "its client's disconnect is counted", func() bool { return h.counters.Get("clients_gone") == 1 })
		waitFor(t, "its attempt is over", func() bool {
			return h.counters.Get("attempts_ok")+h.counters.Get("attempts_cancelled") > 0
		})
		h.checkServes("put", "q2")
		time.Sleep(pastReuseDelay)
		h.checkServes("put", "q3")
		if n := answers.Load(); n != 0 || h.connCount() > 2 {
			t.Errorf("%s: %d answers for a disconnected client, %d connections", protocol, n, h.connCount())
		}
	}
}
