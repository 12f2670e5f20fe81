package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["session"] = sessionsInUpgrade }

// replicaLag is how far the replicas are behind. They answer as quickly as ever.
const replicaLag = 4 * time.Second

// database is the data of a group: all commits of each key, the oldest first.
type database struct {
	mu      sync.Mutex
	commits map[string][]commit
}

// commit is one write. Its position is a Unix time in milliseconds, rounded up.
type commit struct {
	position int64
	version  int
}

// write commits a version of a key, and returns the commit's position.
func (d *database) write(key string, version int, now time.Time) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	position := now.Add(time.Millisecond - 1).UnixMilli()
	d.commits[key] = append(d.commits[key], commit{position, version})
	return position
}

// read returns the version of a key as of a position, 0 for none.
func (d *database) read(key string, position int64) (version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.commits[key] {
		if c.position <= position {
			version = c.version
		}
	}
	return version
}

// answer runs a statement at a host: a write at the primary, or a read of what the host has applied.
func (d *database) answer(h *host, text string) (value string, position int64) {
	_, rest, _ := strings.Cut(text, "'")
	key, rest, _ := strings.Cut(rest, "'")
	now := time.Now()
	if _, hex, ok := strings.Cut(rest, `'\x`); ok {
		hex, _, _ = strings.Cut(hex, "'")
		version, _ := strconv.ParseInt(hex, 16, 32)
		return strconv.Itoa(int(version)), d.write(key, int(version), now)
	}
	position = now.UnixMilli()
	if !h.isPrimary() {
		position = now.Add(-replicaLag).UnixMilli()
	}
	return strconv.Itoa(d.read(key, position)), position
}

// session is one client with a session of its own.
type session struct {
	number  int
	key     string
	address string
	record  *record
	conn    *client
	written int // the last version whose write was served
}

// ask sends one request, on a new connection where the old one has ended between requests, and returns the value, "" if not served.
func (s *session) ask(text, what string) string {
	for range 3 {
		if s.conn == nil {
			c, err := dial(s.address)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			s.conn = c
		}
		s.conn.SetDeadline(time.Now().Add(4 * time.Second))
		s.record.line("sent", "session=%d %s id=%s", s.number, what, field(text, "id"))
		if err := s.conn.query(text); err == nil {
			a, err := s.conn.answer()
			if err == nil {
				s.record.line("answer", "session=%d %s %s value=%q", s.number, what, a, a.value)
				return a.value
			}
		}
		s.record.line("ended", "session=%d", s.number)
		s.conn.Close()
		s.conn = nil
	}
	return ""
}

// write writes the next version.
func (s *session) write() {
	version := s.written + 1
	text := fmt.Sprintf(`/* id=%s,c=zusage,d=2000,cluster=0 */ INSERT INTO records (k, v) VALUES ('%s', '\x%02x') RETURNING v`, newID(),
		s.key, version)
	if s.ask(text, "write") == strconv.Itoa(version) {
		s.written = version
	}
}

// read reads the session's key and reports whether it was served, and served without the session's last write.
func (s *session) read() (served, stale bool) {
	written := s.written
	value := s.ask(fmt.Sprintf("/* id=%s,c=eigener-antrag,d=2500,cluster=0 */ SELECT v FROM records WHERE k = '%s'", newID(), s.key), "read")
	version, err := strconv.Atoi(value)
	if err != nil {
		return false, false
	}
	if version < written {
		s.record.line("stale", "session=%d read=%d written=%d", s.number, version, written)
	}
	return true, version < written
}

// sessionsInUpgrade starts a new version of the gateway beside the old one while sessions write and read.
func sessionsInUpgrade(rec *record) bool {
	data := &database{commits: map[string][]commit{}}
	_, agent := group(rec, func(h *host) {
		h.work = func(string, string) time.Duration { return 87 * time.Millisecond }
		h.run = func(text string) (string, int64) { return data.answer(h, text) }
		h.lag = replicaLag
	})
	s := settings()
	domain := s["domain"].(map[string]any)
	domain["guards"], domain["writeMarks"] = "none", "remembered"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		cannotRun(err)
	}
	listen := listener.Addr().String()
	listener.Close()
	shared := filepath.Join(temporary, "shared")
	if err := os.Mkdir(shared, 0o700); err != nil {
		cannotRun(err)
	}
	start := func(name string) *gateway {
		g := startGateway(gatewayOptions{name: name, agent: agent, settings: s, log: "info", listen: listen, dir: shared, socket: socket}, rec)
		g.awaitReady()
		rec.line("ready", "gateway=%s", name)
		return g
	}
	old := start("old")
	time.Sleep(time.Second)
	var sessions []*session
	for i := range 12 {
		sessions = append(sessions, &session{number: i, key: newID(), address: listen, record: rec})
	}
	all := func(f func(*session)) {
		var wait sync.WaitGroup
		for _, s := range sessions {
			wait.Go(func() { f(s) })
		}
		wait.Wait()
	}
	served, stale := 0, 0
	var mu sync.Mutex
	reads := func() {
		all(func(s *session) {
			ok, old := s.read()
			mu.Lock()
			defer mu.Unlock()
			if ok {
				served++
			}
			if old {
				stale++
			}
		})
	}
	all((*session).write)
	reads()
	before := stale
	if trouble {
		start("new")
	}
	time.Sleep(500 * time.Millisecond)
	for range 3 {
		reads()
		time.Sleep(200 * time.Millisecond)
	}
	if trouble {
		rec.line("signal", "SIGTERM to the old process")
		old.cmd.Process.Signal(syscall.SIGTERM)
	}
	rec.line("total", "reads=%d stale=%d stale_before_the_upgrade=%d", served, stale, before)
	fmt.Printf("session reads served %d, without the session's own write %d (before the upgrade %d)\n", served, stale, before)
	if served == 0 {
		cannotRun(fmt.Errorf("no read was served"))
	}
	return stale > 0
}
