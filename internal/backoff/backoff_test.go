package backoff

import (
	"slices"
	"testing"
	"time"
)

// busyService is a service with more callers than it can serve. It works on one call after the other, also on those whose caller
// has given up, and rejects a call that has waited for longer than timeout.
type busyService struct {
	callDuration time.Duration
	timeout      time.Duration
	freeAt       time.Duration
}

// call takes a call that arrives at a time. It returns when the call ends, and whether it was answered.
func (s *busyService) call(arrival time.Duration) (end time.Duration, answered bool) {
	wait := max(0, s.freeAt-arrival)
	if wait > 2*s.timeout { // its queue is full
		return arrival, false
	}
	s.freeAt = max(arrival, s.freeAt) + s.callDuration
	if wait+s.callDuration > s.timeout {
		return arrival + s.timeout, false
	}
	return arrival + wait + s.callDuration, true
}

// simulate has all gateways of a fleet call at once, and again after the delay that rejected returns, until all are answered or the time
// is over. It returns how many were answered, and when the last of them was.
func simulate(gateways int, duration time.Duration, rejected func(gateway int, elapsed time.Duration) time.Duration) (answered int, last time.Duration) {
	s := busyService{callDuration: 60 * time.Millisecond, timeout: 2 * time.Second}
	nextCall := make([]time.Duration, gateways) // -1 once answered
	for {
		caller := -1
		for i, at := range nextCall {
			if at >= 0 && at < duration && (caller < 0 || at < nextCall[caller]) {
				caller = i
			}
		}
		if caller < 0 {
			return answered, last
		}
		end, ok := s.call(nextCall[caller])
		if ok {
			answered++
			last = max(last, end)
			nextCall[caller] = -1
		} else {
			nextCall[caller] = end + rejected(caller, end-nextCall[caller])
		}
	}
}

// TestFleetStartIsAnswered has 80 gateways start at once beside a service that takes 60 ms for a call: all are answered, with any seeds,
// though no delay is over the bound.
func TestFleetStartIsAnswered(t *testing.T) {
	const gateways, duration = 80, 20 * time.Second
	for round := range uint64(50) {
		callers := make([]*Backoff, gateways)
		for i := range callers {
			callers[i] = New(gateways, round<<32|uint64(i))
		}
		answered, last := simulate(gateways, duration, func(i int, elapsed time.Duration) time.Duration { return callers[i].Rejected(elapsed, 0) })
		if answered < gateways || last > 15*time.Second {
			t.Errorf("round %d: %d of %d answered, the last after %v", round, answered, gateways, last)
		}
	}
	// Without a backoff callers are not answered, as the service never catches up.
	answered, _ := simulate(gateways, duration, func(int, time.Duration) time.Duration { return minDelay })
	if answered > gateways*3/4 {
		t.Errorf("%d of %d answered without a backoff: the service of this test is never overloaded", answered, gateways)
	}
}

// TestDelaysGrowUpToMax checks all delays against docs/standing.md: from a rejected call to the next it is at most MaxRejectedDelay,
// whatever the number of gateways, the failures and the Retry-After value. Up to there delays grow, and an answer resets them.
func TestDelaysGrowUpToMax(t *testing.T) {
	if MaxRejectedDelay > 3*time.Second || maxTwoRejectionsInterval > 5800*time.Millisecond {
		t.Errorf("rejected calls are %v apart, and two %v: with a connect and a call that is not answered that is over 6 s", MaxRejectedDelay,
			maxTwoRejectionsInterval)
	}
	const s = time.Second
	for _, gateways := range []int{1, 4, 20, 80, 300, 1 << 40} {
		for _, elapsed := range []time.Duration{0, s / 2, 2 * s, 10 * s} {
			for _, retryAfter := range []time.Duration{-s, 0, s, 7 * s, 30 * s, 1 << 62} {
				checkRejectedDelays(t, gateways, elapsed, retryAfter)
			}
		}
	}
	b := New(80, 1)
	for i := range 20 {
		delay, maxDelay := b.Failed(), MaxFailureDelay(i+1)
		if delay > maxDelay || delay < maxDelay/2 || i == 0 && delay != minDelay || maxDelay > 400*time.Millisecond {
			t.Errorf("failed call %d is repeated after %v", i+1, delay)
		}
	}
	sum := func(failures int) (sum time.Duration) {
		for seed := range uint64(100) {
			b := New(8, seed)
			for range failures - 1 {
				b.Rejected(0, 0)
			}
			sum += b.Rejected(0, 0)
		}
		return sum
	}
	if first, second, third := sum(1), sum(2), sum(3); second < first*3/2 || third < second*3/2 {
		t.Errorf("a hundred delays grow from %v to %v and %v", first, second, third)
	}
}

// checkRejectedDelays checks the bounds of the delays after forty rejections in a row and, for a small fleet, that an answer resets them.
func checkRejectedDelays(t *testing.T, gateways int, elapsed, retryAfter time.Duration) {
	t.Helper()
	b := New(gateways, uint64(gateways))
	lastInterval := time.Duration(0)
	for i := range 40 {
		delay := b.Rejected(elapsed, retryAfter)
		maxDelay := max(minDelay, MaxRejectedDelay-elapsed)
		minAtLimit := max(minDelay, MaxRejectedDelay-maxRejectedJitter-elapsed)
		if i > 0 {
			minAtLimit = max(minDelay, maxTwoRejectionsInterval-MaxRejectedDelay-elapsed)
		}
		outOfBounds := delay > maxDelay || delay < minDelay
		tooEarly := delay < min(retryAfter, minAtLimit)
		twoTooLong := i > 0 && delay > minDelay && lastInterval+elapsed+delay > maxTwoRejectionsInterval
		if outOfBounds || tooEarly || twoTooLong {
			t.Fatalf("%d gateways, failure %d, a call of %v, Retry-After %v: delay %v", gateways, i+1, elapsed, retryAfter, delay)
		}
		lastInterval = elapsed + delay
	}
	b.Succeeded()
	if gateways == 4 && elapsed == 0 && retryAfter == 0 {
		if delay := b.Rejected(0, 0); delay > 300*time.Millisecond {
			t.Errorf("one of four, rejected after an answer, waits %v", delay)
		}
	}
}

// TestJitterSpreadsFleet has 300 gateways be rejected at one time, also with one Retry-After value: no tenth of a second sees more than two
// fifths of them call again.
func TestJitterSpreadsFleet(t *testing.T) {
	for _, elapsed := range []time.Duration{0, time.Second} {
		for _, retryAfter := range []time.Duration{0, time.Second, time.Hour} {
			var delays []time.Duration
			for seed := range uint64(300) {
				delays = append(delays, New(300, seed).Rejected(elapsed, retryAfter))
			}
			low, high := slices.Min(delays), slices.Max(delays)
			if span := high - low; span < maxRejectedJitter*9/10 {
				t.Errorf("rejected after %v, Retry-After %v: all call within %v", elapsed, retryAfter, span)
			}
			slices.Sort(delays)
			for i, delay := range delays {
				end := i
				for end < len(delays) && delays[end] < delay+100*time.Millisecond {
					end++
				}
				if end-i > len(delays)*2/5 {
					t.Fatalf("rejected after %v, Retry-After %v: %d of %d call within a tenth of a second", elapsed, retryAfter, end-i, len(delays))
				}
			}
		}
	}
}

// TestShortDelays checks that a service that is unreachable but not overloaded is called again soon by any fleet: a change has to be known
// within seconds.
func TestShortDelays(t *testing.T) {
	for seed := range uint64(100) {
		few, many := New(4, seed), New(80, seed)
		for range 20 {
			if delay := few.Rejected(0, 0); delay > 1300*time.Millisecond {
				t.Errorf("one of four waits %v after rejections", delay)
			}
			if delay := many.Failed(); delay > 700*time.Millisecond {
				t.Errorf("one of eighty waits %v after failed calls", delay)
			}
		}
	}
}
