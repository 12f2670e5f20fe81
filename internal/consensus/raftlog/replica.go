package raftlog

import (
	"math/rand/v2"
	"slices"
	"time"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/lease"
	"cranegate/internal/consensus/statemachine"
)

// maxVoterStaleness is the age of a voter's state from which on its responses count as stale. A replica that gets only
// stale responses for more than two renewal intervals switches to another voter.
const maxVoterStaleness = 3 * lease.RenewInterval

// Replica is a gateway's copy of the replicated state machine and its lease on it, whether the gateway votes or not.
// It requests committed entries from one voter once per lease.RenewInterval. It is not safe for concurrent use.
type Replica struct {
	clusterID, id uint64
	rng           *rand.Rand
	state         *statemachine.State
	lease         *lease.Holder
	voters        []uint64
	source        uint64        // the voter that it requests entries from, 0 for none
	nonce         uint64        // number of the latest request
	requestSentAt time.Duration // of the latest request
	nextRequestAt time.Duration
	lastFreshAt   time.Duration // time of the latest response that was not stale, or of the latest switch of source
	confirmedAt   time.Duration // when a quorum confirmed that no committed entry was missing
	confirmed     bool          // whether confirmedAt is valid
	now           time.Duration
}

// NewReplica returns a replica that knows some voters. The identity and the seed must be new ones at every start of the
// process, because a restarted process no longer knows the lease that it held. The identity therefore differs from the
// identity of the gateway's voter, which stays the same over restarts if the voter has a disk.
func NewReplica(clusterID, id, seed uint64, voters []uint64) *Replica {
	r := &Replica{
		clusterID: clusterID,
		id:        id,
		rng:       rand.New(rand.NewPCG(seed, id)),
		state:     statemachine.New(),
		lease:     lease.New(id),
		voters:    slices.Clone(voters),
	}
	r.switchSource()
	return r
}

// SetVoters replaces the known voters with a list from another source (the membership). It is meant for the case that the
// replica can reach none of the voters that it knows.
func (r *Replica) SetVoters(ids []uint64) { r.voters = slices.Clone(ids) }

// ID returns the identity under which the replica holds its lease.
func (r *Replica) ID() uint64 { return r.id }

// Lease returns the replica's lease on the state.
func (r *Replica) Lease() *lease.Holder { return r.lease }

// State returns the replicated state, which the caller must not change.
func (r *Replica) State() *statemachine.State { return r.state }

// switchSource chooses another voter to catch up from, at random so that replicas spread over the voters.
func (r *Replica) switchSource() {
	if len(r.voters) == 0 {
		return
	}
	i := r.rng.IntN(len(r.voters))
	if r.voters[i] == r.source {
		i = (i + 1) % len(r.voters)
	}
	r.source = r.voters[i]
}

// Tick advances time to now, a monotonic clock reading, and returns the messages to send. It must be called about every
// 100 ms, and immediately after the process was suspended.
func (r *Replica) Tick(now time.Duration) []Message {
	r.now = max(r.now, now)
	if r.now < r.nextRequestAt {
		return nil
	}
	if r.now-r.lastFreshAt > 2*lease.RenewInterval {
		r.lastFreshAt = r.now
		r.switchSource()
	}
	if r.source == 0 {
		return nil
	}
	r.nextRequestAt = r.now + lease.RenewInterval
	r.nonce++
	r.requestSentAt = r.now
	request := &CatchUpRequest{Applied: r.state.Index, Nonce: r.nonce, Ack: r.lease.Acknowledge(r.now, r.state.Index)}
	return []Message{{ClusterID: r.clusterID, From: r.id, To: r.source, Kind: CatchUpRequestKind, CatchUpRequest: request}}
}

// Step handles a CatchUpResponse. It ignores entries that would leave a gap. Only the response to the latest request updates
// how fresh the state is. Step returns ErrMisdirected, codec.ErrMalformed, or the error of decoding a snapshot.
func (r *Replica) Step(now time.Duration, message Message) error {
	r.now = max(r.now, now)
	if message.ClusterID != r.clusterID || message.To != r.id {
		return ErrMisdirected
	}
	if message.Kind != CatchUpResponseKind || message.CatchUpResponse == nil {
		return codec.ErrMalformed
	}
	response := message.CatchUpResponse
	if err := r.apply(response); err != nil {
		return err
	}
	if response.Nonce == r.nonce {
		r.updateFreshness(response)
	}
	return nil
}

// apply applies the snapshot and the entries of a response to the local state, and updates the lease from it.
func (r *Replica) apply(response *CatchUpResponse) error {
	if len(response.Snapshot) > 0 {
		snapshot, err := statemachine.Restore(response.Snapshot)
		if err != nil {
			return err
		}
		if snapshot.Index > r.state.Index {
			snapshot.InjectedFaults = r.state.InjectedFaults
			r.state = snapshot
		}
	}
	for _, entry := range response.Entries {
		if entry.Index == r.state.Index+1 {
			r.state.Apply(entry.Index, entry.Data)
		}
	}
	r.lease.ObserveState(r.state)
	return nil
}

// updateFreshness evaluates the response to the latest request. Only a fresh response counts as contact with the voter, so
// that the replica switches away from a voter that was removed or partitioned, as from one that does not respond.
func (r *Replica) updateFreshness(response *CatchUpResponse) {
	if response.Age < maxVoterStaleness {
		r.lastFreshAt = r.now
	}
	if len(response.Voters) > 0 && len(response.Voters) <= maxVoters {
		r.voters = response.Voters
	}
	isComplete := response.Age != UnknownAge && response.Age >= 0 && response.ConfirmedIndex <= r.state.Index
	confirmedAt := r.requestSentAt - response.Age
	if isComplete && (!r.confirmed || confirmedAt > r.confirmedAt) {
		r.confirmedAt, r.confirmed = confirmedAt, true
	}
	if response.More {
		r.nextRequestAt = r.now
	}
}

// Read returns a register from the local copy, with its log index and an upper bound of its age.
func (r *Replica) Read(now time.Duration, register string) ReadResult {
	r.now = max(r.now, now)
	age := UnknownAge
	if r.confirmed {
		age = r.now - r.confirmedAt
	}
	return readRegister(r.state, register, age)
}

// Begin checks the lease immediately before the first byte of an operation that the local state permits; see
// lease.Holder.Begin. The caller must not call Step between reading the state and Begin: the operation would carry a
// later log index than the one that it depends on.
func (r *Replica) Begin(now time.Duration) (lease.Operation, error) {
	return r.lease.Begin(now, r.state.Index)
}
