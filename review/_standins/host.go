package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// query is one statement of a client, as a database host received it.
type query struct {
	id, class, text string
	refused         bool // the queue is full
	conn            *hostConn
}

// host is a database host.
type host struct {
	uid       string
	primary   bool
	record    *record
	delay     time.Duration // one way, between the host and the gateway
	handshake time.Duration // what a new connection takes
	lag       time.Duration // how far it is behind the primary
	most      int           // statements in hand; more are turned away; 0: no bound
	full      func() bool   // whether all statements are turned away; may be nil
	work      func(q *query) time.Duration
	// answer answers a statement after its work, or one that is turned away. It returns false to end the connection. nil: only the value
	// of the request, or the refusal.
	answer func(h *host, q *query) bool

	listener net.Listener
	mu       sync.Mutex
	runs     map[string]int // by request
	inHand   atomic.Int32
	conns    atomic.Int32
	peak     atomic.Int32
}

// hostConn is one connection to a host.
type hostConn struct {
	net.Conn
	number int
	r      *bufio.Reader
	raw    *net.TCPConn
	delay  *delayed
}

func (h *host) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.listener, h.runs = l, map[string]int{}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c.(*net.TCPConn), n)
		}
	}()
	return nil
}

func (h *host) address() string { return h.listener.Addr().String() }

func (h *host) serve(raw *net.TCPConn, number int) {
	c := &hostConn{Conn: raw, number: number, raw: raw}
	if h.delay > 0 {
		c.delay = newDelayed(raw, h.delay)
		c.Conn = c.delay
	}
	defer c.Close()
	n := h.conns.Add(1)
	defer h.conns.Add(-1)
	if n > h.peak.Load() {
		h.peak.Store(n)
	}
	c.r = bufio.NewReader(c.Conn)
	if readStartup(c.r) != nil {
		return
	}
	time.Sleep(h.handshake)
	out := appendMessage(nil, 'R', "\x00\x00\x00\x00")
	if _, err := c.Write(appendReady(out)); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(c.r)
		if err != nil || kind != 'Q' {
			return
		}
		if !h.handle(c, string(body[:max(0, len(body)-1)])) {
			return
		}
	}
}

// handle answers one statement. It returns false to end the connection.
func (h *host) handle(c *hostConn, text string) bool {
	switch text {
	case "SHOW pressure":
		x1 := 0
		if h.primary {
			x1 = 1
		}
		report := fmt.Sprintf("x0=%.3f,x1=%d,load_share=0.5,depth=0", float64(time.Now().Add(-h.lag).UnixMilli())/1000, x1)
		_, err := c.Write(appendReady(appendRow(nil, report)))
		return err == nil
	case "SELECT 1":
		_, err := c.Write(appendReady(appendRow(nil, "1")))
		return err == nil
	}
	q := &query{id: commentField(text, "id"), class: commentField(text, "c"), text: text, conn: c}
	if q.id == "" {
		h.record.add(h.uid, "statement without an id: %.80q", text)
		c.Write(appendReady(appendError(nil, "08P01", "no id")))
		return false
	}
	if q.class == "zusage" && !h.primary {
		_, err := c.Write(h.end(appendError(nil, "25006", "not the primary")))
		return err == nil
	}
	if h.most > 0 {
		defer h.inHand.Add(-1)
		q.refused = h.inHand.Add(1) > int32(h.most)
	}
	if h.full != nil && h.full() {
		q.refused = true
	}
	if q.refused {
		h.record.add(h.uid, "turns away id=%s c=%s conn=%d", q.id, q.class, c.number)
		return h.reply(q)
	}
	h.mu.Lock()
	h.runs[q.id]++
	h.mu.Unlock()
	h.record.add(h.uid, "begins id=%s c=%s d=%s conn=%d", q.id, q.class, commentField(text, "d"), c.number)
	if h.work != nil {
		time.Sleep(h.work(q))
	}
	return h.reply(q)
}

// reply answers a statement. It returns false to end the connection.
func (h *host) reply(q *query) bool {
	if h.answer != nil {
		return h.answer(h, q)
	}
	_, err := q.conn.Write(h.message(q))
	h.record.add(h.uid, "answers id=%s conn=%d", q.id, q.conn.number)
	return err == nil
}

// message is the good answer to a statement: its value, or the refusal.
func (h *host) message(q *query) []byte {
	if q.refused {
		return h.end(appendError(nil, "53300", "queue full"))
	}
	return h.end(appendRow(nil, valueOf(q.id)))
}

// ran returns how often a request was begun here.
func (h *host) ran(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// valueOf is the value that a host makes for a request.
func valueOf(id string) string { return "value made for " + id }

// end appends what follows a result or an error.
func (h *host) end(b []byte) []byte {
	role := "standby"
	if h.primary {
		role = "primary"
	}
	b = appendParameter(b, "replication_role", role)
	b = appendParameter(b, "log_position", strconv.FormatInt(time.Now().Add(-h.lag).UnixMilli(), 10))
	return appendReady(b)
}

// waiting reports whether something of the gateway's waits on the connection, or the gateway has closed it.
func (c *hostConn) waiting() bool {
	if c.r.Buffered() > 0 || c.delay != nil && c.delay.arrived() {
		return true
	}
	if c.delay != nil {
		return false // what has reached the socket only is still on its way
	}
	unread := false
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err != syscall.EAGAIN
	})
	return unread
}
