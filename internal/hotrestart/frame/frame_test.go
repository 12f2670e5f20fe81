package frame

import (
	"bytes"
	"reflect"
	"testing"

	"cranegate/internal/hotrestart/state"
)

// FuzzRead checks that any input is either read or rejected with an error, and that a message that was read can be written and read again.
func FuzzRead(f *testing.F) {
	_, regs, _ := state.Registers{}.Prepare(state.Change{Host: "a", Detach: true}, 1, 1)
	s := regs.Snapshot()
	for _, m := range []Message{{Kind: Hello, Version: 1, Name: "n", WantBlob: true}, {Kind: Update, Registers: &s}, {Kind: Blob, Blob: []byte("b")}} {
		var b bytes.Buffer
		Write(&b, m)
		f.Add(b.Bytes())
	}
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, input []byte) {
		m, err := Read(bytes.NewReader(input))
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
