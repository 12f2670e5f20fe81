package fake

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cranegate/internal/discovery"
)

// Discovery is a fake discovery service. It answers a poll with the complete endpoint list, and a
// watch with the complete list once there is a newer one, or with an empty answer when the watch times out.
type Discovery struct {
	mu      sync.Mutex
	rev     int64
	targets []discovery.Target
	changed chan struct{}
}

// Set replaces the endpoint list.
func (d *Discovery) Set(targets []discovery.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed != nil {
		close(d.changed)
	}
	d.changed = make(chan struct{})
	d.rev++
	d.targets = append([]discovery.Target(nil), targets...)
}

// ServeHTTP answers one poll or watch. A watch names a revision and waits for a list that is newer.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	d.mu.Lock()
	if err == nil && after >= d.rev {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		d.mu.Lock()
	}
	s := discovery.Snapshot{Rev: d.rev, All: err != nil || after < d.rev, Targets: d.targets}
	d.mu.Unlock()
	if !s.All {
		s.Targets = []discovery.Target{}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// Accept accepts connections until the listener is closed and serves each in a new goroutine.
func Accept(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}
