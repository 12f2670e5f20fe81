package drain

import (
	"testing"
	"time"
)

// TestAllIsAnsweredBeforeTheKill holds the plan against the kill, which comes 0.7 s after the longest deadline (3 s where it
// is longer): whatever comes on a connection that is open, up to the end of the last, has its answer by then.
func TestAllIsAnsweredBeforeTheKill(t *testing.T) {
	start := time.Unix(1000, 0)
	for longest := 400 * time.Millisecond; longest <= 6*time.Second; longest += 50 * time.Millisecond {
		kill := start.Add(min(longest, 3*time.Second) + 700*time.Millisecond)
		for _, p := range []*Schedule{(*Schedule)(nil).Stop(start, longest), Start(start.Add(-time.Minute), longest).Stop(start, longest)} {
			for slot := range Slots {
				last := p.IdleDeadline(start.Add(-time.Hour), slot)
				for came := start; !came.After(last); came = came.Add(10 * time.Millisecond) {
					if end := came.Add(p.RequestTimeout(came, longest)); !end.Before(kill) {
						t.Fatalf("deadline %v: what comes after %v is answered %v after the kill", longest, came.Sub(start), end.Sub(kill))
					}
					if read := p.ReadDeadline(came, came.Add(10*time.Second)); !read.Before(kill) {
						t.Fatalf("deadline %v: what begins after %v may come in until the kill", longest, came.Sub(start))
					}
				}
			}
		}
	}
}

// TestNewcomersAreAnsweredBeforeTheKill holds the plan for clients that come after the stop, for as long as the listener is
// open and some may wait for a place, against the kill: also what begins to come in as their connection was about to end,
// and is whole as late as it may be, has its answer 0.13 s before it, and 0.05 s before the process begins to end itself.
func TestNewcomersAreAnsweredBeforeTheKill(t *testing.T) {
	start := time.Unix(1000, 0)
	for longest := 200 * time.Millisecond; longest <= 4*time.Second; longest += 100 * time.Millisecond {
		kill := start.Add(min(longest, 3*time.Second) + 700*time.Millisecond)
		for name, p := range map[string]*Schedule{"at once": (*Schedule)(nil).Stop(start, longest), "sent away before": Start(start.Add(-time.Minute), longest).Stop(start, longest)} {
			for born := start; born.Sub(start) <= 520*time.Millisecond; born = born.Add(10 * time.Millisecond) {
				last := p.IdleDeadline(born, Slots-1)
				if born.After(last) {
					t.Fatalf("deadline %v, %s: who comes after %v is ended unheard", longest, name, born.Sub(start))
				}
				for began := born; !began.After(last); began = began.Add(10 * time.Millisecond) {
					whole := p.ReadDeadline(began, began.Add(10*time.Second))
					if whole.Sub(began) < 50*time.Millisecond {
						t.Fatalf("deadline %v, %s: what begins after %v has %v to come in", longest, name, began.Sub(start), whole.Sub(began))
					}
					for _, came := range []time.Time{began, whole} {
						if left := kill.Sub(came.Add(p.RequestTimeout(came, longest))); left < 130*time.Millisecond && came.Sub(start) > 550*time.Millisecond {
							t.Fatalf("deadline %v, %s: who comes after %v and asks after %v is answered %v before the kill", longest, name,
								born.Sub(start), came.Sub(start), left)
						}
					}
				}
			}
		}
	}
}

// TestReturn: what held before another process took the clients holds once that is gone, unless this one ends.
func TestReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	if p := (*Schedule)(nil).Handover(now); !p.Final() || !p.HandsOver() || p.CancelHandover() != nil {
		t.Error("clients are not welcome again")
	}
	away := Start(now, 0)
	if p := away.Handover(now); !p.Final() || p.HandsOver() || *p.CancelHandover() != *away {
		t.Error("clients are not sent away as before")
	}
	for _, p := range []*Schedule{(*Schedule)(nil).Handover(now).Stop(now, 0), away.Handover(now).Stop(now, 0)} {
		if p.CancelHandover() != p || !p.Final() {
			t.Error("a process that ends takes clients again")
		}
	}
}
