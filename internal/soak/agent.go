package soak

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cranegate/internal/discovery"
)

// directory is the state of the discovery service: the endpoint list and its revision.
type directory struct {
	mu      sync.Mutex
	rev     int64
	targets []discovery.Target
	changed chan struct{}
}

// set replaces the endpoint list and returns its revision.
func (d *directory) set(targets []discovery.Target) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed != nil {
		close(d.changed)
	}
	d.changed = make(chan struct{})
	d.rev++
	d.targets = targets
	return d.rev
}

// current returns the revision, the endpoint list and a channel that is closed at the next change.
func (d *directory) current() (int64, []discovery.Target, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rev, d.targets, d.changed
}

// agentFault is how an agent misbehaves.
type agentFault int32

const (
	agentHealthy      agentFault = iota
	agentUnresponsive            // calls are accepted and never answered
	agentUnavailable             // calls are rejected with 503
	agentResetting               // connections are reset during calls
)

// agent is one of the two discovery agents of a gateway.
type agent struct {
	gateway *gateway
	address string
	fault   atomic.Int32 // an agentFault
}

// newAgent starts an agent of a gateway. A gateway has two, so that a reload can point its watch at the other one.
func (s *scenario) newAgent(g *gateway) (*agent, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	a := &agent{gateway: g, address: l.Addr().String()}
	server := &http.Server{Handler: a}
	s.closeAtEnd(server)
	go server.Serve(l)
	return a, nil
}

// ServeHTTP answers one call. A watch names a revision and waits for a newer one.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	rev, targets, changed := a.gateway.scenario.directory.current()
	if err == nil && after >= rev && agentFault(a.fault.Load()) == agentHealthy {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		rev, targets, _ = a.gateway.scenario.directory.current()
	}
	switch agentFault(a.fault.Load()) {
	case agentUnresponsive:
		<-r.Context().Done()
		return
	case agentUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case agentResetting:
		panic(http.ErrAbortHandler)
	}
	s := discovery.Snapshot{Rev: rev, All: err != nil || after < rev, Targets: []discovery.Target{}}
	if s.All {
		s.Targets = a.gateway.proxiedTargets(targets)
	}
	text, _ := json.Marshal(s)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err == nil {
		a.gateway.scenario.checker.recordNotification(a.gateway, rev, time.Now())
	}
}
