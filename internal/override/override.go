// Package override keeps the database hosts that staff have taken out of use (detached), on top of discovery's endpoint list. It does
// no I/O and reads no clock: lists and times are arguments, and changes for the router are returned as endpoints.
//
// The router sees a detached host as draining, so that the checks that enforce a drain also apply to a detached host. A host that is
// attached again counts as started at that moment, because staff may have restarted it while it was detached. If they have not, it
// only gets a little less load for a while than it could take.
package override

import (
	"fmt"
	"time"

	"cranegate/routing"
)

const (
	maxIDBytes       = 256
	maxDetached      = 4096             // hosts at once
	removedRetention = 60 * time.Second // how long a host that was removed from the list may still be in use
)

// UnknownHostError reports that no database host has the id. The id must equal one in discovery's list; a part of it is not enough.
type UnknownHostError struct{ ID string }

// Error implements the error interface.
func (e UnknownHostError) Error() string {
	return fmt.Sprintf("no database host has the id %.*q; look it up in discovery's list", maxIDBytes, e.ID)
}

// LimitError reports that the maximum number of hosts is detached already. Some must be attached first.
type LimitError struct{ Detached int }

// Error implements the error interface.
func (e LimitError) Error() string {
	return fmt.Sprintf("%d database hosts are out already; call some back first", e.Detached)
}

// Overrides holds the endpoints and overrides of all hosts. The zero value has no hosts. It is not safe for use by several goroutines
// at once.
type Overrides struct {
	listed     map[string]host
	detached   map[string]bool
	attachedAt map[string]time.Duration // when hosts were attached again, or started according to SetStarted
}

// host is a host as discovery listed it last.
type host struct {
	routing.Endpoint
	removedAt time.Duration // 0 if it is listed
}

// recentlyRemoved reports whether a host off the list may still be in use.
func (h host) recentlyRemoved(now time.Duration) bool { return now-h.removedAt < removedRetention }

// Detached returns the ids of the hosts that are detached, in no order.
func (o *Overrides) Detached() []string {
	var ids []string
	for id := range o.detached {
		ids = append(ids, id)
	}
	return ids
}

// Known reports whether a host with this id is listed, was listed within the last minute, or is detached.
func (o *Overrides) Known(now time.Duration, id string) bool {
	if o.detached[id] {
		return true
	}
	h, ok := o.listed[id]
	return ok && (h.removedAt == 0 || h.recentlyRemoved(now))
}

// Detach takes a host out of use, and returns its changed endpoint for the router, if any. It is idempotent. It returns an
// UnknownHostError or a LimitError.
func (o *Overrides) Detach(now time.Duration, id string) ([]routing.Endpoint, error) {
	if !o.Known(now, id) || len(id) > maxIDBytes {
		return nil, UnknownHostError{id}
	}
	return o.detach(id)
}

// DetachUnlisted takes a host out of use even if it is not listed yet, for example one that an earlier process has detached.
func (o *Overrides) DetachUnlisted(_ time.Duration, id string) ([]routing.Endpoint, error) {
	return o.detach(id)
}

func (o *Overrides) detach(id string) ([]routing.Endpoint, error) {
	if len(o.detached) >= maxDetached && !o.detached[id] {
		return nil, LimitError{len(o.detached)}
	}
	o.init()
	o.detached[id] = true
	delete(o.attachedAt, id)
	return o.current(id), nil
}

// init makes the maps of a zero value.
func (o *Overrides) init() {
	if o.attachedAt == nil {
		o.detached = map[string]bool{}
		o.attachedAt = map[string]time.Duration{}
	}
}

// Attach returns a detached host to use, and returns its changed endpoint for the router, if any. It does nothing to a host that is not
// detached, and returns an UnknownHostError for a host that is not known.
func (o *Overrides) Attach(now time.Duration, id string) ([]routing.Endpoint, error) {
	if !o.Known(now, id) {
		return nil, UnknownHostError{id}
	}
	if !o.detached[id] {
		return nil, nil
	}
	delete(o.detached, id)
	if _, ok := o.listed[id]; !ok {
		return nil, nil
	}
	o.attachedAt[id] = now
	return o.current(id), nil
}

// SetStarted records when a host started. The host need not be listed yet. A process that takes over from another calls it
// before the first list.
func (o *Overrides) SetStarted(id string, at time.Duration) {
	o.init()
	if len(o.attachedAt) < maxDetached {
		o.attachedAt[id] = max(at, o.attachedAt[id])
	}
}

// current returns a host's endpoint as the router has to see it, or nothing if it was never listed.
func (o *Overrides) current(id string) []routing.Endpoint {
	h, ok := o.listed[id]
	if !ok {
		return nil
	}
	return []routing.Endpoint{o.overridden(h.Endpoint)}
}

// Apply records an update of discovery's list, and replaces its endpoints, in place, by what the router has to see.
func (o *Overrides) Apply(now time.Duration, l routing.EndpointList) routing.EndpointList {
	if l.Kind == routing.EndpointListFailed {
		return l
	}
	if o.listed == nil {
		o.listed = map[string]host{}
	}
	inList := map[string]bool{}
	for i, endpoint := range l.Endpoints {
		inList[endpoint.Member] = true
		l.Endpoints[i] = o.overridden(o.record(now, endpoint))
	}
	for id, h := range o.listed {
		if l.Kind != routing.EndpointListPatch && !inList[id] && h.removedAt == 0 {
			h.removedAt = now
			h.Phase = routing.PhaseRemoved
			o.listed[id] = h
		}
		if h.removedAt != 0 && !h.recentlyRemoved(now) {
			delete(o.listed, id)
			delete(o.attachedAt, id)
		}
	}
	return l
}

// record records an endpoint as discovery lists it, and returns it. An older list does not undo a drain: the endpoint serves again
// only with a later start.
func (o *Overrides) record(now time.Duration, endpoint routing.Endpoint) routing.Endpoint {
	old, known := o.listed[endpoint.Member]
	h := host{Endpoint: endpoint}
	if known && old.Phase == routing.PhaseDraining && endpoint.Phase == routing.PhaseServing && endpoint.StartedAt <= old.StartedAt {
		h.Phase = routing.PhaseDraining
	}
	if endpoint.Phase == routing.PhaseRemoved {
		h.removedAt = old.removedAt
		if h.removedAt == 0 {
			h.removedAt = now
		}
	}
	if known || endpoint.Phase != routing.PhaseRemoved {
		o.listed[endpoint.Member] = h
	}
	return h.Endpoint
}

// overridden returns an endpoint as the router has to see it.
func (o *Overrides) overridden(endpoint routing.Endpoint) routing.Endpoint {
	if o.detached[endpoint.Member] && endpoint.Phase == routing.PhaseServing {
		endpoint.Phase = routing.PhaseDraining
		return endpoint
	}
	if attachedAt, ok := o.attachedAt[endpoint.Member]; ok {
		endpoint.StartedAt = max(endpoint.StartedAt, attachedAt)
	}
	return endpoint
}
