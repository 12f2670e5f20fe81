package clients_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"cranegate/internal/clients"
	"cranegate/internal/clients/postgres"
	"cranegate/internal/pgwire"
	"cranegate/internal/standin"
)

// TestTakenOverClientsFitTheRoom has another process pass on three times as many idle clients as there are places, with one
// that has a request open: as many stay as there are places, that one among them, and the rest see a plain end.
func TestTakenOverClientsFitTheRoom(t *testing.T) {
	const places, passed = 4, 12
	inBubble(t, func() error {
		hold := make(chan struct{})
		rig := newRig(false, &standin.Host{Primary: true, Act: func(string, string, bool) standin.Act { <-hold; return standin.Serve }})
		defer rig.close()
		answer := sync.OnceFunc(func() { close(hold) })
		defer answer()
		room := clients.NewRoom(places)
		room.Thin(false) // as while both processes live
		s := &clients.Server{Name: "newer", Front: postgres.Front{}, Core: rig.core, Room: room, Budget: rig.budget, Counters: rig.counters}
		var ended, faults atomic.Int64
		var ends []net.Conn
		defer func() {
			for _, c := range ends {
				c.Close()
			}
		}()
		for i := range passed {
			near, far := net.Pipe()
			ends = append(ends, near)
			if !s.TakeOver(far, true, true) {
				return errors.New("a client was not taken over")
			}
			if i == 0 { // it asks
				if _, err := near.Write(pgwire.Append(nil, 'Q', "/* id=o,c=look,d=1000,cluster=4 */ SELECT v FROM records WHERE k = 'o'\x00")); err != nil {
					return err
				}
			} else {
				go func() {
					if _, err := near.Read(make([]byte, 1)); err == io.EOF {
						ended.Add(1)
					} else {
						faults.Add(1)
					}
				}()
			}
			synctest.Wait()
		}
		if n := ended.Load(); n != passed-places || faults.Load() > 0 {
			return fmt.Errorf("%d of %d ended, %d in other ways", n, passed, faults.Load())
		}
		answer()
		b := make([]byte, 1)
		if _, err := ends[0].Read(b); err != nil || b[0] != 'T' {
			return fmt.Errorf("the one with a request open is told %q, %v", b, err)
		}
		return nil
	})
}
