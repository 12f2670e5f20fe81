package raftlog

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/lease"
	"cranegate/internal/consensus/statemachine"
)

const (
	periodTicks = uint64(lease.Period / TickEvery)
	endedTicks  = uint64(lease.Ended / TickEvery)
	passTicks   = 2 // between two messages with acknowledgements to the leader
)

// seen is when this voter saw a lease renewed.
type seen struct{ round, at uint64 }

// ask is a request that waits for its place in the order.
type ask struct{ from, at uint64 }

// read waits for a quorum.
type read struct {
	from, id, count, at uint64
	name                string
}

// confirmed is the last word of a quorum: all that was settled at tick at stands at or before index.
type confirmed struct{ index, count, at uint64 }

// see looks for leases that were renewed. A renewal is seen after it was asked for, so waiting counts from too late at worst.
func (v *Voter) see() {
	all := v.state.Holders()
	for _, a := range all {
		if s, ok := v.seen[a.Holder]; !ok || s.round != a.Round {
			v.seen[a.Holder] = seen{a.Round, v.now}
		}
	}
	if len(v.seen) > len(all) {
		maps.DeleteFunc(v.seen, func(id uint64, _ seen) bool { _, ok := v.state.Holder(id); return !ok })
	}
}

func (v *Voter) collect(a statemachine.Ack) {
	if old, ok := v.acks[a.Holder]; a.Holder != 0 && (ok && old.Round < a.Round || !ok && len(v.acks) < statemachine.MaxHolders) {
		v.acks[a.Holder] = a
	}
}

// renew hands on the acknowledgements of a period: to the leader, or as the leader to the order, in one command for up to
// facts.MaxAcks of them, with the leases that have ended.
func (v *Voter) renew() {
	lead := v.rn.BasicStatus().Lead
	if lead != v.opt.ID {
		if lead != 0 && len(v.acks) > 0 && v.now%passTicks == 0 {
			v.send(Message{To: lead, Kind: Acks, Acks: v.taken()})
		}
		return
	}
	if v.now%periodTicks != 0 {
		return
	}
	var ended []statemachine.Ack
	for _, a := range v.state.Holders() {
		if s := v.seen[a.Holder]; s.round == a.Round && v.now-s.at >= endedTicks {
			ended = append(ended, statemachine.Ack{Holder: a.Holder, Round: a.Round})
		}
	}
	acks := v.taken()
	for len(acks)+len(ended) > 0 {
		c := statemachine.Command{Op: statemachine.Renew}
		n := min(len(ended), statemachine.MaxAcks)
		c.Ended, ended = ended[:n], ended[n:]
		n = min(len(acks), statemachine.MaxAcks-n)
		c.Acks, acks = acks[:n], acks[n:]
		if text, err := c.Encode(); err != nil || v.rn.Propose(text) != nil {
			return // who is not renewed asks again
		}
	}
}

func (v *Voter) taken() (all []statemachine.Ack) {
	for _, id := range slices.Sorted(maps.Keys(v.acks)) {
		all = append(all, v.acks[id])
	}
	clear(v.acks)
	return all
}

// confirm asks a quorum whether anything settled is missing here. The question bears the voter's identity and the seed of its start,
// so that no answer to another's or to one before a restart is taken for it.
func (v *Voter) confirm() {
	waiting := slices.ContainsFunc(v.reads, func(r read) bool { return r.count == v.count+1 })
	if v.rn.BasicStatus().Lead == 0 || !waiting && v.now%confirmEvery != 0 {
		return
	}
	v.count++
	v.asked[v.count] = v.now
	delete(v.asked, v.count-64)
	b := binary.BigEndian.AppendUint64(nil, v.opt.ID)
	b = binary.BigEndian.AppendUint64(b, v.opt.Seed)
	v.rn.ReadIndex(binary.BigEndian.AppendUint64(b, v.count))
}

func (v *Voter) confirmed(r raft.ReadState) {
	b := r.RequestCtx
	if len(b) != 24 || binary.BigEndian.Uint64(b) != v.opt.ID || binary.BigEndian.Uint64(b[8:]) != v.opt.Seed {
		return
	}
	count := binary.BigEndian.Uint64(b[16:])
	if at, ok := v.asked[count]; ok && count > v.sure.count {
		v.sure = confirmed{index: r.Index, count: count, at: at}
	}
}

// fresh says how old what is applied here is at most.
func (v *Voter) fresh() time.Duration {
	if v.sure.count == 0 || v.sure.index > v.state.Index {
		return Unknown
	}
	return time.Duration(v.now-v.sure.at+1) * TickEvery
}

func (v *Voter) serveReads() {
	if v.sure.index > v.state.Index {
		return
	}
	v.reads = slices.DeleteFunc(v.reads, func(r read) bool {
		if r.count > v.sure.count {
			return false
		}
		v.send(Message{To: r.from, Kind: AnswerKind, Answer: &Answer{Read: r.id, Reading: reading(v.state, r.name, v.fresh())}})
		return true
	})
}

func reading(s *statemachine.State, name string, age time.Duration) Reading {
	r, settled, found := s.Get(name)
	return Reading{Register: r, Found: found, Settled: settled, Index: s.Index, Age: age}
}

// ask takes a request. Who asked before and lost the answer gets the one that is kept.
func (v *Voter) ask(m Message) error {
	if m.Ask == nil {
		return codec.ErrMalformed
	}
	if m.Ask.Read != 0 {
		if len(v.reads) >= maxReads {
			return ErrCrowded
		}
		v.reads = append(v.reads, read{from: m.From, id: m.Ask.Read, name: m.Ask.Name, count: v.count + 1, at: v.now})
		return nil
	}
	c, err := statemachine.Decode(m.Ask.Text)
	if err != nil || c.Op == statemachine.Renew {
		return fmt.Errorf("%w: asked by %d: %w", statemachine.ErrCommand, m.From, err)
	}
	if r, ok := v.state.Answer(c.Key); ok && !v.opt.Flaws.NoDedup {
		v.send(Message{To: m.From, Kind: AnswerKind, Answer: &Answer{Key: c.Key, Result: r}})
		return nil
	}
	if _, ok := v.asks[c.Key]; !ok && len(v.asks) >= maxAsks {
		return ErrCrowded
	}
	if err := v.rn.Propose(m.Ask.Text); err != nil {
		return fmt.Errorf("%w: %w", ErrCrowded, err)
	}
	v.asks[c.Key] = ask{from: m.From, at: v.now}
	return nil
}

func (v *Voter) answer(k statemachine.Key, r statemachine.Result) {
	if a, ok := v.asks[k]; ok {
		delete(v.asks, k)
		v.send(Message{To: a.from, Kind: AnswerKind, Answer: &Answer{Key: k, Result: r}})
	}
}

// expire forgets who has waited too long; they ask again.
func (v *Voter) expire() {
	maps.DeleteFunc(v.asks, func(_ statemachine.Key, a ask) bool { return v.now-a.at >= askTicks })
	v.reads = slices.DeleteFunc(v.reads, func(r read) bool { return v.now-r.at >= askTicks })
}

// feed answers a pull from what is applied here: entries, or the last snapshot for who lags too far.
func (v *Voter) feed(m Message) error {
	if m.Pull == nil {
		return codec.ErrMalformed
	}
	v.collect(m.Pull.Ack)
	f := &Feed{Nonce: m.Pull.Nonce, Voters: slices.Clone(v.conf.GetVoters()), Age: Unknown}
	if age := v.fresh(); age != Unknown {
		f.Index, f.Age = v.sure.index, age
	}
	first, _ := v.mem.FirstIndex()
	if from := m.Pull.Applied + 1; from < first {
		snap, _ := v.mem.Snapshot()
		f.Snapshot, f.More = snap.Data, true
	} else if from <= v.state.Index {
		entries, err := v.mem.Entries(from, v.state.Index+1, maxFeed)
		if err != nil {
			return fmt.Errorf("council: %w", err)
		}
		for _, e := range entries {
			x := Entry{Index: e.GetIndex()}
			if e.GetType() == pb.EntryNormal {
				x.Text = e.Data
			}
			f.Entries = append(f.Entries, x)
		}
		f.More = from+uint64(len(entries)) <= v.state.Index
	}
	v.send(Message{To: m.From, Kind: FeedKind, Feed: f})
	return nil
}
