package connlimit

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// fakeClient is a client whose connection is closed by the test.
type fakeClient struct {
	*Slot
	wakes atomic.Int32
}

func newFakeClient() *fakeClient {
	c := &fakeClient{}
	c.Slot = NewSlot(func() { c.wakes.Add(1) })
	return c
}

// acquireAll fills a limiter with active clients.
func acquireAll(t *testing.T, l *Limiter, n int) []*fakeClient {
	t.Helper()
	clients := make([]*fakeClient, n)
	for i := range clients {
		clients[i] = newFakeClient()
		if !l.TryAcquire(clients[i].Slot) {
			t.Fatalf("client %d gets no slot", i)
		}
	}
	return clients
}

// expectEvicted checks which clients are evicted.
func expectEvicted(t *testing.T, clients []*fakeClient, want ...bool) {
	t.Helper()
	for i, c := range clients {
		if c.Evicted() != want[i] {
			t.Errorf("client %d is evicted: %v", i, c.Evicted())
		}
		if (c.wakes.Load() > 0) != want[i] {
			t.Errorf("client %d was woken %d times", i, c.wakes.Load())
		}
	}
}

// TestTryAcquireUpToTheLimit checks the number of slots, also after a release and a change of the limit.
func TestTryAcquireUpToTheLimit(t *testing.T) {
	l := New(3)
	clients := acquireAll(t, l, 3)
	if l.TryAcquire(newFakeClient().Slot) || l.InUse() != 3 || l.FreeShare() != 0 {
		t.Errorf("%d slots are in use, a share of %v is free", l.InUse(), l.FreeShare())
	}
	l.Release(clients[0].Slot)
	l.Resize(2)
	if l.TryAcquire(newFakeClient().Slot) {
		t.Error("a slot past the changed limit is free")
	}
	l.Resize(3)
	if !l.TryAcquire(newFakeClient().Slot) {
		t.Error("a released slot is not free")
	}
}

// TestAcquireEvictsTheFirstIdleClient checks that the client whose idle timeout ends first is evicted once it is over, and that its
// slot goes to the new client when it is released.
func TestAcquireEvictsTheFirstIdleClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(3)
		clients := acquireAll(t, l, 3)
		l.SetIdle(clients[1].Slot, true)
		time.Sleep(50 * time.Millisecond)
		l.SetIdle(clients[2].Slot, false) // may be evicted before the other: it has sent no request
		start := time.Now()
		acquired := make(chan bool, 1)
		go func() { acquired <- l.Acquire(newFakeClient().Slot) }()
		time.Sleep(newClientIdleTimeout - time.Millisecond)
		expectEvicted(t, clients, false, false, false)
		time.Sleep(2 * time.Millisecond)
		expectEvicted(t, clients, false, false, true)
		l.SetClosing(clients[2].Slot)
		time.Sleep(EvictionCloseTimeout)
		l.Release(clients[2].Slot)
		if !<-acquired || time.Since(start) > newClientIdleTimeout+EvictionCloseTimeout+time.Millisecond {
			t.Errorf("no slot after %v", time.Since(start))
		}
		expectEvicted(t, clients[:2], false, false)
	})
}

// TestAcquireFailsAtOnceWhereAllAreActive checks that a new client does not wait where no client is idle.
func TestAcquireFailsAtOnceWhereAllAreActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(2)
		clients := acquireAll(t, l, 2)
		start := time.Now()
		if l.Acquire(newFakeClient().Slot) || time.Since(start) > 0 {
			t.Errorf("an answer after %v", time.Since(start))
		}
		expectEvicted(t, clients, false, false)
	})
}

// TestActivityRevokesAnEviction checks that an evicted client that has sent something stays, and another one is evicted.
func TestActivityRevokesAnEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(2)
		clients := acquireAll(t, l, 2)
		l.SetIdle(clients[0].Slot, true)
		time.Sleep(10 * time.Millisecond)
		l.SetIdle(clients[1].Slot, true)
		time.Sleep(idleTimeout)
		acquired := make(chan bool, 1)
		go func() { acquired <- l.Acquire(newFakeClient().Slot) }()
		synctest.Wait()
		expectEvicted(t, clients, true, false)
		l.SetActive(clients[0].Slot)
		time.Sleep(evictionRetryInterval + time.Millisecond)
		if clients[0].Evicted() || !clients[1].Evicted() {
			t.Error("the other client is not evicted")
		}
		l.Release(clients[1].Slot)
		if !<-acquired {
			t.Error("the new client gets no slot")
		}
	})
}

// TestReserveEvictsAndIsBounded checks that a reservation evicts an idle client and waits for its slot, that half of the limit may
// be reserved, and that a cancelled reservation is returned.
func TestReserveEvictsAndIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(2)
		clients := acquireAll(t, l, 2)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := l.Reserve(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("all clients are active: %v", err)
		}
		l.SetIdle(clients[0].Slot, true)
		expectEvicted(t, clients, false, false) // the cancelled reservation evicts nobody
		reserved := make(chan func(), 1)
		go func() {
			release, err := l.Reserve(context.Background())
			if err != nil {
				t.Error(err)
			}
			reserved <- release
		}()
		synctest.Wait()
		expectEvicted(t, clients, true, false)
		l.Release(clients[0].Slot)
		release := <-reserved
		var limit ReservationLimitError
		if _, err := l.Reserve(context.Background()); !errors.As(err, &limit) || limit != (ReservationLimitError{Reserved: 1, Slots: 2}) {
			t.Errorf("a second reservation of two: %v", err)
		}
		if l.TryAcquire(newFakeClient().Slot) {
			t.Error("a client gets the reserved slot")
		}
		release()
		if !l.TryAcquire(newFakeClient().Slot) {
			t.Error("the released slot is not free")
		}
	})
}

// TestForceAcquireEvictsOnePerClient checks that each client past the limit evicts the one that has been idle longest.
func TestForceAcquireEvictsOnePerClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(3)
		clients := acquireAll(t, l, 3)
		for _, c := range clients {
			l.SetIdle(c.Slot, true)
			time.Sleep(time.Millisecond)
		}
		l.ForceAcquire(newFakeClient().Slot)
		expectEvicted(t, clients, true, false, false)
		l.ForceAcquire(newFakeClient().Slot)
		expectEvicted(t, clients, true, true, false)
	})
}

// TestDrainWakesAllClients checks that clients are woken by a change of the drain schedule alone.
func TestDrainWakesAllClients(t *testing.T) {
	l := New(2)
	clients := acquireAll(t, l, 2)
	l.Drain()
	l.Drain() // no change
	if !l.Draining() || clients[0].wakes.Load() != 1 || clients[1].wakes.Load() != 1 {
		t.Errorf("draining: %v, woken %d and %d times", l.Draining(), clients[0].wakes.Load(), clients[1].wakes.Load())
	}
	if !l.Undrain() || l.Draining() || clients[0].wakes.Load() != 2 {
		t.Errorf("draining: %v, woken %d times", l.Draining(), clients[0].wakes.Load())
	}
	l.Shutdown()
	if l.Undrain() {
		t.Error("a shutdown was undone")
	}
}
