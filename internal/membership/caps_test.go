package membership

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// TestThousandMembers sends a node messages from 1,023 others whose names, zones and addresses have the maximum length. The
// node must count a fleet of 1,024, its full state must fit into MaxStream, and a node that receives this state must count
// 1,024 too. One more member must be rejected and counted as rejected, without evicting another.
func TestThousandMembers(t *testing.T) {
	longText := func(c string, i int) string { return fmt.Sprintf("%04d%s", i, strings.Repeat(c, maxNameBytes-4)) }
	memberNumber := func(i int) MemberState {
		return MemberState{Incarnation: Incarnation(math.MaxUint64 - uint64(i)), Name: longText("n", i), Zone: longText("z", i), Addr: longText("a", i), Heartbeat: math.MaxUint64 - 1000}
	}
	newNode := func(i int) *Node {
		n, err := New(0, Options{Fleet: longText("f", 0), Name: longText("n", i), Zone: longText("z", i), Addr: longText("a", i), Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	n := newNode(5000)
	for i := range 1023 {
		n.Step(time.Millisecond, Message{Kind: Ping, Fleet: longText("f", 0), From: memberNumber(i), Seq: 1})
	}
	if n.liveMembers() != 1024 || n.Size() > 1024 || n.Rejected() != 0 {
		t.Fatalf("%d live members, %d rejected; want 1024 and 0", n.liveMembers(), n.Rejected())
	}
	n.Tick(300 * time.Millisecond)
	if n.Size() != 1024 {
		t.Errorf("size %d, want 1024", n.Size())
	}
	n.Step(400*time.Millisecond, Message{Kind: Ping, Fleet: longText("f", 0), From: memberNumber(1023), Seq: 1})
	if n.liveMembers() != 1024 || n.Rejected() != 1 || n.table[memberNumber(1023).Incarnation] != nil {
		t.Errorf("after the 1,025th: %d live members, %d rejected; want 1024 and 1", n.liveMembers(), n.Rejected())
	}
	n.Ready()
	n.send(Message{Kind: StateResponse, To: longText("a", 1), Target: 1, Seq: math.MaxUint64})
	out, _ := n.Ready()
	b, err := Encode(out[0])
	if err != nil || len(b) > MaxStream {
		t.Fatal(err, len(b))
	}
	t.Logf("1,024 members with the longest names take %d of %d bytes", len(b), MaxStream)
	m, err := Decode(b)
	if err != nil || len(m.Members) != 1023 {
		t.Fatal(err, len(m.Members))
	}
	reader := newNode(6000) // occupies a place in its table itself
	m.Members = m.Members[1:]
	reader.Step(time.Millisecond, m)
	if reader.liveMembers() != 1024 || reader.Rejected() != 0 {
		t.Errorf("the receiver of the full state has %d live members, %d rejected", reader.liveMembers(), reader.Rejected())
	}
}
