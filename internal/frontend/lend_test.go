package frontend_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/frontend/connlimit"
)

// TestLentPlaces lends half of the places of a full room, one after the other: idle clients give way, never is more held and
// lent together than there are, and past the half the answer says what can be done. What is given back takes clients again.
func TestLentPlaces(t *testing.T) {
	const places = 8
	inBubble(t, func() error {
		rig := newRigFor(places, 1, false, &fake.Host{Primary: true})
		defer rig.close()
		for i := range places {
			c, err := fake.DialPostgres(rig.connect(), "")
			if err != nil {
				return fmt.Errorf("client %d: %w", i, err)
			}
			defer c.Close()
		}
		if free := rig.room.FreeShare(); free != 0 {
			return fmt.Errorf("%v of the room is free", free)
		}
		var back []func()
		for i := range places / 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			giveBack, err := rig.room.Reserve(ctx)
			cancel()
			if err != nil {
				return fmt.Errorf("place %d: %w", i, err)
			}
			if over := rig.room.InUse() + len(back) + 1; over > places {
				return fmt.Errorf("%d of %d places are held", over, places)
			}
			back = append(back, giveBack)
		}
		var many connlimit.ReservationLimitError
		if _, err := rig.room.Reserve(context.Background()); !errors.As(err, &many) || many.Reserved != places/2 || !strings.Contains(err.Error(), "limits.sockets") {
			return fmt.Errorf("past the half: %v", err)
		}
		for i := range 2 { // newcomers take idle clients' places, not lent ones
			c, err := fake.DialPostgres(rig.connect(), "")
			if err != nil {
				return fmt.Errorf("client %d meanwhile: %w", i, err)
			}
			defer c.Close()
			if held := rig.room.InUse(); held+len(back) > places {
				return fmt.Errorf("%d places are held and %d lent of %d", held, len(back), places)
			}
		}
		for _, f := range back {
			f()
		}
		for i := range places / 2 {
			c, err := fake.DialPostgres(rig.connect(), "")
			if err != nil {
				return fmt.Errorf("client %d after: %w", i, err)
			}
			defer c.Close()
		}
		if held := rig.room.InUse(); held != places {
			return fmt.Errorf("%d of %d places are held in the end", held, places)
		}
		return nil
	})
}
