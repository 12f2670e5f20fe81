package state

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestInterleavings plays every order of small cases; of the large ones a part, or all with CRANEGATE_MODEL=full.
func TestInterleavings(t *testing.T) {
	for name, w := range map[string]*world{
		"ban to the old as the new starts, one killed":      start(1, 2, 1, call{at: 0, out: true}),
		"ban to the new as it starts, one killed":           start(1, 2, 1, call{at: 1, out: true}),
		"two start at once, ban to one, one killed":         start(0, 2, 1, call{at: 0, out: true}),
		"ban to the old, then attach to the new":            start(1, 2, 0, call{at: 0, out: true}, call{at: 1, waits: true}),
		"ban, then attach, both live, one killed":           start(2, 2, 1, call{at: 0, out: true}, call{at: 1, waits: true}),
		"ban and attach at once":                            start(2, 2, 0, call{at: 0, out: true}, call{at: 1}),
		"two bans at once as a new one starts":              start(1, 2, 0, call{at: 0, out: true}, call{at: 1, out: true}),
		"a third starts, ban to the oldest":                 start(2, 3, 0, call{at: 0, out: true}),
		"three live, ban to one, one killed":                start(3, 3, 1, call{at: 0, out: true}),
		"two start beside one, ban to the old of the three": start(1, 3, 0, call{at: 0, out: true}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			most := 12_000
			if os.Getenv("CRANEGATE_MODEL") == "full" {
				most = 5_000_000
			}
			fault, worlds := explore(w, real, most)
			t.Log(worlds, "worlds")
			if fault != "" {
				t.Fatal(fault)
			}
		})
	}
}

// TestModelFindsFaults turns the orders round: the model must notice.
func TestModelFindsFaults(t *testing.T) {
	for name, o := range map[string]orders{
		"file after the search": {[]Step{Adopt, Look, Persist, Tell}, real.back, real.joining},
		"shown after reading":   {real.ban, real.back, []Join{Read, Show, Ask, Hold}},
		"no search":             {[]Step{Persist, Adopt, Tell}, real.back, real.joining},
		"nobody waited for":     {[]Step{Persist, Adopt, Look}, real.back, real.joining},
	} {
		if fault, _ := explore(start(1, 2, 0, call{at: 0, out: true}), o, 100_000); fault == "" {
			t.Errorf("%s: no fault was found", name)
		}
	}
}

var someRegisters = rapid.Custom(func(t *rapid.T) Registers {
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

func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := someRegisters.Draw(t, "a"), someRegisters.Draw(t, "b"), someRegisters.Draw(t, "c")
		join := func(a, b Registers) Registers {
			m, err := a.Merge(b)
			if err != nil {
				t.Fatal(err)
			}
			return m
		}
		if !join(a, b).Equal(join(b, a)) || !join(a, join(b, c)).Equal(join(join(a, b), c)) || !join(a, a).Equal(a) {
			t.Fatal("not commutative, associative and idempotent")
		}
		if !join(a, b).Covers(a) || !join(a, b).Covers(b) {
			t.Fatal("something was lost")
		}
		text, _ := json.Marshal(a.Snapshot())
		var s Snapshot
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatal(err)
		}
		if back, err := s.Registers(); err != nil || !back.Equal(a) {
			t.Fatal("changed on its way", err)
		}
	})
}

func TestBounds(t *testing.T) {
	var r Registers
	set := func(id string, out bool) error {
		delta, next, err := r.Reserve(Change{Host: id, Out: out}, 1, 1)
		if err == nil {
			r, err = next.Merge(delta)
			r = r.Trim()
		}
		return err
	}
	for _, id := range []string{strings.Repeat("x", MaxID+1), "a\x00", "\xff"} {
		if err := set(id, true); !errors.Is(err, ErrID) {
			t.Error(id, err)
		}
	}
	set("first", true)
	for i := 0; ; i++ {
		if err := set(fmt.Sprint(i, strings.Repeat(`"`, 200)), true); errors.Is(err, ErrFull) {
			break
		} else if err != nil || i > MaxHosts {
			t.Fatal(i, err)
		}
	}
	for i := range MaxBack + 50 {
		if err := set(fmt.Sprint("back", i), false); err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
	}
	text, _ := json.Marshal(r.Snapshot())
	if len(text) > MaxBytes || !r.Get(Change{Host: "first"}).On || len(r.hosts) > MaxHosts {
		t.Error("over the bounds, or a ban was forgotten", len(text), len(r.hosts))
	}
}
