package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"testing"
)

// setHost detaches or attaches a host in r, as a process does for an admin call.
func setHost(r *Registers, id string, detach bool) error {
	delta, next, err := r.Prepare(Change{Host: id, Detach: detach}, 1, 1)
	if err != nil {
		return err
	}
	*r, err = next.Merge(delta)
	*r = r.Trim()
	return err
}

// TestBounds checks that invalid ids are rejected, and that registers stay within their bounds and retain every detached host, however
// many calls are made.
func TestBounds(t *testing.T) {
	var r Registers
	for _, id := range []string{strings.Repeat("x", MaxIDBytes+1), "a\x00", "\xff"} {
		if err := setHost(&r, id, true); !errors.Is(err, ErrInvalidID) {
			t.Error(id, err)
		}
	}
	setHost(&r, "first", true)
	for i := 0; ; i++ {
		if err := setHost(&r, fmt.Sprint(i, strings.Repeat(`"`, 200)), true); errors.Is(err, ErrFull) {
			break
		} else if err != nil || i > MaxHosts {
			t.Fatal(i, err)
		}
	}
	for i := range MaxTombstones + 50 {
		if err := setHost(&r, fmt.Sprint("back", i), false); err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
	}
	text, _ := json.Marshal(r.Snapshot())
	if len(text) > MaxBytes || !r.Get(Change{Host: "first"}).On || len(r.hosts) > MaxHosts {
		t.Error("the bounds are exceeded, or a detached host was dropped", len(text), len(r.hosts))
	}
}

// TestThousandHosts detaches 1,024 hosts with the longest ids, and attaches 1,024 others with ids of usual length. All registers must
// be retained, tombstones included. The next tombstone must replace the oldest one, and no detached host may be lost.
func TestThousandHosts(t *testing.T) {
	var r Registers
	set := func(id string, detach bool) {
		t.Helper()
		if err := setHost(&r, id, detach); err != nil {
			t.Fatal(id, err)
		}
	}
	for i := range 1024 {
		set(fmt.Sprintf("out%04d%s", i, strings.Repeat(`"`, MaxIDBytes-7)), true)
	}
	for i := range 1024 {
		set(fmt.Sprintf("back%04d", i), false)
	}
	if len(r.hosts) != 2048 || len(r.State().Detached) != 1024 {
		t.Fatalf("%d registers, %d detached", len(r.hosts), len(r.State().Detached))
	}
	set("one more", false)
	if _, kept := r.hosts["back0000"]; kept || len(r.hosts) != 2048 || len(r.State().Detached) != 1024 {
		t.Errorf("%d registers, %d detached, the oldest tombstone is retained: %t", len(r.hosts), len(r.State().Detached), kept)
	}
	text, err := json.Marshal(r.Snapshot())
	if err != nil || len(text) > MaxBytes {
		t.Error(err, len(text))
	}
	if restored, err := r.Snapshot().Registers(); err != nil || !restored.Equal(r) {
		t.Error("the registers changed in a round trip through a snapshot", err)
	}
}

// filledRegisters creates registers for hosts whose ids all have the same length, which grows with padding.
type filledRegisters struct{ padding int }

func (f filledRegisters) id(kind string, i int) string {
	return fmt.Sprintf("%s%04d%s", kind, i, strings.Repeat("x", f.padding))
}

// newDetach returns a Change that detaches a host without a register.
func (f filledRegisters) newDetach() Change { return Change{Host: f.id("more", 0), Detach: true} }

// with returns trimmed registers with a number of detached hosts and of tombstones, which are older.
func (f filledRegisters) with(detached, tombstones int) Registers {
	r := Registers{hosts: map[string]Entry{}}
	set := func(id string, on bool) {
		r.clock++
		r.hosts[id] = Entry{On: on, Since: 1, Stamp: Stamp{Seq: r.clock, Node: 1}}
	}
	for i := range tombstones {
		set(f.id("back", i), false)
	}
	for i := range detached {
		set(f.id("out_", i), true)
	}
	return r.Trim()
}

// maxDetached returns how many hosts can be detached if there are that many tombstones.
func (f filledRegisters) maxDetached(tombstones int) int {
	return sort.Search(MaxHosts, func(detached int) bool {
		_, _, err := f.with(detached, tombstones).Prepare(f.newDetach(), 1, 1)
		return errors.Is(err, ErrFull)
	})
}

// TestTombstonesLeaveCapacity checks that tombstones beyond minTombstones take no capacity from detached hosts. It also checks that
// registers that a process writes do not exceed the bounds of processes of earlier versions, which are MaxHosts and MaxBytes too.
func TestTombstonesLeaveCapacity(t *testing.T) {
	for _, padding := range []int{0, 100, MaxIDBytes - 8} {
		t.Run(fmt.Sprintf("ids of %d bytes", 8+padding), func(t *testing.T) {
			f := filledRegisters{padding}
			withFew, withMany := f.maxDetached(512), f.maxDetached(1024)
			if withMany != withFew || withMany < 1024 {
				t.Errorf("%d hosts can be detached with 1,024 tombstones, %d with 512", withMany, withFew)
			}
			for detached := withMany - 700; padding > 200 && detached < withMany; detached++ { // also just before tombstones are trimmed
				if _, _, err := f.with(detached, 1024).Prepare(f.newDetach(), 1, 1); err != nil {
					t.Fatalf("%d detached and one more: %v", detached, err)
				}
			}
			for _, detached := range []int{0, 1, 1024, 2000, withMany - 1} {
				if detached <= withMany-1 {
					checkConcurrentCalls(t, f, detached)
				}
			}
			_, _, err := f.with(withMany, 1024).Prepare(f.newDetach(), 1, 1)
			if !errors.Is(err, ErrFull) || !strings.Contains(err.Error(), "attach those") {
				t.Error(err)
			}
			t.Logf("%d hosts can be detached", withMany)
		})
	}
}

// checkConcurrentCalls detaches hosts as concurrent calls to another process do, and checks that the registers stay within their bounds.
func checkConcurrentCalls(t *testing.T, f filledRegisters, detached int) {
	t.Helper()
	r := f.with(detached, 1024)
	const calls = reservedRegisters / 2
	for i := range calls {
		entry := Entry{On: true, Since: 1, Stamp: Stamp{Seq: r.clock + 1, Node: 2}}
		next, err := r.Merge(Registers{clock: r.clock + 1, hosts: map[string]Entry{f.id("more", i): entry}})
		if err != nil {
			t.Fatalf("%d detached and one more: %v", detached+i, err)
		}
		r = next.Trim()
	}
	if len(r.hosts) > MaxHosts || r.bytes() > MaxBytes || len(r.State().Detached) != detached+calls {
		t.Errorf("%d detached: %d registers of %d bytes, %d detached", detached, len(r.hosts), r.bytes(), len(r.State().Detached))
	}
	if tombstones := len(r.hosts) - detached - calls; tombstones < minTombstones || detached == 0 && tombstones != MaxTombstones {
		t.Errorf("%d detached: %d tombstones are retained", detached, tombstones)
	}
}
