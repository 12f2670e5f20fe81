package state

import (
	"maps"
	"slices"
)

// Registers is a value: its methods change nothing and give new ones. The zero value is empty.
type Registers struct {
	clock uint64 // the highest Seq seen
	lame  Entry
	hosts map[string]Entry
}

// Get returns the register that a change is about; the zero Entry if it was never set.
func (r Registers) Get(c Change) Entry {
	if c.Host == "" {
		return r.lame
	}
	return r.hosts[c.Host]
}

// State says what holds.
func (r Registers) State() State {
	s := State{Out: map[string]int64{}, Lameduck: r.lame.On, Since: r.lame.Since}
	for id, e := range r.hosts {
		if e.On {
			s.Out[id] = e.Since
		}
	}
	return s
}

// Reserve gives a change its stamp. delta holds that one register alone; next is r with its clock moved on, so that
// no second change gets this stamp. A host that is out already keeps its time. now is in Unix ns.
// Errors: ErrID, ErrFull (bans only: what widens always has room), ErrClock.
func (r Registers) Reserve(c Change, node uint64, now int64) (delta, next Registers, err error) {
	if c.Host != "" || c.Out {
		if err := checkID(c.Host); err != nil {
			return Registers{}, r, err
		}
	}
	if r.clock >= MaxSeq {
		return Registers{}, r, ErrClock
	}
	e := Entry{On: c.Narrows(), Since: now, Stamp: Stamp{Seq: r.clock + 1, Node: node}}
	if was := r.Get(c); was.On && e.On {
		e.Since = was.Since
	}
	next = r
	next.clock++
	delta.clock = next.clock
	if c.Host == "" {
		delta.lame = e
		return delta, next, nil
	}
	delta.hosts = map[string]Entry{c.Host: e}
	if !r.hosts[c.Host].On && e.On && !r.roomFor(c.Host) {
		return Registers{}, r, ErrFull
	}
	return delta, next, nil
}

// Merge takes the later of each register. It is commutative, associative and idempotent, and drops nothing.
// It fails with ErrFull, and changes nothing, where the result would pass the bounds.
func (r Registers) Merge(o Registers) (Registers, error) {
	m := Registers{clock: max(r.clock, o.clock), lame: r.lame, hosts: maps.Clone(r.hosts)}
	if o.lame.After(m.lame) {
		m.lame = o.lame
	}
	if m.hosts == nil {
		m.hosts = map[string]Entry{}
	}
	for id, e := range o.hosts {
		if was, ok := m.hosts[id]; !ok || e.After(was) {
			m.hosts[id] = e
		}
	}
	if !m.within(MaxHosts, MaxBytes) {
		return r, ErrFull
	}
	return m, nil
}

// Trim forgets registers that say "not out", the oldest first, past MaxBack of them, or past keptBack where
// the bans need the room: what a process writes must fit others of before, which hold no more than MaxHosts and MaxBytes
// either. Only a process that has missed keptBack later calls could bring such a host's ban back: the host would be out,
// never in by mistake.
func (r Registers) Trim() Registers {
	r = r.trim(MaxBack)
	if !r.within(MaxHosts-spare, MaxBytes-spare*(entryBytes+2*MaxID)) {
		r = r.trim(keptBack)
	}
	return r
}

// trim forgets the oldest registers that say "not out" past so many.
func (r Registers) trim(most int) Registers {
	var back []string
	for id, e := range r.hosts {
		if !e.On {
			back = append(back, id)
		}
	}
	if len(back) <= most {
		return r
	}
	slices.SortFunc(back, func(a, b string) int {
		if r.hosts[a].After(r.hosts[b]) {
			return 1
		}
		return -1
	})
	r.hosts = maps.Clone(r.hosts)
	for _, id := range back[:len(back)-most] {
		delete(r.hosts, id)
	}
	return r
}

// Covers says whether r has seen what delta changes, or something later.
func (r Registers) Covers(delta Registers) bool {
	if delta.lame.After(r.lame) {
		return false
	}
	for id, e := range delta.hosts {
		if e.After(r.hosts[id]) {
			return false
		}
	}
	return true
}

// Equal says whether both hold the same registers and clock.
func (r Registers) Equal(o Registers) bool {
	return r.clock == o.clock && r.lame == o.lame && maps.Equal(r.hosts, o.hosts)
}
