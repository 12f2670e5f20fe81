package requestids

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestClaim claims ids in two sets that share a folder, as two processes of an upgrade do. An id must be claimed once, also by concurrent
// calls, until it is released or its time has passed; a file of another size must not end the process.
func TestClaim(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, fileName), []byte("short"), fileMode); err != nil {
		t.Fatal(err)
	}
	var sets [2]*Set
	for i := range sets {
		var err error
		if sets[i], err = Open(folder); err != nil {
			t.Fatal(err)
		}
	}
	const ids = 20000
	var claimed [ids]atomic.Int64
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range ids {
				if sets[worker%2].Claim(fmt.Sprint("id", i)) {
					claimed[i].Add(1)
				}
			}
		})
	}
	group.Wait()
	missing := 0
	for i := range claimed {
		switch claimed[i].Load() {
		case 0:
			missing++ // two concurrent calls may refuse each other
		case 1:
		default:
			t.Errorf("id %d was claimed %d times", i, claimed[i].Load())
		}
	}
	if missing > ids/1000 {
		t.Errorf("%d ids were not claimed", missing)
	}
	sets[0].Release("id7")
	if !sets[1].Claim("id7") || sets[0].Claim("id7") {
		t.Error("a released id can't be claimed once")
	}
	sets[0].now = func() time.Time { return time.Now().Add(Retention + 2*time.Second) }
	if !sets[0].Claim("id8") {
		t.Error("an expired id can't be claimed")
	}
}

// TestNewestIDsStay claims many more ids than the set holds. The newest must stay.
func TestNewestIDsStay(t *testing.T) {
	set := New()
	start := time.Now()
	const newest = slotCount / 4
	for i := range 4 * slotCount {
		set.now = func() time.Time { return start.Add(time.Duration(i) * time.Millisecond) }
		set.Claim(fmt.Sprint("id", i))
	}
	lost := 0
	for i := 4*slotCount - newest; i < 4*slotCount; i++ {
		if set.Claim(fmt.Sprint("id", i)) {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of the newest %d ids were lost", lost, newest)
	}
}
