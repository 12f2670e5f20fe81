package frontend_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// crossing is the gateway's end of a connection on whose shutdown, or close where that comes first, something is made
// to happen right before. It counts the bytes that are read from then on.
type crossing struct {
	*net.TCPConn
	before func()
	once   sync.Once
	shut   atomic.Bool
	read   atomic.Int64
}

func (c *crossing) cross() { c.once.Do(func() { c.before(); c.shut.Store(true) }) }

func (c *crossing) CloseWrite() error { c.cross(); return c.TCPConn.CloseWrite() }
func (c *crossing) Close() error      { c.cross(); return c.TCPConn.Close() }
func (c *crossing) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.shut.Load() {
		c.read.Add(int64(n))
	}
	return n, err
}

// arrived waits until the client's bytes lie in the gateway's socket.
func (c *crossing) arrived() {
	raw, err := c.SyscallConn()
	if err != nil {
		panic(err)
	}
	c.SetReadDeadline(time.Time{}) // the last look's may have passed
	var b [1]byte
	raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}

// loopback gives both ends of a connection over TCP.
func loopback(t *testing.T) (client, gateway *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near.SetDeadline(time.Now().Add(20 * time.Second))
	return near.(*net.TCPConn), far.(*net.TCPConn)
}

// crosser gives a client of the platform's protocol that sends a text in the instant in which its connection ends.
func (r *rig) crosser(t *testing.T, text string) (*fake.PostgresClient, *crossing) {
	t.Helper()
	near, far := loopback(t)
	c := &crossing{TCPConn: far}
	c.before = func() {
		if _, err := io.WriteString(near, text); err != nil {
			t.Error(err)
		}
		c.arrived()
	}
	r.pipes.conns <- c
	p, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	return p, c
}

const look = "/* id=%s,c=look,d=1000,cluster=4 */ SELECT v FROM records WHERE k = '%[1]s'"

// TestRequestCrossesTheEnd lets a request arrive between the last look at a connection and its end: as a client is sent
// away while idle and right behind its answer, as one is let go for another, and as the time for a message is over. It may
// neither be sent on nor be read, as its client sends it again; the client sees a plain end, and the answer before it whole.
func TestRequestCrossesTheEnd(t *testing.T) {
	for _, name := range []string{"idle", "behind", "let go", "half"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := &fake.Host{Primary: true}
			rig := newRigFor(1, 1, false, host)
			defer rig.close()
			text := pgQuery(fmt.Sprintf(look, "crossed"))
			half := pgQuery(fmt.Sprintf(look, "half"))
			if name == "half" {
				text = half[20:]
			}
			p, c := rig.crosser(t, text)
			ask := func(id string) {
				t.Helper()
				if r, err := p.Ask(fmt.Sprintf(look, id)); err != nil || r.Value != "value of "+id {
					t.Fatalf("%s: %+v, %v", id, r, err)
				}
			}
			ask("first")
			switch name {
			case "idle":
				rig.stop()
			case "behind":
				rig.stop()
				time.Sleep(450 * time.Millisecond) // connections end behind an answer from 0.4 s on
				ask("last")
			case "let go":
				for try := 0; ; try++ { // turned away where the answer has gone out and the place is not seen at rest yet
					next, err := fake.DialPostgres(rig.connect(), "")
					if err == nil {
						defer next.Close()
						break
					} else if try == 20 {
						t.Fatal(err)
					}
				}
			case "half":
				io.WriteString(p, half[:20])
				rig.stop()
			}
			if _, err := p.Read(); !errors.Is(err, io.EOF) {
				t.Errorf("the client sees %v in place of a plain end", err)
			}
			p.Close()
			rig.stop()
			err := <-rig.ended
			rig.ended <- err
			if n := c.read.Load(); n > 0 {
				t.Errorf("%d bytes were read after the end", n)
			}
			if host.Ran("crossed")+host.Ran("half") > 0 {
				t.Error("what crossed the end was sent on")
			}
		})
	}
}

// TestOneIsLetGoForEach: clients that are slow to close, once let go, do not have others let go in their stead.
func TestOneIsLetGoForEach(t *testing.T) {
	rig := newRigFor(3, 1, false, &fake.Host{Primary: true})
	defer rig.close()
	for range 3 { // that have asked nothing, and do not look at their connection
		near, far := loopback(t)
		rig.pipes.conns <- far
		if _, err := fake.DialPostgres(near, ""); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(150 * time.Millisecond) // each may be let go from 0.1 s on
	near, far := loopback(t)
	rig.pipes.conns <- far
	p, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := p.Ask(fmt.Sprintf(look, "a")); err != nil || r.Outcome != "served" {
		t.Errorf("the newcomer: %+v, %v", r, err)
	}
	if n := rig.counters.Get("test_clients_let_go"); n != 1 {
		t.Errorf("%d clients were let go for one", n)
	}
}

// TestSlowReaderHasItAll: a client that reads nothing until the gateway has ended its connection, behind an answer longer than
// both ends hold in hand, has the whole of it then, and a plain end.
func TestSlowReaderHasItAll(t *testing.T) {
	rig := newRig(false, &fake.Host{Primary: true})
	defer rig.close()
	near, far := loopback(t)
	near.SetReadBuffer(4 << 10)
	rig.pipes.conns <- far
	p, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	key := strings.Repeat("k", 50<<10)
	p.Write([]byte(pgQuery("/* id=long,c=look,d=1000,cluster=4 */ SELECT v FROM records WHERE k = '" + key + "'")))
	rig.stop()
	err = <-rig.ended
	rig.ended <- err
	if r, err := p.Read(); err != nil || r.Value != "value of "+key {
		t.Errorf("%d bytes, %v", len(r.Value), err)
	}
	if _, err := p.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("the client sees %v in place of a plain end", err)
	}
}
