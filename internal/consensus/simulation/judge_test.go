package simulation

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/statemachine"
)

// judge sees all messages, all that is applied and the true time.
type judge struct {
	f        *fleet
	failures []string
	state    *statemachine.State // with the flaws of the fleet: what it does, not what it should
	texts    [][]byte            // by place
	chains   map[uint64]uint64
	applies  map[statemachine.Key]uint64 // the place that a key changed a register at
	narrows  []narrow
	votes    map[[2]uint64]uint64

	acts, refused, late, settled, done int
	longest                            time.Duration // between a narrowing and its end
	commands, renews                   int
}

type narrow struct {
	index    uint64
	at, done time.Duration
}

func newJudge(f *fleet) *judge {
	j := &judge{f: f, state: statemachine.New(), chains: map[uint64]uint64{}, applies: map[statemachine.Key]uint64{}, votes: map[[2]uint64]uint64{}}
	j.state.InjectedFaults = f.flaws
	j.state.Apply(1, nil)
	j.texts = [][]byte{nil, nil}
	return j
}

func (j *judge) fail(format string, x ...any) {
	j.failures = append(j.failures, fmt.Sprintf("%v: ", j.f.now)+fmt.Sprintf(format, x...))
}

// applied holds what a voter applies against what others applied at the same place.
func (j *judge) applied(id, index uint64, text []byte) {
	if index < uint64(len(j.texts)) {
		if string(j.texts[index]) != string(text) {
			j.fail("two orders at %d", index)
		}
		return
	}
	if index > uint64(len(j.texts)) {
		j.fail("voter %x applies %d where the order stands at %d", id, index, len(j.texts)-1)
		return
	}
	j.texts = append(j.texts, text)
	j.commands++
	c, err := statemachine.Decode(text)
	before, _, _ := j.state.Get(c.Name)
	j.state.Apply(index, text)
	j.chains[index] = j.state.Checksum
	if err != nil {
		return
	}
	if after, _, _ := j.state.Get(c.Name); c.Op == statemachine.Renew {
		j.renews++
	} else if after.Version != before.Version {
		if old, ok := j.applies[c.Key]; ok {
			j.fail("%v was applied at %d and at %d", c.Key, old, index)
		}
		j.applies[c.Key] = index
		if c.Op == statemachine.Restrict {
			j.narrows = append(j.narrows, narrow{index: index, at: j.f.now})
		}
	}
	for i := range j.narrows {
		if n := &j.narrows[i]; n.done == 0 && !j.state.HasPendingRestriction(n.index) {
			n.done = j.f.now
			j.done++
			j.longest = max(j.longest, n.done-n.at)
		}
	}
}

// sent looks for two votes of one identity in one term.
func (j *judge) sent(m raftlog.Message) {
	if m.Kind != raftlog.RaftKind || m.Raft[1] != byte(raftpb.MsgVote) && m.Raft[1] != byte(raftpb.MsgVoteResp) { // the type comes first
		return
	}
	x := &raftpb.Message{}
	if err := proto.Unmarshal(m.Raft, x); err != nil {
		j.fail("%v", err)
		return
	}
	var for_ uint64
	switch {
	case x.GetType() == raftpb.MsgVote:
		for_ = x.GetFrom()
	case x.GetType() == raftpb.MsgVoteResp && !x.GetReject():
		for_ = x.GetTo()
	default:
		return
	}
	key := [2]uint64{x.GetFrom(), x.GetTerm()}
	if old, ok := j.votes[key]; ok && old != for_ {
		j.fail("%x voted twice in term %d", x.GetFrom(), x.GetTerm())
	}
	j.votes[key] = for_
}

// reads looks at a gateway's copy: the same chain as the order, and never as fresh as it can't be.
func (j *judge) reads(g *gateway) {
	s := g.follower.State()
	if want, ok := j.chains[s.Index]; ok && want != s.Checksum {
		j.fail("%s has other facts at %d", g.Name, s.Index)
	}
	if j.f.now%time.Second == 0 {
		if v := g.voter.Status(); v.Applied > 1 && j.chains[v.Applied] != v.Checksum {
			j.fail("%s, as a voter, has other facts at %d", g.Name, v.Applied)
		}
	}
	if r := g.follower.Read(g.clock, "r"); r.Settled && r.Found {
		j.settled++
	}
}

// act judges a byte that went out: late ones are refused by who takes them, by their place in the order.
func (j *judge) act(g *gateway, a *act, err error) {
	if err != nil {
		j.late++
		return
	}
	j.acts++
	for _, n := range j.narrows {
		if n.index > a.index && n.done != 0 && n.done < j.f.now {
			j.fail("%s acts on %d, narrowed at %d, done at %v", g.Name, a.index, n.index, n.done)
		}
	}
}

// end looks whether all has healed.
func (j *judge) end() {
	for _, g := range j.f.all {
		if _, ok := g.follower.Lease().Valid(g.clock); !ok {
			j.fail("%s has no lease at the end; at %d of %d, %+v", g.Name, g.follower.State().Index, len(j.texts), g.voter.Status())
		}
		if r := g.follower.Read(g.clock, "r"); r.Age > 10*time.Second {
			j.fail("%s reads what is %v old at the end", g.Name, r.Age)
		}
	}
	for _, n := range j.narrows {
		if n.done == 0 && j.f.now-n.at > 30*time.Second && j.f.calm >= 30*time.Second {
			j.fail("the narrowing at %d, of %v, is not done", n.index, n.at)
		}
	}
	if n := len(j.narrows); n == 0 || n-j.done > 1 {
		j.fail("%d narrowings, %d done, %d acts", n, j.done, j.acts)
	}
	j.linearizable()
}
