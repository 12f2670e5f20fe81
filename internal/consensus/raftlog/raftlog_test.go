package raftlog

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/statemachine"
)

// alone is a council of one, which needs no network.
func alone(t *testing.T, img Image) (*Voter, func() []Message) {
	t.Helper()
	council, founded, err := Found([]uint64{1})
	if err != nil {
		t.Fatal(err)
	}
	if img.Snapshot == nil {
		img = founded
	}
	v, err := NewVoter(Options{Council: council, ID: 1, Seed: 3}, img)
	if err != nil {
		t.Fatal(err)
	}
	pump := func() (all []Message) {
		for {
			if _, ok := v.Ready(); !ok {
				return all
			}
			out, err := v.Saved()
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, out...)
		}
	}
	for range 2*electionTicks + 1 {
		v.Tick()
		pump()
	}
	if !v.Leads() {
		t.Fatal("alone, and does not lead")
	}
	return v, pump
}

// TestBounds orders far more than the log holds, fills the asks, and lets a newcomer and one who lags follow.
func TestBounds(t *testing.T) {
	v, pump := alone(t, Image{})
	late := NewFollower(v.opt.Council, 7, 1, []uint64{1})
	follow := func(f *Follower, now time.Duration) {
		for range 200 {
			for _, m := range f.Tick(now) {
				if err := v.Step(m); err != nil {
					t.Fatal(err)
				}
			}
			for _, m := range pump() {
				if m.To == f.ID() {
					f.Step(now, m)
				}
			}
		}
	}
	ask := func(seq uint64, size int) error {
		c := statemachine.Command{Key: statemachine.Key{Client: 5, Seq: seq}, Born: v.state.Index, Done: seq - 1, Op: statemachine.Set, Name: "x", Value: make([]byte, size), Any: true}
		text, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return v.Step(Message{Council: v.opt.Council, From: 9, To: 1, Kind: AskKind, Ask: &Ask{Text: text}})
	}
	var answers int
	for seq := uint64(1); seq <= 5000; seq++ {
		if err := ask(seq, int(seq)%statemachine.MaxValue); err != nil {
			t.Fatal(err)
		}
		answers += len(pump())
		first, _ := v.mem.FirstIndex()
		last, _ := v.mem.LastIndex()
		if last+1-first > keepEntries+keepEntries/4 || v.bytes > keepBytes+statemachine.MaxEntry {
			t.Fatalf("a log from %d to %d, %d bytes", first, last, v.bytes)
		}
		if seq == 10 {
			follow(late, time.Second)
		}
	}
	if answers != 5000 {
		t.Errorf("%d answers", answers)
	}
	newcomer := NewFollower(v.opt.Council, 8, 1, []uint64{1})
	for _, f := range []*Follower{late, newcomer} {
		follow(f, 10*time.Second)
		if s := f.Facts(); s.Index != v.state.Index || s.Chain != v.state.Chain {
			t.Errorf("follower %d at %d of %d", f.ID(), s.Index, v.state.Index)
		}
	}
	var err error
	for seq := uint64(6000); err == nil && seq < 7000; seq++ {
		err = ask(seq, 8000) // without pump nothing is committed
	}
	if !errors.Is(err, ErrCrowded) {
		t.Error(err)
	}
	if err := v.Step(Message{Council: 1, From: 9, To: 1}); !errors.Is(err, ErrForeign) {
		t.Error(err)
	}
	if _, err := v.Saved(); !errors.Is(err, ErrSave) {
		t.Error(err)
	}
}

// TestMessages reads whatever comes: malformed, or as it was written; and no message ends a voter's process.
func TestMessages(t *testing.T) {
	v, pump := alone(t, Image{})
	rapid.Check(t, func(t *rapid.T) {
		m := Message{Council: v.opt.Council, From: rapid.Uint64Range(1, 9).Draw(t, "from"), To: 1, Kind: Kind(rapid.IntRange(0, 8).Draw(t, "kind")),
			Raft: rapid.SliceOf(rapid.Byte()).Draw(t, "raft"), Acks: []statemachine.Ack{{Holder: 3, Round: rapid.Uint64().Draw(t, "round")}},
			Pull: &Pull{Applied: rapid.Uint64Range(0, 90).Draw(t, "applied")}, Ask: &Ask{Text: rapid.SliceOf(rapid.Byte()).Draw(t, "text"), Read: rapid.Uint64Range(0, 2).Draw(t, "read")}}
		b, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "spoil") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "by")
		}
		got, err := Decode(b)
		if err != nil {
			if !errors.Is(err, codec.ErrMalformed) {
				t.Fatal(err)
			}
			return
		}
		v.Step(got)
		pump()
		if v.err != nil {
			t.Fatal(v.err)
		}
	})
}
