// Package membership tracks which gateways of a fleet are alive, are draining, have failed or have left. It is a state
// machine without I/O, goroutines or clocks: Step processes a message, Tick advances time, and Ready returns the messages
// to send and the changes. All random choices follow from the seed. Package gossip is its transport.
//
// The protocol is SWIM with Lifeguard's local health awareness, with one difference: suspicions are not gossiped. A node
// declares a member failed on its own evidence only. If a member does not answer, the node probes it again and again,
// directly and through helpers in other zones, many times a second. It declares the member failed when these probes
// stay unanswered until the suspicion timeout although other members answer the node.
//
// A report of a failed member carries the age of the first unanswered probe, and the state of a live member carries the
// age of its last sign of life. Ages need no synchronised clocks. A node rejects a report of failure if it has a sign of
// life of the member that is more recent than the first unanswered probe. Therefore neither a lost message, nor a link
// cut in one direction, nor a suspended or partitioned node causes another member to be declared failed.
//
// Every message carries the sender's heartbeat count, so that a replayed message is not taken for a sign of life.
//
// On the wire, fields are identified by numbers (CBOR integer keys), and the numbers never change. The first version of
// docs/design/membership.md calls Heartbeat, MemberState, Incarnation and Unreachable Beat, Row, Start and Vain.
package membership

import (
	"fmt"
	"time"
)

// State is a member's state, as known to the fleet.
type State uint8

// The states. Suspected is not a state: a suspicion is local to a node and never gossiped (see Node.Suspects).
const (
	Alive State = iota
	Draining
	Failed
	Left // announced by the member itself; final
)

// stateNames are shown on the members' page and form names of counters, such as peers_changes_to_failed.
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
	Heartbeat   uint64        `cbor:"6,keyasint,omitempty"` // number of messages the member has sent, as far as known
	Settled     bool          `cbor:"8,keyasint,omitempty"` // belongs to the sender's settled view; set in full state exchanges only
	Age         time.Duration `cbor:"7,keyasint,omitempty"` // since the last sign of life or, if failed, the first unanswered probe
}

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	Ping             Kind = iota + 1 // asks the receiver for an Ack
	Ack                              // answers a Ping, or reports that a PingRequest was answered
	PingRequest                      // asks the receiver to ping Subject and to report the answer
	Unreachable                      // reports that a PingRequest got no answer
	WrongIncarnation                 // answers a Ping whose Target is not the incarnation that runs at this address
	StateRequest                     // carries the sender's full state and asks for the receiver's
	StateResponse                    // answers a StateRequest with the full state
)

// Message is one message between members. A full state exchange (StateRequest and StateResponse) goes over a stream, any
// other message is a datagram.
type Message struct {
	Kind     Kind          `cbor:"1,keyasint"`
	Fleet    string        `cbor:"2,keyasint,omitempty"`
	From     MemberState   `cbor:"3,keyasint"`           // the sender, with its heartbeat
	To       string        `cbor:"-"`                    // the address of the receiver
	Target   Incarnation   `cbor:"4,keyasint,omitempty"` // the intended receiver; 0 for any
	Subject  MemberState   `cbor:"5,keyasint,omitzero"`  // the member to which a PingRequest, a relayed Ack or an Unreachable refers
	Seq      uint64        `cbor:"6,keyasint,omitempty"`
	Members  []MemberState `cbor:"7,keyasint,omitempty"`
	ViewHash uint64        `cbor:"8,keyasint,omitempty"` // hash of the set of members that the sender considers live
}

// Change is a change of a member's state, or a new member.
type Change struct {
	Member          MemberState
	From            State         // the previous state
	Reporter        string        // name of the member that reported the change; "" if this node detected it, and for a new member
	Reason          string        // for logs
	SinceLastChange time.Duration // time since the previous change of the member's state
	New             bool
}
