package statemachine

import "slices"

// applyRenewals applies a Renew command: it ends the expired leases, and renews or grants a lease for each acknowledgement.
// A new lease is granted only to a holder that has acknowledged every restriction. A lease is renewed unless its holder
// has left a restriction unacknowledged for more than GraceRenewals Renew commands. A restriction is therefore complete at
// the latest after those commands and the expiry of one lease. A holder that is not renewed keeps its lease until it
// expires.
func (s *State) applyRenewals(command Command) {
	for _, expired := range command.ExpiredLeases {
		lease := s.leases[expired.Holder]
		if lease == nil {
			continue
		}
		wasRenewed := lease.Round != expired.Round
		if !wasRenewed || s.InjectedFaults.ExpireAnyRound {
			delete(s.leases, expired.Holder)
		}
	}
	requiredIndex := s.countRenewal()
	for _, ack := range command.Acks {
		s.renewLease(ack, requiredIndex)
	}
	s.completeRestrictions()
}

// countRenewal counts a Renew command for each incomplete restriction. It returns the log index of the latest restriction
// that has been incomplete for more than GraceRenewals Renew commands, 0 if there is none.
func (s *State) countRenewal() (requiredIndex uint64) {
	for i := range s.restrictions {
		s.restrictions[i].Renewals++
		if s.restrictions[i].Renewals > GraceRenewals {
			requiredIndex = s.restrictions[i].Index
		}
	}
	return requiredIndex
}

// renewLease renews or grants the lease of one holder. A renewal requires that the holder has acknowledged requiredIndex.
func (s *State) renewLease(ack Ack, requiredIndex uint64) {
	if ack.Holder == 0 || ack.Index > s.Index {
		return
	}
	lease := s.leases[ack.Holder]
	switch {
	case lease == nil && ack.Index >= s.lastRestriction && len(s.leases) < MaxLeases:
		s.leases[ack.Holder] = &ack
	case lease != nil && ack.Round > lease.Round && ack.Index >= requiredIndex:
		lease.Round = ack.Round
		lease.Index = max(lease.Index, ack.Index)
	}
}

// completeRestrictions removes the restrictions that every lease holder has acknowledged, and brings into force the pending
// values that waited for them.
func (s *State) completeRestrictions() {
	acknowledged := s.Index
	for _, lease := range s.leases {
		acknowledged = min(acknowledged, lease.Index)
	}
	s.restrictions = slices.DeleteFunc(s.restrictions, func(r Restriction) bool { return r.Index <= acknowledged })
	for _, register := range s.registers {
		pending := register.Pending
		if pending == nil || s.HasIncompleteRestriction(pending.Index) {
			continue
		}
		s.registerBytes -= len(register.Value)
		register.Value, register.Index = pending.Value, pending.Index
		register.Pending, register.Restricts = nil, false
	}
}
