package statemachine

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// drawCommand draws a valid command, from small sets of clients, names and holders so that they interact.
func drawCommand(t *rapid.T, index uint64) Command {
	if rapid.IntRange(0, 3).Draw(t, "renew") == 0 {
		return drawRenew(t, index)
	}
	command := Command{
		Key:             Key{rapid.Uint64Range(1, 4).Draw(t, "client"), rapid.Uint64Range(1, 12).Draw(t, "seq")},
		CreatedIndex:    rapid.Uint64Range(0, index).Draw(t, "born"),
		Op:              Op(rapid.IntRange(int(Set), int(Remove)).Draw(t, "op")),
		Name:            rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
		Value:           rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "value"),
		ExpectedVersion: rapid.Uint64Range(0, 6).Draw(t, "expected"),
		AnyVersion:      rapid.Bool().Draw(t, "any"),
	}
	command.ReceivedSeq = rapid.Uint64Range(0, command.Key.Seq-1).Draw(t, "received")
	return command
}

func drawRenew(t *rapid.T, index uint64) Command {
	command := Command{Op: Renew}
	for range rapid.IntRange(0, 3).Draw(t, "acks") {
		ack := Ack{
			Holder: rapid.Uint64Range(1, 3).Draw(t, "holder"),
			Round:  rapid.Uint64Range(1, 40).Draw(t, "round"),
			Index:  rapid.Uint64Range(0, index).Draw(t, "acked"),
		}
		if rapid.IntRange(0, 4).Draw(t, "expired") == 0 {
			command.ExpiredLeases = append(command.ExpiredLeases, ack)
		} else {
			command.Acks = append(command.Acks, ack)
		}
	}
	return command
}

// TestStateInvariants applies arbitrary commands and checks after each of them: a state restored from a snapshot behaves in
// the same way; a request is applied once, and a retry with its key gets the same result; a pending value waits for an
// incomplete restriction, and an incomplete restriction for a lease holder; and the counted size is the sum over all
// registers.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, results := New(), map[Key]Result{}
		for index := uint64(1); index < 60; index++ {
			command := drawCommand(t, index)
			data, err := command.Encode()
			if err != nil {
				t.Fatal(err)
			}
			restored := restoreCopy(t, state)
			before, _, _ := state.Get(command.Name)
			key, result, ok := state.Apply(index, data)
			restored.Apply(index, data)
			requireEqualStates(t, state, restored)
			if ok {
				after, _, _ := state.Get(command.Name)
				checkAppliedOnce(t, results, key, result, after.Version != before.Version)
			}
			checkRegisters(t, state)
			checkRestrictions(t, state)
		}
	})
}

func restoreCopy(t *rapid.T, s *State) *State {
	encoded, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

func requireEqualStates(t *rapid.T, a, b *State) {
	encodedA, _ := a.Encode()
	if encodedB, _ := b.Encode(); !bytes.Equal(encodedA, encodedB) {
		t.Fatal("after the same command, the state restored from a snapshot differs")
	}
}

// checkAppliedOnce compares a result with the earlier one of the same key, and stores it.
func checkAppliedOnce(t *rapid.T, results map[Key]Result, key Key, result Result, changed bool) {
	if result.Code == Undecided || result.Code == Released || result.Code == Expired {
		return
	}
	earlier, isRetry := results[key]
	if isRetry && earlier != result {
		t.Fatalf("key %v: result %v, then %v", key, earlier, result)
	}
	if isRetry && changed {
		t.Fatalf("key %v was applied twice", key)
	}
	results[key] = result
}

func checkRegisters(t *rapid.T, s *State) {
	size := 0
	for _, register := range s.registers {
		size += register.bytes()
		if register.Pending != nil && !s.HasIncompleteRestriction(register.Pending.Index) {
			t.Fatal("a pending value waits although no earlier restriction is incomplete")
		}
	}
	if size != s.registerBytes {
		t.Fatalf("counted size of the registers %d, their sum %d", s.registerBytes, size)
	}
}

func checkRestrictions(t *rapid.T, s *State) {
	for _, restriction := range s.restrictions {
		complete := true
		for _, lease := range s.leases {
			complete = complete && lease.Index >= restriction.Index
		}
		if complete {
			t.Fatal("a restriction is incomplete although every lease holder has acknowledged it")
		}
	}
}

// TestSnapshotLimit fills the state to its limits. A snapshot and the largest Renew command must still be within their size
// limits.
func TestSnapshotLimit(t *testing.T) {
	state := New()
	var index uint64
	apply := func(command Command) Result {
		index++
		data, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		_, result, _ := state.Apply(index, data)
		return result
	}
	maxID := ^uint64(0)
	longName := func(n int) string {
		return string(bytes.Repeat([]byte{'x'}, 110)) + string(rune('0'+n/64)) + string(rune('0'+n%64))
	}
	rejectedAsFull := 0
	for n := range MaxClients * MaxResultsPerClient {
		key := Key{maxID - uint64(n/MaxResultsPerClient), maxID - uint64(n%MaxResultsPerClient)}
		result := apply(Command{Key: key, Op: Set, Name: longName(n), Value: make([]byte, 60), AnyVersion: true})
		if result.Code == Full {
			rejectedAsFull++
		}
	}
	if result := apply(Command{Key: Key{1, 1}, Op: Set, Name: "one more", AnyVersion: true}); result.Code != Undecided {
		t.Error(result)
	}
	for first := 0; first < MaxLeases; first += MaxAcksPerCommand {
		apply(renewCommand(maxID-uint64(first), 0))
	}
	snapshot, err := state.Encode()
	if err != nil || rejectedAsFull == 0 || len(state.leases) != MaxLeases {
		t.Error(err, rejectedAsFull, len(state.leases))
	}
	t.Logf("%d bytes with %d registers, %d clients, %d leases", len(snapshot), len(state.registers), len(state.clients), len(state.leases))
	renew, err := renewCommand(maxID, maxID).Encode()
	if err != nil {
		t.Error(err)
	}
	t.Logf("a Renew command of %d acknowledgements has %d bytes", MaxAcksPerCommand, len(renew))
}

// renewCommand returns a Renew command with acknowledgements of MaxAcksPerCommand holders, whose identities descend from
// firstHolder.
func renewCommand(firstHolder, index uint64) Command {
	command := Command{Op: Renew}
	for i := range MaxAcksPerCommand {
		command.Acks = append(command.Acks, Ack{Holder: firstHolder - uint64(i), Round: ^uint64(0), Index: index})
	}
	return command
}

// TestExpiredRequest retries a request many times, also long after its result was dropped. Each retry must get the stored
// result or Expired, and none is applied.
func TestExpiredRequest(t *testing.T) {
	state := New()
	request, _ := Command{Key: Key{1, 1}, Op: Set, Name: "a", AnyVersion: true}.Encode()
	state.Apply(1, request)
	for index := uint64(2); index < 3*MaxRequestAge; index++ {
		if index%512 == 0 {
			state.dropExpiredClients()
		}
		var data []byte
		if index%1001 == 0 {
			data = request
		}
		_, result, ok := state.Apply(index, data)
		isStored := result.Code == OK && result.Index == 1
		if ok && result.Code != Expired && !isStored {
			t.Fatalf("at index %d: %v", index, result)
		}
	}
	if register, _, _ := state.Get("a"); register.Version != 1 {
		t.Error(register)
	}
}
