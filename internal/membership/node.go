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
	seq     uint64 // of the last message that wants an answer

	table         map[Incarnation]*entry
	members       []*entry // the table in order of incarnation: random draws must not depend on a map's order
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
	noVerdictsBefore time.Duration // set after this process was suspended

	probeOrder     []Incarnation          // members to probe, shuffled in each round
	pendingProbes  map[uint64]Incarnation // unanswered probes of this probe interval, by sequence number
	previousProbes map[uint64]Incarnation // unanswered probes of the interval before
	relays         []relay

	settledView    map[Incarnation]bool // the last settled view of the fleet
	joined         bool                 // a member has sent its full state, or there is nobody to contact
	minoritySince  time.Duration        // since when this may be the minority side of a partition; 0 if it is not
	noBudgetBefore time.Duration        // no share of budgets is used before
	size           int                  // see Size

	outbox  []Message
	changes []Change
}

// defaultProbeInterval is the default of Options.ProbeInterval.
const defaultProbeInterval = 250 * time.Millisecond

// New returns a node of a process that has just started. It fails where a name or address is missing or too long, or
// where an option is negative.
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

// memberState returns what is gossiped of a member. Suspicions are local and not part of it.
func (n *Node) memberState(e *entry) MemberState {
	r := e.MemberState
	r.Settled = n.settledView[e.Incarnation]
	r.Age = max(0, n.now-e.lastHeard)
	if r.State == Failed {
		r.Age = n.now - e.unreachableSince
	}
	return r
}

// Suspects returns the members that this node is trying to reach after a probe went unanswered.
func (n *Node) Suspects() (out []Incarnation) {
	for _, e := range n.members {
		if e.suspicion != nil {
			out = append(out, e.Incarnation)
		}
	}
	return out
}

// Indirect returns the members that answered this node through other members only, which tells about links.
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

// Isolated reports whether the node takes itself for cut off: it has heard nobody for isolationTimeout.
func (n *Node) Isolated() bool { return n.liveMembers() > 1 && n.now-n.lastHeard > isolationTimeout }

// Unanswered reports whether the node hears others but gets no answers: its own messages do not arrive.
func (n *Node) Unanswered() bool {
	return n.liveMembers() > 1 && !n.Isolated() && n.now-n.lastAnswer > 2*isolationTimeout
}

// Join replaces the addresses to contact. If they name nobody else, there is nobody to wait for.
func (n *Node) Join(addrs []string) {
	n.options.Join = addrs
	n.joined = n.joined || !slices.ContainsFunc(addrs, func(a string) bool { return a != n.self.Addr })
}

// Drain announces that this gateway accepts no new work.
func (n *Node) Drain() { n.self.State = Draining }

// Leave announces that this gateway stops. The messages that Ready returns next are to be sent before it does.
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
