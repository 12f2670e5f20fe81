package routing

import (
	"math"
	"slices"
	"strings"
	"time"
)

// This file holds containers; nothing is decided here.

// insert keeps members in order of ids. Like remove it makes a new list, as the old one may be walked.
func insertMember(list []*memberState, m *memberState) []*memberState {
	i, _ := slices.BinarySearchFunc(list, m, func(a, b *memberState) int { return strings.Compare(a.id, b.id) })
	return slices.Insert(slices.Clone(list), i, m)
}

// remove drops a member.
func removeMember(list []*memberState, m *memberState) []*memberState {
	return slices.DeleteFunc(slices.Clone(list), func(x *memberState) bool { return x == m })
}

// marks remembers the highest position of each session, up to a number of sessions.
type sessionMarks struct {
	positions map[string]int64
	order     []string // oldest first
}

// put raises a session's mark and drops the oldest session beyond most.
func (k *sessionMarks) put(session string, position int64, most int) {
	if k.positions == nil {
		k.positions = map[string]int64{}
	}
	if _, ok := k.positions[session]; !ok {
		k.order = append(k.order, session)
		if len(k.order) > most {
			delete(k.positions, k.order[0])
			k.order = k.order[1:]
		}
	}
	k.positions[session] = max(position, k.positions[session])
}

// decaying is a sum of which older parts count ever less: a part counts 1/e of itself after a time.
type decayingSum struct {
	sum float64
	at  time.Duration
}

// now is the sum as of a time.
func (d decayingSum) now(at, over time.Duration) float64 {
	return d.sum * math.Exp(-float64(at-d.at)/float64(over))
}

// add adds a part.
func (d *decayingSum) add(at, over time.Duration, part float64) {
	d.sum, d.at = d.now(at, over)+part, at
}

// find is the place of an attempt that is out; -1 if it is none, or there is no request.
func (q *requestState) attemptIndex(number int) int {
	if q == nil {
		return -1
	}
	return slices.IndexFunc(q.inFlight, func(x *attemptState) bool { return x.number == number })
}

// longest is the longest time that clients wait.
func (c *Config) maxDeadline() (most time.Duration) {
	for _, k := range c.Classes {
		most = max(most, k.Deadline)
	}
	return most
}

// ms gives a clock time as a position, rounded up.
func (r *Router) positionAt(t time.Duration) int64 {
	return int64((t - r.cfg.PositionEpoch + time.Millisecond - 1) / time.Millisecond)
}

// findGroup finds or makes a group.
func (r *Router) findGroup(number int) *groupState {
	g := r.groups[number]
	if g == nil {
		g = &groupState{number: number, shedUntil: make([]time.Duration, len(r.cfg.Classes))}
		r.groups[number] = g
	}
	return g
}

// maxEmptyGroups bounds the groups without members that are remembered: clients may name any.
const maxEmptyGroups = 64

// closeGroupRequest notes that a request of a group is over. The group without members that was left longest ago is
// forgotten past the bound, unless it has requests or members again.
func (r *Router) closeGroupRequest(g *groupState) {
	g.openRequests--
	if g.openRequests > 0 || len(g.members) > 0 || g.inEmptyGroups {
		return
	}
	g.inEmptyGroups = true
	r.emptyGroups = append(r.emptyGroups, g)
	if len(r.emptyGroups) <= maxEmptyGroups {
		return
	}
	oldest := r.emptyGroups[0]
	r.emptyGroups = slices.Delete(r.emptyGroups, 0, 1)
	oldest.inEmptyGroups = false
	if oldest.openRequests == 0 && len(oldest.members) == 0 {
		delete(r.groups, oldest.number)
	}
}

// Starts tells when members started that may still be cold, by their ids: as the list has told, or as their silence has
// shown before the list did.
func (r *Router) SlowStartTimes() map[string]time.Duration {
	starts := map[string]time.Duration{}
	for id, m := range r.members {
		if r.slowStartWeight(m) < 1 {
			starts[id] = m.startedAt
		}
	}
	return starts
}
