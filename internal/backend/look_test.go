package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/poolsize"
)

// TestLookSurvivesFullMailbox has a host's mailbox be full at the moment that its idle connections are due: they are looked at
// once there is room.
func TestLookSurvivesFullMailbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &Pool{opt: Options{IdleTimeout: 20 * time.Second}, keep: sharedKeeper{keeper: poolsize.New(300, 20*time.Second, time.Now())}}
		h := &host{pool: pool, mailbox: make(chan any, 1), ctx: context.Background()}
		pool.keep.asked(&h.asked)
		h.idle = []*link{{freedAt: time.Now()}}
		if h.trim(); h.trimAt.IsZero() || h.trimAt.After(time.Now().Add(20*time.Second)) {
			t.Fatalf("no look is planned: %v", h.trimAt)
		}
		h.mailbox <- &core.Attempt{}
		time.Sleep(time.Until(h.trimAt) + 3*time.Second)
		<-h.mailbox
		time.Sleep(time.Second)
		select {
		case m := <-h.mailbox:
			if _, ok := m.(trim); !ok {
				t.Errorf("%T came", m)
			}
		default:
			t.Error("the look is lost: idle connections stand until an attempt comes")
		}
	})
}
