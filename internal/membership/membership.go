// Package membership tells the gateways of a fleet of each other: who is there, who drains, who is gone. It is a state
// machine without I/O, goroutines or clocks, driven from outside: Step takes a message, Tick the passing of time, and
// Ready gives what is to be sent and what has changed. All random choices follow from the seed.
//
// It is SWIM with Lifeguard's local health, changed in one thing: nobody is failed on hearsay. Who gets no answer
// from a member goes on asking, itself and through others in other zones, many times a second, and only who has done
// so in vain, while others answered it, gives a verdict. A verdict tells from when on it was tried in vain, and what
// is told of the living tells when they were last heard, both as ages, so that no clocks need agree: whoever has heard
// the accused since then knows better. So a lost message, a link that is cut in one direction, or a member that was
// stopped or is itself cut off fails nobody.
//
// Every message of a member carries its count (its beat), so that what is replayed is no sign of life.
//
// One Node is used by one goroutine.
package membership

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// State is what is held of a member.
type State uint8

// The states. A suspicion is none: it is one's own affair, and told to nobody (see Suspects).
const (
	Alive State = iota
	Draining
	Failed
	Left // it said so itself: final
)

var stateNames = [...]string{"alive", "draining", "failed", "left"}

// String is the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Start names one start of one process: a new one each time, drawn at random and never 0.
type Incarnation uint64

// Row is what is told of a member.
type MemberState struct {
	Incarnation Incarnation   `cbor:"1,keyasint"`
	Name        string        `cbor:"2,keyasint"`
	Zone        string        `cbor:"3,keyasint,omitempty"`
	Addr        string        `cbor:"4,keyasint"`
	State       State         `cbor:"5,keyasint,omitempty"`
	Heartbeat   uint64        `cbor:"6,keyasint,omitempty"` // of its messages, the latest that was heard of
	Settled     bool          `cbor:"8,keyasint,omitempty"` // it belongs to the sender's settled view; told with all rows alone
	Age         time.Duration `cbor:"7,keyasint,omitempty"` // since it was heard; of one that failed: since when it was tried in vain
}

// Kind is what a message asks or answers.
type Kind uint8

// The kinds of message.
const (
	Ping             Kind = iota + 1 // asks To for an Ack
	Ack                              // answers a Ping, or hands on that a Relay was answered
	PingRequest                      // asks To to ping About and to hand the answer on
	Unreachable                      // says that a Relay got no answer
	WrongIncarnation                 // answers a Ping for a start that does not run there (any more)
	StateRequest                     // all rows; asks for all in turn
	StateResponse                    // answers a Sync
)

// Message is one datagram, or one exchange of all rows (Sync and Synced), which goes by a stream.
type Message struct {
	Kind     Kind          `cbor:"1,keyasint"`
	Fleet    string        `cbor:"2,keyasint,omitempty"`
	From     MemberState   `cbor:"3,keyasint"`           // the sender, with its beat
	To       string        `cbor:"-"`                    // the address
	Target   Incarnation   `cbor:"4,keyasint,omitempty"` // whom a Ping or a Relay is meant for, 0 for whoever is there
	Subject  MemberState   `cbor:"5,keyasint,omitzero"`  // whom a Relay is to reach, or whom an Ack that was handed on is about
	Seq      uint64        `cbor:"6,keyasint,omitempty"`
	Members  []MemberState `cbor:"7,keyasint,omitempty"`
	ViewHash uint64        `cbor:"8,keyasint,omitempty"` // tells whether the sender holds the same members for living
}

// Change is news of a member.
type Change struct {
	Member     MemberState
	From       State
	Reporter   string        // whose word it is, "" for one's own
	Reason     string        // in a word or two
	SinceHeard time.Duration // since it was heard of last
	New        bool
}

// DefaultMaxMembers is the number of members of the largest fleet. Rows are kept for those alone that are there.
const DefaultMaxMembers = 1024

// Options are the settings. Zero values take the defaults.
type Options struct {
	Fleet, Name, Zone, Addr string
	Join                    []string // addresses to try
	Gateways                int      // that are expected: counted on until the fleet is known
	Seed                    uint64
	ProbeInterval           time.Duration // between two probes of one's own; 250 ms
	MaxMembers              int           // members at most, this one included; DefaultMaxMembers
	PlainSWIM               bool          // for comparisons: SWIM with one trial of each kind, hearsay, and no doubt of oneself
}

const (
	helpers     = 3                       // members asked to reach one that did not answer, of different zones;
	moreAfter   = 3                       // tries, from when on twice as many are asked: two of each zone
	errandsMost = 64                      // at a time
	errandPings = 3                       // of a member that is asked
	perMessage  = 10                      // rows in a datagram, as far as they fit
	rowMost     = 48                      // bytes of a row without its name, zone and address
	headMost    = 64                      // bytes of a message without its rows
	spreadTimes = 6                       // a row rides on so many messages times log10 of the members (SWIM's lambda)
	tryEvery    = 100 * time.Millisecond  // a suspect is tried anew after this
	errandEvery = 200 * time.Millisecond  // between them: over round trips, delays and small stalls
	tryLeast    = 1800 * time.Millisecond // a verdict takes so long where three others say that they reach it neither
	tryMost     = 2800 * time.Millisecond // and so long where nobody says so
	confirmers  = 3
	slack       = 300 * time.Millisecond  // ages grow by what messages take, unseen
	syncEvery   = 5 * time.Minute         // between exchanges of all rows where views are alike
	unlikeFor   = 3 * time.Second         // without news, after which views that are not alike are exchanged
	syncGap     = time.Second             // and never more often
	retryEvery  = time.Second             // between tries at members that failed, and at addresses to join
	forgetAfter = 10 * time.Minute        // one that failed or left is forgotten; it is known again when it speaks
	cutAfter    = 1500 * time.Millisecond // without a word of anybody one takes oneself for cut off
	stallAfter  = 500 * time.Millisecond  // between two ticks: one did not run
	lapse       = 5 * time.Second         // after which a lesser side uses no part of a budget; short cuts stop nothing
	goneAfter   = 20 * time.Second        // what one that failed sent before has ended: past every deadline
	quietFor    = 5 * time.Second         // without a change a view is settled
	longest     = 64                      // bytes of a name, a zone or an address
	beatsBack   = 64                      // messages that may be overtaken; older ones are replays
)

// entry is one member in the table.
type entry struct {
	MemberState               // Age is unused: heard and since tell it
	heard       time.Duration // the latest sign of its life, here or elsewhere
	since       time.Duration // of its state
	vainly      time.Duration // of one that failed: from when it was tried in vain
	sends       int           // messages on which its row still rides
	suspect     *suspicion
	relayed     bool // its last answer came through another: we do not reach it ourselves
}

// suspicion is our own attempt to reach a member that did not answer.
type suspicion struct {
	from    time.Duration // the first ping without an answer
	tryAt   time.Duration
	tries   int
	seconds map[Incarnation]bool // who reaches it neither
	heard   int                  // members other than it that answered us since
}

// errand is a ping on another's behalf.
type errand struct {
	seq, theirs uint64
	addr        string // who asked
	about       Incarnation
	to          string
	pings       int
	at          time.Duration // the next ping, or the end
}

// Node is one member's view of the fleet.
type Node struct {
	opt                    Options
	rng                    *rand.Rand
	self                   MemberState
	table                  map[Incarnation]*entry
	sorted                 []*entry // by start: whatever is drawn must not hang on a map's order
	hot                    []*entry // whose rows still ride on messages
	living                 int      // members that are not gone, and the sum of their starts, mixed
	sum                    uint64
	order                  []Incarnation // to be probed, shuffled anew each round
	now                    time.Duration
	heardAt                time.Duration // a word of anybody
	answerAt               time.Duration // an answer of anybody
	nextAt                 time.Duration // the next probe
	retryAt                time.Duration
	syncAt                 time.Duration // the next exchange of all rows
	syncedAt               time.Duration
	holdTo                 time.Duration // no verdicts before: one was stopped
	seq                    uint64
	pings                  map[uint64]Incarnation // that are out, of the last two periods
	older                  map[uint64]Incarnation
	errands                []errand
	out                    []Message
	changes                []Change
	refused                int
	settled                map[Incarnation]bool // the last settled view
	met                    bool                 // a member has told all its rows, or there is nobody to ask
	lesserAt, restrainedTo time.Duration        // since when this may be the lesser side; no part of budgets before
	quietAt                time.Duration        // of the last change
	counted                int                  // see Size
}

// New makes a node that has just started.
func New(now time.Duration, o Options) (*Node, error) {
	if o.Name == "" || o.Addr == "" {
		return nil, errors.New("members: a name and an address are needed")
	}
	for _, x := range []string{o.Name, o.Addr, o.Zone, o.Fleet} {
		if len(x) > longest {
			return nil, fmt.Errorf("members: %q is longer than %d bytes", x, longest)
		}
	}
	if o.MaxMembers < 0 || o.ProbeInterval < 0 {
		return nil, errors.New("members: a bound below 0")
	}
	o.ProbeInterval, o.MaxMembers = cmp.Or(o.ProbeInterval, 250*time.Millisecond), cmp.Or(o.MaxMembers, DefaultMaxMembers)
	n := &Node{opt: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), table: map[Incarnation]*entry{}, pings: map[uint64]Incarnation{},
		now: now, heardAt: now, answerAt: now, quietAt: now, syncAt: now + syncGap, settled: map[Incarnation]bool{},
		counted: max(1, o.Gateways)}
	n.self = MemberState{Incarnation: Incarnation(n.rng.Uint64() | 1), Name: o.Name, Zone: o.Zone, Addr: o.Addr}
	n.settled[n.self.Incarnation] = true
	n.Join(o.Join)
	n.nextAt = now + time.Duration(n.rng.Int64N(int64(o.ProbeInterval)))
	return n, nil
}

// Self is the node's own row.
func (n *Node) Self() MemberState { return n.self }

// Ready gives what is to be sent and what has changed, and forgets both.
func (n *Node) Ready() ([]Message, []Change) {
	out, changes := n.out, n.changes
	n.out, n.changes = nil, nil
	return out, changes
}

// Members are the rows of all others that are known, in order of their starts.
func (n *Node) Members() []MemberState {
	rows := make([]MemberState, 0, len(n.sorted))
	for _, e := range n.sorted {
		rows = append(rows, n.row(e))
	}
	return rows
}

// row is what is told of a member: a suspicion is our own affair.
func (n *Node) row(e *entry) MemberState {
	r := e.MemberState
	r.Settled = n.settled[e.Incarnation]
	if r.Age = max(0, n.now-e.heard); r.State == Failed {
		r.Age = n.now - e.vainly
	}
	return r
}

// Suspects are the members that we are trying to reach.
func (n *Node) Suspects() (out []Incarnation) {
	for _, e := range n.sorted {
		if e.suspect != nil {
			out = append(out, e.Incarnation)
		}
	}
	return out
}

// Unreached are the members that answered us through others alone: facts about links.
func (n *Node) Unreached() (out []Incarnation) {
	for _, e := range n.sorted {
		if e.relayed && e.State < Failed {
			out = append(out, e.Incarnation)
		}
	}
	return out
}

// Conflicts are the names that two or more live members bear.
func (n *Node) Conflicts() (out []string) {
	names := map[string]int{n.self.Name: 1}
	for _, e := range n.sorted {
		if e.State < Failed {
			if names[e.Name]++; names[e.Name] == 2 {
				out = append(out, e.Name)
			}
		}
	}
	return out
}

// there is the number of members that are not gone, this one included.
func (n *Node) there() int { return 1 + n.living }

// tally counts a member as living, or no longer.
func (n *Node) tally(e *entry, lives bool) {
	if lives {
		n.living, n.sum = n.living+1, n.sum+mix(e.Incarnation)
	} else {
		n.living, n.sum = n.living-1, n.sum-mix(e.Incarnation)
	}
}

// Cut says that the node takes itself for the one that is cut off: it hears nobody.
func (n *Node) Isolated() bool { return n.there() > 1 && n.now-n.heardAt > cutAfter }

// Unheard says that the node hears others and is answered by none: what it sends does not arrive.
func (n *Node) Unanswered() bool {
	return n.there() > 1 && !n.Isolated() && n.now-n.answerAt > 2*cutAfter
}

// Share is the part of the last settled view that is there, as far as this side knows. With a half or less this may be
// the smaller side of a cut. Who left has not been cut off.
func (n *Node) LiveShare() float64 {
	k := 0
	for s := range n.settled {
		if e := n.table[s]; s == n.self.Incarnation || !n.Isolated() && e != nil && e.State != Failed {
			k++
		}
	}
	return float64(k) / float64(len(n.settled))
}

// Size is the number of gateways to count on when a budget is shared out. It grows at once. It shrinks only by those
// that left, or have failed for goneAfter, and only on a side that holds more than half of the last settled view.
func (n *Node) Size() int { return n.counted }

// Part is the share of a budget of the whole fleet that this gateway may use. All parts together are never more than one,
// also while the fleet is cut in two: a side with less than half of the last settled view uses none after lapse, and
// the other one shrinks, and so uses more, only after goneAfter, which is longer than it takes to notice a cut and
// lapse. With just half neither shrinks, and both go on. One that starts, comes back from such a side, or stood still for
// lapse waits until all others count it again; and one that has met nobody yet does not know who uses what.
func (n *Node) BudgetShare() float64 {
	if !n.met || n.now < n.restrainedTo || n.lesserAt > 0 && n.now-n.lesserAt >= lapse {
		return 0
	}
	return 1 / float64(n.counted)
}

// count keeps Size, Part and the settled view. A view is settled when nothing has changed for a while on a side that
// holds more than half of the one before, so that of two sides at most one goes on to a new one.
func (n *Node) count() {
	there, share, alone := n.there(), n.LiveShare(), n.Isolated() || n.Unanswered()
	n.counted = max(n.counted, there)
	switch lesser := alone || share < 0.5; {
	case lesser && n.lesserAt == 0:
		n.lesserAt = n.now
	case !lesser && n.lesserAt > 0:
		if n.now-n.lesserAt >= lapse {
			n.restrainedTo = n.now + lapse
		}
		n.lesserAt = 0
	}
	if alone || share <= 0.5 || !n.met || n.now-n.quietAt < quietFor {
		return
	}
	for _, e := range n.sorted {
		if e.suspect != nil || e.State == Failed && n.now-e.since < goneAfter {
			return
		}
	}
	n.counted = there
	clear(n.settled)
	n.settled[n.self.Incarnation] = true
	for _, e := range n.sorted {
		if e.State < Failed {
			n.settled[e.Incarnation] = true
		}
	}
}

// adopt takes over the settled view of the first member that tells all its rows: one that starts on the lesser side of a
// cut must know that it does.
func (n *Node) adopt(rows []MemberState) {
	if n.met {
		return
	}
	n.met = true
	n.restrainedTo = n.now + lapse
	for _, r := range rows {
		if r.Settled && r.Incarnation != n.self.Incarnation && len(n.settled) < n.opt.MaxMembers {
			n.settled[r.Incarnation] = true
		}
	}
}

// Join replaces the addresses to try. Where they name nobody else there is nobody to wait for.
func (n *Node) Join(addrs []string) {
	n.opt.Join = addrs
	n.met = n.met || !slices.ContainsFunc(addrs, func(a string) bool { return a != n.self.Addr })
}

// Drain announces that this gateway takes nothing new.
func (n *Node) Drain() { n.self.State = Draining }

// Leave announces that this gateway ends. What Ready gives then is to be sent before it does.
func (n *Node) Leave() {
	n.self.State = Left
	for range 2 * helpers {
		if e := n.pick(nil, func(e *entry) bool { return e.State < Failed }); e != nil {
			n.send(Message{Kind: Ping, To: e.Addr, Target: e.Incarnation, Seq: n.number()})
		}
	}
}

func (n *Node) number() uint64 { n.seq++; return n.seq }

// send puts a message on its way, with the rows that most need spreading.
func (n *Node) send(m Message) {
	n.self.Heartbeat++
	m.Fleet, m.From = n.opt.Fleet, n.self
	if m.Kind == StateRequest || m.Kind == StateResponse {
		m.From.Settled = n.settled[n.self.Incarnation]
		m.Members = n.Members()
	} else {
		m.Members = n.gossip(MaxDatagram - headMost - len(m.Fleet) - size(m.From) - size(m.Subject))
	}
	m.ViewHash = n.view()
	n.out = append(n.out, m)
}

// view sums up who is held for living.
func (n *Node) view() uint64 { return n.sum + mix(n.self.Incarnation) }

// mix is splitmix64's finalizer: sums of it hide no two differences.
func mix(s Incarnation) uint64 {
	x := uint64(s)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// size bounds a row's bytes on the wire.
func size(r MemberState) int { return rowMost + len(r.Name) + len(r.Zone) + len(r.Addr) }

// gossip takes the rows that have been sent on least, as far as they fit into so many bytes.
func (n *Node) gossip(room int) (rows []MemberState) {
	hot := n.hot
	slices.SortStableFunc(hot, func(a, b *entry) int { return cmp.Compare(b.sends, a.sends) })
	for _, e := range hot[:min(len(hot), perMessage)] {
		if room -= size(e.MemberState); room < 0 {
			break
		}
		e.sends--
		r := n.row(e)
		r.Settled = false
		rows = append(rows, r)
	}
	n.hot = slices.DeleteFunc(hot, func(e *entry) bool { return e.sends <= 0 })
	return rows
}

// spread has a row ride on the next messages.
func (n *Node) spread(e *entry) {
	if e.sends <= 0 {
		n.hot = append(n.hot, e)
	}
	e.sends = int(math.Ceil(spreadTimes * max(1, math.Log10(float64(len(n.sorted)+1)))))
}

// pick draws one of the members that fit, if there is one, of a zone that is not among the taken.
func (n *Node) pick(taken []string, fits func(*entry) bool) *entry {
	var fit, other []*entry
	for _, e := range n.sorted {
		if fits(e) && slices.Contains(taken, e.Zone) {
			other = append(other, e)
		} else if fits(e) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		fit = other
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[n.rng.IntN(len(fit))]
}
