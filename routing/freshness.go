package routing

import "time"

// positionAt converts a clock time to a position, rounded up.
func (r *Router) positionAt(at time.Duration) int64 {
	return int64((at - r.cfg.PositionEpoch + time.Millisecond - 1) / time.Millisecond)
}

// requiredPosition is the position that a read requires if it is sent now.
func (r *Router) requiredPosition(req *requestState) int64 {
	if req.class.Consistency == ConsistencyBounded {
		return r.positionAt(r.now - req.class.StalenessBound)
	}
	return req.minPosition
}

// presumedPosition is the position that a member has. Where members check reads themselves, its lag is
// presumed to be what it was when it last reported, as long as the primary is healthy: a gateway with
// little traffic hears of positions seldom, and a member that lags more rejects the read.
func (r *Router) presumedPosition(member *memberState) int64 {
	primary := member.group.primary()
	if r.cfg.StaleReads == StaleReadServed || primary == nil || r.unhealthy(primary) {
		return member.position
	}
	if member.position == 0 {
		return r.positionAt(r.now) // never heard: treated no worse than one that was not heard for long
	}
	return member.position + (r.now - member.positionAt).Milliseconds()
}

// freshEnough reports whether a member may serve a read: its position suffices, or it is the primary.
func (r *Router) freshEnough(req *requestState, member *memberState) bool {
	required := r.requiredPosition(req)
	return required <= 0 || r.presumedPosition(member) >= required || member == req.group.primary()
}

// mayCatchUp reports whether a member that is not fresh enough may be by now, if it has caught up since its
// last report at twice the pace of time. Members that do not check reads can't be asked on such a guess.
func (r *Router) mayCatchUp(req *requestState, member *memberState) bool {
	if r.cfg.StaleReads == StaleReadServed {
		return false
	}
	caughtUp := (r.now - member.positionAt + r.cfg.CatchUpTimeout).Milliseconds()
	return r.presumedPosition(member)+caughtUp >= r.requiredPosition(req)
}
