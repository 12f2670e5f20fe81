package codec

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

type row struct {
	A uint64   `cbor:"1,keyasint"`
	B string   `cbor:"2,keyasint,omitempty"`
	C [][]byte `cbor:"3,keyasint,omitempty"`
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := row{rapid.Uint64().Draw(t, "a"), rapid.String().Draw(t, "b"), rapid.SliceOfN(rapid.SliceOf(rapid.Byte()), 0, 5).Draw(t, "c")}
		b, err := Encode(r, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		var got row
		if err := Decode(b, &got, 1<<20); err != nil {
			t.Fatal(err)
		}
		if again, _ := Encode(got, 1<<20); !bytes.Equal(b, again) {
			t.Fatalf("%v, %v", r, got)
		}
		if _, err := Encode(r, len(b)-1); !errors.Is(err, ErrTooLarge) {
			t.Fatal(err)
		}
		if err := Decode(b, &got, len(b)-1); !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
		n := rapid.IntRange(0, len(b)-1).Draw(t, "n")
		if err := Decode(b[:n], &got, 1<<20); !errors.Is(err, ErrMalformed) {
			t.Fatalf("cut at %d of %d: %v", n, len(b), err)
		}
	})
}
