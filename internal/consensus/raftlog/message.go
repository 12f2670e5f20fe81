// Package raftlog replicates the cluster's command log. A Voter wraps etcd's raft for the voting members; a Replica gets
// the committed entries from a voter; every gateway has one, whether it votes or not. The caller drives both: this package
// has no goroutines, clocks or sockets. Time is passed in as ticks (Voter) or as a monotonic clock reading (Replica),
// messages are passed in and returned as values, a voter returns an Update with what must be persisted, and all randomness
// follows from a seed.
package raftlog

import (
	"fmt"
	"time"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/statemachine"
)

// Kind is the type of a message. It determines which field carries the payload.
type Kind uint8

// The kinds of messages.
const (
	RaftKind            Kind = iota + 1 // a message of raft, from one voter to another
	AcksKind                            // from a voter to the leader: collected acknowledgements of lease holders
	CatchUpRequestKind                  // from a replica to a voter
	CatchUpResponseKind                 // from a voter to a replica
	RequestKind                         // from any gateway to a voter
	ResponseKind                        // from a voter to the requesting gateway
)

// Message is sent from one gateway to another. The caller resolves the address of To, encrypts the message and sends it.
// Messages may be lost, repeated and reordered.
type Message struct {
	ClusterID       uint64             `cbor:"1,keyasint"` // as returned by Bootstrap
	From            uint64             `cbor:"2,keyasint"`
	To              uint64             `cbor:"3,keyasint"`
	Kind            Kind               `cbor:"4,keyasint"`
	Raft            []byte             `cbor:"5,keyasint,omitempty"`
	Acks            []statemachine.Ack `cbor:"6,keyasint,omitempty"`
	CatchUpRequest  *CatchUpRequest    `cbor:"7,keyasint,omitempty"`
	CatchUpResponse *CatchUpResponse   `cbor:"8,keyasint,omitempty"`
	Request         *Request           `cbor:"9,keyasint,omitempty"`
	Response        *Response          `cbor:"10,keyasint,omitempty"`
}

// Transport sends messages. Send never blocks; it drops a message that does not fit its queue.
type Transport interface {
	Send(m Message)
}

// CatchUpRequest asks a voter for the entries committed after the index Applied. Its Ack asks for a renewal of the
// replica's lease.
type CatchUpRequest struct {
	Applied uint64           `cbor:"1,keyasint,omitempty"`
	Nonce   uint64           `cbor:"2,keyasint"`
	Ack     statemachine.Ack `cbor:"3,keyasint"`
}

// CatchUpResponse carries committed entries in order and without a gap, or a snapshot of the state machine.
type CatchUpResponse struct {
	Nonce          uint64        `cbor:"1,keyasint"`
	Entries        []Entry       `cbor:"2,keyasint,omitempty"`
	Snapshot       []byte        `cbor:"3,keyasint,omitempty"`
	Voters         []uint64      `cbor:"4,keyasint"`
	ConfirmedIndex uint64        `cbor:"5,keyasint,omitempty"` // every entry committed by Age ago is at or before it
	Age            time.Duration `cbor:"6,keyasint,omitempty"` // UnknownAge if no quorum confirmed an index
	More           bool          `cbor:"7,keyasint,omitempty"` // further entries can be requested immediately
}

// Entry is one committed log entry. Data is empty for raft's own entries (an empty entry of a new leader, a conf
// change).
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint,omitempty"`
}

// Request is a command (Command, an encoded statemachine.Command) or a linearizable read of a register (ReadID and
// Register).
type Request struct {
	Command  []byte `cbor:"1,keyasint,omitempty"`
	ReadID   uint64 `cbor:"2,keyasint,omitempty"` // chosen by the requesting gateway, never 0
	Register string `cbor:"3,keyasint,omitempty"`
}

// Response is the result of a Request: Key and Result for a command, ReadID and ReadResult for a read.
type Response struct {
	Key        statemachine.Key    `cbor:"1,keyasint,omitzero"`
	Result     statemachine.Result `cbor:"2,keyasint,omitzero"`
	ReadID     uint64              `cbor:"3,keyasint,omitempty"`
	ReadResult ReadResult          `cbor:"4,keyasint,omitzero"`
}

// ReadResult is the result of reading a register: its value and how fresh the value is.
type ReadResult struct {
	Register statemachine.Register `cbor:"1,keyasint"`
	Found    bool                  `cbor:"2,keyasint,omitempty"`
	Settled  bool                  `cbor:"3,keyasint,omitempty"` // in force at every lease holder; see statemachine.State.Get
	Index    uint64                `cbor:"4,keyasint"`           // the log index of the state that was read
	// Age is how long ago a quorum last confirmed that no committed entry was missing from the state that was read, on the
	// clocks of the reader and the voter; UnknownAge if a quorum never confirmed it.
	Age time.Duration `cbor:"5,keyasint"`
}

// UnknownAge is the age of a state that no quorum has confirmed.
const UnknownAge = time.Duration(1<<63 - 1)

// maxBytes is the largest encoded size of a message of this kind.
func (m Message) maxBytes() int {
	if m.Kind == RaftKind || m.Kind == CatchUpResponseKind {
		return MaxMessageBytes
	}
	return maxSmallMessageBytes
}

// Encode encodes a message in at most MaxMessageBytes, or returns codec.ErrTooLarge.
func (m Message) Encode() ([]byte, error) { return codec.Encode(m, m.maxBytes()) }

// Decode decodes a message. It returns codec.ErrMalformed for an unknown kind and for a kind whose payload is missing
// or over its limits.
func Decode(b []byte) (m Message, err error) {
	if err := codec.Decode(b, &m, MaxMessageBytes); err != nil {
		return Message{}, err
	}
	if !m.hasValidPayload() || m.From == 0 || m.To == 0 || len(b) > m.maxBytes() {
		return Message{}, fmt.Errorf("%w: kind %d", codec.ErrMalformed, m.Kind)
	}
	return m, nil
}

// hasValidPayload reports whether the payload for the message's kind is present and within its limits.
func (m Message) hasValidPayload() bool {
	switch m.Kind {
	case RaftKind:
		return len(m.Raft) > 0
	case AcksKind:
		return len(m.Acks) > 0 && len(m.Acks) <= statemachine.MaxLeases
	case CatchUpRequestKind:
		return m.CatchUpRequest != nil
	case CatchUpResponseKind:
		return m.CatchUpResponse != nil
	case RequestKind:
		return m.Request != nil && len(m.Request.Register) <= statemachine.MaxNameBytes && len(m.Request.Command) <= statemachine.MaxCommandBytes
	case ResponseKind:
		return m.Response != nil
	}
	return false
}
