package statemachine

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
)

// Register is a named value with its version.
type Register struct {
	Name      string        `cbor:"1,keyasint"`
	Value     []byte        `cbor:"2,keyasint,omitempty"` // in force
	Version   uint64        `cbor:"3,keyasint"`           // counts the changes
	Index     uint64        `cbor:"4,keyasint"`           // the log index of the command that set Value
	Pending   *PendingValue `cbor:"5,keyasint,omitempty"` // set by a Relax that is not in force yet
	Restricts bool          `cbor:"6,keyasint,omitempty"` // Value was set by a Restrict
}

// PendingValue is the value of a Relax that waits for earlier restrictions.
type PendingValue struct {
	Value []byte `cbor:"1,keyasint,omitempty"`
	Index uint64 `cbor:"2,keyasint"` // the log index of the Relax
}

// bytes returns the size that the register counts towards MaxRegisterBytes.
func (r *Register) bytes() int {
	size := registerOverheadBytes + len(r.Name) + len(r.Value)
	if r.Pending != nil {
		size += len(r.Pending.Value)
	}
	return size
}

// client holds the stored results of one client.
type client struct {
	ID          uint64   `cbor:"1,keyasint"`
	LastUsed    uint64   `cbor:"2,keyasint"`           // the log index of its latest request
	ReleasedSeq uint64   `cbor:"3,keyasint,omitempty"` // results up to this sequence number are dropped
	Seqs        []uint64 `cbor:"4,keyasint,omitempty"`
	Results     []Result `cbor:"5,keyasint,omitempty"` // parallel to Seqs
}

// Restriction is a Restrict command that some lease holder has not acknowledged yet.
type Restriction struct {
	Index    uint64 `cbor:"1,keyasint"`           // log index of its Restrict command
	Renewals int    `cbor:"2,keyasint,omitempty"` // number of Renew commands since then
}

// InjectedFaults break the state machine deliberately, for tests that prove that these faults are detected. None is set
// outside tests.
type InjectedFaults struct {
	SkipRestrictionWait bool // a restriction is complete at once
	SkipDeduplication   bool // a retried request is applied again
	ExpireAnyRound      bool // a lease is ended although it was renewed meanwhile
}

// State is the state after all log entries up to Index. It is not safe for concurrent use.
type State struct {
	Index           uint64 // the log index of the latest applied entry
	Checksum        uint64 // over all applied entries: two states with the same Index and different checksums have diverged
	InjectedFaults  InjectedFaults
	registers       map[string]*Register
	clients         map[uint64]*client
	leases          map[uint64]*Ack // the latest acknowledgement by holder
	restrictions    []Restriction   // the incomplete ones, oldest first
	lastRestriction uint64          // the log index of the latest restriction, complete or not
	registerBytes   int             // of all registers
}

// New returns the state before the first log entry.
func New() *State {
	return &State{registers: map[string]*Register{}, clients: map[uint64]*client{}, leases: map[uint64]*Ack{}}
}

// Get returns a copy of a register. settled reports whether its latest change is in force at every gateway: no Relax is
// pending and, if a Restrict set the value, that restriction and all earlier ones are complete. A register that does not
// exist is settled.
func (s *State) Get(name string) (r Register, settled, ok bool) {
	stored := s.registers[name]
	if stored == nil {
		return Register{Name: name}, true, false
	}
	r = *stored
	isRestricting := r.Restricts && s.HasIncompleteRestriction(r.Index)
	return r, r.Pending == nil && !isRestricting, true
}

// HasIncompleteRestriction reports whether a restriction at or before a log index is incomplete.
func (s *State) HasIncompleteRestriction(index uint64) bool {
	return len(s.restrictions) > 0 && s.restrictions[0].Index <= index
}

// Lease returns the latest acknowledgement of a lease holder; ok is false if it has no lease.
func (s *State) Lease(holder uint64) (latest Ack, ok bool) {
	if stored := s.leases[holder]; stored != nil {
		return *stored, true
	}
	return Ack{}, false
}

// Leases returns the latest acknowledgements of all lease holders, ordered by holder.
func (s *State) Leases() (all []Ack) {
	for _, holder := range slices.Sorted(maps.Keys(s.leases)) {
		all = append(all, *s.leases[holder])
	}
	return all
}

// StoredResult returns the stored result of a request.
func (s *State) StoredResult(key Key) (Result, bool) {
	if c := s.clients[key.Client]; c != nil {
		if i := slices.Index(c.Seqs, key.Seq); i >= 0 {
			return c.Results[i], true
		}
	}
	return Result{}, false
}

// updateChecksum adds the entry at Index to the checksum.
func (s *State) updateChecksum(data []byte) {
	hash := fnv.New64a()
	hash.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.Checksum), s.Index))
	hash.Write(data)
	s.Checksum = hash.Sum64()
}
