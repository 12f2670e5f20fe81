package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// host is a stand-in for a database host. It begins a statement when its last byte has come.
type host struct {
	uid      string
	listener net.Listener
	mu       sync.Mutex
	primary  bool
	work     func(id, text string) time.Duration // how long a statement runs
	value    func(id string) string              // nil: valueFor
	record   *record
	onRun    func(id string)
	run      func(text string) (value string, position int64) // replaces value and the position
	lag      time.Duration                                    // of a replica's position
}

// newHost starts a host at a free port.
func newHost(uid string, primary bool, rec *record) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	h := &host{uid: uid, listener: l, primary: primary, record: rec}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go h.handle(conn)
		}
	}()
	return h
}

func (h *host) isPrimary() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.primary
}

// handle serves one connection of a gateway.
func (h *host) handle(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	if readStartup(r) != nil {
		return
	}
	out := appendReady(message(nil, 'R', "\x00\x00\x00\x00"))
	for {
		if _, err := conn.Write(out); err != nil {
			return
		}
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' {
			return
		}
		text := strings.TrimSuffix(string(body), "\x00")
		now := time.Now()
		role, bit := "standby", 0
		if h.isPrimary() {
			role, bit = "primary", 1
		}
		if text == "SHOW pressure" {
			report := fmt.Sprintf("x0=%.3f,x1=%d,util=0.10,queue=0", float64(now.Add(-h.lagNow()).UnixMilli())/1000, bit)
			out = appendReady(appendRow(nil, report))
			continue
		}
		id := field(text, "id")
		if id == "" {
			out = appendReady(appendError(nil, "08P01", "no id"))
			continue
		}
		status := message(nil, 'S', "replication_role\x00"+role+"\x00")
		if strings.Contains(text, "INSERT") && bit == 0 {
			out = appendReady(append(status, appendError(nil, "25006", "no primary")...))
			continue
		}
		h.record.line("run", "host=%s id=%s class=%s d=%s", h.uid, id, field(text, "c"), field(text, "d"))
		if h.onRun != nil {
			h.onRun(id)
		}
		if h.work != nil {
			time.Sleep(h.work(id, text))
		}
		value, position := valueFor(id), time.Now().Add(-h.lagNow()).UnixMilli()
		if h.value != nil {
			value = h.value(id)
		}
		if h.run != nil {
			value, position = h.run(text)
		}
		status = message(status, 'S', fmt.Sprintf("log_position\x00%d\x00", position))
		out = appendReady(append(status, appendRow(nil, value)...))
	}
}

// lagNow is how far this host's position is behind.
func (h *host) lagNow() time.Duration {
	if h.isPrimary() {
		return 0
	}
	return h.lag
}

// valueFor is the value that a host makes for a request.
func valueFor(id string) string { return "value of " + id }

// field returns a field of a statement's comment.
func field(text, name string) string {
	comment, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(text), "/*"), "*/")
	for _, pair := range strings.Split(comment, ",") {
		if n, v, _ := strings.Cut(strings.TrimSpace(pair), "="); n == name {
			return strings.TrimSpace(v)
		}
	}
	return ""
}
