package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxDatagram bounds every message but Sync and Synced, which go by a stream and are bounded by MaxStream. With Overhead for
// a seal around it a datagram stays within 1,200 bytes.
const (
	Overhead    = 48
	MaxDatagram = 1200 - Overhead
	MaxStream   = 256 << 10
	version     = 1 // of the encoding: the first byte
)

// ErrMalformed is what Decode returns for whatever no member of this version writes.
var ErrMalformed = errors.New("members: malformed message")

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 2048, MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err) // the options above are this package's own
	}
	return x
}

// Encode writes a message. It is an error if that is longer than its kind may be.
func Encode(m Message) ([]byte, error) {
	b, err := encoder.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("members: encoding: %w", err)
	}
	if b = append([]byte{version}, b...); len(b) > m.Kind.most() {
		return nil, fmt.Errorf("members: a message of %d bytes, at most %d", len(b), m.Kind.most())
	}
	return b, nil
}

func (k Kind) most() int {
	if k == StateRequest || k == StateResponse {
		return MaxStream
	}
	return MaxDatagram
}

// Decode reads a message strictly: every length and count is checked before anything is made of it. Fields that this
// version does not know are passed over.
func Decode(b []byte) (m Message, err error) {
	if len(b) < 2 || len(b) > MaxStream || b[0] != version {
		return m, ErrMalformed
	}
	if err := decoder.Unmarshal(b[1:], &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	rows := append([]MemberState{m.From}, m.Members...)
	if m.Subject.Incarnation != 0 {
		rows = append(rows, m.Subject)
	}
	ok := m.Kind >= Ping && m.Kind <= StateResponse && len(b) <= m.Kind.most() && len(m.Fleet) <= longest && len(m.To) <= longest
	for _, r := range rows {
		ok = ok && r.Incarnation != 0 && r.State <= Left && r.Age >= 0 && r.Name != "" && r.Addr != "" &&
			max(len(r.Name), len(r.Zone), len(r.Addr)) <= longest
	}
	if !ok {
		return Message{}, ErrMalformed
	}
	return m, nil
}
