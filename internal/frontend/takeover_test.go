package frontend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/frontend/connlimit"
	"cranegate/internal/frontend/postgres"
	"cranegate/internal/metrics"
	"cranegate/internal/pgwire"
)

// TestTakenOverClientsFitTheRoom has another process pass on three times as many idle clients as there are places, with one
// that has a request open: as many stay as there are places, that one among them, and the rest see a plain end.
func TestTakenOverClientsFitTheRoom(t *testing.T) {
	const places, passed = 4, 12
	inBubble(t, func() error {
		hold := make(chan struct{})
		rig := newRig(false, &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act { <-hold; return fake.Serve }})
		defer rig.close()
		answer := sync.OnceFunc(func() { close(hold) })
		defer answer()
		room := connlimit.New(places)
		room.SetEvictIdle(false) // as while both processes live
		s := &frontend.Server{Name: "newer", Protocol: postgres.Protocol{}, Core: rig.core, Limiter: room, Budget: rig.budget, Counters: rig.counters}
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
			if !s.Adopt(far, true, true) {
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

// hungListener is a listener that hangs in the kernel, as one does whose socket another process has set to blocking.
type hungListener struct {
	closing chan struct{} // takes one as its close begins
	free    chan struct{} // closed as it hangs no more
}

func (l hungListener) Accept() (net.Conn, error)   { <-l.free; return nil, net.ErrClosed }
func (l hungListener) Close() error                { <-l.free; return nil }
func (l hungListener) Addr() net.Addr              { return &net.TCPAddr{} }
func (l hungListener) File() (*os.File, error)     { return os.Open(os.DevNull) }
func (l hungListener) SetDeadline(time.Time) error { l.closing <- struct{}{}; <-l.free; return nil }

// TestNewerServesWhileTheListenerCloses has a newer process take the clients over while this one, which ends, waits for its listener
// to close: who has a connection here is answered meanwhile.
func TestNewerServesWhileTheListenerCloses(t *testing.T) {
	rig := newRig(false, &fake.Host{Primary: true})
	defer rig.close()
	s := &frontend.Server{Name: "ends", Protocol: postgres.Protocol{}, Core: rig.core, Limiter: connlimit.New(50),
		Budget: framebuf.NewBudget(rigBudget), Counters: &metrics.Counters{}, SharedListener: true}
	l := hungListener{closing: make(chan struct{}, 10), free: make(chan struct{})}
	stopped, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(stopped, l) }()
	near, far := loopback(t)
	if !s.Adopt(far, true, false) {
		t.Fatal("it is not taken over")
	}
	stop()
	<-l.closing
	retired := make(chan struct{})
	go func() { s.Retire(); close(retired) }()
	time.Sleep(50 * time.Millisecond)
	near.SetDeadline(time.Now().Add(10 * time.Second))
	c := &fake.PostgresClient{Conn: framebuf.New(near, pgwire.MaxMessage)}
	if r, err := c.Ask(fmt.Sprintf(look, "meanwhile")); err != nil || r.Outcome != "served" {
		t.Errorf("%+v, %v", r, err)
	}
	near.Close()
	close(l.free)
	<-retired
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
