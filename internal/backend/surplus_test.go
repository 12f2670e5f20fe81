package backend_test

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/fake"
)

// surplusDelay is the time from an answer to the surplus behind it. It is long enough for a next request to be written meanwhile,
// and shorter than the time for which a connection stays idle before it is reused.
const surplusDelay = 40 * time.Millisecond

// surplusHost returns a host that sends something behind the answer to q0, and holds the requests named in hold until their
// channels are closed. Each request that arrives is sent to atHost.
func surplusHost(surplus func(answer []byte) []byte, hold map[string]chan struct{}, atHost chan string) *fake.Host {
	return &fake.Host{
		Act: func(id, _ string, prepare bool) fake.Act {
			if !prepare {
				atHost <- id
				if hold[id] != nil {
					<-hold[id]
				}
			}
			return fake.Serve
		},
		Malform: func(id string, answer []byte) fake.Malformed {
			if id != "q0" {
				return fake.Malformed{Answer: answer}
			}
			return fake.Malformed{Answer: answer, Surplus: surplus(bytes.Clone(answer)), After: surplusDelay}
		},
	}
}

// forEachSurplus runs a test for each protocol with a second copy of the answer and with a rejection as surplus.
func forEachSurplus(t *testing.T, test func(t *testing.T, protocol string, surplus func([]byte) []byte)) {
	for _, protocol := range protocols {
		for name, surplus := range map[string]func([]byte) []byte{
			"the answer again": func(answer []byte) []byte { return answer },
			"a rejection":      func([]byte) []byte { return rejection(protocol) },
		} {
			t.Run(fmt.Sprint(protocol, ", ", name), func(t *testing.T) {
				t.Parallel()
				test(t, protocol, surplus)
			})
		}
	}
}

// TestSurplusOnItsWayWithoutDescriptors guards against foreign answers and second runs: with no descriptor left, a request was
// written on a connection whose last answer had a second copy that was still on its way, and the copy was taken for its answer.
func TestSurplusOnItsWayWithoutDescriptors(t *testing.T) {
	forEachSurplus(t, func(t *testing.T, protocol string, surplus func([]byte) []byte) {
		h := newHarness(t, protocol, surplusHost(surplus, nil, make(chan string, 10)), func(options *backend.Options) {
			options.MaxOpen = 1
		})
		h.checkServes("put", "q0")
		h.checkServes("put", "q1")
	})
}

// TestSurplusOnItsWayWithManyConns guards against the same failure where many connections to the host are open.
func TestSurplusOnItsWayWithManyConns(t *testing.T) {
	const others = 15
	forEachSurplus(t, func(t *testing.T, protocol string, surplus func([]byte) []byte) {
		hold := map[string]chan struct{}{}
		for i := range others {
			hold[fmt.Sprint("other", i)] = make(chan struct{})
		}
		atHost := make(chan string, others+10)
		h := newHarness(t, protocol, surplusHost(surplus, hold, atHost), nil)
		for id, release := range hold {
			answers := h.request("put", id)
			<-atHost
			defer func() {
				close(release)
				h.checkServed(h.wait(answers), id)
			}()
		}
		h.checkServes("put", "q0")
		h.checkServes("put", "q1")
	})
}

// TestSurplusOnItsWayWithLateConnect guards against the same failure where the next request's own connection is late.
func TestSurplusOnItsWayWithLateConnect(t *testing.T) {
	forEachSurplus(t, func(t *testing.T, protocol string, surplus func([]byte) []byte) {
		release, atHost := make(chan struct{}), make(chan string, 10)
		control := newConnectControl(t)
		h := newHarness(t, protocol, surplusHost(surplus, map[string]chan struct{}{"q0": release}, atHost), control.apply)
		first := h.request("put", "q0")
		(<-control.connects) <- nil
		<-atHost
		second := h.request("put", "q1")
		late := <-control.connects
		time.Sleep(20 * time.Millisecond) // q1 takes any reusable connection by now
		close(release)
		h.checkServed(h.wait(first), "q0")
		time.Sleep(pastReuseDelay)
		late <- nil
		h.checkServed(h.wait(second), "q1")
	})
}

// TestSurplusOnItsWayWithFailedConnect guards against the same failure where the next request's own connect has failed.
func TestSurplusOnItsWayWithFailedConnect(t *testing.T) {
	forEachSurplus(t, func(t *testing.T, protocol string, surplus func([]byte) []byte) {
		control := newConnectControl(t)
		h := newHarness(t, protocol, surplusHost(surplus, nil, make(chan string, 10)), control.apply)
		first := h.request("put", "q0")
		(<-control.connects) <- nil
		h.checkServed(h.wait(first), "q0")
		second := h.request("put", "q1")
		(<-control.connects) <- errors.New("refused")
		control.allowAll()
		h.checkServed(h.wait(second), "q1")
	})
}

// lateCopyConn is the host's end of a connection. If next is set, its next write is written again after surplusDelay.
type lateCopyConn struct {
	net.Conn
	next *atomic.Bool
}

func (c lateCopyConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.next.CompareAndSwap(true, false) {
		time.Sleep(surplusDelay)
		c.Conn.Write(b)
	}
	return n, err
}

// TestSurplusOnItsWayBehindPrepare guards against a write that is reported as done and has not run: the second copy of a prepare's
// answer was still on its way as the execute was written, and was taken for the execute's answer.
func TestSurplusOnItsWayBehindPrepare(t *testing.T) {
	var next atomic.Bool
	host := hostOfFirstPrepare(&next)
	h := newHarness(t, "prepared", host, nil, func(conn net.Conn) { host.ServeMySQL(lateCopyConn{conn, &next}) })
	h.checkServes("put", "q1")
}

// TestSurplusOnItsWayBehindUnknownStatement guards against a wrong failure: the second copy of the error with which a host answers an
// execute of a statement that it has forgotten was taken for the answer to the prepare that followed.
func TestSurplusOnItsWayBehindUnknownStatement(t *testing.T) {
	var forgets atomic.Bool
	host := &fake.Host{
		Act: func(id, _ string, prepare bool) fake.Act {
			if !prepare && id == "q1" && forgets.Load() {
				return fake.Reject // nothing runs; Malform replaces the answer
			}
			return fake.Serve
		},
		Malform: func(id string, answer []byte) fake.Malformed {
			if id != "q1" || !forgets.CompareAndSwap(true, false) {
				return fake.Malformed{Answer: answer}
			}
			unknown := errorAfter("prepared", answer, 0, "1243")
			return fake.Malformed{Answer: unknown, Surplus: unknown, After: surplusDelay}
		},
	}
	h := newHarness(t, "prepared", host, nil)
	h.checkServes("put", "q0")
	time.Sleep(pastReuseDelay)
	forgets.Store(true)
	h.checkServes("put", "q1")
}
