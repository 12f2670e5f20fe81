package lease

import (
	"errors"
	"testing"
	"time"

	"cranegate/internal/consensus/statemachine"
)

func renewed(t *testing.T, s *statemachine.State, a statemachine.Ack) {
	t.Helper()
	text, err := statemachine.Command{Op: statemachine.Renew, Acks: []statemachine.Ack{a}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(s.Index+1, text)
}

func TestLeaseCountsFromTheAsking(t *testing.T) {
	h, s := New(9), statemachine.New()
	if _, err := h.Begin(0, 0); !errors.Is(err, ErrNoLease) {
		t.Fatal(err)
	}
	renewed(t, s, h.Ask(time.Second, 0))
	h.Ask(4*time.Second, 0) // not answered
	h.Applied(s)
	if left, ok := h.Valid(5 * time.Second); !ok || left != Length-4*time.Second {
		t.Fatal(left, ok)
	}
	act, err := h.Begin(time.Second+Length-1, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := h.End(time.Second+Length+Stop, act); !errors.Is(err, ErrLate) {
		t.Fatal(err)
	}
	if _, err := h.Begin(time.Second+Length, 1); !errors.Is(err, ErrNoLease) {
		t.Fatal(err)
	}
	if _, ok := h.Valid(0); ok {
		t.Fatal("a clock that was stepped back brought a lease back")
	}
}

func TestAckWaitsForActs(t *testing.T) {
	h, s := New(9), statemachine.New()
	renewed(t, s, h.Ask(0, 0))
	h.Applied(s)
	act, err := h.Begin(time.Millisecond, 1)
	if err != nil {
		t.Fatal(err)
	}
	if a := h.Ask(time.Second, 5); a.Index != 1 {
		t.Errorf("acknowledged %d during an act that stands on 1", a.Index)
	}
	if err := h.End(time.Second, act); err != nil {
		t.Error(err)
	}
	if a := h.Ask(2*time.Second, 5); a.Index != 5 || a.Round != 3 {
		t.Error(a)
	}
}
