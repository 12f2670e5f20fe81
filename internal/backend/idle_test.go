package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/poolsize"
	"cranegate/routing"
)

// TestTrimSurvivesFullMailbox has a host's mailbox full when a trim of its idle connections is scheduled. The trim must be
// posted once the mailbox has room.
func TestTrimSurvivesFullMailbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &Pool{options: Options{IdleTimeout: 20 * time.Second},
			sizer: sharedSizer{sizer: poolsize.New(300, 20*time.Second, time.Now())}}
		h := &host{pool: pool, mailbox: make(chan any, 1), ctx: context.Background()}
		pool.sizer.recordAttempt(&h.demand)
		h.idle = []*pooledConn{{freedAt: time.Now()}}
		if h.trimIdle(); h.trimAt.IsZero() || h.trimAt.After(time.Now().Add(20*time.Second)) {
			t.Fatalf("no trim is scheduled: %v", h.trimAt)
		}
		h.mailbox <- &core.Attempt{}
		time.Sleep(time.Until(h.trimAt) + 3*time.Second)
		<-h.mailbox
		time.Sleep(time.Second)
		select {
		case message := <-h.mailbox:
			if _, ok := message.(trimIdle); !ok {
				t.Errorf("the message is a %T", message)
			}
		default:
			t.Error("the trim is lost: connections stay idle until an attempt arrives")
		}
	})
}

// TestHealthCheckWaitsForSurplus guards against a health check that takes the second copy of an answer for its own: the oldest
// connection was used for it as soon as it was free.
func TestHealthCheckWaitsForSurplus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resting := &pooledConn{used: true, openedAt: time.Now(), freedAt: time.Now()}
		h := &host{idle: []*pooledConn{resting}}
		if c := h.takeIdle(routing.ConnOldest); c != nil {
			t.Fatal("a connection is used right behind an answer")
		}
		time.Sleep(ReuseDelay)
		if c := h.takeIdle(routing.ConnOldest); c != resting || len(h.idle) != 0 {
			t.Error("a connection that has been idle for long enough is not used")
		}
	})
}

// wakeOnlyConn is a connection on which nothing is run.
type wakeOnlyConn struct{ Conn }

func (wakeOnlyConn) Wake() {}

// TestCheckOfNewConnectionKeepsIdleOnes guards against a health check that needs a new connection and uses up an idle one, which may
// prove later that the host's process has survived, while its own connect is late. Once that has failed it takes the idle one, and an
// attempt behind it, which takes any connection, does not wait for it.
func TestCheckOfNewConnectionKeepsIdleOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &Pool{options: Options{IdleTimeout: 20 * time.Second, ConnectTimeout: 5 * time.Second},
			sizer: sharedSizer{sizer: poolsize.New(300, 20*time.Second, time.Now())}}
		idle := &pooledConn{conn: wakeOnlyConn{}, attempts: make(chan *core.Attempt, 1), used: true, freedAt: time.Now()}
		check := &core.Attempt{Conn: routing.ConnNew}
		h := &host{pool: pool, mailbox: make(chan any, 10), ctx: context.Background(), idle: []*pooledConn{idle}, connecting: 1,
			waiting: []waitingAttempt{{check, time.Now()}}}
		time.Sleep(time.Second)
		h.reuseIdle()
		if len(h.idle) != 1 {
			t.Fatal("the check has used up the idle connection")
		}
		other := &core.Attempt{}
		h.waiting = append(h.waiting, waitingAttempt{other, time.Now().Add(-time.Second)})
		h.connecting = 2
		h.reuseIdle()
		if len(h.idle) != 0 || <-idle.attempts != other {
			t.Fatal("an attempt that takes any connection waits for the check's")
		}
		h.idle, h.connecting = []*pooledConn{idle}, 0
		h.reuseIdle()
		if len(h.idle) != 0 || <-idle.attempts != check {
			t.Error("the check does not take the idle connection though its connect has failed")
		}
	})
}
