package experiment

import (
	"math/rand/v2"
	"time"
)

// delivery is the outcome for one message on its link.
type delivery struct {
	lost, corrupted bool
	copies          int
	delay           time.Duration    // in addition to the usual delay
	stalledBy       *membershipFault // the stall that delays it; nil: none
}

// links is the state of all links between members: the active faults and the queues of links with limited bandwidth.
type links struct {
	memberCount int
	lossRate    float64
	rng         *rand.Rand
	active      []*membershipFault
	freeAt      map[[2]int]time.Duration // when a link has sent its queue, by sender and receiver
}

// newLinks returns the links between n members, without faults.
func newLinks(n int, lossRate float64, seed uint64) links {
	return links{memberCount: n, lossRate: lossRate, rng: rand.New(rand.NewPCG(seed, 6)), freeAt: map[[2]int]time.Duration{}}
}

// deliver draws the delivery of a message of size bytes. A message on a stream is retransmitted until it arrives, so it
// is delayed instead of lost, except by a partition.
func (l *links) deliver(now time.Duration, from, to, size int, stream bool) delivery {
	outcome := delivery{copies: 1, lost: l.rng.Float64() < l.lossRate}
	for _, f := range l.active {
		if !f.Members.matches(from, l.memberCount) || !f.Peers.matches(to, l.memberCount) {
			if !f.Bidirectional || !f.Members.matches(to, l.memberCount) || !f.Peers.matches(from, l.memberCount) {
				continue
			}
		}
		switch f.Kind {
		case faultPartition:
			return delivery{lost: true}
		case faultStall:
			outcome.stalledBy = f
		case faultBandwidth:
			link := [2]int{from, to}
			start := max(now, l.freeAt[link])
			if start-now > maxLinkDelay {
				outcome.lost = true
				break
			}
			l.freeAt[link] = start + time.Duration(float64(size)/float64(f.BytesPerSecond)*float64(time.Second))
			outcome.delay += l.freeAt[link] - now
		case faultNoise:
			outcome.lost = outcome.lost || l.rng.Float64() < f.LossRate
			outcome.corrupted = outcome.corrupted || l.rng.Float64() < f.CorruptRate
			if l.rng.Float64() < f.DuplicateRate {
				outcome.copies = 2
			}
			if l.rng.Float64() < f.DelayRate {
				outcome.delay += time.Duration(l.rng.Float64() * float64(f.MaxDelayMS) * float64(time.Millisecond))
			}
		}
	}
	if stream {
		if outcome.lost || outcome.corrupted {
			outcome.delay += time.Duration(l.rng.Float64() * float64(time.Second))
		}
		outcome.lost, outcome.corrupted, outcome.copies = false, false, 1
	}
	return outcome
}

// startFault activates a fault of links.
func (l *links) startFault(f *membershipFault) { l.active = append(l.active, f) }

// endFault deactivates a fault of links.
func (l *links) endFault(f *membershipFault) {
	for i, x := range l.active {
		if x == f {
			l.active = append(l.active[:i:i], l.active[i+1:]...)
			return
		}
	}
}

// maxLinkDelay is the longest queueing delay on a link with limited bandwidth; messages beyond it are lost.
const maxLinkDelay = 500 * time.Millisecond
