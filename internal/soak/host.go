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

// host is one fake database host. It records the IDs of the requests that it executes.
type host struct {
	*fake.Host
	reservation // of the host
	checker     *checker
	uid         string
	group       int
	address     string

	down    atomic.Bool  // the host's process has ended: connections are reset
	hanging atomic.Bool  // the host accepts connections and does not answer
	action  atomic.Int32 // a fake.Act: how statements are handled

	mu          sync.Mutex
	listedState string // state in the endpoint list; empty if not listed
	bootMS      int64
}

const (
	statementDuration = 10 * time.Millisecond
	hangPollInterval  = 5 * time.Millisecond
	maxHang           = 6 * time.Second
)

// newHost starts a host; the first of a group is its primary.
func (s *scenario) newHost(group, n int) (*host, error) {
	h := &host{
		Host:        &fake.Host{Primary: n == 0},
		checker:     s.checker,
		uid:         fmt.Sprintf("db-%d-%d", group, n),
		group:       group,
		listedState: "SERVING",
	}
	h.Act = h.handleStatement
	l, err := listen()
	if err != nil {
		return nil, err
	}
	h.address = l.Addr().String()
	s.closeAtEnd(l)
	go fake.Accept(l, h.ServePostgres)
	return h, nil
}

// handleStatement executes a statement and returns how to answer it. An execution is recorded with the time at which
// the statement arrived.
func (h *host) handleStatement(id, text string, _ bool) fake.Act {
	receivedAt := time.Now()
	act := h.execute(text)
	switch act {
	case fake.Miss, fake.Reject, fake.NoCapacity, fake.InvalidStatement:
	default:
		h.checker.recordExecution(h, id, receivedAt)
	}
	return act
}

// execute waits as long as a statement takes and returns how to answer it.
func (h *host) execute(text string) fake.Act {
	time.Sleep(statementDuration)
	for end := time.Now().Add(maxHang); h.hanging.Load() && time.Now().Before(end); {
		time.Sleep(hangPollInterval)
	}
	if act := fake.Act(h.action.Load()); act != fake.Serve {
		return act
	}
	if !h.Primary && strings.Contains(text, "INSERT") {
		return fake.Miss
	}
	return fake.Serve
}

// target returns the host's entry in the endpoint list.
func (h *host) target() (t discovery.Target, listed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	role := "standby"
	if h.Primary {
		role = "primary"
	}
	target := discovery.Target{
		UID:         h.uid,
		Endpoint:    h.address,
		Zone:        "nuernberg",
		Group:       h.group,
		State:       h.listedState,
		Capacity:    1,
		BootMS:      h.bootMS,
		Replication: role,
	}
	return target, h.listedState != ""
}

// setListing changes the host's entry in the endpoint list.
func (h *host) setListing(state string, bootMS int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listedState, h.bootMS = state, bootMS
}

// bootTimeMS returns when the host's process started, in Unix milliseconds; 0 means long ago.
func (h *host) bootTimeMS() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bootMS
}

// listen opens a listener on a free loopback address.
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
