package gossip

import (
	"encoding/hex"
	"encoding/json"
	"testing"
)

// goldenSealed is the message "\x01some words", sealed as the first message of a gateway of the fleet "f" with the key 0101...
// and the salt 0909....
const goldenSealed = "0209090909090909090909090909090909000000000000000112eaef709ff2088f66892689feea3183948d06bfffc3012cbed6d1"

// TestSealedFormat fixes the format of sealed messages, which gateways of other versions seal and open.
func TestSealedFormat(t *testing.T) {
	s := newTestSealer(t, "f", testKey(1))
	for i := range s.salt {
		s.salt[i] = 9
	}
	if err := s.replace(Keys{testKey(1)}); err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(s.seal([]byte("\x01some words"))); got != goldenSealed {
		t.Errorf("sealed: %q", got)
	}
	b, err := hex.DecodeString(goldenSealed)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := newTestSealer(t, "f", testKey(1)).open(b); err != nil || string(got) != "\x01some words" {
		t.Errorf("opened: %q, %v", got, err)
	}
}

// goldenView is an answer to GET /members.
const goldenView = `{"self":{"name":"a","zone":"z","address":"127.0.0.1:1","start":"1","state":"alive","age_s":0,"suspect":false,"unreached":false},` +
	`"members":[{"name":"b","zone":"z","address":"127.0.0.1:2","start":"2","state":"failed","age_s":1.5,"suspect":true,"unreached":true}],` +
	`"cut":true,"unheard":true,"conflicts":["c"],"share":0.5,"size":3,"part":0.25,"refused":4}`

// TestViewFormat fixes the JSON keys of the members' page, which operators' tools read.
func TestViewFormat(t *testing.T) {
	var v View
	if err := json.Unmarshal([]byte(goldenView), &v); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(v); err != nil || string(got) != goldenView {
		t.Errorf("%s, %v", got, err)
	}
}
