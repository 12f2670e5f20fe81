package raftlog

import (
	"testing"
	"time"

	"cranegate/internal/consensus/statemachine"
)

// harness drives the only voter of a cluster of one, which needs no network.
type harness struct {
	t     *testing.T
	voter *Voter
}

// newHarness bootstraps a cluster of one voter, and ticks the voter until it leads.
func newHarness(t *testing.T) *harness {
	t.Helper()
	clusterID, bootstrap, err := Bootstrap([]uint64{1})
	if err != nil {
		t.Fatal(err)
	}
	voter, err := NewVoter(Options{ClusterID: clusterID, ID: 1, Seed: 3}, bootstrap)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, voter: voter}
	for range 2*electionTicks + 1 {
		voter.Tick()
		h.advance()
	}
	if !voter.IsLeader() {
		t.Fatal("the only voter is not the leader")
	}
	return h
}

// advance calls Ready and Advance until there is no Update left, and returns the messages to send.
func (h *harness) advance() (all []Message) {
	h.t.Helper()
	for {
		if _, ok := h.voter.Ready(); !ok {
			return all
		}
		messages, err := h.voter.Advance()
		if err != nil {
			h.t.Fatal(err)
		}
		all = append(all, messages...)
	}
}

// request passes a request of the gateway from to the voter.
func (h *harness) request(from uint64, request *Request) error {
	return h.voter.Step(Message{ClusterID: h.voter.options.ClusterID, From: from, To: 1, Kind: RequestKind, Request: request})
}

// set requests that the register "x" be set to a value of size bytes.
func (h *harness) set(seq uint64, size int) error {
	h.t.Helper()
	command := statemachine.Command{
		Key:          statemachine.Key{Client: 5, Seq: seq},
		CreatedIndex: h.voter.state.Index,
		ReceivedSeq:  seq - 1,
		Op:           statemachine.Set,
		Name:         "x",
		Value:        make([]byte, size),
		AnyVersion:   true,
	}
	data, err := command.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	return h.request(9, &Request{Command: data})
}

// catchUp exchanges messages between a replica and the voter. The time of the replica stays at now.
func (h *harness) catchUp(replica *Replica, now time.Duration) {
	h.t.Helper()
	for range 200 {
		for _, message := range replica.Tick(now) {
			if err := h.voter.Step(message); err != nil {
				h.t.Fatal(err)
			}
		}
		for _, message := range h.advance() {
			if message.To == replica.ID() {
				replica.Step(now, message)
			}
		}
	}
}
