// Package quorum chooses the voters of the cluster. The choice is a pure function of the available gateways, so that all
// gateways that see the same candidates choose the same voters.
package quorum

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// identityContext precedes the hashed identity of a gateway.
const identityContext = "cranegate council\x00"

// Gateway identifies one start of a gateway process that may become a voter.
type Gateway struct {
	Name string
	Zone string
	// StartID distinguishes the starts of a gateway. A gateway with a disk uses the ID stored in its file at every start. A
	// gateway without a disk draws a random one at each start, so that it never votes under an identity whose votes it no
	// longer knows.
	StartID uint64
}

// ID returns the identity in the cluster of this start of the gateway. It is never 0.
func (g Gateway) ID() uint64 {
	identity := binary.BigEndian.AppendUint64([]byte(identityContext), g.StartID)
	hash := sha256.Sum256(append(identity, g.Name...))
	return max(binary.BigEndian.Uint64(hash[:8]), 1)
}

// Size returns the number of voters of a cluster with a number of gateways: 5 with five or more gateways, 3 with three or
// four, one with one or two. An even number of voters tolerates no more failures than the odd number below it.
func Size(gateways int) int {
	switch {
	case gateways >= 5:
		return 5
	case gateways >= 3:
		return 3
	}
	return min(gateways, 1)
}

// Choose chooses up to size voters. It takes one gateway of each zone in turn, larger zones first, and the gateways of a
// zone in the order of their names. If two candidates have the same name, it takes the one with the higher StartID. It
// returns fewer than size voters if there are fewer names.
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

// Replacement names a voter to remove and the gateway to add in its place. An empty Add means that no candidate is
// available.
type Replacement struct {
	Add    Gateway
	Remove uint64
}

// NextReplacement returns the replacement of the permanently failed voter with the lowest identity; voters are replaced one
// at a time. A failed identity is never added again. ok is false if no voter has failed or no candidate is available.
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

// nextVoter returns the best candidate to add to voters, or false if every candidate has the name of a voter.
func nextVoter(candidates, voters []Gateway) (Gateway, bool) {
	votersIn, gatewaysIn := map[string]int{}, map[string]int{} // number by zone
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
			cmp.Compare(b.StartID, a.StartID),
		)
	}), true
}
