package state

import (
	"fmt"
	"maps"
	"slices"
)

// Snapshot is the serialized form of Registers in files and messages. Processes of other versions read and write it too.
type Snapshot struct {
	Clock    uint64 `json:"clock" cbor:"1,keyasint"`
	Lameduck Entry  `json:"lameduck" cbor:"2,keyasint"`
	Hosts    []Host `json:"hosts" cbor:"3,keyasint"` // in order of their ids
}

// Host is the register of one host.
type Host struct {
	ID string `json:"id" cbor:"5,keyasint"`
	Entry
}

// Snapshot returns the serialized form of the registers.
func (r Registers) Snapshot() Snapshot {
	s := Snapshot{Clock: r.clock, Lameduck: r.lameduck, Hosts: []Host{}}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		s.Hosts = append(s.Hosts, Host{id, r.hosts[id]})
	}
	return s
}

// Registers validates a snapshot and returns its registers. Errors wrap ErrInvalidSnapshot; an invalid snapshot gives empty registers.
func (s Snapshot) Registers() (Registers, error) {
	r := Registers{clock: s.Clock, lameduck: s.Lameduck, hosts: make(map[string]Entry, min(len(s.Hosts), MaxHosts))}
	if len(s.Hosts) > MaxHosts {
		return Registers{}, fmt.Errorf("%w: %d hosts", ErrInvalidSnapshot, len(s.Hosts))
	}
	if s.Clock > MaxSeq || s.Lameduck.Seq > s.Clock {
		return Registers{}, fmt.Errorf("%w: sequence number out of range", ErrInvalidSnapshot)
	}
	for _, h := range s.Hosts {
		if err := checkID(h.ID); err != nil {
			return Registers{}, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
		}
		if _, duplicate := r.hosts[h.ID]; duplicate {
			return Registers{}, fmt.Errorf("%w: host %q occurs twice", ErrInvalidSnapshot, h.ID)
		}
		if h.Seq == 0 || h.Seq > s.Clock {
			return Registers{}, fmt.Errorf("%w: sequence number out of range", ErrInvalidSnapshot)
		}
		r.hosts[h.ID] = h.Entry
	}
	if !r.fits(MaxHosts, MaxBytes) {
		return Registers{}, fmt.Errorf("%w: too large", ErrInvalidSnapshot)
	}
	return r, nil
}
