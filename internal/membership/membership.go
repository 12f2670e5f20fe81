// Package membership tracks which gateways of a fleet are alive, draining, failed or gone. It is a state machine without
// I/O, goroutines or clocks: Step processes a message, Tick advances time, and Ready returns the messages to send and the
// changes. All random choices follow from the seed. Package gossip is its transport.
//
// The protocol is SWIM with Lifeguard's local health awareness, with one difference: no member fails on hearsay. A node
// that gets no answer from a member keeps probing it, directly and through helpers in other zones, many times a second.
// Only a node that has done so in vain, while other members answered it, gives a verdict. A verdict carries the age of
// the first unanswered probe, and the state of a live member carries the age of its last sign of life. Ages need no
// synchronised clocks: a node that has heard the accused member since then overrules the verdict. So a lost message, a
// link cut in one direction, or a suspended or partitioned node makes no other member fail.
//
// Every message carries the sender's heartbeat count, so that a replayed message is no sign of life.
//
// The field names Beat, Row, Start and Vain of docs/design/membership.md's first version are Heartbeat, MemberState,
// Incarnation and Unreachable here. On the wire, fields are numbered (CBOR keys), and the numbers never change.
package membership

import (
	"fmt"
	"time"
)

// State is a member's state as the fleet knows it.
type State uint8

// The states. A suspicion is not a state: it is local to a node and never gossiped (see Node.Suspects).
const (
	Alive State = iota
	Draining
	Failed
	Left // announced by the member itself; final
)

// stateNames are part of the names of counters (peers_changes_to_failed) and of the members' page.
var stateNames = [...]string{"alive", "draining", "failed", "left"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Incarnation identifies one start of a process. It is drawn at random at each start and is never 0.
type Incarnation uint64

// MemberState is what members gossip about one member.
type MemberState struct {
	Incarnation Incarnation   `cbor:"1,keyasint"`
	Name        string        `cbor:"2,keyasint"`
	Zone        string        `cbor:"3,keyasint,omitempty"`
	Addr        string        `cbor:"4,keyasint"`
	State       State         `cbor:"5,keyasint,omitempty"`
	Heartbeat   uint64        `cbor:"6,keyasint,omitempty"` // count of its messages, the latest known
	Settled     bool          `cbor:"8,keyasint,omitempty"` // it belongs to the sender's settled view; set in full state exchanges only
	Age         time.Duration `cbor:"7,keyasint,omitempty"` // since its last sign of life; of a failed member: since its first unanswered probe
}

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	Ping             Kind = iota + 1 // asks To for an Ack
	Ack                              // answers a Ping, or reports that a PingRequest was answered
	PingRequest                      // asks To to ping Subject and to report the answer
	Unreachable                      // reports that a PingRequest got no answer
	WrongIncarnation                 // answers a Ping for an incarnation that does not run there (any more)
	StateRequest                     // carries the full state and asks for that of To
	StateResponse                    // answers a StateRequest with the full state
)

// Message is one datagram, or one full state exchange (StateRequest and StateResponse), which goes over a stream.
type Message struct {
	Kind     Kind          `cbor:"1,keyasint"`
	Fleet    string        `cbor:"2,keyasint,omitempty"`
	From     MemberState   `cbor:"3,keyasint"`           // the sender, with its heartbeat
	To       string        `cbor:"-"`                    // the address of the receiver
	Target   Incarnation   `cbor:"4,keyasint,omitempty"` // the intended receiver; 0 for any
	Subject  MemberState   `cbor:"5,keyasint,omitzero"`  // the member that a PingRequest, a relayed Ack or an Unreachable is about
	Seq      uint64        `cbor:"6,keyasint,omitempty"`
	Members  []MemberState `cbor:"7,keyasint,omitempty"`
	ViewHash uint64        `cbor:"8,keyasint,omitempty"` // equal where sender and receiver take the same members for live
}

// Change is a change of a member's state, or a new member.
type Change struct {
	Member          MemberState
	From            State
	Reporter        string        // name of the member that reported it, "" for this node itself
	Reason          string        // for logs
	SinceLastChange time.Duration // since the previous change of the member
	New             bool
}
