// Package framebuf reads framed messages from a connection into one buffer that grows up to a limit. It lets the goroutine
// that owns the connection wait for bytes from the peer and for a signal from other goroutines at the same time.
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

// initialSize is the size of a connection's buffer, in bytes. A buffer that has grown past it is freed once empty.
const initialSize = 4 << 10

// maxLine bounds the length of a line, in bytes.
const maxLine = 4 << 10

// ErrTooLarge reports that a message is larger than the connection's limit.
var ErrTooLarge = errors.New("message over the size limit")

// ErrBudgetExhausted reports that the budget of all connections together has no memory for a message.
var ErrBudgetExhausted = errors.New("no memory left for a message")

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection with a read buffer. One goroutine owns it and reads; any goroutine may call Wake and Close.
type Conn struct {
	net.Conn
	buf               []byte // the unread bytes are buf[readPos:writePos]
	readPos, writePos int
	limit             int
	budget            *Budget // charged for the part of buf beyond initialSize
	reserved          int     // bytes, from budget
	peerClosed        atomic.Bool
	arrivals          arrivals
	stallTimeout      time.Duration // of each read; 0: the read deadline applies

	mu     sync.Mutex
	parked bool
	woke   bool // the present Park was ended by Wake
}

// New wraps a connection whose messages have at most limit bytes.
func New(c net.Conn, limit int) *Conn { return &Conn{Conn: c, limit: limit} }

// Charge sets the budget that the buffer's growth is charged to. Release returns the charged bytes and discards unread ones.
func (c *Conn) Charge(b *Budget) { c.budget = b }

// SetStallTimeout bounds the time without a byte, in place of the read deadline, for all reads until it is set to 0. It must be 0 when
// Park is called. Only the goroutine that owns the connection may call it.
func (c *Conn) SetStallTimeout(d time.Duration) {
	c.stallTimeout = d
	if d == 0 {
		c.SetReadDeadline(time.Time{})
	}
}

// Release frees the buffer, with any unread bytes, and returns its reserved bytes to the budget. Callers outside this package
// must not read from the connection afterwards.
func (c *Conn) Release() {
	c.budget.Release(c.reserved)
	c.arrivals.reads = nil
	c.buf, c.readPos, c.writePos, c.reserved = nil, 0, 0, 0
}

// Buffered returns the number of unread bytes in the buffer.
func (c *Conn) Buffered() int { return c.writePos - c.readPos }

// Need returns the unread bytes, at least n of them, without consuming any. The slice is valid until the next call. On an
// error, the bytes that were read stay in the buffer, so that a read that was ended by a deadline can be continued later. It
// returns ErrTooLarge if n is over the connection's limit, and ErrBudgetExhausted if the budget has no memory for the bytes.
func (c *Conn) Need(n int) ([]byte, error) {
	if n > c.limit {
		return nil, fmt.Errorf("%d bytes: %w", n, ErrTooLarge)
	}
	for c.Buffered() < n {
		if err := c.fill(n); err != nil {
			return nil, err
		}
	}
	return c.buf[c.readPos:c.writePos], nil
}

// Line consumes one line and returns it without its end. It returns ErrTooLarge for a line over 4 KiB.
func (c *Conn) Line() (string, error) {
	searched := 0
	for {
		unread, err := c.Need(searched + 1)
		if err != nil {
			return "", err
		}
		if i := bytes.IndexByte(unread[searched:], '\n'); i >= 0 {
			line := strings.TrimSuffix(string(unread[:searched+i]), "\r")
			c.Skip(searched + i + 1)
			return line, nil
		}
		searched = len(unread)
		if searched >= maxLine {
			return "", fmt.Errorf("line: %w", ErrTooLarge)
		}
	}
}

// Skip consumes n bytes that Need returned. They stay valid until the next read.
func (c *Conn) Skip(n int) {
	c.readPos += n
	c.arrivals.consume(n)
}

// Detach leaves the buffer, with the n bytes that were consumed last, to the caller, so that a long message need not be copied, and
// returns the buffer's reserved bytes to the budget. It must be called before the next read. It does nothing and returns false if the
// buffer is small, has unread bytes or is much longer than n; later reads then overwrite the consumed bytes.
func (c *Conn) Detach(n int) bool {
	if len(c.buf) <= initialSize || len(c.buf) > n+n/4+initialSize || c.Buffered() > 0 {
		return false
	}
	c.Release()
	return true
}

// ArrivedAt returns when the last byte that Skip consumed arrived. A message that waits behind others arrives long before it is
// consumed. The time may be a little too early, but is never later than the read that returned the byte. It is zero before the
// first Skip.
func (c *Conn) ArrivedAt() time.Time { return c.arrivals.lastConsumed }

// fill makes room for n unread bytes in total and reads once.
func (c *Conn) fill(n int) error {
	if c.readPos == c.writePos {
		c.readPos, c.writePos = 0, 0
		if len(c.buf) > initialSize && n <= initialSize {
			c.Release()
		}
	}
	n = max(n, c.Buffered()+1)
	if n > c.limit {
		return ErrTooLarge
	}
	if err := c.ensureCapacity(n); err != nil {
		return err
	}
	if c.stallTimeout > 0 {
		c.SetReadDeadline(time.Now().Add(c.stallTimeout))
	}
	got, err := c.Conn.Read(c.buf[c.writePos:])
	c.writePos += got
	if got > 0 {
		c.arrivals.add(got, time.Now())
		return nil
	}
	return err
}

// ensureCapacity makes room for n unread bytes. If they do not fit behind readPos, it moves the unread bytes to the beginning
// of the buffer or, if n is larger than the buffer, of a larger one.
func (c *Conn) ensureCapacity(n int) error {
	if c.readPos+n <= len(c.buf) {
		return nil
	}
	to := c.buf
	if n > len(c.buf) {
		size := max(initialSize, n)
		if n == c.Buffered()+1 { // the number of bytes to come is not known
			size = max(initialSize, min(c.limit, n+n/4))
		}
		more := size - initialSize - c.reserved
		if !c.budget.Reserve(more) {
			return ErrBudgetExhausted
		}
		c.reserved += more
		to = make([]byte, size)
	}
	copy(to, c.buf[c.readPos:c.writePos])
	c.buf, c.readPos, c.writePos = to, 0, c.writePos-c.readPos
	return nil
}

// Park waits until the peer sends bytes or Wake is called, and does not wait if woken returns true. It then returns nil, and
// the caller has to check which of these it was. Park returns an error if the peer has closed the connection or the deadline
// has passed; a zero deadline never passes. The state that woken reports must be set before Wake is called.
func (c *Conn) Park(deadline time.Time, woken func() bool) error {
	c.mu.Lock()
	c.parked, c.woke = true, false
	err := c.SetReadDeadline(deadline)
	c.mu.Unlock()
	if err == nil && !woken() {
		err = c.fill(0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parked = false // from here on, a Wake must not end a later read
	if errors.Is(err, os.ErrDeadlineExceeded) && c.woke {
		return nil // an error would mean that the connection has ended or that the caller's own deadline has passed
	}
	return err
}

// Wake ends a Park. It has no effect on other reads.
func (c *Conn) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parked {
		c.woke = true
		c.SetReadDeadline(pastDeadline) // fails only on a closed connection, whose Park has ended anyway
	}
}

// Alive reports whether the peer has neither closed the connection nor sent bytes that are still unread. It guards against
// writing to a connection whose close has arrived but has not been read.
func (c *Conn) Alive() bool {
	if c.Buffered() > 0 {
		return false
	}
	quiet := true
	ok := c.control(func(fd int) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return ok && quiet
}
