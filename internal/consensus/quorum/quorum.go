// Package quorum chooses the voters of the cluster: a pure function of the available gateways, so that everybody who sees
// the same gateways chooses the same voters.
package quorum

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// identityContext precedes the hashed identity of a gateway.
const identityContext = "cranegate council\x00"

// Gateway is one start of one process that may vote.
type Gateway struct {
	Name string
	Zone string
	// Start distinguishes the starts of a gateway. A gateway with a disk keeps the one in its file; one without draws a new
	// one at random each time, so that it never votes under an identity whose votes it has forgotten.
	Start uint64
}

// ID is the identity of this start of this gateway in the cluster, never 0.
func (g Gateway) ID() uint64 {
	identity := binary.BigEndian.AppendUint64([]byte(identityContext), g.Start)
	hash := sha256.Sum256(append(identity, g.Name...))
	return max(binary.BigEndian.Uint64(hash[:8]), 1)
}

// Size is the number of voters among some gateways: 5 from five on, else 3 or, with fewer than three, one. An even number
// of voters tolerates no more failures than the odd number below it.
func Size(gateways int) int {
	switch {
	case gateways >= 5:
		return 5
	case gateways >= 3:
		return 3
	}
	return min(gateways, 1)
}

// Choose chooses voters: one of each zone in turn, larger zones first, names in order. Of two starts of one name it
// chooses the higher. It returns fewer than size if there are fewer candidates.
func Choose(candidates []Gateway, size int) []Gateway {
	var voters []Gateway
	for len(voters) < size {
		gateway, ok := nextVoter(candidates, voters)
		if !ok {
			break
		}
		voters = append(voters, gateway)
	}
	return voters
}

// Replacement is the replacement of one voter. An empty Add means that no candidate is available.
type Replacement struct {
	Add    Gateway
	Remove uint64
}

// NextReplacement returns the next replacement if some voters have failed for good: one at a time, the lowest identity
// first; a failed identity is never added again. ok is false if no voter has failed or no candidate is available.
func NextReplacement(voters []Gateway, failed map[uint64]bool, candidates []Gateway) (replacement Replacement, ok bool) {
	hasFailed := func(g Gateway) bool { return failed[g.ID()] }
	voters = slices.SortedFunc(slices.Values(voters), func(a, b Gateway) int { return cmp.Compare(a.ID(), b.ID()) })
	i := slices.IndexFunc(voters, hasFailed)
	if i < 0 {
		return Replacement{}, false
	}
	remaining := slices.DeleteFunc(slices.Clone(voters), hasFailed)
	candidates = slices.DeleteFunc(slices.Clone(candidates), hasFailed)
	add, ok := nextVoter(candidates, remaining)
	return Replacement{Add: add, Remove: voters[i].ID()}, ok
}

// nextVoter returns the candidate to add to some voters.
func nextVoter(candidates, voters []Gateway) (Gateway, bool) {
	votersIn, gatewaysIn := map[string]int{}, map[string]int{} // by zone
	isVoter := map[string]bool{}                               // by name
	for _, g := range voters {
		votersIn[g.Zone]++
		isVoter[g.Name] = true
	}
	for _, g := range candidates {
		gatewaysIn[g.Zone]++
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(g Gateway) bool { return isVoter[g.Name] })
	if len(candidates) == 0 {
		return Gateway{}, false
	}
	return slices.MinFunc(candidates, func(a, b Gateway) int {
		return cmp.Or(
			cmp.Compare(votersIn[a.Zone], votersIn[b.Zone]),
			cmp.Compare(gatewaysIn[b.Zone], gatewaysIn[a.Zone]),
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(b.Start, a.Start),
		)
	}), true
}
