package membership

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"
)

// TestDatagrams fixes the encoding of each kind of message, which gateways of other versions read and write.
func TestDatagrams(t *testing.T) {
	from := MemberState{Incarnation: 1, Name: "gateway-1", Zone: "z1", Addr: "127.0.0.1:7946", State: Draining, Heartbeat: 3}
	subject := MemberState{Incarnation: 4, Name: "gateway-2", Addr: "127.0.0.1:7947", State: Failed, Age: time.Second}
	members := []MemberState{{Incarnation: 5, Name: "gateway-3", Zone: "z2", Addr: "127.0.0.1:7948", State: Left, Heartbeat: 9, Age: 2 * time.Second, Settled: true}}
	for _, c := range []struct {
		message Message
		bytes   string
	}{
		{Message{Kind: Ping, Fleet: "f", From: from, Target: 2, Seq: 9, ViewHash: 11}, "01a6010102616603a601010269676174657761792d3103627a31046e3132372e302e302e313a373934360501060304020609080b"},
		{Message{Kind: Ack, Fleet: "f", From: from, Subject: subject, Seq: 9, Members: members}, "01a6010202616603a601010269676174657761792d3103627a31046e3132372e302e302e313a373934360501060305a501040269676174657761792d32046e3132372e302e302e313a373934370502071a3b9aca0006090781a801050269676174657761792d3303627a32046e3132372e302e302e313a3739343805030609071a7735940008f5"},
		{Message{Kind: PingRequest, Fleet: "f", From: from, Target: 2, Subject: subject, Seq: 9}, "01a6010302616603a601010269676174657761792d3103627a31046e3132372e302e302e313a3739343605010603040205a501040269676174657761792d32046e3132372e302e302e313a373934370502071a3b9aca000609"},
		{Message{Kind: Unreachable, From: from, Subject: subject, Seq: 9}, "01a4010403a601010269676174657761792d3103627a31046e3132372e302e302e313a373934360501060305a501040269676174657761792d32046e3132372e302e302e313a373934370502071a3b9aca000609"},
		{Message{Kind: WrongIncarnation, From: from, Seq: 9}, "01a3010503a601010269676174657761792d3103627a31046e3132372e302e302e313a37393436050106030609"},
		{Message{Kind: StateRequest, From: from, Members: members}, "01a3010603a601010269676174657761792d3103627a31046e3132372e302e302e313a37393436050106030781a801050269676174657761792d3303627a32046e3132372e302e302e313a3739343805030609071a7735940008f5"},
		{Message{Kind: StateResponse, From: from, Members: members}, "01a3010703a601010269676174657761792d3103627a31046e3132372e302e302e313a37393436050106030781a801050269676174657761792d3303627a32046e3132372e302e302e313a3739343805030609071a7735940008f5"},
	} {
		b, err := Encode(c.message)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(b); got != c.bytes {
			t.Errorf("kind %d is encoded as %q", c.message.Kind, got)
		}
		golden, err := hex.DecodeString(c.bytes)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(golden); err != nil || !reflect.DeepEqual(got, c.message) {
			t.Errorf("kind %d is decoded as %+v, %v", c.message.Kind, got, err)
		}
	}
}

// TestStateNames fixes the names of states, which operators' tools and counters show.
func TestStateNames(t *testing.T) {
	for state, want := range map[State]string{Alive: "alive", Draining: "draining", Failed: "failed", Left: "left"} {
		if state.String() != want {
			t.Errorf("state %d has the name %q, want %q", state, state, want)
		}
	}
}
