package membership

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// TestThousandMembers has a node hear of 1,023 others whose names, zones and addresses are as long as any may be: with it they
// are a fleet of 1,024, its rows fit the stream that carries them, and whoever reads them knows as many. One more is refused
// and counted, and displaces nobody.
func TestThousandMembers(t *testing.T) {
	long := func(c string, i int) string { return fmt.Sprintf("%04d%s", i, strings.Repeat(c, maxNameBytes-4)) }
	row := func(i int) MemberState {
		return MemberState{Incarnation: Incarnation(math.MaxUint64 - uint64(i)), Name: long("n", i), Zone: long("z", i), Addr: long("a", i), Heartbeat: math.MaxUint64 - 1000}
	}
	fresh := func(i int) *Node {
		n, err := New(0, Options{Fleet: long("f", 0), Name: long("n", i), Zone: long("z", i), Addr: long("a", i), Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	n := fresh(5000)
	for i := range 1023 {
		n.Step(time.Millisecond, Message{Kind: Ping, Fleet: long("f", 0), From: row(i), Seq: 1})
	}
	if n.liveMembers() != 1024 || n.Size() > 1024 || n.Rejected() != 0 {
		t.Fatalf("%d members are there, %d refused", n.liveMembers(), n.Rejected())
	}
	n.Tick(300 * time.Millisecond)
	if n.Size() != 1024 {
		t.Errorf("counts on %d", n.Size())
	}
	n.Step(400*time.Millisecond, Message{Kind: Ping, Fleet: long("f", 0), From: row(1023), Seq: 1})
	if n.liveMembers() != 1024 || n.Rejected() != 1 || n.table[row(1023).Incarnation] != nil {
		t.Errorf("%d members with the 1,025th, %d refused", n.liveMembers(), n.Rejected())
	}
	n.Ready()
	n.send(Message{Kind: StateResponse, To: long("a", 1), Target: 1, Seq: math.MaxUint64})
	out, _ := n.Ready()
	b, err := Encode(out[0])
	if err != nil || len(b) > MaxStream {
		t.Fatal(err, len(b))
	}
	t.Logf("1,024 rows of the longest names take %d bytes of %d", len(b), MaxStream)
	m, err := Decode(b)
	if err != nil || len(m.Members) != 1023 {
		t.Fatal(err, len(m.Members))
	}
	reader := fresh(6000) // one that takes a place of its own
	m.Members = m.Members[1:]
	reader.Step(time.Millisecond, m)
	if reader.liveMembers() != 1024 || reader.Rejected() != 0 {
		t.Errorf("the reader knows %d, %d refused", reader.liveMembers(), reader.Rejected())
	}
}
