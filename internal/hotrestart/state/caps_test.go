package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"testing"
)

// apply makes a change hold as one process does.
func apply(r Registers, id string, out bool) (Registers, error) {
	delta, next, err := r.Reserve(Change{Host: id, Out: out}, 1, 1)
	if err != nil {
		return r, err
	}
	r, err = next.Merge(delta)
	return r.Trim(), err
}

// TestAThousandHosts takes 1,024 hosts of the longest ids out, and calls as many others back: all are kept, of those called
// back too where ids are of usual length. The next one called back takes the place of the oldest, and no ban is lost.
func TestAThousandHosts(t *testing.T) {
	var r Registers
	var err error
	set := func(id string, out bool) {
		t.Helper()
		if r, err = apply(r, id, out); err != nil {
			t.Fatal(id, err)
		}
	}
	for i := range 1024 {
		set(fmt.Sprintf("out%04d%s", i, strings.Repeat(`"`, MaxID-7)), true)
	}
	for i := range 1024 {
		set(fmt.Sprintf("back%04d", i), false)
	}
	if len(r.hosts) != 2048 || len(r.State().Out) != 1024 {
		t.Fatalf("%d registers, %d out", len(r.hosts), len(r.State().Out))
	}
	set("one more", false)
	if _, kept := r.hosts["back0000"]; kept || len(r.hosts) != 2048 || len(r.State().Out) != 1024 {
		t.Errorf("%d registers, %d out, the oldest kept: %t", len(r.hosts), len(r.State().Out), kept)
	}
	text, err := json.Marshal(r.Snapshot())
	if err != nil || len(text) > MaxBytes {
		t.Error(err, len(text))
	}
	if back, err := r.Snapshot().Registers(); err != nil || !back.Equal(r) {
		t.Error("changed on its way", err)
	}
}

// TestHostsBackLeaveRoomForBans: the more that are kept of hosts called back take no room from bans, and nothing that a
// process writes is more than one of before takes (MaxHosts registers, MaxBytes, which are its bounds too).
func TestHostsBackLeaveRoomForBans(t *testing.T) {
	for _, long := range []int{0, 100, MaxID - 8} {
		id := func(kind string, i int) string { return fmt.Sprintf("%s%04d%s", kind, i, strings.Repeat("x", long)) }
		holds := func(out, back int) Registers {
			r := Registers{hosts: map[string]Entry{}}
			set := func(id string, on bool) {
				r.clock++
				r.hosts[id] = Entry{On: on, Since: 1, Stamp: Stamp{Seq: r.clock, Node: 1}}
			}
			for i := range back {
				set(id("back", i), false)
			}
			for i := range out {
				set(id("out_", i), true)
			}
			return r.Trim()
		}
		most := func(back int) int { // bans that fit
			return sort.Search(MaxHosts, func(out int) bool {
				_, _, err := holds(out, back).Reserve(Change{Host: id("more", 0), Out: true}, 1, 1)
				return errors.Is(err, ErrFull)
			})
		}
		before, now := most(512), most(1024)
		if now != before || now < 1024 {
			t.Errorf("ids of %d bytes: %d bans fit beside 1,024 that were called back, %d beside 512", 8+long, now, before)
		}
		for out := now - 700; long > 200 && out < now; out++ { // also right before those that were called back give way
			if _, _, err := holds(out, 1024).Reserve(Change{Host: id("more", 0), Out: true}, 1, 1); err != nil {
				t.Fatalf("%d bans of %d bytes and one more: %v", out, 8+long, err)
			}
		}
		for _, out := range []int{0, 1, 1024, 2000, now - 1} {
			if out > now-1 {
				continue
			}
			r := holds(out, 1024)
			for i := range spare / 2 { // calls to another process at once
				delta := Registers{clock: r.clock + 1, hosts: map[string]Entry{id("more", i): {On: true, Since: 1, Stamp: Stamp{Seq: r.clock + 1, Node: 2}}}}
				next, err := r.Merge(delta)
				if err != nil {
					t.Fatalf("%d bans and one more: %v", out+i, err)
				}
				r = next.Trim()
			}
			if len(r.hosts) > MaxHosts || r.bytes() > MaxBytes || len(r.State().Out) != out+spare/2 {
				t.Errorf("%d bans of %d bytes: %d registers of %d bytes, %d out", out, 8+long, len(r.hosts), r.bytes(), len(r.State().Out))
			}
			if back := len(r.hosts) - out - spare/2; back < keptBack || out == 0 && back != MaxBack {
				t.Errorf("%d bans of %d bytes: %d that were called back are known", out, 8+long, back)
			}
		}
		if _, _, err := holds(now, 1024).Reserve(Change{Host: id("more", 0), Out: true}, 1, 1); !errors.Is(err, ErrFull) || !strings.Contains(err.Error(), "attach those") {
			t.Error(err)
		}
		t.Logf("ids of %d bytes: %d bans fit", 8+long, now)
	}
}
