package routing

import (
	"slices"
	"time"
)

// groupState is what the Router knows of a replication group: a primary and its replicas.
type groupState struct {
	number          int
	members         []*memberState // by id
	openRequests    int
	inEmptyGroups   bool
	searchIndex     int             // the member at which the search for the primary goes on
	searchAttempt   *attemptState   // the attempt of the search that is in flight
	nextSearchAt    time.Duration   // when the next round of the search may begin
	primaryWantedAt time.Duration   // when a request last found no member
	shedUntil       []time.Duration // by class: a latency objective after the last request that was shed
	unansweredShare float64         // share of the latest requests that ended unanswered
}

// primary is the usable member that last claimed to be the primary; nil if there is none.
func (g *groupState) primary() *memberState {
	for _, m := range g.members {
		if m.role == RolePrimary && m.usable {
			return m
		}
	}
	return nil
}

// findGroup returns a group, which it creates where necessary.
func (r *Router) findGroup(number int) *groupState {
	group := r.groups[number]
	if group == nil {
		group = &groupState{number: number, shedUntil: make([]time.Duration, len(r.cfg.Classes))}
		r.groups[number] = group
	}
	return group
}

// maxEmptyGroups bounds the groups without members that are remembered: clients may name any.
const maxEmptyGroups = 64

// closeGroupRequest counts a request of a group as ended. Beyond maxEmptyGroups it forgets the group
// without members that became idle first, unless that has requests or members again.
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
