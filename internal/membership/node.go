package membership

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Node is one member's view of the fleet. It is not safe for concurrent use.
type Node struct {
	options Options
	rng     *rand.Rand
	self    MemberState
	now     time.Duration
	seq     uint64 // sequence number of the last message that expects an answer

	table         map[Incarnation]*entry
	members       []*entry // the table's entries in order of incarnation: random draws must not depend on a map's order
	disseminating []*entry // members whose state is still attached to messages
	liveOthers    int      // members that have neither failed nor left
	liveHash      uint64   // sum of their hashed incarnations
	rejected      int      // members not added because the table was full

	lastHeard  time.Duration // last message of any member
	lastAnswer time.Duration // last answer of any member
	lastChange time.Duration // last change of any member

	nextProbe        time.Duration
	nextReconnect    time.Duration
	nextSync         time.Duration // next full state exchange
	lastSync         time.Duration
	noFailuresBefore time.Duration // no member is declared failed until then; set after a suspension of this process

	probeOrder     []Incarnation          // members to probe, shuffled in each round
	pendingProbes  map[uint64]Incarnation // unanswered probes of this probe interval, by sequence number
	previousProbes map[uint64]Incarnation // unanswered probes of the previous interval
	relays         []relay

	settledView    map[Incarnation]bool // the last settled view of the fleet
	joined         bool                 // a member has sent its full state, or there is no other address to contact
	minoritySince  time.Duration        // since when this node may be on the minority side of a partition; 0 if it is not
	noBudgetBefore time.Duration        // this node uses no share of a budget until then
	size           int                  // see Size

	outbox  []Message
	changes []Change
}

// defaultProbeInterval is the default of Options.ProbeInterval.
const defaultProbeInterval = 250 * time.Millisecond

// New returns a node for a process that has just started. It fails if the name or the address is missing, if a text is
// too long, or if an option is negative.
func New(now time.Duration, o Options) (*Node, error) {
	if o.Name == "" || o.Addr == "" {
		return nil, errors.New("membership: a name and an address are required")
	}
	for _, text := range []string{o.Name, o.Addr, o.Zone, o.Fleet} {
		if len(text) > maxNameBytes {
			return nil, fmt.Errorf("membership: %q is longer than %d bytes", text, maxNameBytes)
		}
	}
	if o.MaxMembers < 0 || o.ProbeInterval < 0 {
		return nil, errors.New("membership: MaxMembers and ProbeInterval must not be negative")
	}
	o.ProbeInterval = cmp.Or(o.ProbeInterval, defaultProbeInterval)
	o.MaxMembers = cmp.Or(o.MaxMembers, DefaultMaxMembers)
	n := &Node{
		options:       o,
		rng:           rand.New(rand.NewPCG(o.Seed, 7)),
		table:         map[Incarnation]*entry{},
		pendingProbes: map[uint64]Incarnation{},
		settledView:   map[Incarnation]bool{},
		now:           now,
		lastHeard:     now,
		lastAnswer:    now,
		lastChange:    now,
		nextSync:      now + minSyncInterval,
		size:          max(1, o.Gateways),
	}
	n.self = MemberState{Incarnation: Incarnation(n.rng.Uint64() | 1), Name: o.Name, Zone: o.Zone, Addr: o.Addr}
	n.settledView[n.self.Incarnation] = true
	n.Join(o.Join)
	n.nextProbe = now + time.Duration(n.rng.Int64N(int64(o.ProbeInterval)))
	return n, nil
}

// Self returns the node's own state.
func (n *Node) Self() MemberState { return n.self }

// Ready returns the messages to send and the changes since the last call, and clears both.
func (n *Node) Ready() ([]Message, []Change) {
	out, changes := n.outbox, n.changes
	n.outbox, n.changes = nil, nil
	return out, changes
}

// Members returns the states of all other known members, in order of incarnation.
func (n *Node) Members() []MemberState {
	members := make([]MemberState, 0, len(n.members))
	for _, member := range n.members {
		members = append(members, n.memberState(member))
	}
	return members
}

// memberState returns the state of a member to be gossiped. Suspicions are local and not part of it.
func (n *Node) memberState(e *entry) MemberState {
	state := e.MemberState
	state.Settled = n.settledView[e.Incarnation]
	state.Age = max(0, n.now-e.lastHeard)
	if state.State == Failed {
		state.Age = n.now - e.unreachableSince
	}
	return state
}

// Suspects returns the members that left a probe unanswered and that this node is still trying to reach.
func (n *Node) Suspects() (out []Incarnation) {
	for _, e := range n.members {
		if e.suspicion != nil {
			out = append(out, e.Incarnation)
		}
	}
	return out
}

// Indirect returns the live members whose last answer reached this node only through another member, which points to a
// fault of the direct link.
func (n *Node) Indirect() (out []Incarnation) {
	for _, e := range n.members {
		if e.indirect && e.State < Failed {
			out = append(out, e.Incarnation)
		}
	}
	return out
}

// Conflicts returns the names that two or more live members share.
func (n *Node) Conflicts() (out []string) {
	names := map[string]int{n.self.Name: 1}
	for _, e := range n.members {
		if e.State >= Failed {
			continue
		}
		names[e.Name]++
		if names[e.Name] == 2 {
			out = append(out, e.Name)
		}
	}
	return out
}

// Isolated reports whether this node considers itself cut off, because no message arrived for isolationTimeout.
func (n *Node) Isolated() bool { return n.liveMembers() > 1 && n.now-n.lastHeard > isolationTimeout }

// Unanswered reports whether this node receives messages but no answers, which means that its own messages do not arrive.
func (n *Node) Unanswered() bool {
	return n.liveMembers() > 1 && !n.Isolated() && n.now-n.lastAnswer > 2*isolationTimeout
}

// Join replaces the addresses to contact. If none of them belongs to another gateway, the node does not wait for a full
// state before it uses its share of budgets.
func (n *Node) Join(addrs []string) {
	n.options.Join = addrs
	n.joined = n.joined || !slices.ContainsFunc(addrs, func(a string) bool { return a != n.self.Addr })
}

// Drain announces that this gateway accepts no new work.
func (n *Node) Drain() { n.self.State = Draining }

// Leave announces that this gateway stops. The caller must send the messages that Ready returns next before it stops.
func (n *Node) Leave() {
	n.self.State = Left
	for range 2 * indirectProbes {
		if e := n.pickMember(nil, func(e *entry) bool { return e.State < Failed }); e != nil {
			n.send(Message{Kind: Ping, To: e.Addr, Target: e.Incarnation, Seq: n.nextSeq()})
		}
	}
}

// Rejected returns the number of members that were not added because the table was full.
func (n *Node) Rejected() int { return n.rejected }
