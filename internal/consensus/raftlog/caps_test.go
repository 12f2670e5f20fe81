package raftlog

import (
	"errors"
	"testing"

	"cranegate/internal/consensus/statemachine"
)

// TestAThousandAsk has 1,024 gateways ask a voter, and as many read, before anything is settled: all wait there and get their
// answer, the next one is told that there is a crowd.
func TestAThousandAsk(t *testing.T) {
	v, pump := alone(t, Image{})
	ask := func(client uint64) error {
		text, err := statemachine.Command{Key: statemachine.Key{Client: client, Seq: 1}, Op: statemachine.Set, Name: "x", Any: true}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return v.Step(Message{Council: v.opt.Council, From: 100 + client, To: 1, Kind: AskKind, Ask: &Ask{Text: text}})
	}
	read := func(client uint64) error {
		return v.Step(Message{Council: v.opt.Council, From: 100 + client, To: 1, Kind: AskKind, Ask: &Ask{Read: client, Name: "x"}})
	}
	for name, step := range map[string]func(uint64) error{"ask": ask, "read": read} {
		for i := uint64(1); i <= 1024; i++ {
			if err := step(i); err != nil {
				t.Fatalf("%s %d: %v", name, i, err)
			}
		}
		if err := step(1025); !errors.Is(err, ErrCrowded) {
			t.Errorf("%s 1025: %v", name, err)
		}
	}
	answered := map[uint64]bool{}
	for range 10 {
		v.Tick()
		for _, m := range pump() {
			if m.Kind == AnswerKind && m.Answer.Result.Code == statemachine.OK {
				answered[m.To] = true
			}
		}
	}
	if len(answered) != 1024 {
		t.Errorf("%d were answered", len(answered))
	}
}
