// Package fdpass carries open connections from one process to another on the same machine, as descriptors over a Unix
// socket in a folder that both share. Whoever is at the other end of such a connection notices nothing.
package fdpass

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	socket   = "cranegate-clients.sock" // the newest process listens here
	longest  = 64                       // bytes of a front's name
	version  = 1
	passFor  = 300 * time.Millisecond // for a connection to be handed over
	mostFrom = 1024                   // processes that hand over at once; two at a time are rare,
	ownFrom  = 1                      // and so many need nothing from Receiver.Lend
	lendFor  = passFor / 2            // a process waits for what Receiver.Lend gives
)

// What is known of a connection, as bits.
const (
	started = 1 << iota
	asked
)

var (
	// ErrNoReceiver says that no newer process takes connections: those here have to end.
	ErrNoReceiver = errors.New("no newer process takes open connections over; clients have to connect anew")
	// ErrNotPassed says that a connection was not handed over, and is still this process's.
	ErrNotPassed = errors.New("the connection could not be handed over")
)

// Crowd says that too many processes hand over at once.
type ProcessLimitError struct{ Processes int }

func (e ProcessLimitError) Error() string {
	return fmt.Sprintf("%d processes of this gateway hand their clients over already; those of further ones have to connect anew; "+
		"end processes that are left over, and give each gateway a folder of its own", e.Processes)
}

// Conn is a connection that passes, with what is known of it.
type Conn struct {
	net.Conn
	Protocol string // whose client it is
	Started  bool   // the client has said who it is
	Answered bool   // and has had an answer
}

// at is the path of the socket in a folder, however long that folder's own path is.
func at(dir *os.File, name string) string { return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), name) }

// Receiver takes connections.
type Receiver struct {
	// Lend gives a descriptor for a process that hands over beside another, or an error that says what an operator can do;
	// nil: as many as the system gives.
	Reserve func(context.Context) (giveBack func(), err error)

	l  *net.UnixListener
	at os.FileInfo // its socket in the folder, which tells it from any other's
}

// Listen makes this process the one that takes connections in a folder, in place of any before it.
func Listen(folder string) (*Receiver, error) {
	dir, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	own := fmt.Sprintf("%s.%d", socket, os.Getpid())
	os.Remove(at(dir, own))
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: at(dir, own), Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the path may be another's by then
	info, err := os.Lstat(at(dir, own))
	if err == nil {
		err = os.Rename(at(dir, own), at(dir, socket))
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return &Receiver{l: l, at: info}, nil
}

// isAt says whether the socket that stands in the folder now is this receiver's.
func (r *Receiver) isAt(path string) bool {
	if r == nil {
		return false
	}
	info, err := os.Lstat(path)
	return err == nil && os.SameFile(info, r.at)
}

// Run calls take for each connection that comes, until the context ends. What take turns down with false is closed: the
// process that gave it holds it no more.
func (r *Receiver) Run(ctx context.Context, take func(Conn) bool) error {
	defer context.AfterFunc(ctx, func() { r.l.Close() })()
	var from atomic.Int32
	var group sync.WaitGroup
	defer group.Wait()
	for {
		c, err := r.l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return nil
		} else if err != nil {
			time.Sleep(passFor / 10)
			continue
		}
		giveBack, err := r.lend(ctx, int(from.Add(1)))
		if err != nil { // what was sent before this is taken; from here on the other end learns that nothing more is
			slog.Warn("fdpass_rejected", "error", err)
			c.CloseRead()
		}
		group.Go(func() {
			defer from.Add(-1)
			defer giveBack()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			defer c.Close()
			receive(c, take)
		})
	}
}

// lend gives the n-th of those that hand over now its descriptor.
func (r *Receiver) lend(ctx context.Context, n int) (giveBack func(), err error) {
	none := func() {}
	switch {
	case n > mostFrom:
		return none, ProcessLimitError{mostFrom}
	case n <= ownFrom || r.Reserve == nil:
		return none, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lendFor)
	defer cancel()
	if giveBack, err = r.Reserve(ctx); err != nil {
		return none, err
	}
	return giveBack, nil
}

// receive takes connections from one process until that ends.
func receive(from *net.UnixConn, take func(Conn) bool) {
	b, rights := make([]byte, 2+longest), make([]byte, unix.CmsgSpace(4))
	for {
		n, m, _, _, err := from.ReadMsgUnix(b, rights)
		if err != nil || n == 0 {
			return
		}
		c, err := open(rights[:m])
		if err != nil || n < 2 || b[0] != version {
			if c != nil {
				c.Close()
			}
			return
		}
		if !take(Conn{Conn: c, Protocol: string(b[2:n]), Started: b[1]&started != 0, Answered: b[1]&asked != 0}) {
			c.Close()
		}
		if _, err := from.Write([]byte{version}); err != nil {
			return
		}
	}
}

// open makes a connection of the descriptor that came. Others that came along are closed.
func open(rights []byte) (net.Conn, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	var c net.Conn
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return c, err
		}
		for _, fd := range fds {
			f := os.NewFile(uintptr(fd), "passed")
			if c == nil {
				c, err = net.FileConn(f) // a copy
			}
			f.Close()
			if err != nil {
				return nil, err
			}
		}
	}
	if c == nil {
		return nil, errors.New("no descriptor came")
	}
	return c, nil
}

// Sender hands connections over. It may be used from many goroutines.
type Sender struct {
	mu sync.Mutex
	to *net.UnixConn // nil once it has failed
}

// Dial reaches the process that takes connections in a folder. Own is this process's receiver, or nil: where the newer process could
// not listen the socket in the folder is still its own, and connections passed there would come back for ever. ErrNoReceiver says
// that there is no other.
func Dial(folder string, own *Receiver) (*Sender, error) {
	dir, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	if own.isAt(at(dir, socket)) {
		return nil, fmt.Errorf("%w: the socket in %s is this process's own", ErrNoReceiver, folder)
	}
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: at(dir, socket), Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoReceiver, err)
	}
	return &Sender{to: c}, nil
}

// Pass hands a connection over. From a nil on it is the other process's: the caller closes its own copy, and must neither
// read, write nor shut it down. ErrNotPassed says that it is still the caller's. It waits 0.3 s at most for those before it, and
// as long for the answer; one that gets none counts as handed over, as it may have been.
func (s *Sender) Send(c Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || s.to == nil || len(c.Protocol) > longest {
		return ErrNotPassed
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotPassed, err)
	}
	b := append([]byte{version, 0}, c.Protocol...)
	if c.Started {
		b[1] |= started
	}
	if c.Answered {
		b[1] |= asked
	}
	s.to.SetDeadline(time.Now().Add(passFor))
	sent := errors.New("the connection is closed")
	if err := control.Control(func(fd uintptr) { _, _, sent = s.to.WriteMsgUnix(b, syscall.UnixRights(int(fd)), nil) }); err != nil || sent != nil {
		s.drop()
		return fmt.Errorf("%w: %w", ErrNotPassed, errors.Join(err, sent))
	}
	if n, err := s.to.Read(b[:1]); err != nil || n != 1 {
		s.drop()
	}
	return nil
}

// drop gives the receiver up. s.mu is held.
func (s *Sender) drop() {
	s.to.Close()
	s.to = nil
}

// Close ends the sender.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.to != nil {
		s.drop()
	}
}
