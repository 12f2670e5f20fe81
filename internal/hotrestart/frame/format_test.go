package frame

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"

	"cranegate/internal/hotrestart/state"
)

// TestFrames pins the encoding of each kind of message, because processes of other versions read and write the same messages.
func TestFrames(t *testing.T) {
	_, regs, err := state.Registers{}.Prepare(state.Change{Host: "db-1", Detach: true}, 7, 1_000)
	if err != nil {
		t.Fatal(err)
	}
	delta, _, err := regs.Prepare(state.Change{Host: "db-1", Detach: true}, 7, 1_000)
	if err != nil {
		t.Fatal(err)
	}
	s := delta.Snapshot()
	for _, c := range []struct {
		message Message
		frame   string
	}{
		{Message{Kind: Hello, Version: Version, Name: "cranegate-1.sock", Ready: true, WantBlob: true}, "0000001ba50101020103706372616e65676174652d312e736f636b04f505f5"},
		{Message{Kind: Blob, Blob: []byte("{}")}, "00000007a2010206427b7d"},
		{Message{Kind: Update, Registers: &s}, "00000024a2010307a3010202a403f40400010002000381a5056464622d3103f5041903e801020207"},
		{Message{Kind: Acknowledge, Registers: &s}, "00000024a2010407a3010202a403f40400010002000381a5056464622d3103f5041903e801020207"},
		{Message{Kind: Ready}, "00000003a10105"},
	} {
		var b bytes.Buffer
		if err := Write(&b, c.message); err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(b.Bytes()); got != c.frame {
			t.Errorf("kind %d is written as %q", c.message.Kind, got)
		}
		frame, err := hex.DecodeString(c.frame)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Read(bytes.NewReader(frame)); err != nil || !reflect.DeepEqual(got, c.message) {
			t.Errorf("kind %d is read as %+v, %v", c.message.Kind, got, err)
		}
	}
}
