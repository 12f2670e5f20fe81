package lease

import (
	"errors"
	"testing"
	"time"

	"cranegate/internal/consensus/statemachine"
)

// applyRenewal applies a Renew command with one acknowledgement.
func applyRenewal(t *testing.T, state *statemachine.State, ack statemachine.Ack) {
	t.Helper()
	data, err := statemachine.Command{Op: statemachine.Renew, Acks: []statemachine.Ack{ack}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	state.Apply(state.Index+1, data)
}

func TestLeaseStartsAtRequest(t *testing.T) {
	h, state := New(9), statemachine.New()
	if _, err := h.Begin(0, 0); !errors.Is(err, ErrNoLease) {
		t.Fatal(err)
	}
	applyRenewal(t, state, h.Acknowledge(time.Second, 0))
	h.Acknowledge(4*time.Second, 0) // this request gets no response
	h.ObserveState(state)
	if remaining, ok := h.Valid(5 * time.Second); !ok || remaining != Duration-4*time.Second {
		t.Fatal(remaining, ok)
	}
	operation, err := h.Begin(time.Second+Duration-1, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := h.End(time.Second+Duration+MaxStall, operation); !errors.Is(err, ErrStalled) {
		t.Fatal(err)
	}
	if _, err := h.Begin(time.Second+Duration, 1); !errors.Is(err, ErrNoLease) {
		t.Fatal(err)
	}
	if _, ok := h.Valid(0); ok {
		t.Fatal("a clock that was set back made the lease valid again")
	}
}

func TestAckWaitsForOperations(t *testing.T) {
	h, state := New(9), statemachine.New()
	applyRenewal(t, state, h.Acknowledge(0, 0))
	h.ObserveState(state)
	operation, err := h.Begin(time.Millisecond, 1)
	if err != nil {
		t.Fatal(err)
	}
	if ack := h.Acknowledge(time.Second, 5); ack.Index != 1 {
		t.Errorf("acknowledged index %d during an operation that depends on index 1", ack.Index)
	}
	if err := h.End(time.Second, operation); err != nil {
		t.Error(err)
	}
	if ack := h.Acknowledge(2*time.Second, 5); ack.Index != 5 || ack.Round != 3 {
		t.Error(ack)
	}
}
