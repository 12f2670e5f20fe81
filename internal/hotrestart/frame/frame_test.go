package frame

import (
	"bytes"
	"reflect"
	"testing"

	"cranegate/internal/hotrestart/state"
)

// FuzzRead: nothing that comes can do more than fail, and what is read can be written and read again.
func FuzzRead(f *testing.F) {
	_, regs, _ := state.Registers{}.Reserve(state.Change{Host: "a", Out: true}, 1, 1)
	s := regs.Snapshot()
	for _, m := range []Message{{Kind: Hello, Version: 1, Name: "n", Ask: true}, {Kind: Update, Registers: &s}, {Kind: Blob, Blob: []byte("b")}} {
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
		if back, err := Read(&b); err != nil || back.Kind != m.Kind || !reflect.DeepEqual(back.Registers, m.Registers) {
			t.Fatal(err, back, m)
		}
	})
}
