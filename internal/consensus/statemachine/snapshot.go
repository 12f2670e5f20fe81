package statemachine

import (
	"cmp"
	"maps"
	"slices"

	"cranegate/internal/consensus/codec"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Index           uint64        `cbor:"1,keyasint"`
	Checksum        uint64        `cbor:"2,keyasint"`
	Registers       []*Register   `cbor:"3,keyasint"`
	Clients         []*client     `cbor:"4,keyasint"`
	Leases          []Ack         `cbor:"5,keyasint"`
	Restrictions    []Restriction `cbor:"6,keyasint"`
	LastRestriction uint64        `cbor:"7,keyasint"`
}

// Encode encodes the state as a snapshot of at most MaxSnapshotBytes; the limits of the parts of the state ensure this size.
func (s *State) Encode() ([]byte, error) {
	compareNames := func(a, b *Register) int { return cmp.Compare(a.Name, b.Name) }
	compareIDs := func(a, b *client) int { return cmp.Compare(a.ID, b.ID) }
	return codec.Encode(snapshot{
		Index:           s.Index,
		Checksum:        s.Checksum,
		Registers:       slices.SortedFunc(maps.Values(s.registers), compareNames),
		Clients:         slices.SortedFunc(maps.Values(s.clients), compareIDs),
		Leases:          s.Leases(),
		Restrictions:    s.restrictions,
		LastRestriction: s.lastRestriction,
	}, MaxSnapshotBytes)
}

// Restore returns the state of an encoded snapshot. It returns codec.ErrMalformed if the snapshot can't be decoded or breaks
// a limit.
func Restore(encoded []byte) (*State, error) {
	var decoded snapshot
	if err := codec.Decode(encoded, &decoded, MaxSnapshotBytes); err != nil {
		return nil, err
	}
	if !decoded.isValid() {
		return nil, codec.ErrMalformed
	}
	state := New()
	state.Index, state.Checksum = decoded.Index, decoded.Checksum
	state.restrictions, state.lastRestriction = decoded.Restrictions, decoded.LastRestriction
	for _, r := range decoded.Registers {
		state.registers[r.Name] = r
		state.registerBytes += r.bytes()
	}
	for _, c := range decoded.Clients {
		state.clients[c.ID] = c
	}
	for _, ack := range decoded.Leases {
		state.leases[ack.Holder] = &ack
	}
	if state.registerBytes > MaxRegisterBytes {
		return nil, codec.ErrMalformed
	}
	return state, nil
}

// isValid reports whether the parts of the snapshot are within their limits.
func (s *snapshot) isValid() bool {
	if len(s.Registers) > MaxRegisters || len(s.Clients) > MaxClients || len(s.Leases) > MaxLeases || len(s.Restrictions) > MaxRestrictions {
		return false
	}
	for _, c := range s.Clients {
		if c == nil || len(c.Seqs) != len(c.Results) || len(c.Seqs) > MaxResultsPerClient {
			return false
		}
	}
	return !slices.Contains(s.Registers, nil)
}
