package quorum

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

func fleet(zones ...int) (all []Gateway) {
	for z, n := range zones {
		for i := range n {
			all = append(all, Gateway{Name: fmt.Sprintf("g%d-%d", z, i), Zone: fmt.Sprint("z", z), Start: uint64(10*z + i + 1)})
		}
	}
	return all
}

func TestChooseSpreadsOverZones(t *testing.T) {
	for _, c := range []struct {
		zones []int
		n     int
		most  int // voters of one zone
	}{{[]int{9, 1, 1}, 3, 1}, {[]int{4, 4, 4}, 5, 2}, {[]int{20}, 5, 5}, {[]int{1, 1, 1, 1, 16}, 5, 1}, {[]int{2}, 3, 2}} {
		all := fleet(c.zones...)
		want := Choose(all, c.n)
		count := map[string]int{}
		for _, g := range want {
			count[g.Zone]++
		}
		for z, n := range count {
			if n > c.most {
				t.Errorf("%v: %d voters of %s", c.zones, n, z)
			}
		}
		if len(want) != min(c.n, len(all)) {
			t.Errorf("%v: %d voters", c.zones, len(want))
		}
		for range 20 {
			rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			if !reflect.DeepEqual(Choose(all, c.n), want) {
				t.Fatalf("%v: the choice hangs on the order", c.zones)
			}
		}
	}
}

func TestReplaceOneAtATime(t *testing.T) {
	all := fleet(3, 3, 3)
	council := Choose(all, 3)
	if _, ok := Replace(council, nil, all); ok {
		t.Error("a replacement though nobody is gone")
	}
	gone := map[uint64]bool{council[0].ID(): true}
	again := council[0]
	again.Start = 99 // the same gateway, started anew without its disk
	there := append(all, again)
	c, ok := Replace(council, gone, there)
	if !ok || c.Remove != council[0].ID() || c.Add.Zone != council[0].Zone || gone[c.Add.ID()] {
		t.Errorf("%+v %v", c, ok)
	}
	if c.Add != again || again.ID() == council[0].ID() {
		t.Errorf("%+v came in, a start of its own", c.Add)
	}
}
