package raftlog

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/statemachine"
)

func TestMessageOfAnotherClusterIsRejected(t *testing.T) {
	h := newHarness(t)
	if err := h.voter.Step(Message{ClusterID: 1, From: 9, To: 1}); !errors.Is(err, ErrMisdirected) {
		t.Error(err)
	}
}

func TestAdvanceWithoutReady(t *testing.T) {
	h := newHarness(t)
	if _, err := h.voter.Advance(); !errors.Is(err, ErrUnexpectedAdvance) {
		t.Error(err)
	}
}

// TestArbitraryMessages decodes arbitrary and corrupted messages. Each must be rejected as malformed or handled, and none may
// stop the voter.
func TestArbitraryMessages(t *testing.T) {
	h := newHarness(t)
	rapid.Check(t, func(t *rapid.T) {
		message := Message{
			ClusterID: h.voter.options.ClusterID,
			From:      rapid.Uint64Range(1, 9).Draw(t, "from"),
			To:        1,
			Kind:      Kind(rapid.IntRange(0, 8).Draw(t, "kind")),
			Raft:      rapid.SliceOf(rapid.Byte()).Draw(t, "raft"),
			Acks:      []statemachine.Ack{{Holder: 3, Round: rapid.Uint64().Draw(t, "round")}},
			CatchUpRequest: &CatchUpRequest{
				Applied: rapid.Uint64Range(0, 90).Draw(t, "applied"),
			},
			Request: &Request{
				Command: rapid.SliceOf(rapid.Byte()).Draw(t, "command"),
				ReadID:  rapid.Uint64Range(0, 2).Draw(t, "read"),
			},
		}
		encoded, err := message.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "corrupt") {
			encoded[rapid.IntRange(0, len(encoded)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "by")
		}
		decoded, err := Decode(encoded)
		if err != nil {
			if !errors.Is(err, codec.ErrMalformed) {
				t.Fatal(err)
			}
			return
		}
		h.voter.Step(decoded)
		h.advance()
		if h.voter.err != nil {
			t.Fatal(h.voter.err)
		}
	})
}
