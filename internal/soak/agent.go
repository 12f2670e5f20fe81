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

// directory is discovery's own state: the list and its version.
type directory struct {
	mu      sync.Mutex
	rev     int64
	targets []discovery.Target
	changed chan struct{}
}

// set changes the list, and returns its version.
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

// now is the list, its version, and what is closed at the next change.
func (d *directory) now() (int64, []discovery.Target, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rev, d.targets, d.changed
}

// agentFault is what is wrong with an agent.
type agentFault int32

const (
	agentGood   agentFault = iota
	agentSilent            // calls are taken and never answered
	agentBusy              // calls are turned away with 503
	agentCut               // connections are reset under calls
)

// agent is discovery's agent beside one gateway.
type agent struct {
	gateway *gateway
	address string
	fault   atomic.Int32 // an agentFault
}

// newAgent starts an agent. A gateway has two, so that its watch can be moved.
func (s *site) newAgent(g *gateway) (*agent, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	a := &agent{gateway: g, address: l.Addr().String()}
	server := &http.Server{Handler: a}
	s.closeWith(server)
	go server.Serve(l)
	return a, nil
}

// ServeHTTP answers one call; a watch waits for something newer than its version.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	rev, targets, changed := a.gateway.site.directory.now()
	if err == nil && after >= rev && agentFault(a.fault.Load()) == agentGood {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		rev, targets, _ = a.gateway.site.directory.now()
	}
	switch agentFault(a.fault.Load()) {
	case agentSilent:
		<-r.Context().Done()
		return
	case agentBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case agentCut:
		panic(http.ErrAbortHandler)
	}
	s := discovery.Snapshot{Rev: rev, All: err != nil || after < rev, Targets: []discovery.Target{}}
	if s.All {
		s.Targets = a.gateway.behindProxies(targets)
	}
	text, _ := json.Marshal(s)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err == nil {
		a.gateway.site.judge.told(a.gateway, rev, time.Now())
	}
}
