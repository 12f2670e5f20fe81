package frame

import (
	"bytes"
	"reflect"
	"testing"

	"cranegate/internal/hotrestart/state"
)

// FuzzRead: any input is read or fails with an error, and what is read can be written and read again.
func FuzzRead(f *testing.F) {
	_, regs, _ := state.Registers{}.Prepare(state.Change{Host: "a", Detach: true}, 1, 1)
	s := regs.Snapshot()
	for _, m := range []Message{{Kind: Hello, Version: 1, Name: "n", WantBlob: true}, {Kind: Update, Registers: &s}, {Kind: Blob, Blob: []byte("b")}} {
		var b bytes.Buffer
		Write(&b, m)
		f.Add(b.Bytes())
	}
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Read(bytes.NewReader(text))
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := Write(&b, m); err != nil {
			t.Fatal(err)
		}
		if again, err := Read(&b); err != nil || again.Kind != m.Kind || !reflect.DeepEqual(again.Registers, m.Registers) {
			t.Fatal(err, again, m)
		}
	})
}
