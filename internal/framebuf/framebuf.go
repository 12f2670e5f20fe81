// Package framebuf reads framed messages from a connection into one buffer that grows up to a bound, and lets
// the goroutine that owns the connection wait for its peer and for its own mailbox at once.
package framebuf

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// firstSize is what a connection's buffer takes at first; a buffer grown past it is given back once empty.
const firstSize = 4 << 10

// ErrTooLarge says that a message does not fit the connection's bound.
var ErrTooLarge = errors.New("message over the size limit")

// ErrBudgetExhausted says that the budget of all connections together has no room for a message.
var ErrBudgetExhausted = errors.New("no memory left for a message")

var past = time.Unix(1, 0)

// Budget bounds what many connections keep together. A nil one bounds nothing.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of some bytes.
func NewBudget(n int64) *Budget {
	b := &Budget{}
	b.left.Store(n)
	return b
}

// Take takes bytes out of the budget, or says that there are not as many left.
func (b *Budget) Reserve(n int) bool {
	if b == nil || b.left.Add(int64(-n)) >= 0 {
		return true
	}
	b.left.Add(int64(n))
	return false
}

// Give gives bytes back.
func (b *Budget) Release(n int) {
	if b != nil {
		b.left.Add(int64(n))
	}
}

// Conn is a connection with a read buffer. One goroutine owns it and reads; Wake and Close may come from any.
type Conn struct {
	net.Conn
	buf    []byte // unread bytes are buf[r:w]
	r, w   int
	limit  int
	budget *Budget // pays for buf past its first size
	taken  int
	left   atomic.Bool // Left has said yes
	came   arrivals

	mu     sync.Mutex
	parked bool
	woke   bool // the present Park was ended by Wake
}

// New wraps a connection whose messages are limited to a size.
func New(c net.Conn, limit int) *Conn { return &Conn{Conn: c, limit: limit} }

// Charge has a budget pay for the buffer where it grows. Release ends that and drops what is unread.
func (c *Conn) Charge(b *Budget) { c.budget = b }

// Release gives back what the buffer has taken; the connection reads no more.
func (c *Conn) Release() {
	c.budget.Release(c.taken)
	c.came.reads = nil
	c.buf, c.r, c.w, c.taken = nil, 0, 0, 0
}

// Buffered is the number of unread bytes in hand.
func (c *Conn) Buffered() int { return c.w - c.r }

// Need returns the unread bytes, at least n of them, without consuming any. The slice holds until the next
// call. An error leaves what was read in place, so a read cut off by a deadline goes on later.
func (c *Conn) Need(n int) ([]byte, error) {
	if n > c.limit {
		return nil, fmt.Errorf("%d bytes: %w", n, ErrTooLarge)
	}
	for c.Buffered() < n {
		if err := c.fill(n); err != nil {
			return nil, err
		}
	}
	return c.buf[c.r:c.w], nil
}

// Line consumes one line of at most 4 KiB and returns it without its end.
func (c *Conn) Line() (string, error) {
	const most = 4 << 10
	for seen := 0; ; {
		b, err := c.Need(seen + 1)
		if err != nil {
			return "", err
		}
		if i := bytes.IndexByte(b[seen:], '\n'); i >= 0 {
			s := strings.TrimSuffix(string(b[:seen+i]), "\r")
			c.Skip(seen + i + 1)
			return s, nil
		}
		if seen = len(b); seen >= most {
			return "", fmt.Errorf("line: %w", ErrTooLarge)
		}
	}
}

// Skip consumes n bytes that Need returned. They stay valid until the next read.
func (c *Conn) Skip(n int) {
	c.r += n
	c.came.skip(n)
}

// Came is when the last byte that Skip consumed had come, as far as a read told: a message that stands behind others came
// before its turn. It may be taken for a little older than it is, never for younger than the read that brought it; zero before
// the first.
func (c *Conn) ArrivedAt() time.Time { return c.came.last }

// fill reads once, after making room for n unread bytes in all.
func (c *Conn) fill(n int) error {
	if c.r == c.w {
		if c.r, c.w = 0, 0; len(c.buf) > firstSize && n <= firstSize {
			c.Release()
		}
	}
	if n = max(n, c.Buffered()+1); n > c.limit {
		return ErrTooLarge
	}
	if c.r+n > len(c.buf) {
		to := c.buf
		if n > len(c.buf) {
			size := max(firstSize, min(c.limit, n+n/4))
			if more := size - firstSize - c.taken; !c.budget.Reserve(more) {
				return ErrBudgetExhausted
			} else {
				c.taken += more
			}
			to = make([]byte, size)
		}
		copy(to, c.buf[c.r:c.w])
		c.buf, c.r, c.w = to, 0, c.w-c.r
	}
	got, err := c.Conn.Read(c.buf[c.w:])
	c.w += got
	if got > 0 {
		c.came.add(got, time.Now())
		return nil
	}
	return err
}

// Park waits until the peer sends, Wake is called, or woken holds: those return nil, and the caller looks what it
// was. It returns an error where the peer has closed or the time has passed; a zero time never does. What woken
// tells must be set before Wake is called.
func (c *Conn) Park(until time.Time, woken func() bool) error {
	c.mu.Lock()
	c.parked, c.woke = true, false
	err := c.SetReadDeadline(until)
	c.mu.Unlock()
	if err == nil && !woken() {
		err = c.fill(0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parked = false // a Wake that comes from now on must not cut a later read
	if errors.Is(err, os.ErrDeadlineExceeded) && c.woke {
		return nil // never an error: whoever waits for two things would take the one for the end of the other
	}
	return err
}

// Wake ends a Park. It does nothing to any other read.
func (c *Conn) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parked {
		c.woke = true
		c.SetReadDeadline(past) // fails only on a closed connection, whose Park has ended
	}
}

// Alive says whether the peer has neither closed nor sent anything since the last read. It guards against
// writing to a connection whose close has come but was not read yet.
func (c *Conn) Alive() bool {
	if c.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
	})
	return err == nil && quiet
}
