package raftlog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/statemachine"
)

const (
	electionTicks       = 10  // a voter starts an election after 1 to 2 times this many ticks without a message from a leader
	heartbeatTicks      = 2   // between two heartbeats of the leader
	readIndexTicks      = 5   // between two ReadIndex requests when no read waits
	requestTimeoutTicks = 100 // after which a pending request is dropped
	snapshotRetryTicks  = 30  // after which a snapshot without a response is sent again
)

// Voter is one voting member of the cluster, or a learner that is about to become one. It is not safe for concurrent
// use.
//
// The caller calls Tick and Step and then, while Ready returns ok, persists the Update, calls Advance and sends the
// messages that Advance returns. After the process was suspended one Tick is enough, because a voter does not rely on ticks
// to prove that it leads.
type Voter struct {
	options              Options
	rawNode              *raft.RawNode
	storage              *raft.MemoryStorage
	state                *statemachine.State
	confState            *pb.ConfState
	rng                  *rand.Rand
	tick                 uint64       // calls of Tick since the start
	electionElapsed      int          // ticks without a message from a leader
	electionTimeout      int          // ticks after which an election starts
	pendingReady         *raft.Ready  // between Ready and Advance
	snapshotIndex        uint64       // index of the latest snapshot
	localSnapshot        *pb.Snapshot // made by compact, to be persisted with the next Update
	bytesSinceSnapshot   int          // of the entries after the latest snapshot
	outgoing             []Message
	acks                 map[uint64]statemachine.Ack // by holder, until they are forwarded or proposed
	renewals             map[uint64]renewal          // by holder
	pendingRequests      map[statemachine.Key]pendingRequest
	pendingReads         []pendingRead
	readIndexSequence    uint64            // of the latest ReadIndex request
	readIndexRequestedAt map[uint64]uint64 // tick of each ReadIndex request, by its sequence number
	confirmation         confirmation
	snapshotSentAt       map[uint64]uint64 // tick of the latest snapshot sent, by recipient
	err                  error             // why the voter stopped
}

// NewVoter starts a voter from its persisted state. It returns ErrInconsistentLog if the state contradicts itself.
func NewVoter(options Options, persisted PersistedState) (v *Voter, err error) {
	if options.CompactionEntries <= 0 {
		options.CompactionEntries = defaultCompactionEntries
	}
	v = &Voter{
		options:              options,
		storage:              raft.NewMemoryStorage(),
		state:                statemachine.New(),
		confState:            pb.EnsureConfState(nil),
		rng:                  rand.New(rand.NewPCG(options.Seed, options.ID)),
		acks:                 map[uint64]statemachine.Ack{},
		renewals:             map[uint64]renewal{},
		pendingRequests:      map[statemachine.Key]pendingRequest{},
		readIndexRequestedAt: map[uint64]uint64{},
		snapshotSentAt:       map[uint64]uint64{},
	}
	defer v.recoverPanic(&err)
	if !raft.IsEmptySnap(persisted.Snapshot) {
		if err := v.installSnapshot(persisted.Snapshot); err != nil {
			return nil, err
		}
	}
	v.state.InjectedFaults = options.InjectedFaults
	if persisted.HardState != nil {
		v.storage.SetHardState(persisted.HardState)
	}
	if err := v.storage.Append(persisted.Entries); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInconsistentLog, err)
	}
	v.rawNode, err = raft.NewRawNode(v.raftConfig())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInconsistentLog, err)
	}
	v.resetElectionTimer()
	return v, err
}

// raftConfig returns raft's configuration for this voter.
func (v *Voter) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        v.options.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   snapshotStorage{v.storage, v},
		Applied:                   v.state.Index,
		MaxSizePerMsg:             maxEntriesBytes,
		MaxCommittedSizePerReady:  4 * maxEntriesBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		StepDownOnRemoval:         true,
		Logger:                    raftLogger{},
	}
}

// recoverPanic turns a panic into ErrInconsistentLog and stops the voter; raft panics when the log contradicts a message.
// Callers must defer it.
func (v *Voter) recoverPanic(err *error) {
	if p := recover(); p != nil {
		v.err = fmt.Errorf("%w: %v", ErrInconsistentLog, p)
		*err = v.err
	}
}

// resetElectionTimer restarts the election timer with a new random timeout.
func (v *Voter) resetElectionTimer() {
	v.electionElapsed, v.electionTimeout = 0, electionTicks+v.rng.IntN(electionTicks)
}

// Tick advances time by TickInterval. Raft draws its own election timeouts from the system's entropy. So that they follow
// from the seed instead, the voter starts elections itself, and raft's own timeout is never reached.
func (v *Voter) Tick() (err error) {
	if v.err != nil {
		return v.err
	}
	defer v.recoverPanic(&err)
	v.tick++
	if v.IsLeader() {
		v.rawNode.Tick()
	} else {
		v.tickElection()
	}
	v.retrySnapshots()
	v.forwardAcks()
	v.requestReadIndex()
	v.expireRequests()
	return nil
}

// tickElection advances the election timer of a voter that does not lead, and starts an election when it runs out.
func (v *Voter) tickElection() {
	v.rawNode.TickQuiesced()
	v.electionElapsed++
	if v.electionElapsed < v.electionTimeout {
		return
	}
	v.resetElectionTimer()
	v.rawNode.Campaign() // does nothing if this voter is a learner
}

// retrySnapshots reports each snapshot to raft as failed when snapshotRetryTicks have passed since it was sent, so that raft
// sends a snapshot again if it has got no response.
func (v *Voter) retrySnapshots() {
	for _, id := range slices.Sorted(maps.Keys(v.snapshotSentAt)) {
		if v.tick-v.snapshotSentAt[id] >= snapshotRetryTicks {
			delete(v.snapshotSentAt, id)
			v.rawNode.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// IsLeader reports whether this voter considers itself the leader. Another voter may have been elected meanwhile.
func (v *Voter) IsLeader() bool { return v.rawNode.BasicStatus().RaftState == raft.StateLeader }

// Status is a voter's view of itself and of the cluster.
type Status struct {
	ID               uint64
	Term             uint64
	Leader           uint64 // 0 if unknown
	Applied          uint64 // index of the latest applied entry
	Checksum         uint64 // see statemachine.State
	Voters, Learners []uint64
	Joint            bool  // a joint-consensus change of the voters is in progress
	Err              error // why the voter stopped
}

// Status returns the voter's view of itself and of the cluster, for monitoring and for planning replacements of voters.
func (v *Voter) Status() Status {
	basic := v.rawNode.BasicStatus()
	return Status{
		ID:       v.options.ID,
		Term:     basic.GetTerm(),
		Leader:   basic.Lead,
		Applied:  v.state.Index,
		Checksum: v.state.Checksum,
		Voters:   slices.Clone(v.confState.GetVoters()),
		Learners: slices.Clone(v.confState.GetLearners()),
		Joint:    len(v.confState.GetVotersOutgoing()) > 0,
		Err:      v.err,
	}
}

// Step handles a message. It returns ErrMisdirected, codec.ErrMalformed, ErrOverloaded, the error that stopped the
// voter, or raft's error for a message that it dropped.
func (v *Voter) Step(message Message) (err error) {
	switch {
	case v.err != nil:
		return v.err
	case message.ClusterID != v.options.ClusterID || message.To != v.options.ID:
		return ErrMisdirected
	}
	defer v.recoverPanic(&err)
	switch message.Kind {
	case RaftKind:
		return v.stepRaft(message)
	case AcksKind:
		for _, ack := range message.Acks {
			v.collectAck(ack)
		}
	case CatchUpRequestKind:
		return v.handleCatchUpRequest(message)
	case RequestKind:
		return v.handleRequest(message)
	}
	return nil
}

// send queues a message for the next Advance. It drops the message if maxOutgoing are queued.
func (v *Voter) send(message Message) {
	if len(v.outgoing) >= maxOutgoing {
		return
	}
	message.ClusterID = v.options.ClusterID
	message.From = v.options.ID
	v.outgoing = append(v.outgoing, message)
}
