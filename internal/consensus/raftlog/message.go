// Package raftlog is the council's order of commands: etcd's raft as a state machine driven from outside, for those who vote
// (Voter), and the feed of what is committed for all others (Follower). There are no goroutines, clocks or sockets here:
// time comes in as ticks (Voter) or as a monotonic reading (Follower), messages go in and out as values, what is to be
// kept goes out as a Save, and all chance follows from a seed.
package raftlog

import (
	"errors"
	"fmt"
	"time"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/statemachine"
)

// TickEvery is what one Tick of a Voter stands for. Ticks must never outrun the process's clock; late or lost ones are safe.
const TickEvery = 100 * time.Millisecond

// Bounds.
const (
	MaxMessage  = statemachine.MaxState + 128<<10 // bytes of one that carries a snapshot
	maxSmall    = 160 << 10                       // bytes of any other
	maxFeed     = 64 << 10                        // bytes of entries in a feed or in one of raft's messages
	maxAsks     = 1024                            // requests that wait at a voter: one of every gateway of the largest fleet
	maxReads    = 1024                            // reads that wait at a voter, likewise
	maxOut      = 4096                            // messages that wait for Ready
	maxPending  = 1 << 20                         // bytes proposed and not committed
	keepEntries = 1024                            // entries before the log is compacted; a quarter stays for those who lag a little
	keepBytes   = 2 << 20                         // and bytes
)

// The errors that end a voter. It answers nothing from then on.
var (
	// ErrBroken says that the log and the council contradict each other: most likely a voter came back under its identity
	// without the file that it had voted with. Remove its file and let it come in under a new identity.
	ErrBroken = errors.New("council: this voter's log contradicts the council's")
	// ErrSave says that Saved was called without Ready, or the other way about: a mistake of the program.
	ErrSave = errors.New("council: Ready and Saved out of turn")
)

// The errors of one call.
var (
	// ErrForeign says that a message belongs to another council or is meant for somebody else: look at the founding of both.
	ErrForeign = errors.New("council: message of another council or for another")
	// ErrCrowded says that as much waits as may. Ask again later.
	ErrCrowded = errors.New("council: too much waits")
)

// Kind is what a message carries.
type Kind uint8

// The kinds.
const (
	Raft     Kind = iota + 1 // between voters
	Acks                     // of a voter to the one that leads: acknowledgements it collected
	PullKind                 // of a follower to a voter
	FeedKind                 // the answer
	AskKind                  // of anybody to a voter
	AnswerKind
)

// Message is what goes from one gateway to another. The shell finds out the address of To, seals and sends; it may lose,
// repeat and reorder messages.
type Message struct {
	Council uint64             `cbor:"1,keyasint"` // the founding
	From    uint64             `cbor:"2,keyasint"`
	To      uint64             `cbor:"3,keyasint"`
	Kind    Kind               `cbor:"4,keyasint"`
	Raft    []byte             `cbor:"5,keyasint,omitempty"`
	Acks    []statemachine.Ack `cbor:"6,keyasint,omitempty"`
	Pull    *Pull              `cbor:"7,keyasint,omitempty"`
	Feed    *Feed              `cbor:"8,keyasint,omitempty"`
	Ask     *Ask               `cbor:"9,keyasint,omitempty"`
	Answer  *Answer            `cbor:"10,keyasint,omitempty"`
}

// Transport is the door for whoever carries messages. Send never blocks; it drops what does not fit.
type Transport interface {
	Send(m Message)
}

// Pull asks for what was committed after Applied, and asks for a lease by Ack.
type Pull struct {
	Applied uint64           `cbor:"1,keyasint,omitempty"`
	Nonce   uint64           `cbor:"2,keyasint"`
	Ack     statemachine.Ack `cbor:"3,keyasint"`
}

// Feed is what was committed, in order and without a gap, or a snapshot of the facts.
type Feed struct {
	Nonce    uint64        `cbor:"1,keyasint"`
	Entries  []Entry       `cbor:"2,keyasint,omitempty"`
	Snapshot []byte        `cbor:"3,keyasint,omitempty"`
	Voters   []uint64      `cbor:"4,keyasint"`
	Index    uint64        `cbor:"5,keyasint,omitempty"` // everything that was settled Age ago stands at or before it
	Age      time.Duration `cbor:"6,keyasint,omitempty"`
	More     bool          `cbor:"7,keyasint,omitempty"`
}

// Entry is one place in the order. Text is empty where the order keeps the place for itself.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Text  []byte `cbor:"2,keyasint,omitempty"`
}

// Ask is a command (Text, see facts.Command) or a read of a register.
type Ask struct {
	Text []byte `cbor:"1,keyasint,omitempty"`
	Read uint64 `cbor:"2,keyasint,omitempty"` // the asker's own count
	Name string `cbor:"3,keyasint,omitempty"`
}

// Answer answers an Ask.
type Answer struct {
	Key     statemachine.Key    `cbor:"1,keyasint,omitzero"`
	Result  statemachine.Result `cbor:"2,keyasint,omitzero"`
	Read    uint64              `cbor:"3,keyasint,omitempty"`
	Reading Reading             `cbor:"4,keyasint,omitzero"`
}

// Reading is a register with what is known of how fresh it is.
type Reading struct {
	Register statemachine.Register `cbor:"1,keyasint"`
	Found    bool                  `cbor:"2,keyasint,omitempty"`
	Settled  bool                  `cbor:"3,keyasint,omitempty"` // in force with every holder: no narrowing under way, no widening waiting
	Index    uint64                `cbor:"4,keyasint"`           // as of this place in the order
	// Age is how long ago a quorum last confirmed that nothing settled was missing, on the clocks of who read and who was
	// asked; Unknown if that never was.
	Age time.Duration `cbor:"5,keyasint"`
}

// Unknown is the age of what no quorum has confirmed.
const Unknown = time.Duration(1<<63 - 1)

func (m Message) most() int {
	if m.Kind == Raft || m.Kind == FeedKind {
		return MaxMessage
	}
	return maxSmall
}

// Encode writes a message in at most MaxMessage bytes.
func (m Message) Encode() ([]byte, error) { return codec.Encode(m, m.most()) }

// Decode reads a message: one whose kind does not fit what it carries is malformed.
func Decode(b []byte) (m Message, err error) {
	if err := codec.Decode(b, &m, MaxMessage); err != nil {
		return Message{}, err
	}
	want := map[Kind]bool{Raft: len(m.Raft) > 0, Acks: len(m.Acks) > 0 && len(m.Acks) <= statemachine.MaxHolders, PullKind: m.Pull != nil,
		FeedKind: m.Feed != nil, AskKind: m.Ask != nil && len(m.Ask.Name) <= statemachine.MaxName && len(m.Ask.Text) <= statemachine.MaxEntry,
		AnswerKind: m.Answer != nil}
	if !want[m.Kind] || m.From == 0 || m.To == 0 || len(b) > m.most() {
		return Message{}, fmt.Errorf("%w: kind %d", codec.ErrMalformed, m.Kind)
	}
	return m, nil
}
