package backoff

import (
	"slices"
	"testing"
	"time"
)

// service is discovery with more callers than it can take: it works on a call for a time, one after the other, and
// on those whose caller has given up too. A call that has waited too long is turned away.
type service struct {
	each, patience time.Duration
	freeAt         time.Duration
}

// call takes a call that comes at a time: when its end is told, and whether it was answered.
func (s *service) call(at time.Duration) (time.Duration, bool) {
	wait := max(0, s.freeAt-at)
	if wait > 2*s.patience { // its queue is full
		return at, false
	}
	s.freeAt = max(at, s.freeAt) + s.each
	if wait+s.each > s.patience {
		return at + s.patience, false
	}
	return at + wait + s.each, true
}

// played has a fleet call until all are answered or the time is over: how many were, and by when the last.
func played(fleet int, over time.Duration, failed func(i int, took time.Duration) time.Duration) (int, time.Duration) {
	s := service{each: 60 * time.Millisecond, patience: 2 * time.Second}
	next := make([]time.Duration, fleet) // all at once
	answered, last := 0, time.Duration(0)
	for {
		who := -1
		for i, at := range next {
			if at >= 0 && at < over && (who < 0 || at < next[who]) {
				who = i
			}
		}
		if who < 0 {
			return answered, last
		}
		told, ok := s.call(next[who])
		if ok {
			answered, last, next[who] = answered+1, max(last, told), -1
		} else {
			next[who] = told + failed(who, told-next[who])
		}
	}
}

// TestAFleetThatStartsAtOnceIsAnswered has 80 gateways start at once beside a service that takes 60 ms a call: all are
// answered, with any seeds, though none waits for longer than the bound.
func TestAFleetThatStartsAtOnceIsAnswered(t *testing.T) {
	const fleet, over = 80, 20 * time.Second
	for round := range uint64(50) {
		callers := make([]*Backoff, fleet)
		for i := range callers {
			callers[i] = New(fleet, round<<32|uint64(i))
		}
		n, last := played(fleet, over, func(i int, took time.Duration) time.Duration { return callers[i].Rejected(took, 0) })
		if n < fleet || last > 15*time.Second {
			t.Errorf("round %d: %d of %d answered, the last after %v", round, n, fleet, last)
		}
	}
	// What it guards against: callers that come again at once are not answered, as the service never gets free.
	n, _ := played(fleet, over, func(int, time.Duration) time.Duration { return quickly })
	if n > fleet*3/4 {
		t.Errorf("%d of %d answered without a pace: the service of this test is never overrun", n, fleet)
	}
}

// TestWaitsGrowUpToTheBound holds all waits against what the page allows: from a call that was turned away to the next
// it is Apart at most, whatever the fleet, the failures and the wait asked for; up to there waits grow, and an
// answer ends that.
func TestWaitsGrowUpToTheBound(t *testing.T) {
	if MaxRejectedDelay > 3*time.Second || twoApart > 5800*time.Millisecond {
		t.Errorf("turned away calls are %v apart, and two %v: with a connect and a silent call that is over 6 s", MaxRejectedDelay, twoApart)
	}
	const s = time.Second
	for _, fleet := range []int{1, 4, 20, 80, 300, 1 << 40} {
		for _, took := range []time.Duration{0, s / 2, 2 * s, 10 * s} {
			for _, asked := range []time.Duration{-s, 0, s, 7 * s, 30 * s, 1 << 62} {
				c := New(fleet, uint64(fleet))
				before := time.Duration(0)
				for i := range 40 {
					d, most, least := c.Rejected(took, asked), max(quickly, MaxRejectedDelay-took), max(quickly, MaxRejectedDelay-spread-took)
					if i > 0 {
						least = max(quickly, twoApart-MaxRejectedDelay-took)
					}
					if d > most || d < quickly || d < min(asked, least) || i > 0 && d > quickly && before+took+d > twoApart {
						t.Fatalf("%d gateways, failure %d, a call of %v, asked for %v: waits %v", fleet, i+1, took, asked, d)
					}
					before = took + d
				}
				if c.Succeeded(); fleet == 4 && took == 0 && asked == 0 {
					if d := c.Rejected(0, 0); d > 300*time.Millisecond {
						t.Errorf("one of four, turned away after an answer, waits %v", d)
					}
				}
			}
		}
	}
	c := New(80, 1)
	for i := range 20 {
		if d, most := c.Failed(), MaxFailureDelay(i+1); d > most || d < most/2 || i == 0 && d != quickly || most > 400*time.Millisecond {
			t.Errorf("call %d that broke is made again after %v", i+1, d)
		}
	}
	sum := func(failures int) (sum time.Duration) {
		for seed := range uint64(100) {
			c := New(8, seed)
			for range failures - 1 {
				c.Rejected(0, 0)
			}
			sum += c.Rejected(0, 0)
		}
		return sum
	}
	if a, b, c := sum(1), sum(2), sum(3); b < a*3/2 || c < b*3/2 {
		t.Errorf("a hundred waits grow from %v to %v and %v", a, b, c)
	}
}

// TestNobodyComesInStep has 300 gateways be turned away at one time, also with one wait asked for: no tenth of a second
// sees more than two fifths of them come again.
func TestNobodyComesInStep(t *testing.T) {
	for _, took := range []time.Duration{0, time.Second} {
		for _, asked := range []time.Duration{0, time.Second, time.Hour} {
			var waits []time.Duration
			for seed := range uint64(300) {
				waits = append(waits, New(300, seed).Rejected(took, asked))
			}
			low, high := slices.Min(waits), slices.Max(waits)
			if span := high - low; span < spread*9/10 {
				t.Errorf("turned away after %v, asked for %v: all come within %v", took, asked, span)
			}
			slices.Sort(waits)
			for i, w := range waits {
				n := 0
				for n = i; n < len(waits) && waits[n] < w+100*time.Millisecond; n++ {
				}
				if n-i > len(waits)*2/5 {
					t.Fatalf("turned away after %v, asked for %v: %d of %d come within a tenth of a second", took, asked, n-i, len(waits))
				}
			}
		}
	}
}

// A service that is away, and not overrun, is asked again soon by any fleet: what it has to tell binds within seconds.
func TestSmallFleetsAndBrokenCallsAreSoonMadeAgain(t *testing.T) {
	for seed := range uint64(100) {
		few, many := New(4, seed), New(80, seed)
		for range 20 {
			if d := few.Rejected(0, 0); d > 1300*time.Millisecond {
				t.Errorf("one of four waits %v after failures", d)
			}
			if d := many.Failed(); d > 700*time.Millisecond {
				t.Errorf("one of eighty waits %v after calls that broke", d)
			}
		}
	}
}
