package frontend_test

import (
	"bytes"
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
	"cranegate/internal/frontend/connlimit"
	"cranegate/internal/pgwire"
)

// TestAdoptedClientsFitTheLimit has another process transfer three times as many idle clients as there are slots, and one with a
// request open: as many stay as there are slots, that one among them, and the rest see a plain end.
func TestAdoptedClientsFitTheLimit(t *testing.T) {
	const slots, transferred = 4, 12
	inBubble(t, func() error {
		blocked := make(chan struct{})
		harness := newHarness(false, &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act {
			<-blocked
			return fake.Serve
		}})
		defer harness.close()
		answer := sync.OnceFunc(func() { close(blocked) })
		defer answer()
		limiter := connlimit.New(slots)
		limiter.SetEvictIdle(false) // as while both processes live
		server := harness.newServer("newer", limiter)
		var ended, failed atomic.Int64
		var conns []net.Conn
		defer func() {
			for _, c := range conns {
				c.Close()
			}
		}()
		for i := range transferred {
			near, far := net.Pipe()
			conns = append(conns, near)
			if !server.Adopt(far, true, true) {
				return errors.New("a client was not adopted")
			}
			if i == 0 {
				if _, err := io.WriteString(near, postgresQuery(fmt.Sprintf(lookStatement, "o"))); err != nil {
					return err
				}
			} else {
				go func() {
					if _, err := near.Read(make([]byte, 1)); err == io.EOF {
						ended.Add(1)
					} else {
						failed.Add(1)
					}
				}()
			}
			synctest.Wait()
		}
		if n := ended.Load(); n != transferred-slots || failed.Load() > 0 {
			return fmt.Errorf("%d of %d ended, %d in other ways", n, transferred, failed.Load())
		}
		answer()
		b := make([]byte, 1)
		if _, err := conns[0].Read(b); err != nil || b[0] != 'T' {
			return fmt.Errorf("the one with a request open gets %q, %v", b, err)
		}
		return nil
	})
}

// TestAdoptUntilTheEnd transfers a connection with a request in it to a server that was stopped and has closed its listener, while
// it has a request open: the connection is served. That another process accepts its clients is said only then. Once the
// server has ended it adopts nothing.
func TestAdoptUntilTheEnd(t *testing.T) {
	blocked := make(chan struct{})
	harness := newHarness(false, &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
		if id == "held" {
			<-blocked
		}
		return fake.Serve
	}})
	defer harness.close()
	server := harness.serveOn("to", listenLocal(t))
	client := server.login(t)
	half := postgresQuery(fmt.Sprintf(lookStatement, "held"))
	client.Write([]byte(half[:20])) // keeps the session active for longer than a request
	server.stop()
	waitFor(t, "the listener's close", func() bool { return !server.listening() })
	time.Sleep(100 * time.Millisecond)
	server.Retire() // the other process says so late
	near, far := loopback(t)
	near.Write([]byte(postgresQuery(fmt.Sprintf(lookStatement, "passed"))))
	if !server.Adopt(far, true, true) {
		far.Close()
		t.Error("it is not adopted")
	}
	if text, err := io.ReadAll(near); err != nil || !bytes.Contains(text, []byte("value of passed")) {
		t.Errorf("%q, %v", text, err)
	}
	client.Write([]byte(half[20:]))
	close(blocked)
	client.Read()
	if err := <-server.ended; err != nil {
		t.Error(err)
	}
	near, far = loopback(t)
	if server.Adopt(far, true, true) {
		t.Error("it is adopted after the server's end")
	} else {
		near.Close()
		far.Close()
	}
}

// blockingListener is a listener whose calls block in the kernel, as where another process has set a shared socket to blocking.
type blockingListener struct {
	closing chan struct{} // gets a value when its close begins
	unblock chan struct{} // closed to unblock the calls
}

func (l blockingListener) Accept() (net.Conn, error) {
	<-l.unblock
	return nil, net.ErrClosed
}

func (l blockingListener) Close() error {
	<-l.unblock
	return nil
}

func (l blockingListener) SetDeadline(time.Time) error {
	l.closing <- struct{}{}
	<-l.unblock
	return nil
}

func (l blockingListener) Addr() net.Addr          { return &net.TCPAddr{} }
func (l blockingListener) File() (*os.File, error) { return os.Open(os.DevNull) }

// TestAdoptedClientServedWhileListenerCloses has a newer process accept the clients while this one, which is stopped, waits for its
// listener to close: a client that is connected here is served meanwhile.
func TestAdoptedClientServedWhileListenerCloses(t *testing.T) {
	harness := newHarness(false, &fake.Host{Primary: true})
	defer harness.close()
	l := blockingListener{closing: make(chan struct{}, 10), unblock: make(chan struct{})}
	server := harness.newServer("ends", connlimit.New(harnessSlots))
	server.SharedListener = true
	running := run(server, l)
	defer running.stop()
	near, far := loopback(t)
	if !server.Adopt(far, true, false) {
		t.Fatal("it is not adopted")
	}
	running.stop()
	<-l.closing
	retired := make(chan struct{})
	go func() {
		server.Retire()
		close(retired)
	}()
	time.Sleep(50 * time.Millisecond)
	near.SetDeadline(time.Now().Add(10 * time.Second))
	client := &fake.PostgresClient{Conn: framebuf.New(near, pgwire.MaxMessage)}
	if r, err := client.Ask(fmt.Sprintf(lookStatement, "meanwhile")); err != nil || r.Outcome != "served" {
		t.Errorf("%+v, %v", r, err)
	}
	near.Close()
	close(l.unblock)
	<-retired
	if err := <-running.ended; err != nil {
		t.Error(err)
	}
}
