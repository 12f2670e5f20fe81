// Package override holds which database hosts staff have taken out of use, beside what discovery says of them. It is pure:
// lists and time are handed in, and what the module has to be told comes back as entries.
//
// A host that is out reaches the module as draining, so that the gate that keeps drains keeps this too. One that is
// called back is taken as started at that moment, as staff restart hosts meanwhile: one that is taken for colder than it
// is only earns a little less.
package override

import (
	"fmt"
	"time"

	"cranegate/routing"
)

const (
	maxIDBytes = 256
	maxDetached   = 4096             // hosts out at once
	removedRetention   = 60 * time.Second // a host off the list may still be in use for this long
)

// UnknownHostError says that nobody has a database host of this id. Look it up in discovery's list: ids are compared whole.
type UnknownHostError struct{ ID string }

func (e UnknownHostError) Error() string {
	return fmt.Sprintf("no database host has the id %.*q; look it up in discovery's list", maxIDBytes, e.ID)
}

// LimitError says that no more hosts can be out at once. Call some back first.
type LimitError struct{ Detached int }

func (e LimitError) Error() string {
	return fmt.Sprintf("%d database hosts are out already; call some back first", e.Detached)
}

// Hands is the state of all hosts. Its zero value knows none. One goroutine at a time may use it.
type Overrides struct {
	listed map[string]host
	detached    map[string]bool
	attachedAt   map[string]time.Duration // when a host was called back
}

// host is a host as discovery told of it last.
type host struct {
	routing.Endpoint
	removedAt time.Duration // since when it is off the list; 0: it is on it
}

// Out lists the hosts that are out.
func (h *Overrides) Detached() []string {
	var ids []string
	for id := range h.detached {
		ids = append(ids, id)
	}
	return ids
}

// Known says whether anybody has a host of this id: it is on the list, was so lately, or is out.
func (h *Overrides) Known(now time.Duration, id string) bool {
	x, ok := h.listed[id]
	return h.detached[id] || ok && (x.removedAt == 0 || now-x.removedAt < removedRetention)
}

// Detach takes a host out, and returns what the module has to be told. Twice is the same as once.
func (h *Overrides) Detach(now time.Duration, id string) ([]routing.Endpoint, error) {
	if !h.Known(now, id) || len(id) > maxIDBytes {
		return nil, UnknownHostError{id}
	}
	return h.detach(now, id)
}

// Hold takes a host out that may come to be listed later: a process before this one has.
func (h *Overrides) DetachUnlisted(now time.Duration, id string) ([]routing.Endpoint, error) {
	return h.detach(now, id)
}

func (h *Overrides) detach(now time.Duration, id string) ([]routing.Endpoint, error) {
	if len(h.detached) >= maxDetached && !h.detached[id] {
		return nil, LimitError{len(h.detached)}
	}
	if h.detached == nil {
		h.detached, h.attachedAt = map[string]bool{}, map[string]time.Duration{}
	}
	h.detached[id] = true
	delete(h.attachedAt, id)
	return h.current(id), nil
}

// Attach calls a host back, and returns what the module has to be told. One that is not out is left as it is.
func (h *Overrides) Attach(now time.Duration, id string) ([]routing.Endpoint, error) {
	if !h.Known(now, id) {
		return nil, UnknownHostError{id}
	}
	if !h.detached[id] {
		return nil, nil
	}
	delete(h.detached, id)
	if _, ok := h.listed[id]; !ok {
		return nil, nil
	}
	h.attachedAt[id] = now
	return h.current(id), nil
}

// Started says that a host, which may be listed later, is known to have started at a time. It is for a process that takes
// over from another, before the first list.
func (h *Overrides) SetStarted(id string, at time.Duration) {
	if h.attachedAt == nil {
		h.detached, h.attachedAt = map[string]bool{}, map[string]time.Duration{}
	}
	if len(h.attachedAt) < maxDetached {
		h.attachedAt[id] = max(at, h.attachedAt[id])
	}
}

// now is a host's entry as the module has to see it; none where it was never listed.
func (h *Overrides) current(id string) []routing.Endpoint {
	x, ok := h.listed[id]
	if !ok {
		return nil
	}
	return []routing.Endpoint{h.override(x.Endpoint)}
}

// Take notes news of the list and turns its entries, in place, into what the module has to see.
func (h *Overrides) Apply(now time.Duration, l routing.EndpointList) routing.EndpointList {
	if l.Kind == routing.EndpointListFailed {
		return l
	}
	if h.listed == nil {
		h.listed = map[string]host{}
	}
	named := map[string]bool{}
	for i, e := range l.Endpoints {
		named[e.Member] = true
		l.Endpoints[i] = h.override(h.record(now, e))
	}
	for id, x := range h.listed {
		if l.Kind != routing.EndpointListPatch && !named[id] && x.removedAt == 0 {
			x.removedAt, x.Phase = now, routing.PhaseRemoved
			h.listed[id] = x
		}
		if x.removedAt != 0 && now-x.removedAt >= removedRetention {
			delete(h.listed, id)
			delete(h.attachedAt, id)
		}
	}
	return l
}

// note keeps an entry as discovery's word. An old list does not undo a drain.
func (h *Overrides) record(now time.Duration, e routing.Endpoint) routing.Endpoint {
	old, ok := h.listed[e.Member]
	x := host{Endpoint: e}
	if ok && old.Phase == routing.PhaseDraining && e.Phase == routing.PhaseServing && e.StartedAt <= old.StartedAt {
		x.Phase = routing.PhaseDraining
	}
	if e.Phase == routing.PhaseRemoved {
		if x.removedAt = old.removedAt; x.removedAt == 0 {
			x.removedAt = now
		}
	}
	if ok || e.Phase != routing.PhaseRemoved {
		h.listed[e.Member] = x
	}
	return x.Endpoint
}

// seen is an entry as the module has to see it.
func (h *Overrides) override(e routing.Endpoint) routing.Endpoint {
	switch back, ok := h.attachedAt[e.Member]; {
	case h.detached[e.Member] && e.Phase == routing.PhaseServing:
		e.Phase = routing.PhaseDraining
	case ok:
		e.StartedAt = max(e.StartedAt, back)
	}
	return e
}
