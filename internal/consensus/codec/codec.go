// Package codec encodes the messages and the stored state of the consensus packages: CBOR after a version byte, with a
// size limit on encoding and decoding.
//
// The caller sets the size limit. Decode checks the size before it allocates; the elements of arrays and maps are limited
// too. Decode ignores fields that this version does not know.
package codec

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the first byte of every encoded value.
const Version = 1

// Limits of decoded values.
const (
	maxArrayElements = 1 << 15
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

var (
	// ErrMalformed is returned by Decode for an input that Encode of this version cannot have produced. If a gateway sends
	// such inputs repeatedly, it runs another version; run the same version on the sender and the receiver.
	ErrMalformed = errors.New("consensus: malformed encoding")
	// ErrTooLarge means that an encoded value would exceed its size limit. Split the value into smaller ones.
	ErrTooLarge = errors.New("consensus: encoded value exceeds its size limit")
)

var (
	encoder = mustBuild(cbor.CoreDetEncOptions().EncMode())
	decoder = mustBuild(cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

// mustBuild returns mode. It panics if err reports that the fixed options above are invalid.
func mustBuild[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a value, or returns ErrTooLarge if the encoded value would be longer than maxBytes.
func Encode(v any, maxBytes int) ([]byte, error) {
	body, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("consensus: encoding: %w", err)
	}
	if len(body)+1 > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(body)+1, maxBytes)
	}
	return append([]byte{Version}, body...), nil
}

// Decode decodes the output of Encode into the value that v points to. It returns ErrMalformed for any other input, and
// for an input longer than maxBytes.
func Decode(encoded []byte, v any, maxBytes int) error {
	if len(encoded) < 2 || len(encoded) > maxBytes || encoded[0] != Version {
		return fmt.Errorf("%w: %d bytes", ErrMalformed, len(encoded))
	}
	if err := decoder.Unmarshal(encoded[1:], v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
