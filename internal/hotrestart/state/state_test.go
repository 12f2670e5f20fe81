package state

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestInterleavings explores every order of events in small cases. In large cases it explores a part of them, or all of them with
// CRANEGATE_MODEL=full.
func TestInterleavings(t *testing.T) {
	for name, w := range map[string]*modelWorld{
		"detach at the old one as a new one starts, one killed": newModelWorld(1, 2, 1, modelCall{process: 0, detach: true}),
		"detach at the new one as it starts, one killed":        newModelWorld(1, 2, 1, modelCall{process: 1, detach: true}),
		"two start at once, detach at one, one killed":          newModelWorld(0, 2, 1, modelCall{process: 0, detach: true}),
		"detach at the old one, then attach at the new one":     newModelWorld(1, 2, 0, modelCall{process: 0, detach: true}, modelCall{process: 1, afterPrevious: true}),
		"detach, then attach, both live, one killed":            newModelWorld(2, 2, 1, modelCall{process: 0, detach: true}, modelCall{process: 1, afterPrevious: true}),
		"detach and attach at once":                             newModelWorld(2, 2, 0, modelCall{process: 0, detach: true}, modelCall{process: 1}),
		"two detach calls at once as a new one starts":          newModelWorld(1, 2, 0, modelCall{process: 0, detach: true}, modelCall{process: 1, detach: true}),
		"a third starts, detach at the oldest":                  newModelWorld(2, 3, 0, modelCall{process: 0, detach: true}),
		"three live, detach at one, one killed":                 newModelWorld(3, 3, 1, modelCall{process: 0, detach: true}),
		"two start beside one, detach at the oldest":            newModelWorld(1, 3, 0, modelCall{process: 0, detach: true}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			maxWorlds := 12_000
			if os.Getenv("CRANEGATE_MODEL") == "full" {
				maxWorlds = 5_000_000
			}
			violation, worlds := explore(w, programOrders, maxWorlds)
			t.Log(worlds, "worlds")
			if violation != "" {
				t.Fatal(violation)
			}
		})
	}
}

// TestModelFindsWrongOrders checks that the model finds a violation in each of several wrong orders of steps.
func TestModelFindsWrongOrders(t *testing.T) {
	for name, o := range map[string]modelOrders{
		"file written after the discovery": {[]UpdateStep{ApplyLocal, DiscoverPeers, Persist, AwaitAcks}, programOrders.attach, programOrders.join},
		"socket registered after reading":  {programOrders.detach, programOrders.attach, []JoinStep{ReadFile, RegisterSocket, QueryPeers, ApplyState}},
		"no discovery":                     {[]UpdateStep{Persist, ApplyLocal, AwaitAcks}, programOrders.attach, programOrders.join},
		"no wait for acknowledgements":     {[]UpdateStep{Persist, ApplyLocal, DiscoverPeers}, programOrders.attach, programOrders.join},
	} {
		if violation, _ := explore(newModelWorld(1, 2, 0, modelCall{process: 0, detach: true}), o, 100_000); violation == "" {
			t.Errorf("%s: no violation was found", name)
		}
	}
}

// anyRegisters draws valid registers from few values, so that equal stamps are common.
var anyRegisters = rapid.Custom(func(t *rapid.T) Registers {
	entry := func(i int) Entry {
		return Entry{rapid.Bool().Draw(t, "on"), int64(rapid.IntRange(0, 2).Draw(t, "since")),
			Stamp{uint64(rapid.IntRange(1, 4).Draw(t, "seq")), uint64(rapid.IntRange(1, 2).Draw(t, "node"))}}
	}
	s := Snapshot{Clock: uint64(rapid.IntRange(4, 6).Draw(t, "clock")), Lameduck: entry(0)}
	for i := range 3 {
		if rapid.Bool().Draw(t, "there") {
			s.Hosts = append(s.Hosts, Host{fmt.Sprint("h", i), entry(i)})
		}
	}
	r, err := s.Registers()
	if err != nil {
		t.Fatal(err)
	}
	return r
})

// TestMergeLaws checks that merging is commutative, associative and idempotent and loses nothing, and that a snapshot restores the
// registers that it was made from.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := anyRegisters.Draw(t, "a"), anyRegisters.Draw(t, "b"), anyRegisters.Draw(t, "c")
		merge := func(a, b Registers) Registers {
			m, err := a.Merge(b)
			if err != nil {
				t.Fatal(err)
			}
			return m
		}
		if !merge(a, b).Equal(merge(b, a)) || !merge(a, merge(b, c)).Equal(merge(merge(a, b), c)) || !merge(a, a).Equal(a) {
			t.Fatal("not commutative, associative and idempotent")
		}
		if !merge(a, b).Covers(a) || !merge(a, b).Covers(b) {
			t.Fatal("an entry was lost in a merge")
		}
		text, _ := json.Marshal(a.Snapshot())
		var s Snapshot
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatal(err)
		}
		if restored, err := s.Registers(); err != nil || !restored.Equal(a) {
			t.Fatal("the registers changed in a round trip through a snapshot", err)
		}
	})
}
