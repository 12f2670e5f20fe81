package quorum

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// newFleet returns gateways in zones of the given sizes.
func newFleet(zoneSizes ...int) (all []Gateway) {
	for zone, size := range zoneSizes {
		for i := range size {
			all = append(all, Gateway{Name: fmt.Sprintf("g%d-%d", zone, i), Zone: fmt.Sprint("z", zone), StartID: uint64(10*zone + i + 1)})
		}
	}
	return all
}

func TestChooseSpreadsOverZones(t *testing.T) {
	for _, c := range []struct {
		zoneSizes  []int
		size       int
		maxPerZone int
	}{
		{[]int{9, 1, 1}, 3, 1},
		{[]int{4, 4, 4}, 5, 2},
		{[]int{20}, 5, 5},
		{[]int{1, 1, 1, 1, 16}, 5, 1},
		{[]int{2}, 3, 2},
	} {
		gateways := newFleet(c.zoneSizes...)
		voters := Choose(gateways, c.size)
		votersIn := map[string]int{}
		for _, voter := range voters {
			votersIn[voter.Zone]++
		}
		for zone, count := range votersIn {
			if count > c.maxPerZone {
				t.Errorf("zones of %v gateways: %d voters in zone %s", c.zoneSizes, count, zone)
			}
		}
		if len(voters) != min(c.size, len(gateways)) {
			t.Errorf("zones of %v gateways: %d voters", c.zoneSizes, len(voters))
		}
		for range 20 {
			rand.Shuffle(len(gateways), func(i, j int) { gateways[i], gateways[j] = gateways[j], gateways[i] })
			if !reflect.DeepEqual(Choose(gateways, c.size), voters) {
				t.Fatalf("zones of %v gateways: the choice depends on the order of the candidates", c.zoneSizes)
			}
		}
	}
}

func TestNextReplacement(t *testing.T) {
	gateways := newFleet(3, 3, 3)
	voters := Choose(gateways, 3)
	if _, ok := NextReplacement(voters, nil, gateways); ok {
		t.Error("NextReplacement returned a replacement although no voter has failed")
	}
	failed := map[uint64]bool{voters[0].ID(): true}
	restarted := voters[0]
	restarted.StartID = 99 // the same gateway, restarted without its disk
	replacement, ok := NextReplacement(voters, failed, append(gateways, restarted))
	if !ok || replacement.Remove != voters[0].ID() || replacement.Add.Zone != voters[0].Zone || failed[replacement.Add.ID()] {
		t.Errorf("NextReplacement returned %+v, %v", replacement, ok)
	}
	if replacement.Add != restarted || restarted.ID() == voters[0].ID() {
		t.Errorf("NextReplacement adds %+v, not the restarted gateway", replacement.Add)
	}
}
