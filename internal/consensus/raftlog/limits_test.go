package raftlog

import (
	"errors"
	"testing"
	"time"

	"cranegate/internal/consensus/statemachine"
)

// TestPendingRequestLimits sends 1,024 commands and 1,024 reads before anything is committed. All of them wait and get their
// response; one more of each is rejected with ErrOverloaded.
func TestPendingRequestLimits(t *testing.T) {
	h := newHarness(t)
	command := func(client uint64) error {
		data, err := statemachine.Command{Key: statemachine.Key{Client: client, Seq: 1}, Op: statemachine.Set, Name: "x", AnyVersion: true}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return h.request(100+client, &Request{Command: data})
	}
	read := func(client uint64) error {
		return h.request(100+client, &Request{ReadID: client, Register: "x"})
	}
	for name, request := range map[string]func(uint64) error{"command": command, "read": read} {
		for client := uint64(1); client <= 1024; client++ {
			if err := request(client); err != nil {
				t.Fatalf("%s %d: %v", name, client, err)
			}
		}
		if err := request(1025); !errors.Is(err, ErrOverloaded) {
			t.Errorf("%s 1025: %v", name, err)
		}
	}
	responded := map[uint64]bool{}
	for range 10 {
		h.voter.Tick()
		for _, message := range h.advance() {
			if message.Kind == ResponseKind && message.Response.Result.Code == statemachine.OK {
				responded[message.To] = true
			}
		}
	}
	if len(responded) != 1024 {
		t.Errorf("%d gateways got a response", len(responded))
	}
}

// TestLogIsCompacted applies far more commands than the log holds. The log must stay within its limits, and a replica that
// lags and a new one must catch up.
func TestLogIsCompacted(t *testing.T) {
	h := newHarness(t)
	voter := h.voter
	lagging := NewReplica(voter.options.ClusterID, 7, 1, []uint64{1})
	var responses int
	for seq := uint64(1); seq <= 5000; seq++ {
		if err := h.set(seq, int(seq)%statemachine.MaxValueBytes); err != nil {
			t.Fatal(err)
		}
		responses += len(h.advance())
		first, _ := voter.storage.FirstIndex()
		last, _ := voter.storage.LastIndex()
		if last+1-first > defaultCompactionEntries+defaultCompactionEntries/4 || voter.bytesSinceSnapshot > compactionBytes+statemachine.MaxCommandBytes {
			t.Fatalf("the log holds entries %d to %d, %d bytes since the snapshot", first, last, voter.bytesSinceSnapshot)
		}
		if seq == 10 {
			h.catchUp(lagging, time.Second)
		}
	}
	if responses != 5000 {
		t.Errorf("%d responses", responses)
	}
	newcomer := NewReplica(voter.options.ClusterID, 8, 1, []uint64{1})
	for _, replica := range []*Replica{lagging, newcomer} {
		h.catchUp(replica, 10*time.Second)
		if state := replica.State(); state.Index != voter.state.Index || state.Checksum != voter.state.Checksum {
			t.Errorf("replica %d ends at index %d, the voter at %d, or their checksums differ", replica.ID(), state.Index, voter.state.Index)
		}
	}
}

// TestUncommittedLimit proposes commands without committing any until the voter returns ErrOverloaded.
func TestUncommittedLimit(t *testing.T) {
	h := newHarness(t)
	var err error
	for seq := uint64(6000); err == nil && seq < 7000; seq++ {
		err = h.set(seq, 8000) // without advance nothing is committed
	}
	if !errors.Is(err, ErrOverloaded) {
		t.Error(err)
	}
}
