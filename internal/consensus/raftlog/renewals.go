package raftlog

import (
	"maps"
	"slices"

	"cranegate/internal/consensus/lease"
	"cranegate/internal/consensus/statemachine"
)

const (
	renewalTicks     = uint64(lease.RenewInterval / TickInterval)
	leaseExpiryTicks = uint64(lease.ExpiryWait / TickInterval)
	ackForwardTicks  = 2 // between two messages that forward acknowledgements to the leader
)

// renewal records the latest round of a lease that this voter has seen, and the tick at which it first saw that round.
type renewal struct{ round, seenAt uint64 }

// trackRenewals records the leases that were renewed since the last call, and forgets those that have ended. A voter sees a
// renewal after its holder requested it, so it may find a lease expired too late, but never too early.
func (v *Voter) trackRenewals() {
	leases := v.state.Leases()
	for _, ack := range leases {
		last, ok := v.renewals[ack.Holder]
		if !ok || last.round != ack.Round {
			v.renewals[ack.Holder] = renewal{round: ack.Round, seenAt: v.tick}
		}
	}
	if len(v.renewals) > len(leases) {
		maps.DeleteFunc(v.renewals, func(id uint64, _ renewal) bool {
			_, ok := v.state.Lease(id)
			return !ok
		})
	}
}

// collectAck stores the newest acknowledgement of each lease holder until it is forwarded or proposed.
func (v *Voter) collectAck(ack statemachine.Ack) {
	if ack.Holder == 0 {
		return
	}
	previous, known := v.acks[ack.Holder]
	isNewer := known && previous.Round < ack.Round
	hasRoom := !known && len(v.acks) < statemachine.MaxLeases
	if isNewer || hasRoom {
		v.acks[ack.Holder] = ack
	}
}

// forwardAcks sends the collected acknowledgements to the leader, if another voter leads. If this voter leads, it proposes
// them once per lease.RenewInterval.
func (v *Voter) forwardAcks() {
	leader := v.rawNode.BasicStatus().Lead
	isLeader := leader == v.options.ID
	switch {
	case isLeader && v.tick%renewalTicks == 0:
		v.proposeRenewals()
	case !isLeader && leader != 0 && len(v.acks) > 0 && v.tick%ackForwardTicks == 0:
		v.send(Message{To: leader, Kind: AcksKind, Acks: v.takeAcks()})
	}
}

// proposeRenewals proposes the collected acknowledgements and the expired leases, up to statemachine.MaxAcksPerCommand of
// them in one command. If a proposal fails, it and the remaining ones are dropped; holders whose leases were
// not renewed acknowledge again in the next interval.
func (v *Voter) proposeRenewals() {
	expired := v.expiredLeases()
	acks := v.takeAcks()
	for len(acks)+len(expired) > 0 {
		command := statemachine.Command{Op: statemachine.Renew}
		count := min(len(expired), statemachine.MaxAcksPerCommand)
		command.ExpiredLeases, expired = expired[:count], expired[count:]
		count = min(len(acks), statemachine.MaxAcksPerCommand-count)
		command.Acks, acks = acks[:count], acks[count:]
		data, err := command.Encode()
		if err != nil || v.rawNode.Propose(data) != nil {
			return
		}
	}
}

// expiredLeases returns the leases whose current round this voter first saw at least leaseExpiryTicks ago, ordered by
// holder.
func (v *Voter) expiredLeases() (expired []statemachine.Ack) {
	for _, ack := range v.state.Leases() {
		last := v.renewals[ack.Holder]
		if last.round == ack.Round && v.tick-last.seenAt >= leaseExpiryTicks {
			expired = append(expired, statemachine.Ack{Holder: ack.Holder, Round: ack.Round})
		}
	}
	return expired
}

// takeAcks removes and returns the collected acknowledgements, ordered by holder.
func (v *Voter) takeAcks() (all []statemachine.Ack) {
	for _, id := range slices.Sorted(maps.Keys(v.acks)) {
		all = append(all, v.acks[id])
	}
	clear(v.acks)
	return all
}
