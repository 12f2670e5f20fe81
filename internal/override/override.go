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
	longestID = 256
	mostOut   = 4096             // hosts out at once
	goneFor   = 60 * time.Second // a host off the list may still be in use for this long
)

// UnknownHost says that nobody has a database host of this id. Look it up in discovery's list: ids are compared whole.
type UnknownHost struct{ ID string }

func (e UnknownHost) Error() string {
	return fmt.Sprintf("no database host has the id %.*q; look it up in discovery's list", longestID, e.ID)
}

// TooMany says that no more hosts can be out at once. Call some back first.
type TooMany struct{ Out int }

func (e TooMany) Error() string {
	return fmt.Sprintf("%d database hosts are out already; call some back first", e.Out)
}

// Hands is the state of all hosts. Its zero value knows none. One goroutine at a time may use it.
type Hands struct {
	listed map[string]host
	out    map[string]bool
	back   map[string]time.Duration // when a host was called back
}

// host is a host as discovery told of it last.
type host struct {
	routing.Entry
	gone time.Duration // since when it is off the list; 0: it is on it
}

// Out lists the hosts that are out.
func (h *Hands) Out() []string {
	var ids []string
	for id := range h.out {
		ids = append(ids, id)
	}
	return ids
}

// Known says whether anybody has a host of this id: it is on the list, was so lately, or is out.
func (h *Hands) Known(now time.Duration, id string) bool {
	x, ok := h.listed[id]
	return h.out[id] || ok && (x.gone == 0 || now-x.gone < goneFor)
}

// Detach takes a host out, and returns what the module has to be told. Twice is the same as once.
func (h *Hands) Detach(now time.Duration, id string) ([]routing.Entry, error) {
	if !h.Known(now, id) || len(id) > longestID {
		return nil, UnknownHost{id}
	}
	return h.hold(now, id)
}

// Hold takes a host out that may come to be listed later: a process before this one has.
func (h *Hands) Hold(now time.Duration, id string) ([]routing.Entry, error) { return h.hold(now, id) }

func (h *Hands) hold(now time.Duration, id string) ([]routing.Entry, error) {
	if len(h.out) >= mostOut && !h.out[id] {
		return nil, TooMany{len(h.out)}
	}
	if h.out == nil {
		h.out, h.back = map[string]bool{}, map[string]time.Duration{}
	}
	h.out[id] = true
	delete(h.back, id)
	return h.now(id), nil
}

// Attach calls a host back, and returns what the module has to be told. One that is not out is left as it is.
func (h *Hands) Attach(now time.Duration, id string) ([]routing.Entry, error) {
	if !h.Known(now, id) {
		return nil, UnknownHost{id}
	}
	if !h.out[id] {
		return nil, nil
	}
	delete(h.out, id)
	if _, ok := h.listed[id]; !ok {
		return nil, nil
	}
	h.back[id] = now
	return h.now(id), nil
}

// Started says that a host, which may be listed later, is known to have started at a time. It is for a process that takes
// over from another, before the first list.
func (h *Hands) Started(id string, at time.Duration) {
	if h.back == nil {
		h.out, h.back = map[string]bool{}, map[string]time.Duration{}
	}
	if len(h.back) < mostOut {
		h.back[id] = max(at, h.back[id])
	}
}

// now is a host's entry as the module has to see it; none where it was never listed.
func (h *Hands) now(id string) []routing.Entry {
	x, ok := h.listed[id]
	if !ok {
		return nil
	}
	return []routing.Entry{h.seen(x.Entry)}
}

// Take notes news of the list and turns its entries, in place, into what the module has to see.
func (h *Hands) Take(now time.Duration, l routing.MemberList) routing.MemberList {
	if l.Kind == routing.ListBroken {
		return l
	}
	if h.listed == nil {
		h.listed = map[string]host{}
	}
	named := map[string]bool{}
	for i, e := range l.Entries {
		named[e.Member] = true
		l.Entries[i] = h.seen(h.note(now, e))
	}
	for id, x := range h.listed {
		if l.Kind != routing.ListPatch && !named[id] && x.gone == 0 {
			x.gone, x.Phase = now, routing.PhaseOff
			h.listed[id] = x
		}
		if x.gone != 0 && now-x.gone >= goneFor {
			delete(h.listed, id)
			delete(h.back, id)
		}
	}
	return l
}

// note keeps an entry as discovery's word. An old list does not undo a drain.
func (h *Hands) note(now time.Duration, e routing.Entry) routing.Entry {
	old, ok := h.listed[e.Member]
	x := host{Entry: e}
	if ok && old.Phase == routing.PhaseDraining && e.Phase == routing.PhaseOn && e.StartedAt <= old.StartedAt {
		x.Phase = routing.PhaseDraining
	}
	if e.Phase == routing.PhaseOff {
		if x.gone = old.gone; x.gone == 0 {
			x.gone = now
		}
	}
	if ok || e.Phase != routing.PhaseOff {
		h.listed[e.Member] = x
	}
	return x.Entry
}

// seen is an entry as the module has to see it.
func (h *Hands) seen(e routing.Entry) routing.Entry {
	switch back, ok := h.back[e.Member]; {
	case h.out[e.Member] && e.Phase == routing.PhaseOn:
		e.Phase = routing.PhaseDraining
	case ok:
		e.StartedAt = max(e.StartedAt, back)
	}
	return e
}
