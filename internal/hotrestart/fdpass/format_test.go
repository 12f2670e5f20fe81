package fdpass

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDatagram pins the socket's name and the datagram that accompanies a descriptor: a version, flags, and the front's name.
// Processes of other versions use the same socket and datagrams.
func TestDatagram(t *testing.T) {
	dir := t.TempDir()
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, "cranegate-clients.sock"), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s, err := Dial(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	receiver, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	receiver.SetDeadline(time.Now().Add(10 * time.Second))
	for _, c := range []struct {
		conn Conn
		text string
	}{
		{Conn{Protocol: "postgres"}, "\x01\x00postgres"},
		{Conn{Protocol: "postgres", Started: true}, "\x01\x01postgres"},
		{Conn{Protocol: "mysql", Started: true, Answered: true}, "\x01\x03mysql"},
	} {
		client, err := net.Dial("tcp", listenerAddress(t))
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		c.conn.Conn = client
		sent := make(chan error, 1)
		go func() { sent <- s.Send(c.conn) }()
		b, rights := make([]byte, 100), make([]byte, unix.CmsgSpace(4))
		n, m, _, _, err := receiver.ReadMsgUnix(b, rights)
		if err != nil || string(b[:n]) != c.text {
			t.Errorf("sent as %q, %v, want %q", b[:n], err, c.text)
		}
		got, err := connFromRights(rights[:m])
		if err != nil {
			t.Fatal(err)
		}
		got.Close()
		if _, err := receiver.Write([]byte{1}); err != nil {
			t.Fatal(err)
		}
		if err := <-sent; err != nil {
			t.Error(err)
		}
	}
}

// listenerAddress returns the address of a listener to which connections can be opened. It never reads or writes.
func listenerAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}
