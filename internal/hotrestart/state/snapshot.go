package state

import (
	"fmt"
	"maps"
	"slices"
)

// Snapshot is the form of Registers in files and messages.
type Snapshot struct {
	Clock    uint64 `json:"clock" cbor:"1,keyasint"`
	Lameduck Entry  `json:"lameduck" cbor:"2,keyasint"`
	Hosts    []Host `json:"hosts" cbor:"3,keyasint"` // in order of their ids
}

// Host is one host's register.
type Host struct {
	ID string `json:"id" cbor:"5,keyasint"`
	Entry
}

// Snapshot lists the registers.
func (r Registers) Snapshot() Snapshot {
	s := Snapshot{Clock: r.clock, Lameduck: r.lame, Hosts: []Host{}}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		s.Hosts = append(s.Hosts, Host{id, r.hosts[id]})
	}
	return s
}

// Registers checks a snapshot from outside. Errors wrap ErrSnapshot; nothing is taken from a snapshot with a fault.
func (s Snapshot) Registers() (Registers, error) {
	r := Registers{clock: s.Clock, lame: s.Lameduck, hosts: make(map[string]Entry, min(len(s.Hosts), MaxHosts))}
	if len(s.Hosts) > MaxHosts {
		return Registers{}, fmt.Errorf("%w: %d hosts", ErrSnapshot, len(s.Hosts))
	}
	if s.Clock > MaxSeq || s.Lameduck.Seq > s.Clock {
		return Registers{}, fmt.Errorf("%w: sequence number out of range", ErrSnapshot)
	}
	for _, h := range s.Hosts {
		if err := checkID(h.ID); err != nil {
			return Registers{}, fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
		if _, twice := r.hosts[h.ID]; twice {
			return Registers{}, fmt.Errorf("%w: host %q stands in it twice", ErrSnapshot, h.ID)
		}
		if h.Seq == 0 || h.Seq > s.Clock {
			return Registers{}, fmt.Errorf("%w: sequence number out of range", ErrSnapshot)
		}
		r.hosts[h.ID] = h.Entry
	}
	if !r.within(MaxHosts, MaxBytes) {
		return Registers{}, fmt.Errorf("%w: too large", ErrSnapshot)
	}
	return r, nil
}
