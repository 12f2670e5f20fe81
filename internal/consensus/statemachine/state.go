package statemachine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"cranegate/internal/consensus/codec"
)

// Register is a value with its version.
type Register struct {
	Name    string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"` // in force
	Version uint64 `cbor:"3,keyasint"`           // counts what was decided
	Index   uint64 `cbor:"4,keyasint"`           // where Value was decided
	Next    *Next  `cbor:"5,keyasint,omitempty"` // decided, and not yet in force
	Narrow  bool   `cbor:"6,keyasint,omitempty"` // Value was a narrowing
}

// Next is a widening that waits for the narrowings before it.
type Next struct {
	Value []byte `cbor:"1,keyasint,omitempty"`
	Index uint64 `cbor:"2,keyasint"`
}

func (r *Register) bytes() int {
	n := 64 + len(r.Name) + len(r.Value)
	if r.Next != nil {
		n += len(r.Next.Value)
	}
	return n
}

// client is whose results are kept.
type client struct {
	ID      uint64   `cbor:"1,keyasint"`
	Used    uint64   `cbor:"2,keyasint"` // the last place in the order
	Floor   uint64   `cbor:"3,keyasint,omitempty"`
	Seqs    []uint64 `cbor:"4,keyasint,omitempty"`
	Results []Result `cbor:"5,keyasint,omitempty"`
}

// Narrowing is a fact that not all holders are known to know.
type Narrowing struct {
	Index  uint64 `cbor:"1,keyasint"`
	Renews int    `cbor:"2,keyasint,omitempty"` // aggregates since
}

// Flaws break the state machine on purpose, for tests that show that they are found. None is set elsewhere.
type Flaws struct {
	NoWait   bool // a narrowing is done at once
	NoDedup  bool // who asks again is served again
	AnyRound bool // a lease is called ended though it was renewed meanwhile
}

// State is all that the order has settled up to Index. One goroutine uses it.
type State struct {
	Index   uint64 // the place in the order
	Chain   uint64 // a sum of all that was applied: two states of one Index with different ones are a broken order
	Flaws   Flaws
	regs    map[string]*Register
	clients map[uint64]*client
	holders map[uint64]*Ack
	narrows []Narrowing // oldest first
	floor   uint64      // the latest narrowing that ever was
	size    int         // bytes of all registers
}

// New is the state before the order's first place.
func New() *State {
	return &State{regs: map[string]*Register{}, clients: map[uint64]*client{}, holders: map[uint64]*Ack{}}
}

// Get is a copy of a register. settled says that it is in force with everybody: no narrowing up to it is under way, no widening
// of it waits.
func (s *State) Get(name string) (r Register, settled, ok bool) {
	p := s.regs[name]
	if p == nil {
		return Register{Name: name}, true, false
	}
	r = *p
	return r, r.Next == nil && !(r.Narrow && s.Waits(r.Index)), true
}

// Waits says whether a narrowing at or before a place is still under way.
func (s *State) Waits(index uint64) bool {
	return len(s.narrows) > 0 && s.narrows[0].Index <= index
}

// Holder is what the order knows of a lease; ok is false if it has none.
func (s *State) Holder(id uint64) (a Ack, ok bool) {
	if p := s.holders[id]; p != nil {
		return *p, true
	}
	return Ack{}, false
}

// Holders are all leases, by identity.
func (s *State) Holders() (all []Ack) {
	for _, id := range slices.Sorted(maps.Keys(s.holders)) {
		all = append(all, *s.holders[id])
	}
	return all
}

// Answer is the kept result of a request.
func (s *State) Answer(k Key) (Result, bool) {
	if c := s.clients[k.Client]; c != nil {
		if i := slices.Index(c.Seqs, k.Seq); i >= 0 {
			return c.Results[i], true
		}
	}
	return Result{}, false
}

func (s *State) chain(b []byte) {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.Chain), s.Index))
	h.Write(b)
	s.Chain = h.Sum64()
}

// image is a State as a snapshot has it.
type image struct {
	Index   uint64      `cbor:"1,keyasint"`
	Chain   uint64      `cbor:"2,keyasint"`
	Regs    []*Register `cbor:"3,keyasint"`
	Clients []*client   `cbor:"4,keyasint"`
	Holders []Ack       `cbor:"5,keyasint"`
	Narrows []Narrowing `cbor:"6,keyasint"`
	Floor   uint64      `cbor:"7,keyasint"`
}

// Encode writes a snapshot of at most MaxState; the bounds of the parts leave room.
func (s *State) Encode() ([]byte, error) {
	m := image{Index: s.Index, Chain: s.Chain, Holders: s.Holders(), Narrows: s.narrows, Floor: s.floor}
	m.Regs = slices.SortedFunc(maps.Values(s.regs), func(a, b *Register) int { return cmp.Compare(a.Name, b.Name) })
	m.Clients = slices.SortedFunc(maps.Values(s.clients), func(a, b *client) int { return cmp.Compare(a.ID, b.ID) })
	return codec.Encode(m, MaxState)
}

// Restore reads a snapshot.
func Restore(b []byte) (*State, error) {
	var m image
	if err := codec.Decode(b, &m, MaxState); err != nil {
		return nil, err
	}
	s := New()
	s.Index, s.Chain, s.narrows, s.floor = m.Index, m.Chain, m.Narrows, m.Floor
	bad := len(m.Regs) > MaxRegisters || len(m.Clients) > MaxClients || len(m.Holders) > MaxHolders || len(m.Narrows) > MaxNarrowings
	for _, r := range m.Regs {
		if bad = bad || r == nil; !bad {
			s.regs[r.Name] = r
			s.size += r.bytes()
		}
	}
	for _, c := range m.Clients {
		if bad = bad || c == nil || len(c.Seqs) != len(c.Results) || len(c.Seqs) > Window; !bad {
			s.clients[c.ID] = c
		}
	}
	for _, a := range m.Holders {
		s.holders[a.Holder] = &a
	}
	if bad || s.size > MaxValues {
		return nil, codec.ErrMalformed
	}
	return s, nil
}
