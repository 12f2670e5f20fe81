package routing

import "time"

// positionAt converts a clock time to a position, rounded up.
func (r *Router) positionAt(at time.Duration) int64 {
	return int64((at - r.cfg.PositionEpoch + time.Millisecond - 1) / time.Millisecond)
}

// requiredPosition returns the position that a read requires if it is sent now.
func (r *Router) requiredPosition(req *requestState) int64 {
	if req.class.Consistency == ConsistencyBounded {
		return r.positionAt(r.now - req.class.StalenessBound)
	}
	return req.minPosition
}

// presumedPosition returns the position that a member presumably has. If members check reads themselves and
// the primary is healthy, the member's lag is presumed to be the same as at its last report. A gateway with
// little traffic receives few reports, and a member that lags more than presumed rejects the read.
func (r *Router) presumedPosition(member *memberState) int64 {
	primary := member.group.primary()
	if r.cfg.StaleReads == StaleReadServed || primary == nil || r.unhealthy(primary) {
		return member.position
	}
	if member.position == 0 {
		return r.positionAt(r.now) // no report yet: treated no worse than a member whose report is old
	}
	return member.position + (r.now - member.positionReportedAt).Milliseconds()
}

// freshEnough reports whether a member may serve a read: its position suffices, or it is the primary.
func (r *Router) freshEnough(req *requestState, member *memberState) bool {
	required := r.requiredPosition(req)
	return required <= 0 || r.presumedPosition(member) >= required || member == req.group.primary()
}

// mayCatchUp reports whether a member that is not fresh enough may have caught up by the time it answers. It
// assumes that the member's position advances at twice the speed of the clock since its last report. Members
// that do not check reads are never sent any on such an assumption.
func (r *Router) mayCatchUp(req *requestState, member *memberState) bool {
	if r.cfg.StaleReads == StaleReadServed {
		return false
	}
	caughtUp := (r.now - member.positionReportedAt + r.cfg.CatchUpTimeout).Milliseconds()
	return r.presumedPosition(member)+caughtUp >= r.requiredPosition(req)
}
