package raftlog

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/statemachine"
)

const (
	electionTicks  = 10 // an election after 1 to 2 s without a word of a leader
	heartbeatTicks = 2
	confirmEvery   = 5   // ticks between two questions to a quorum whether anything is missing
	askTicks       = 100 // a request waits so long
	snapTicks      = 30  // a snapshot that was not answered is sent again
)

// Options are a voter's settings.
type Options struct {
	Council uint64 // the founding, see Found
	ID      uint64 // see voters.Gateway.ID: new for a start without its disk
	Seed    uint64 // for elections; drawn anew with each start of the process
	Keep    int    // places in the log before it is compacted; 1024
	Flaws   statemachine.Flaws
	// Watch is told of every place in the order as it is applied here, if not nil; text is empty where the order keeps the place
	// for itself. Places that a snapshot brings are not told.
	Watch func(index uint64, text []byte)
}

// Image is what a voter has kept: nothing, what Found made, or what a store gives back.
type Image struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry // after the snapshot, without a gap
}

// Save is what must be kept before Saved is called. Compacted says that Snapshot was made here: the entries up to it may
// go and those after it stay. Without it a snapshot came from the leader, and replaces all entries.
type Save struct {
	Hard      *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // replace all from the first one's index on
	Compacted bool
	Sync      bool // must be on the disk; otherwise it may come later
}

// Found makes the image that every member of the first council starts from, and the council's number. It is for the first
// start of a fleet alone, with the same identities everywhere; whoever comes later starts from an empty Image.
func Found(ids []uint64) (council uint64, img Image, err error) {
	ids = slices.Sorted(slices.Values(ids))
	h := fnv.New64a()
	for _, id := range ids {
		h.Write(binary.BigEndian.AppendUint64(nil, id))
	}
	s := statemachine.New()
	s.Apply(1, nil)
	data, err := s.Encode()
	if err != nil {
		return 0, Image{}, err
	}
	conf := pb.EnsureConfState(&pb.ConfState{Voters: ids})
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))}}
	return max(h.Sum64(), 1), Image{Snapshot: snap, Hard: &pb.HardState{Term: new(uint64(1)), Vote: new(uint64), Commit: new(uint64(1))}}, nil
}

// Voter is one vote in the council. One goroutine uses it.
//
// The caller calls Tick, Step and Ask, and then, while Ready says so, keeps the Save and calls Saved, whose messages it sends.
// After a standstill of the process one Tick is enough: a voter trusts no ticks to prove that it leads.
type Voter struct {
	opt    Options
	rn     *raft.RawNode
	mem    *raft.MemoryStorage
	state  *statemachine.State
	conf   *pb.ConfState
	rng    *rand.Rand
	now    uint64 // ticks
	quiet  int    // ticks without a leader's word
	patent int    // ticks of that before an election
	staged *raft.Ready
	snapAt uint64       // the place of the last snapshot
	local  *pb.Snapshot // made here, to be kept with the next Save
	bytes  int          // of entries since the last snapshot
	out    []Message
	acks   map[uint64]statemachine.Ack
	seen   map[uint64]seen
	asks   map[statemachine.Key]ask
	reads  []read
	count  uint64 // questions to a quorum
	asked  map[uint64]uint64
	sure   confirmed
	snaps  map[uint64]uint64
	err    error
}

// NewVoter starts a voter from what it kept.
func NewVoter(opt Options, img Image) (v *Voter, err error) {
	if opt.Keep <= 0 {
		opt.Keep = keepEntries
	}
	v = &Voter{opt: opt, mem: raft.NewMemoryStorage(), state: statemachine.New(), conf: pb.EnsureConfState(nil), rng: rand.New(rand.NewPCG(opt.Seed, opt.ID)),
		acks: map[uint64]statemachine.Ack{}, seen: map[uint64]seen{}, asks: map[statemachine.Key]ask{}, asked: map[uint64]uint64{}, snaps: map[uint64]uint64{}}
	defer v.guard(&err)
	if !raft.IsEmptySnap(img.Snapshot) {
		if err := v.install(img.Snapshot); err != nil {
			return nil, err
		}
	}
	v.state.Flaws = opt.Flaws
	if img.Hard != nil {
		v.mem.SetHardState(img.Hard)
	}
	if err := v.mem.Append(img.Entries); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	v.rn, err = raft.NewRawNode(&raft.Config{ID: opt.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: storage{v.mem, v},
		Applied: v.state.Index, MaxSizePerMsg: maxFeed, MaxCommittedSizePerReady: 4 * maxFeed, MaxUncommittedEntriesSize: maxPending,
		MaxInflightMsgs: 32, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, Logger: quietLog{}})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	v.rest()
	return v, err
}

// guard turns a panic of raft, which it uses where the log contradicts what it is told, into ErrBroken.
func (v *Voter) guard(err *error) {
	if p := recover(); p != nil {
		v.err = fmt.Errorf("%w: %v", ErrBroken, p)
		*err = v.err
	}
}

// rest starts the wait for an election anew.
func (v *Voter) rest() { v.quiet, v.patent = 0, electionTicks+v.rng.IntN(electionTicks) }

// Tick lets TickEvery pass. Raft draws its own waits from the system's entropy; here they follow from the seed, so raft is told
// when to stand for election and its own wait is never reached.
func (v *Voter) Tick() (err error) {
	if v.err != nil {
		return v.err
	}
	defer v.guard(&err)
	v.now++
	if v.Leads() {
		v.rn.Tick()
	} else {
		v.rn.TickQuiesced()
		if v.quiet++; v.quiet >= v.patent {
			v.rest()
			v.rn.Campaign() // without a vote of its own nothing happens
		}
	}
	for _, id := range slices.Sorted(keys(v.snaps)) {
		if v.now-v.snaps[id] >= snapTicks {
			delete(v.snaps, id)
			v.rn.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
	v.renew()
	v.confirm()
	v.expire()
	return nil
}

// Leads says whether this voter takes itself for the leader. Another may have taken over unseen.
func (v *Voter) Leads() bool { return v.rn.BasicStatus().RaftState == raft.StateLeader }

// Status is what a voter knows of itself.
type Status struct {
	ID, Term, Leader, Applied, Chain uint64
	Voters, Learners                 []uint64
	Joint                            bool // a change of the council is under way
	Err                              error
}

// Status is for those who look at it, and for whoever plans changes of the council.
func (v *Voter) Status() Status {
	b := v.rn.BasicStatus()
	return Status{ID: v.opt.ID, Term: b.GetTerm(), Leader: b.Lead, Applied: v.state.Index, Chain: v.state.Chain, Err: v.err,
		Voters: slices.Clone(v.conf.GetVoters()), Learners: slices.Clone(v.conf.GetLearners()), Joint: len(v.conf.GetVotersOutgoing()) > 0}
}

// Step takes a message.
func (v *Voter) Step(m Message) (err error) {
	switch {
	case v.err != nil:
		return v.err
	case m.Council != v.opt.Council || m.To != v.opt.ID:
		return ErrForeign
	}
	defer v.guard(&err)
	switch m.Kind {
	case Raft:
		return v.stepRaft(m)
	case Acks:
		for _, a := range m.Acks {
			v.collect(a)
		}
	case PullKind:
		return v.feed(m)
	case AskKind:
		return v.ask(m)
	}
	return nil
}

func (v *Voter) send(m Message) {
	if m.Council, m.From = v.opt.Council, v.opt.ID; len(v.out) < maxOut {
		v.out = append(v.out, m)
	}
}
