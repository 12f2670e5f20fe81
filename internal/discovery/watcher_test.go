package discovery

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/internal/backoff"
	"cranegate/internal/metrics"
)

// TestSilentWatchReconnects has a watch stop being answered in each way, from its first call on or right after its first answer, which
// is the worst moment, and makes a change at once. The change must be notified within 6 s after the silence began, even if the first
// attempt to connect again fails.
func TestSilentWatchReconnects(t *testing.T) {
	for _, silence := range []string{"late silent", "late header", "late body", "late trickle", "deaf", "silent", "header", "body",
		"trickle", "hang", "refuse"} {
		for _, then := range []string{"live", "hang", "refuse"} {
			for seed := range uint64(20) {
				a := &fakeAgent{behaviours: []string{silence, then, "live"}, rev: 2}
				notifiedAt := runWatcher(t, a, 2, seed, 10*time.Second, func(*Watcher) {
					time.Sleep(firstWatchWait + time.Millisecond) // the second call has been made
					a.setRev(3)
				})
				if at, ok := notifiedAt["r3"]; !ok || at > silenceBound-100*time.Millisecond {
					t.Fatalf("%s, then %s, seed %d: notified %t after %v", silence, then, seed, ok, at)
				}
			}
		}
	}
}

// failures are all ways in which a call may fail. With the prefix "late" the first call is answered, and the watch call after it fails.
var failures = []string{"deaf", "silent", "header", "body", "trickle", "hang", "refuse", "reject", "reject-late", "retry-after", "cut", "slow silent", "slow reject-late"}

// TestAnyTwoFailures makes a change right after an answer or at the first call, and has the next two calls fail, each in every way. The
// agent has the change and counts as reachable all the time, so the change must still be notified within reachableBound.
func TestAnyTwoFailures(t *testing.T) {
	first := slices.Clone(failures)
	for _, failure := range failures {
		if failure != "hang" && failure != "refuse" && !strings.HasPrefix(failure, "slow") {
			first = append(first, "late "+failure)
		}
	}
	worst, order := time.Duration(0), ""
	for _, one := range first {
		for _, two := range failures {
			for seed := range uint64(3) {
				a := &fakeAgent{behaviours: []string{one, two, "live"}, rev: 2}
				notifiedAt := runWatcher(t, a, 2, seed, 12*time.Second, func(*Watcher) {
					if strings.HasPrefix(one, "late ") {
						time.Sleep(firstWatchWait + time.Millisecond) // the second call has been made
					}
					a.setRev(3)
				})
				at, ok := notifiedAt["r3"]
				if at > worst {
					worst, order = at, one+", then "+two
				}
				if !ok || at > reachableBound-100*time.Millisecond {
					t.Fatalf("%s, then %s, seed %d: notified %t after %v", one, two, seed, ok, at)
				}
			}
		}
	}
	t.Logf("the worst order takes %v: %s", worst, order)
}

// TestRecoveryAfterOutage has an agent fail in each way for a long time, and recover at different moments of a call and of the delay
// after it. A change must be notified within 6 s after the recovery, even if the first call after it is not answered or is rejected:
// the delay must not keep growing with the number of failures before.
func TestRecoveryAfterOutage(t *testing.T) {
	for _, failure := range failures {
		for _, then := range []string{"live", "silent", "reject-late", "retry-after"} {
			for seed := range uint64(6) {
				a := &fakeAgent{behaviours: []string{failure}, rev: 2}
				outage := 30*time.Second + time.Duration(seed)*550*time.Millisecond
				notifiedAt := runWatcher(t, a, 1, seed, outage+10*time.Second, func(*Watcher) {
					time.Sleep(outage)
					a.reset(2, then, "live")
				})
				limit := reachableBound - 100*time.Millisecond
				if then == "live" && failure != "reject" && failure != "retry-after" && failure != "reject-late" {
					limit = reachableBound - 2*time.Second
				}
				if at, ok := notifiedAt["r2"]; !ok || at < outage || at > outage+limit {
					t.Fatalf("%s, then %s, seed %d: notified %t after %v, with an outage of %v", failure, then, seed, ok, at, outage)
				}
				for i := 1; i < len(a.dialTimes); i++ {
					if gap := a.dialTimes[i].Sub(a.dialTimes[i-1]); gap < 100*time.Millisecond && a.dialTimes[i].Sub(a.dialTimes[0]) < outage {
						t.Fatalf("%s, seed %d: called again after %v", failure, seed, gap)
					}
				}
			}
		}
	}
}

// TestConnectionCloseIsNoFailure has the agent close the connection after each answer. That is not a failure: the next call waits for
// a change as it would on the old connection, and discovery is not called more often.
func TestConnectionCloseIsNoFailure(t *testing.T) {
	a := &fakeAgent{behaviours: []string{"closing"}, rev: 2}
	const duration, changeAt = 10 * time.Second, 5 * time.Second
	notifiedAt := runWatcher(t, a, 2, 1, duration, func(*Watcher) {
		time.Sleep(changeAt)
		a.reset(3, "closing")
	})
	if at, ok := notifiedAt["r3"]; !ok || at > changeAt+200*time.Millisecond {
		t.Errorf("notified %t after %v", ok, at)
	}
	if limit := int(duration/watchWait) + 3; len(a.queries) > limit || len(a.queries) < 4 {
		t.Errorf("%d calls in %v", len(a.queries), duration)
	}
	for _, query := range a.queries[1:] {
		if !strings.HasSuffix(query, fmt.Sprintf("&wait_ms=%d", watchWait.Milliseconds())) {
			t.Errorf("query %s", query)
		}
	}
}

// TestRejectionBackoff checks that a rejection is distinguished from other failures: the delay after it grows with the number of
// gateways.
func TestRejectionBackoff(t *testing.T) {
	a := &fakeAgent{behaviours: []string{"reject"}, rev: 2}
	runWatcher(t, a, 1, 1, 10*time.Second, nil)
	if len(a.dialTimes) < 2 || a.dialTimes[1].Sub(a.dialTimes[0]) < 2*time.Second {
		t.Errorf("one of 300 gateways was rejected and did not wait for 2 s: its calls are at %v", a.dialTimes)
	}
}

// TestAddressChange changes the address of a Watcher whose call waits or fails. The first connection to the new address may fail too;
// the change at the new address must be notified within 4 s.
func TestAddressChange(t *testing.T) {
	for _, old := range []string{"live", "silent", "hang", "refuse", "trickle", "reject"} {
		for _, next := range []string{"live", "deaf", "silent", "header", "body", "trickle", "hang", "refuse"} {
			for seed := range uint64(5) {
				const changeAt = 7 * time.Second
				a := &fakeAgent{behaviours: []string{old}, rev: 2}
				notifiedAt := runWatcher(t, a, 2, seed, changeAt+addressChangeBound, func(w *Watcher) {
					time.Sleep(changeAt)
					a.reset(3, next, "live")
					w.SetAddress("agent:2")
				})
				if _, ok := notifiedAt["r3"]; !ok {
					t.Fatalf("from %s to %s, seed %d: not notified within %v", old, next, seed, addressChangeBound)
				}
			}
		}
	}
}

// TestFirstCall checks the first call of a process that knows a list from its configuration. The call is made at once and waits for
// firstWatchWait only. FirstCallDone is closed when it ends, within a limit even if discovery does not answer.
func TestFirstCall(t *testing.T) {
	for behaviour, limit := range map[string]time.Duration{"live": 100 * time.Millisecond, "refuse": 0, "hang": dialTimeout, "reject": 0,
		"reject-late": 2 * time.Second, "cut": 0, "silent": firstWatchWait + firstAnswerGrace} {
		a := &fakeAgent{behaviours: []string{behaviour}, rev: 2}
		runWatcher(t, a, 2, 1, 5*time.Second, func(w *Watcher) {
			start := time.Now()
			<-w.FirstCallDone()
			if d := time.Since(start); d > limit {
				t.Errorf("%s: the first call ended after %v", behaviour, d)
			}
		})
	}
	a := &fakeAgent{behaviours: []string{"live"}, rev: 2}
	runWatcher(t, a, 2, 1, 10*time.Second, nil)
	for i, query := range a.queries {
		if want := []string{"?after=2&wait_ms=50", "?after=2&wait_ms=1500"}[min(i, 1)]; query != want {
			t.Errorf("call %d: %s, want %s", i, query, want)
		}
	}
	w := NewWatcher("", Snapshot{Rev: -1}, nil, backoff.New(1, 1), &metrics.Counters{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	<-w.FirstCallDone()
}

// TestTimeoutsFitDeadline checks the constants against the times that docs/standing.md gives, for one call and for each order in which
// two calls fail and the third is answered at once. The sums hold for any seed.
func TestTimeoutsFitDeadline(t *testing.T) {
	const firstDelay = 100 * time.Millisecond // of package backoff, after one failed call
	first, later := backoff.MaxFailureDelay(1), backoff.MaxFailureDelay(1000)
	second, firstCall, watch := backoff.MaxFailureDelay(2), firstWatchWait+firstAnswerGrace, watchWait+answerGrace
	if first != firstDelay {
		t.Errorf("the first delay is %v", first)
	}
	if answerGrace > answerBound || firstCall > addressChangeBound-firstDelay-dialTimeout-second {
		t.Error("a call may be silent for longer than its wait and 2 s, or an address change take longer than 4 s")
	}
	const margin = 100 * time.Millisecond // for a busy machine
	for order, sum := range map[string]time.Duration{
		"a silent watch, a silent connection":                        watch + first + dialTimeout + firstCall + second,
		"a silent watch, a rejected call":                            watch + first + backoff.MaxRejectedDelay,
		"a silent watch, no connect":                                 watch + first + dialTimeout + second,
		"rejected, a silent connection":                              backoff.MaxRejectedDelay + dialTimeout + firstCall + second,
		"rejected, a call answered late":                             backoff.MaxRejectedDelay + dialTimeout + firstCall,
		"an outage, its last call made too early, then a silent one": firstCall + later + dialTimeout + firstCall + later,
		"rejected twice":                                             2*backoff.MaxRejectedDelay - 200*time.Millisecond, // backoff.TestDelaysGrowUpToMax checks it
		"an outage, then rejected":                                   firstCall + later + backoff.MaxRejectedDelay,
		"a first list that goes silent":                              firstListTimeout + first + dialTimeout,
	} {
		t.Logf("%-60s %v", order, sum)
		if sum > reachableBound-margin {
			t.Errorf("%s: %v", order, sum)
		}
	}
	if backoff.MaxRejectedDelay < firstWatchWait+2*time.Second+firstDelay {
		t.Error("a service that rejects a call after 2 s is called again without a delay")
	}
}
