package main

import (
	"net"
	"sync"
	"time"
)

// delayed is a connection over a network that takes some time one way, in both directions. Order is kept.
type delayed struct {
	net.Conn
	in, out *line
}

// line carries bytes in one direction.
type line struct {
	delay  time.Duration
	mu     sync.Mutex
	cond   *sync.Cond
	pieces []piece
	ended  bool
}

type piece struct {
	bytes []byte
	at    time.Time // when it arrives
	err   error
}

func newLine(delay time.Duration) *line {
	l := &line{delay: delay}
	l.cond = sync.NewCond(&l.mu)
	return l
}

func (l *line) put(b []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pieces = append(l.pieces, piece{append([]byte(nil), b...), time.Now().Add(l.delay), err})
	l.cond.Broadcast()
}

// take returns the next piece once it has arrived.
func (l *line) take(most int) ([]byte, error) {
	l.mu.Lock()
	for len(l.pieces) == 0 {
		if l.ended {
			l.mu.Unlock()
			return nil, net.ErrClosed
		}
		l.cond.Wait()
	}
	at := l.pieces[0].at
	l.mu.Unlock()
	time.Sleep(time.Until(at)) // one reader: the first piece stays the first
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &l.pieces[0]
	if p.err != nil {
		return nil, p.err
	}
	n := min(most, len(p.bytes))
	b := p.bytes[:n]
	p.bytes = p.bytes[n:]
	if len(p.bytes) == 0 {
		l.pieces = l.pieces[1:]
	}
	return b, nil
}

// arrived reports whether a piece has arrived and was not taken.
func (l *line) arrived() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pieces) > 0 && !time.Now().Before(l.pieces[0].at)
}

func (l *line) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.cond.Broadcast()
}

func newDelayed(c net.Conn, delay time.Duration) *delayed {
	d := &delayed{Conn: c, in: newLine(delay), out: newLine(delay)}
	go func() {
		b := make([]byte, 32<<10)
		for {
			n, err := c.Read(b)
			if n > 0 {
				d.in.put(b[:n], nil)
			}
			if err != nil {
				d.in.put(nil, err)
				return
			}
		}
	}()
	go func() {
		for {
			b, err := d.out.take(1 << 20)
			if err != nil {
				c.Close()
				return
			}
			if _, err := c.Write(b); err != nil {
				c.Close()
				return
			}
		}
	}()
	return d
}

// Read implements net.Conn.
func (d *delayed) Read(b []byte) (int, error) {
	p, err := d.in.take(len(b))
	return copy(b, p), err
}

// Write implements net.Conn. It does not wait.
func (d *delayed) Write(b []byte) (int, error) {
	d.out.put(b, nil)
	return len(b), nil
}

// Close implements net.Conn. What was written before still arrives.
func (d *delayed) Close() error {
	d.out.end()
	return nil
}

// arrived reports whether bytes of the peer have arrived and were not read.
func (d *delayed) arrived() bool { return d.in.arrived() }
