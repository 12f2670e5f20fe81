package framebuf

import (
	"net"
	"testing"
	"time"
)

// TestPeerClosed has a peer stay connected, and close the connection in each way, with and without unread bytes before the close.
// PeerClosed must report a close once it has arrived and from then on, although the system reports a reset only once.
func TestPeerClosed(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"stays":      nil,
		"close":      func(c *net.TCPConn) { c.Close() },
		"half close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
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
				peer.Write([]byte(unread))
				if c.PeerClosed() {
					t.Fatal("closed, though the peer is connected")
				}
				if end == nil {
					if c.ReadAvailable() || c.Buffered() != len(unread) {
						t.Errorf("closed, though the peer is connected, or %d bytes", c.Buffered())
					}
					return
				}
				end(peer.(*net.TCPConn))
				for deadline := time.Now().Add(10 * time.Second); !c.PeerClosed(); time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal("the close is not reported")
					}
				}
				if !c.PeerClosed() || !c.ReadAvailable() {
					t.Error("no longer closed")
				}
			})
		}
	}
}
