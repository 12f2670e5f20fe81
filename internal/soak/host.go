package soak

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
)

// host is one fake database host. What it runs it counts by the requests' ids.
type host struct {
	*fake.Host
	judge   *judge
	uid     string
	group   int
	address string

	down atomic.Bool  // its process is gone: connections are reset
	hang atomic.Bool  // it accepts and does nothing
	act  atomic.Int32 // what it makes of statements: a standin.Act

	mu     sync.Mutex
	state  string // as discovery lists it; empty: it is off the list
	bootMS int64
	busy   bool // a trouble has it
}

const (
	workFor  = 10 * time.Millisecond // a statement takes it so long
	hangLook = 5 * time.Millisecond
	hangMost = 6 * time.Second
)

// newHost starts a host; the first of a group is its primary.
func (s *site) newHost(group, n int) (*host, error) {
	h := &host{Host: &fake.Host{Primary: n == 0}, judge: s.judge, uid: fmt.Sprintf("db-%d-%d", group, n), group: group, state: "SERVING"}
	h.Act = h.decide
	l, err := listen()
	if err != nil {
		return nil, err
	}
	h.address = l.Addr().String()
	s.closeWith(l)
	go fake.Accept(l, h.ServePostgres)
	return h, nil
}

// decide works on a statement and says what becomes of it. What runs is noted as of when it came.
func (h *host) decide(id, text string, _ bool) fake.Act {
	came := time.Now()
	act := h.work(text)
	switch act {
	case fake.Miss, fake.Reject, fake.NoCapacity, fake.InvalidStatement:
	default:
		h.judge.ran(h, id, came)
	}
	return act
}

// work takes its time, and says what becomes of a statement.
func (h *host) work(text string) fake.Act {
	time.Sleep(workFor)
	for end := time.Now().Add(hangMost); h.hang.Load() && time.Now().Before(end); {
		time.Sleep(hangLook)
	}
	if act := fake.Act(h.act.Load()); act != fake.Serve {
		return act
	}
	if !h.Primary && strings.Contains(text, "INSERT") {
		return fake.Miss
	}
	return fake.Serve
}

// target is the host's entry in the list.
func (h *host) target() (t discovery.Target, listed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	role := "standby"
	if h.Primary {
		role = "primary"
	}
	return discovery.Target{UID: h.uid, Endpoint: h.address, Zone: "nuernberg", Group: h.group, State: h.state, Capacity: 1, BootMS: h.bootMS,
		Replication: role}, h.state != ""
}

// list changes how discovery lists the host.
func (h *host) list(state string, bootMS int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.bootMS = state, bootMS
}

// boot is when the host's process started, in Unix milliseconds; 0: long ago.
func (h *host) boot() int64 { h.mu.Lock(); defer h.mu.Unlock(); return h.bootMS }

// take reserves the host for one trouble, if none has it.
func (h *host) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy {
		return false
	}
	h.busy = true
	return true
}

func (h *host) release() { h.mu.Lock(); defer h.mu.Unlock(); h.busy = false }

// listen opens a listener on a loopback address of its own.
func listen() (*net.TCPListener, error) {
	address, err := fake.FreeAddress()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	return l.(*net.TCPListener), nil
}
