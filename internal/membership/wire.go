package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of encoded messages in bytes. MaxDatagram bounds every message but StateRequest and StateResponse, which go over a
// stream and are bounded by MaxStream. SealOverhead is left for encryption: with it a datagram stays within 1,200 bytes.
const (
	SealOverhead = 48
	MaxDatagram  = 1200 - SealOverhead
	MaxStream    = 256 << 10
	version      = 1 // of the encoding; the first byte of each message
)

// ErrMalformed is returned by Decode for input that no member of this version writes.
var ErrMalformed = errors.New("membership: malformed message")

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 2048, MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

// must panics on invalid encoder options, which are constants of this package.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a message. It fails if the result exceeds the bound of the message's kind.
func Encode(m Message) ([]byte, error) {
	b, err := encoder.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("membership: encoding: %w", err)
	}
	b = append([]byte{version}, b...)
	if len(b) > m.Kind.maxBytes() {
		return nil, fmt.Errorf("membership: the message has %d bytes, %d are allowed", len(b), m.Kind.maxBytes())
	}
	return b, nil
}

// maxBytes returns the bound of an encoded message of this kind.
func (k Kind) maxBytes() int {
	if k == StateRequest || k == StateResponse {
		return MaxStream
	}
	return MaxDatagram
}

// Decode decodes a message strictly: every length and count is checked before it is used. Unknown fields are ignored. It
// returns ErrMalformed for anything else than a valid message.
func Decode(b []byte) (m Message, err error) {
	if len(b) < 2 || len(b) > MaxStream || b[0] != version {
		return m, ErrMalformed
	}
	if err := decoder.Unmarshal(b[1:], &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	members := append([]MemberState{m.From}, m.Members...)
	if m.Subject.Incarnation != 0 {
		members = append(members, m.Subject)
	}
	knownKind := m.Kind >= Ping && m.Kind <= StateResponse
	if !knownKind || len(b) > m.Kind.maxBytes() || max(len(m.Fleet), len(m.To)) > maxNameBytes {
		return Message{}, ErrMalformed
	}
	for _, member := range members {
		if !member.valid() {
			return Message{}, ErrMalformed
		}
	}
	return m, nil
}

// valid reports whether a member's state is complete and within all bounds.
func (m MemberState) valid() bool {
	return m.Incarnation != 0 && m.State <= Left && m.Age >= 0 && m.Name != "" && m.Addr != "" &&
		max(len(m.Name), len(m.Zone), len(m.Addr)) <= maxNameBytes
}
