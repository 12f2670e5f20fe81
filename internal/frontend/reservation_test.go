package frontend_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/frontend/connlimit"
)

// connectClients connects n clients that complete the startup and stay connected until closeAll.
func (h *testHarness) connectClients(n int) (closeAll func(), err error) {
	var clients []*fake.PostgresClient
	closeAll = func() {
		for _, c := range clients {
			c.Close()
		}
	}
	for i := range n {
		c, err := fake.DialPostgres(h.connect(), "")
		if err != nil {
			return closeAll, fmt.Errorf("client %d: %w", i, err)
		}
		clients = append(clients, c)
	}
	return closeAll, nil
}

// TestReservations reserves half of the slots of a full limiter, one by one. Idle clients must be evicted, and clients and reservations
// together must never use more slots than there are. A further reservation must fail with an error that says what an operator can do.
// Released slots must be free for clients again.
func TestReservations(t *testing.T) {
	const slots = 8
	inBubble(t, func() error {
		harness := newHarnessFor(slots, 1, false, &fake.Host{Primary: true})
		defer harness.close()
		limiter := harness.limiter
		closeFirst, err := harness.connectClients(slots)
		defer closeFirst()
		if err != nil {
			return err
		}
		if free := limiter.FreeShare(); free != 0 {
			return fmt.Errorf("a share of %v of the slots is free", free)
		}
		var releases []func()
		for i := range slots / 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			release, err := limiter.Reserve(ctx)
			cancel()
			if err != nil {
				return fmt.Errorf("slot %d: %w", i, err)
			}
			releases = append(releases, release)
			if sum := limiter.InUse() + len(releases); sum > slots {
				return fmt.Errorf("%d of %d slots are used", sum, slots)
			}
		}
		var limit connlimit.ReservationLimitError
		if _, err := limiter.Reserve(context.Background()); !errors.As(err, &limit) || limit.Reserved != slots/2 ||
			!strings.Contains(err.Error(), "limits.sockets") {
			return fmt.Errorf("a reservation of more than half of the slots: %v", err)
		}
		synctest.Wait()    // until the remaining clients are idle, as a new client is rejected while all of them are active
		for i := range 2 { // these clients get the slots of idle clients, not reserved ones
			closeOne, err := harness.connectClients(1)
			defer closeOne()
			if err != nil {
				return fmt.Errorf("new client %d during the reservations: %w", i, err)
			}
			if held := limiter.InUse(); held+len(releases) > slots {
				return fmt.Errorf("%d slots are in use and %d reserved, of %d", held, len(releases), slots)
			}
		}
		for _, release := range releases {
			release()
		}
		closeLast, err := harness.connectClients(slots / 2)
		defer closeLast()
		if err != nil {
			return fmt.Errorf("new clients after the reservations: %w", err)
		}
		if held := limiter.InUse(); held != slots {
			return fmt.Errorf("%d of %d slots are in use at the end", held, slots)
		}
		return nil
	})
}
