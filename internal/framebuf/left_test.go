package framebuf

import (
	"net"
	"testing"
	"time"
)

// TestLeft asks of a peer that stays, and of one that goes in each way, with bytes unread before that and without: it has
// left once its end has come and stays so, also where the system tells of a reset only once.
func TestLeft(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"stays":      nil,
		"close":      func(c *net.TCPConn) { c.Close() },
		"half close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, unread := range []string{"", "unread"} {
			t.Run(name+" "+unread, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				peer, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer peer.Close()
				raw, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer raw.Close()
				c := New(raw, 1<<10)
				if peer.Write([]byte(unread)); c.PeerClosed() {
					t.Fatal("left, though it is there")
				}
				if end == nil {
					if c.Look() || c.Buffered() != len(unread) {
						t.Errorf("left, though it is there, with %d bytes", c.Buffered())
					}
					return
				}
				end(peer.(*net.TCPConn))
				for until := time.Now().Add(10 * time.Second); !c.PeerClosed(); time.Sleep(time.Millisecond) {
					if time.Now().After(until) {
						t.Fatal("its end does not show")
					}
				}
				if !c.PeerClosed() || !c.Look() {
					t.Error("it has come back")
				}
			})
		}
	}
}
