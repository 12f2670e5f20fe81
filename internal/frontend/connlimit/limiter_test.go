package connlimit

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// fakeClient is a client without a connection. It counts its wakes.
type fakeClient struct {
	*Slot
	wakes atomic.Int32
}

func newFakeClient() *fakeClient {
	c := &fakeClient{}
	c.Slot = NewSlot(func() { c.wakes.Add(1) })
	return c
}

// acquireAll acquires n slots for new active clients.
func acquireAll(t *testing.T, l *Limiter, n int) []*fakeClient {
	t.Helper()
	clients := make([]*fakeClient, n)
	for i := range clients {
		clients[i] = newFakeClient()
		if !l.TryAcquire(clients[i].Slot) {
			t.Fatalf("client %d got no slot", i)
		}
	}
	return clients
}

// expectEvicted checks for each client whether it is evicted and was woken.
func expectEvicted(t *testing.T, clients []*fakeClient, want ...bool) {
	t.Helper()
	for i, c := range clients {
		if c.Evicted() != want[i] {
			t.Errorf("client %d: evicted is %v, want the opposite", i, c.Evicted())
		}
		if (c.wakes.Load() > 0) != want[i] {
			t.Errorf("client %d was woken %d times; only evicted clients are woken", i, c.wakes.Load())
		}
	}
}

// TestTryAcquireUpToTheLimit checks the number of slots, also after a release and a change of the limit.
func TestTryAcquireUpToTheLimit(t *testing.T) {
	l := New(3)
	clients := acquireAll(t, l, 3)
	if l.TryAcquire(newFakeClient().Slot) || l.InUse() != 3 || l.FreeShare() != 0 {
		t.Errorf("a fourth client got one of three slots, or %d are in use and a share of %v is free", l.InUse(), l.FreeShare())
	}
	l.Release(clients[0].Slot)
	l.Resize(2)
	if l.TryAcquire(newFakeClient().Slot) {
		t.Error("a client got a slot above the lowered limit")
	}
	l.Resize(3)
	if !l.TryAcquire(newFakeClient().Slot) {
		t.Error("a released slot is not free")
	}
}

// TestAcquireEvictsTheFirstIdleClient checks that the client whose idle timeout ends first is evicted when that timeout ends, and that
// the new client gets its slot on release.
func TestAcquireEvictsTheFirstIdleClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(3)
		clients := acquireAll(t, l, 3)
		l.SetIdle(clients[1].Slot, true)
		time.Sleep(50 * time.Millisecond)
		l.SetIdle(clients[2].Slot, false) // has sent no request, and so may be evicted before the other client
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

// TestAcquireFailsAtOnceWhereAllAreActive checks that a new client does not wait if no client is idle.
func TestAcquireFailsAtOnceWhereAllAreActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(2)
		clients := acquireAll(t, l, 2)
		start := time.Now()
		if l.Acquire(newFakeClient().Slot) || time.Since(start) > 0 {
			t.Errorf("Acquire succeeded, or failed only after %v", time.Since(start))
		}
		expectEvicted(t, clients, false, false)
	})
}

// TestActivityRevokesAnEviction checks that an evicted client that sends something stays connected, and that another client is
// evicted in its place.
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
			t.Error("the active client is still evicted, or the idle one is not")
		}
		l.Release(clients[1].Slot)
		if !<-acquired {
			t.Error("the new client got no slot")
		}
	})
}

// TestReserveEvictsAndIsBounded checks that a reservation evicts an idle client and waits for its slot, that no more than half of the
// slots can be reserved, and that a cancelled reservation frees its slot.
func TestReserveEvictsAndIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(2)
		clients := acquireAll(t, l, 2)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := l.Reserve(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a reservation while all clients are active: %v", err)
		}
		l.SetIdle(clients[0].Slot, true)
		expectEvicted(t, clients, false, false) // the cancelled reservation evicts no client
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
			t.Errorf("a second reservation with two slots: %v", err)
		}
		if l.TryAcquire(newFakeClient().Slot) {
			t.Error("a client got the reserved slot")
		}
		release()
		if !l.TryAcquire(newFakeClient().Slot) {
			t.Error("the released slot is not free")
		}
	})
}

// TestForceAcquireEvictsOnePerClient checks that each client above the limit evicts the client that has been idle longest.
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

// TestDrainWakesAllClients checks that each change of the drain schedule wakes all clients, and that a call without a change does not.
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
