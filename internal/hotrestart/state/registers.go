package state

import (
	"maps"
	"slices"
)

// Registers holds the registers of hosts and of lameduck. It is immutable: its methods return new values. The zero value is empty.
type Registers struct {
	clock    uint64 // the highest Seq seen
	lameduck Entry
	hosts    map[string]Entry // by id
}

// Get returns the register that a change affects, or the zero Entry if it was never set.
func (r Registers) Get(c Change) Entry {
	if c.Host == "" {
		return r.lameduck
	}
	return r.hosts[c.Host]
}

// State returns the state that the registers represent.
func (r Registers) State() State {
	s := State{Detached: map[string]int64{}, Lameduck: r.lameduck.On, Since: r.lameduck.Since}
	for id, e := range r.hosts {
		if e.On {
			s.Detached[id] = e.Since
		}
	}
	return s
}

// Prepare assigns a stamp to a change. delta contains only the changed register. next is r with its clock advanced, so that no second
// change gets the same stamp. A register that is already on retains its time. now is in Unix ns.
// Errors: ErrInvalidID, ErrFull (only for a detach; there is always capacity for changes that do not restrict), ErrClockExhausted.
func (r Registers) Prepare(c Change, node uint64, now int64) (delta, next Registers, err error) {
	if c.Host != "" || c.Detach {
		if err := checkID(c.Host); err != nil {
			return Registers{}, r, err
		}
	}
	if r.clock >= MaxSeq {
		return Registers{}, r, ErrClockExhausted
	}
	entry := Entry{On: c.Restricts(), Since: now, Stamp: Stamp{Seq: r.clock + 1, Node: node}}
	previous := r.Get(c)
	if previous.On && entry.On {
		entry.Since = previous.Since
	}
	next = r
	next.clock++
	delta.clock = next.clock
	if c.Host == "" {
		delta.lameduck = entry
		return delta, next, nil
	}
	if entry.On && !previous.On && !r.canDetach(c.Host) {
		return Registers{}, r, ErrFull
	}
	delta.hosts = map[string]Entry{c.Host: entry}
	return delta, next, nil
}

// Merge returns registers with the later entry of each register of r and o. It is commutative, associative and idempotent, and drops
// nothing. If the result would exceed the bounds, it returns r and ErrFull.
func (r Registers) Merge(o Registers) (Registers, error) {
	merged := Registers{clock: max(r.clock, o.clock), lameduck: r.lameduck, hosts: maps.Clone(r.hosts)}
	if o.lameduck.After(merged.lameduck) {
		merged.lameduck = o.lameduck
	}
	if merged.hosts == nil {
		merged.hosts = map[string]Entry{}
	}
	for id, e := range o.hosts {
		if own, ok := merged.hosts[id]; !ok || e.After(own) {
			merged.hosts[id] = e
		}
	}
	if !merged.fits(MaxHosts, MaxBytes) {
		return r, ErrFull
	}
	return merged, nil
}

// Trim drops the oldest tombstones beyond MaxTombstones, or beyond minTombstones if detached hosts need the capacity. Registers that a
// process writes must stay within MaxHosts and MaxBytes, because processes of earlier versions have the same bounds. Only a process
// that has missed minTombstones later calls could detach the host of a dropped tombstone again. A host can thus be detached by
// mistake, but never attached.
func (r Registers) Trim() Registers {
	r = r.trimTombstones(MaxTombstones)
	if !r.fits(MaxHosts-reservedRegisters, MaxBytes-reservedRegisters*(maxEntryBytes+2*MaxIDBytes)) {
		r = r.trimTombstones(minTombstones)
	}
	return r
}

// trimTombstones drops the oldest tombstones beyond maxTombstones.
func (r Registers) trimTombstones(maxTombstones int) Registers {
	var tombstones []string
	for id, e := range r.hosts {
		if !e.On {
			tombstones = append(tombstones, id)
		}
	}
	if len(tombstones) <= maxTombstones {
		return r
	}
	slices.SortFunc(tombstones, func(a, b string) int {
		if r.hosts[a].After(r.hosts[b]) {
			return 1
		}
		return -1
	})
	r.hosts = maps.Clone(r.hosts)
	for _, id := range tombstones[:len(tombstones)-maxTombstones] {
		delete(r.hosts, id)
	}
	return r
}

// Covers reports whether r contains, for each register that delta changes, that entry or a later one.
func (r Registers) Covers(delta Registers) bool {
	if delta.lameduck.After(r.lameduck) {
		return false
	}
	for id, e := range delta.hosts {
		if e.After(r.hosts[id]) {
			return false
		}
	}
	return true
}

// Equal reports whether r and o have the same registers and clock.
func (r Registers) Equal(o Registers) bool {
	return r.clock == o.clock && r.lameduck == o.lameduck && maps.Equal(r.hosts, o.hosts)
}
