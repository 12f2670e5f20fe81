package codec

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

const testMaxBytes = 1 << 20

type record struct {
	Number uint64   `cbor:"1,keyasint"`
	Text   string   `cbor:"2,keyasint,omitempty"`
	Parts  [][]byte `cbor:"3,keyasint,omitempty"`
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := record{
			Number: rapid.Uint64().Draw(t, "number"),
			Text:   rapid.String().Draw(t, "text"),
			Parts:  rapid.SliceOfN(rapid.SliceOf(rapid.Byte()), 0, 5).Draw(t, "parts"),
		}
		encoded, err := Encode(original, testMaxBytes)
		if err != nil {
			t.Fatal(err)
		}
		var decoded record
		if err := Decode(encoded, &decoded, testMaxBytes); err != nil {
			t.Fatal(err)
		}
		if again, _ := Encode(decoded, testMaxBytes); !bytes.Equal(encoded, again) {
			t.Fatalf("the decoded value encodes to other bytes: original %v, decoded %v", original, decoded)
		}
		if _, err := Encode(original, len(encoded)-1); !errors.Is(err, ErrTooLarge) {
			t.Fatal(err)
		}
		if err := Decode(encoded, &decoded, len(encoded)-1); !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
		length := rapid.IntRange(0, len(encoded)-1).Draw(t, "length")
		if err := Decode(encoded[:length], &decoded, testMaxBytes); !errors.Is(err, ErrMalformed) {
			t.Fatalf("truncated to %d of %d: %v", length, len(encoded), err)
		}
	})
}
