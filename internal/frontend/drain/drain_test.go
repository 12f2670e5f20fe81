package drain

import (
	"testing"
	"time"
)

// shutdownStart is when the shutdowns of these tests begin.
var shutdownStart = time.Unix(1000, 0)

// killTime returns when a process is killed: 0.7 s after the longest deadline, of which at most 3 s count.
func killTime(longest time.Duration) time.Time {
	return shutdownStart.Add(min(longest, 3*time.Second) + 700*time.Millisecond)
}

// shutdowns returns the schedules of a shutdown that begins without a drain and of one that begins during a drain.
func shutdowns(longest time.Duration) map[string]*Schedule {
	return map[string]*Schedule{
		"no drain before": (*Schedule)(nil).Stop(shutdownStart, longest),
		"drained before":  Start(shutdownStart.Add(-time.Minute), longest).Stop(shutdownStart, longest),
	}
}

// TestAllIsAnsweredBeforeTheKill checks that every request that arrives on an open connection before its scheduled close is read and
// answered before the process is killed.
func TestAllIsAnsweredBeforeTheKill(t *testing.T) {
	for longest := 400 * time.Millisecond; longest <= 6*time.Second; longest += 50 * time.Millisecond {
		kill := killTime(longest)
		for _, s := range shutdowns(longest) {
			for slot := range Slots {
				last := s.IdleDeadline(shutdownStart.Add(-time.Hour), slot)
				for arrived := shutdownStart; !arrived.After(last); arrived = arrived.Add(10 * time.Millisecond) {
					after := arrived.Sub(shutdownStart)
					if end := arrived.Add(s.RequestTimeout(arrived, longest)); !end.Before(kill) {
						t.Fatalf("deadline %v: a request after %v is answered %v after the kill", longest, after, end.Sub(kill))
					}
					if read := s.ReadDeadline(arrived, arrived.Add(10*time.Second)); !read.Before(kill) {
						t.Fatalf("deadline %v: a message that begins after %v may be read until after the kill", longest, after)
					}
				}
			}
		}
	}
}

// TestNewClientsAreAnsweredBeforeTheKill checks the schedule for clients that are accepted during the shutdown, from the open
// listener or from the reject queue. A message that begins just before its connection is closed, and is complete only at its read
// deadline, is answered at least 0.13 s before the kill, and 0.05 s before the process begins to exit by itself.
func TestNewClientsAreAnsweredBeforeTheKill(t *testing.T) {
	for longest := 200 * time.Millisecond; longest <= 4*time.Second; longest += 100 * time.Millisecond {
		for name, s := range shutdowns(longest) {
			for accepted := time.Duration(0); accepted <= 520*time.Millisecond; accepted += 10 * time.Millisecond {
				checkNewClient(t, name, s, longest, shutdownStart.Add(accepted))
			}
		}
	}
}

// checkNewClient checks every time at which the message of a client accepted at acceptedAt may begin, in steps of 10 ms.
func checkNewClient(t *testing.T, name string, s *Schedule, longest time.Duration, acceptedAt time.Time) {
	t.Helper()
	accepted := acceptedAt.Sub(shutdownStart)
	last := s.IdleDeadline(acceptedAt, Slots-1)
	if acceptedAt.After(last) {
		t.Fatalf("deadline %v, %s: a client accepted after %v is closed unread", longest, name, accepted)
	}
	for began := acceptedAt; !began.After(last); began = began.Add(10 * time.Millisecond) {
		complete := s.ReadDeadline(began, began.Add(10*time.Second))
		if complete.Sub(began) < 50*time.Millisecond {
			t.Fatalf("deadline %v, %s: a message that begins after %v has %v to complete", longest, name, began.Sub(shutdownStart),
				complete.Sub(began))
		}
		for _, arrived := range []time.Time{began, complete} {
			left := killTime(longest).Sub(arrived.Add(s.RequestTimeout(arrived, longest)))
			if left < 130*time.Millisecond && arrived.Sub(shutdownStart) > 550*time.Millisecond {
				t.Fatalf("deadline %v, %s: a request after %v of a client accepted after %v is answered %v before the kill", longest, name,
					arrived.Sub(shutdownStart), accepted, left)
			}
		}
	}
}

// TestCancelHandover checks that CancelHandover restores the schedule from before the handover, unless this process is shutting down.
func TestCancelHandover(t *testing.T) {
	now := shutdownStart
	if s := (*Schedule)(nil).Handover(now); !s.Final() || !s.TransfersConnections() || s.CancelHandover() != nil {
		t.Error("a cancelled handover without an earlier drain is not undone")
	}
	drained := Start(now, 0)
	if s := drained.Handover(now); !s.Final() || s.TransfersConnections() || *s.CancelHandover() != *drained {
		t.Error("a cancelled handover does not restore the earlier drain")
	}
	for _, s := range []*Schedule{(*Schedule)(nil).Handover(now).Stop(now, 0), drained.Handover(now).Stop(now, 0)} {
		if s.CancelHandover() != s || !s.Final() {
			t.Error("CancelHandover has changed the schedule of a shutdown")
		}
	}
}
