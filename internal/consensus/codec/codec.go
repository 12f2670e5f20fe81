// Package codec writes and reads what the council says and keeps: CBOR after one byte of version, bounded on both ways.
//
// Every text is at most as long as the caller allows, and nothing is made of one before its length is checked; arrays and
// maps in it are bounded too. Fields that this version does not know are passed over.
package codec

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the first byte of every text.
const Version = 1

var (
	// ErrMalformed is what Decode returns for whatever no gateway of this version writes. If it comes again and again from
	// one gateway, that one runs another version: bring both to the same.
	ErrMalformed = errors.New("council: malformed text")
	// ErrTooLarge says that a text would be longer than its bound. Ask for less at a time.
	ErrTooLarge = errors.New("council: text over its bound")
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 15, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err) // the options above are this package's own
	}
	return x
}

// Encode writes v in at most so many bytes.
func Encode(v any, most int) ([]byte, error) {
	b, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("council: encoding: %w", err)
	}
	if len(b)+1 > most {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(b)+1, most)
	}
	return append([]byte{Version}, b...), nil
}

// Decode reads what Encode wrote, into v.
func Decode(b []byte, v any, most int) error {
	if len(b) < 2 || len(b) > most || b[0] != Version {
		return fmt.Errorf("%w: %d bytes", ErrMalformed, len(b))
	}
	if err := decoder.Unmarshal(b[1:], v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
