package backoff

import (
	"slices"
	"testing"
	"time"
)

// busyService is a service with more callers than it can serve. It processes one call at a time, including calls whose callers have
// given up. It rejects a call that is not answered within timeout, or at once if the queue is longer than twice the timeout.
type busyService struct {
	callDuration time.Duration
	timeout      time.Duration
	freeAt       time.Duration
}

// call simulates a call that arrives at the given time. It returns when the call ends, and whether it was answered.
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

// simulate has all gateways of a fleet call at once, and again after the delay that rejected returns, until all are answered or duration
// has passed. It returns how many were answered, and when the last answer came.
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

// TestFleetStartIsAnswered has 80 gateways start at once and call a service that takes 60 ms for a call. All are answered with each set
// of seeds, although the delays are bounded.
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
	// Without a backoff many callers are not answered, as the service never catches up.
	answered, _ := simulate(gateways, duration, func(int, time.Duration) time.Duration { return minDelay })
	if answered > gateways*3/4 {
		t.Errorf("%d of %d answered without a backoff: the simulated service is not overloaded", answered, gateways)
	}
}

// TestDelaysGrowUpToMax checks all delays against docs/standing.md: the time from a rejected call to the next is at most
// MaxRejectedDelay for any number of gateways and failures and any Retry-After value. Below that bound delays grow with the failures,
// and an answer resets them.
func TestDelaysGrowUpToMax(t *testing.T) {
	if MaxRejectedDelay > 3*time.Second || maxTwoRejectionsInterval > 5800*time.Millisecond {
		t.Errorf("the next call comes up to %v after a rejected one, and the call after that up to %v: a change may then be known only after 6 s",
			MaxRejectedDelay, maxTwoRejectionsInterval)
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
			t.Errorf("failed call %d: the delay %v is out of bounds", i+1, delay)
		}
	}
	totalDelay := func(failures int) (sum time.Duration) {
		for seed := range uint64(100) {
			b := New(8, seed)
			for range failures - 1 {
				b.Rejected(0, 0)
			}
			sum += b.Rejected(0, 0)
		}
		return sum
	}
	if first, second, third := totalDelay(1), totalDelay(2), totalDelay(3); second < first*3/2 || third < second*3/2 {
		t.Errorf("the sums of a hundred delays grow from %v to only %v and %v", first, second, third)
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
			t.Errorf("one of four gateways waits %v after its first rejection since an answer", delay)
		}
	}
}

// TestJitterSpreadsFleet has 300 gateways rejected at the same time, without or with the same Retry-After value. At most two fifths of them
// may call again within the same tenth of a second.
func TestJitterSpreadsFleet(t *testing.T) {
	for _, elapsed := range []time.Duration{0, time.Second} {
		for _, retryAfter := range []time.Duration{0, time.Second, time.Hour} {
			var delays []time.Duration
			for seed := range uint64(300) {
				delays = append(delays, New(300, seed).Rejected(elapsed, retryAfter))
			}
			low, high := slices.Min(delays), slices.Max(delays)
			if span := high - low; span < maxRejectedJitter*9/10 {
				t.Errorf("rejected after %v, Retry-After %v: all call again within %v", elapsed, retryAfter, span)
			}
			slices.Sort(delays)
			for i, delay := range delays {
				end := i
				for end < len(delays) && delays[end] < delay+100*time.Millisecond {
					end++
				}
				if end-i > len(delays)*2/5 {
					t.Fatalf("rejected after %v, Retry-After %v: %d of %d call again within a tenth of a second", elapsed, retryAfter, end-i, len(delays))
				}
			}
		}
	}
}

// TestShortDelays checks that a small fleet soon calls a service again that has rejected its calls, and that a fleet of any size soon calls
// a service again that is unreachable: changes have to be known within seconds.
func TestShortDelays(t *testing.T) {
	for seed := range uint64(100) {
		few, many := New(4, seed), New(80, seed)
		for range 20 {
			if delay := few.Rejected(0, 0); delay > 1300*time.Millisecond {
				t.Errorf("one of four gateways waits %v after rejections", delay)
			}
			if delay := many.Failed(); delay > 700*time.Millisecond {
				t.Errorf("one of eighty gateways waits %v after failed calls", delay)
			}
		}
	}
}
