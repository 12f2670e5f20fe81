package routing

import (
	"slices"
	"time"
)

// groupState is the state of a replication group: a primary and its replicas.
type groupState struct {
	number        int
	members       []*memberState // sorted by id
	openRequests  int
	inEmptyGroups bool
	searchIndex   int           // index of the member that the search for the primary tries next
	searchAttempt *attemptState // the search's attempt that is in flight
	nextSearchAt  time.Duration // when the next round of the search may begin

	// primaryWantedAt is when a request that needs the primary last could not be sent to it, or when a read
	// last found no healthy member that could serve it.
	primaryWantedAt time.Duration
	shedUntil       []time.Duration // by class: one latency objective after the last request that was shed
	unansweredShare float64         // share of the latest requests that ended unanswered
}

// primary returns the usable member that is believed to be the primary, or nil if there is none.
func (g *groupState) primary() *memberState {
	for _, m := range g.members {
		if m.role == RolePrimary && m.usable {
			return m
		}
	}
	return nil
}

// findGroup returns the group with a number and creates it if necessary.
func (r *Router) findGroup(number int) *groupState {
	group := r.groups[number]
	if group == nil {
		group = &groupState{number: number, shedUntil: make([]time.Duration, len(r.cfg.Classes))}
		r.groups[number] = group
	}
	return group
}

// maxEmptyGroups limits the number of groups without members, as clients may name any group.
const maxEmptyGroups = 64

// closeGroupRequest records that a request of a group has ended. If there are more than maxEmptyGroups idle
// groups without members, it removes the one that became idle first, unless that group has requests or
// members again.
func (r *Router) closeGroupRequest(group *groupState) {
	group.openRequests--
	if group.openRequests > 0 || len(group.members) > 0 || group.inEmptyGroups {
		return
	}
	group.inEmptyGroups = true
	r.emptyGroups = append(r.emptyGroups, group)
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
