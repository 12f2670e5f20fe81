// Package quorum chooses who votes in the council: a pure function of the gateways that are there, so that everybody who
// sees the same gateways chooses the same.
package quorum

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Gateway is one start of one process that may vote.
type Gateway struct {
	Name string
	Zone string
	// Start tells one start from another. A gateway with a disk keeps the one its file holds; one without draws a new one at
	// random each time, so that it never votes under an identity whose votes it has forgotten.
	Start uint64
}

// ID is the identity of this start of this gateway in the order, never 0.
func (g Gateway) ID() uint64 {
	b := binary.BigEndian.AppendUint64([]byte("cranegate council\x00"), g.Start)
	sum := sha256.Sum256(append(b, g.Name...))
	return max(binary.BigEndian.Uint64(sum[:8]), 1)
}

// Size is how many vote among so many gateways: 5 from five on, else 3 or, with fewer than three, one. An even council bears
// no more losses than the odd one below it.
func Size(gateways int) int {
	switch {
	case gateways >= 5:
		return 5
	case gateways >= 3:
		return 3
	}
	return min(gateways, 1)
}

// Choose picks a council of n: one of each zone in turn, larger zones first, names in order. Of two starts of one name the
// higher counts. It returns fewer when there are fewer.
func Choose(there []Gateway, n int) []Gateway {
	var council []Gateway
	for len(council) < n {
		g, ok := next(there, council)
		if !ok {
			break
		}
		council = append(council, g)
	}
	return council
}

// Change is one replacement: Add comes in for Remove. An empty Add means that nobody is there to come in.
type Change struct {
	Add    Gateway
	Remove uint64
}

// Replace says which replacement comes next in a council of which some are gone for good: one at a time, the lowest identity
// first, and no identity ever again. ok is false when nobody is gone or nobody can come in.
func Replace(council []Gateway, gone map[uint64]bool, there []Gateway) (c Change, ok bool) {
	council = slices.SortedFunc(slices.Values(council), func(a, b Gateway) int { return cmp.Compare(a.ID(), b.ID()) })
	i := slices.IndexFunc(council, func(g Gateway) bool { return gone[g.ID()] })
	if i < 0 {
		return Change{}, false
	}
	left := slices.DeleteFunc(slices.Clone(council), func(g Gateway) bool { return gone[g.ID()] })
	there = slices.DeleteFunc(slices.Clone(there), func(g Gateway) bool { return gone[g.ID()] })
	add, ok := next(there, left)
	return Change{Add: add, Remove: council[i].ID()}, ok
}

// next is who comes in to those who are in.
func next(there, in []Gateway) (Gateway, bool) {
	votes, size := map[string]int{}, map[string]int{}
	names := map[string]bool{}
	for _, g := range in {
		votes[g.Zone]++
		names[g.Name] = true
	}
	for _, g := range there {
		size[g.Zone]++
	}
	there = slices.DeleteFunc(slices.Clone(there), func(g Gateway) bool { return names[g.Name] })
	if len(there) == 0 {
		return Gateway{}, false
	}
	return slices.MinFunc(there, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(votes[a.Zone], votes[b.Zone]), cmp.Compare(size[b.Zone], size[a.Zone]),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name), cmp.Compare(b.Start, a.Start))
	}), true
}
