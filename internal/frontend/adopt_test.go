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

// TestAdoptedClientsFitTheLimit transfers three times as many clients as there are slots. The first has an open request and the others
// are idle. As many clients as there are slots must stay, including the one with the request, and for the others the connection must end
// with EOF.
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
		limiter.SetEvictIdle(false) // as while both processes are running
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
				if _, err := io.WriteString(near, postgresQuery(fmt.Sprintf(readStatement, "o"))); err != nil {
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
			return fmt.Errorf("%d of %d connections ended with EOF, %d in other ways", n, transferred, failed.Load())
		}
		answer()
		b := make([]byte, 1)
		if _, err := conns[0].Read(b); err != nil || b[0] != 'T' {
			return fmt.Errorf("the client with an open request got %q, %v", b, err)
		}
		return nil
	})
}

// TestAdoptUntilTheEnd transfers a connection with an unread request to a server that was stopped and has closed its listener, but still
// has an active session. The server must serve the connection, and Retire may come after the listener's close. Once the server has ended,
// it must not adopt any connection.
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
	half := postgresQuery(fmt.Sprintf(readStatement, "held"))
	client.Write([]byte(half[:20])) // half a message keeps the session active for longer than a request
	server.stop()
	waitFor(t, "the listener's close", func() bool { return !server.listening() })
	time.Sleep(100 * time.Millisecond)
	server.Retire() // late, as the listener is closed already
	near, far := loopback(t)
	near.Write([]byte(postgresQuery(fmt.Sprintf(readStatement, "passed"))))
	if !server.Adopt(far, true, true) {
		far.Close()
		t.Error("the connection is not adopted")
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
		t.Error("a connection is adopted after the server has ended")
	} else {
		near.Close()
		far.Close()
	}
}

// blockingListener is a listener whose calls block, as they do in the kernel if another process has set a shared socket to blocking mode.
type blockingListener struct {
	closing chan struct{} // gets a value when the gateway begins to close the listener
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

// TestAdoptedClientServedWhileListenerCloses retires a stopped server while it waits for its listener to close, which blocks. The server
// must still serve a client that is connected to it.
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
		t.Fatal("the connection is not adopted")
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
	if r, err := client.Ask(fmt.Sprintf(readStatement, "meanwhile")); err != nil || r.Outcome != "served" {
		t.Errorf("%+v, %v", r, err)
	}
	near.Close()
	close(l.unblock)
	<-retired
	if err := <-running.ended; err != nil {
		t.Error(err)
	}
}
