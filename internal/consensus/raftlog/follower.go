package raftlog

import (
	"math/rand/v2"
	"slices"
	"time"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/lease"
	"cranegate/internal/consensus/statemachine"
)

// staleAfter is the age of a feed from which on another voter is asked.
const staleAfter = 3 * lease.Period

// Follower is a gateway's copy of the facts with its lease on them, whether the gateway votes or not: it pulls from a voter
// once a period. One goroutine uses it, or a lock guards it.
type Follower struct {
	council, id uint64
	rng         *rand.Rand
	state       *statemachine.State
	lease       *lease.Holder
	voters      []uint64
	to          uint64 // whom it pulls from
	nonce       uint64
	sent        time.Duration // of the pull that is out
	pullAt      time.Duration
	heard       time.Duration
	sure        time.Duration // when nothing settled was missing
	known       bool
	now         time.Duration
}

// NewFollower is a follower that knows some voters. The identity and the seed are new with every start of the process, so the
// identity is another than the one a voter with a disk keeps: a lease is forgotten with the process that held it.
func NewFollower(council, id, seed uint64, voters []uint64) *Follower {
	f := &Follower{council: council, id: id, rng: rand.New(rand.NewPCG(seed, id)), state: statemachine.New(), lease: lease.New(id), voters: slices.Clone(voters)}
	f.turn()
	return f
}

// SetVoters tells of voters from elsewhere (the membership), for when all that were known are gone.
func (f *Follower) SetVoters(ids []uint64) { f.voters = slices.Clone(ids) }

// ID is the identity it holds its lease under.
func (f *Follower) ID() uint64 { return f.id }

// Lease is the lease on the facts.
func (f *Follower) Lease() *lease.Holder { return f.lease }

// Facts is the copy of the facts, for reading.
func (f *Follower) Facts() *statemachine.State { return f.state }

// turn takes another voter to pull from, at random so that followers spread.
func (f *Follower) turn() {
	if len(f.voters) == 0 {
		return
	}
	i := f.rng.IntN(len(f.voters))
	if f.voters[i] == f.to {
		i = (i + 1) % len(f.voters)
	}
	f.to = f.voters[i]
}

// Tick lets time pass; now is a monotonic reading. It is called every tenth of a second or so, and right after a standstill.
func (f *Follower) Tick(now time.Duration) []Message {
	f.now = max(f.now, now)
	if f.now < f.pullAt {
		return nil
	}
	if f.now-f.heard > 2*lease.Period {
		f.heard = f.now
		f.turn()
	}
	if f.to == 0 {
		return nil
	}
	f.pullAt = f.now + lease.Period
	f.nonce++
	f.sent = f.now
	p := &Pull{Applied: f.state.Index, Nonce: f.nonce, Ack: f.lease.Ask(f.now, f.state.Index)}
	return []Message{{Council: f.council, From: f.id, To: f.to, Kind: PullKind, Pull: p}}
}

// Step takes a Feed. One that leaves a gap, or that is not the answer to the last pull, is passed over.
func (f *Follower) Step(now time.Duration, m Message) error {
	f.now = max(f.now, now)
	if m.Council != f.council || m.To != f.id {
		return ErrForeign
	}
	if m.Kind != FeedKind || m.Feed == nil {
		return codec.ErrMalformed
	}
	x := m.Feed
	if len(x.Snapshot) > 0 {
		s, err := statemachine.Restore(x.Snapshot)
		if err != nil {
			return err
		}
		if s.Index > f.state.Index {
			s.Flaws = f.state.Flaws
			f.state = s
		}
	}
	for _, e := range x.Entries {
		if e.Index == f.state.Index+1 {
			f.state.Apply(e.Index, e.Text)
		}
	}
	f.lease.Applied(f.state)
	if x.Nonce != f.nonce {
		return nil
	}
	if x.Age < staleAfter {
		f.heard = f.now // a voter that was taken out, or is cut off, is turned from like one that is silent
	}
	if len(x.Voters) > 0 && len(x.Voters) <= 16 {
		f.voters = x.Voters
	}
	if at := f.sent - x.Age; x.Age != Unknown && x.Age >= 0 && x.Index <= f.state.Index && (!f.known || at > f.sure) {
		f.sure, f.known = at, true
	}
	if x.More {
		f.pullAt = f.now
	}
	return nil
}

// Read is a register as this gateway knows it, with the place in the order and how old that is.
func (f *Follower) Read(now time.Duration, name string) Reading {
	f.now = max(f.now, now)
	age := Unknown
	if f.known {
		age = f.now - f.sure
	}
	return reading(f.state, name, age)
}

// Begin checks the lease right before the first byte of an act that this copy of the facts allows; see lease.Holder. The facts
// are read and Begin is called without a Step between, or the act would bear a later place than the one it stands on.
func (f *Follower) Begin(now time.Duration) (lease.Act, error) {
	return f.lease.Begin(now, f.state.Index)
}
