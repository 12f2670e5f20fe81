package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of encoded messages in bytes. StateRequest and StateResponse, which go over a stream, are bounded by MaxStream, and
// all other messages by MaxDatagram. SealOverhead is reserved for encryption: a sealed datagram has at most 1,200 bytes.
const (
	SealOverhead    = 48
	MaxDatagram     = 1200 - SealOverhead
	MaxStream       = 256 << 10
	encodingVersion = 1 // first byte of each encoded message
)

// ErrMalformed is returned by Decode for input that is not a valid message.
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

// Encode encodes a message. It fails if the result exceeds the size limit of the message's kind.
func Encode(m Message) ([]byte, error) {
	b, err := encoder.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("membership: encoding: %w", err)
	}
	b = append([]byte{encodingVersion}, b...)
	if len(b) > m.Kind.maxBytes() {
		return nil, fmt.Errorf("membership: the message has %d bytes, more than the limit of %d", len(b), m.Kind.maxBytes())
	}
	return b, nil
}

// maxBytes returns the size limit of an encoded message of this kind.
func (k Kind) maxBytes() int {
	if k == StateRequest || k == StateResponse {
		return MaxStream
	}
	return MaxDatagram
}

// Decode decodes a message strictly: every length and count is checked before it is used. Unknown fields are ignored. It
// returns ErrMalformed for anything but a valid message.
func Decode(b []byte) (m Message, err error) {
	if len(b) < 2 || len(b) > MaxStream || b[0] != encodingVersion {
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

// valid reports whether a member's state is complete and its values are within their bounds.
func (m MemberState) valid() bool {
	return m.Incarnation != 0 && m.State <= Left && m.Age >= 0 && m.Name != "" && m.Addr != "" &&
		max(len(m.Name), len(m.Zone), len(m.Addr)) <= maxNameBytes
}
