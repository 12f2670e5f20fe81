package gossip

import (
	"encoding/hex"
	"encoding/json"
	"testing"
)

// goldenSealed is "\x01some words" as a gateway of the fleet "f" with the key 0101... and the salt 0909... sends it first.
const goldenSealed = "0209090909090909090909090909090909000000000000000112eaef709ff2088f66892689feea3183948d06bfffc3012cbed6d1"

// TestSealedForm pins the seal around datagrams, which gateways of other versions put on and take off.
func TestSealedForm(t *testing.T) {
	s := seals(t, "f", key(1))
	for i := range s.salt {
		s.salt[i] = 9
	}
	if err := s.replace(Keys{key(1)}); err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(s.seal([]byte("\x01some words"))); got != goldenSealed {
		t.Errorf("sealed: %q", got)
	}
	b, err := hex.DecodeString(goldenSealed)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := seals(t, "f", key(1)).open(b); err != nil || string(got) != "\x01some words" {
		t.Errorf("opened: %q, %v", got, err)
	}
}

// goldenView is what GET /members answers with.
const goldenView = `{"self":{"name":"a","zone":"z","address":"127.0.0.1:1","start":"1","state":"alive","age_s":0,"suspect":false,"unreached":false},` +
	`"members":[{"name":"b","zone":"z","address":"127.0.0.1:2","start":"2","state":"failed","age_s":1.5,"suspect":true,"unreached":true}],` +
	`"cut":true,"unheard":true,"conflicts":["c"],"share":0.5,"size":3,"part":0.25,"refused":4}`

// TestViewForm pins the keys of the members' page, which staff's tools read.
func TestViewForm(t *testing.T) {
	var v View
	if err := json.Unmarshal([]byte(goldenView), &v); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(v); err != nil || string(got) != goldenView {
		t.Errorf("%s, %v", got, err)
	}
}
