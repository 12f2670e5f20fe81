// Package statemachine is the replicated state machine that committed commands are applied to. It holds registers (named
// values with a version), the results of requests for clients that retry, and the leases of the gateways that act on the
// registers. It is deterministic: the same commands in the same order give the same state on every gateway, and it reads
// no clock. It does not interpret the values of registers.
//
// A register whose value permits gateways to act is changed by Restrict and Relax. Restrict takes permissions away. It is
// in force at once, and complete when every lease holder has acknowledged it or has lost its lease. Relax grants
// permissions. It comes into force when every earlier restriction is complete, so that no gateway acts on a new permission
// while another still acts on an old one.
package statemachine

import (
	"errors"
	"fmt"

	"cranegate/internal/consensus/codec"
)

// Key is the idempotency key of a request: the client's identity and the client's sequence number, from 1 on. A client that
// got no response retries with the same Key.
type Key struct {
	Client uint64 `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
}

// Op is the operation of a command.
type Op uint8

// The operations. All but Renew carry a Key.
const (
	Set      Op = iota + 1 // sets a register whose value permits nothing: in force at once
	Restrict               // takes permissions away: in force at once, complete when all lease holders acknowledged it
	Relax                  // grants permissions: in force when every earlier restriction is complete
	Withdraw               // withdraws a Relax that is not in force yet
	Remove                 // removes a register
	Renew                  // renews leases and ends expired ones
)

// Command is the content of an entry of the replicated log.
type Command struct {
	Key             Key    `cbor:"1,keyasint,omitzero"`
	CreatedIndex    uint64 `cbor:"2,keyasint,omitempty"` // a log index that the client knew when it made Key
	ReceivedSeq     uint64 `cbor:"3,keyasint,omitempty"` // the client has the responses up to this sequence number and retries none of them
	Op              Op     `cbor:"4,keyasint"`
	Name            string `cbor:"5,keyasint,omitempty"` // of the register
	Value           []byte `cbor:"6,keyasint,omitempty"`
	ExpectedVersion uint64 `cbor:"7,keyasint,omitempty"` // the version that the register must have, 0 for no register
	AnyVersion      bool   `cbor:"8,keyasint,omitempty"` // ExpectedVersion is ignored
	Acks            []Ack  `cbor:"9,keyasint,omitempty"`
	ExpiredLeases   []Ack  `cbor:"10,keyasint,omitempty"` // Holder and last Round of each expired lease; Index is unused
}

// Ack is sent by a lease holder once per renewal interval. It requests a renewal of the lease, and acknowledges that the
// holder no longer acts on any state before Index.
type Ack struct {
	Holder uint64 `cbor:"1,keyasint"`
	Round  uint64 `cbor:"2,keyasint"` // the holder's sequence number, from 1 on
	Index  uint64 `cbor:"3,keyasint,omitempty"`
}

// ErrInvalidCommand is returned for a command that no client of this version sends. Such a command must not be proposed.
var ErrInvalidCommand = errors.New("consensus: invalid command")

// Validate returns ErrInvalidCommand if a command breaks a limit.
func (c Command) Validate() error {
	if c.Op < Set || c.Op > Renew {
		return fmt.Errorf("%w: operation %d", ErrInvalidCommand, c.Op)
	}
	ackCount := len(c.Acks) + len(c.ExpiredLeases)
	if c.Op == Renew {
		if c.Key != (Key{}) || ackCount > MaxAcksPerCommand {
			return fmt.Errorf("%w: Renew with %d acknowledgements and expired leases; it must have at most %d, and no key",
				ErrInvalidCommand, ackCount, MaxAcksPerCommand)
		}
		return nil
	}
	if c.Key.Client == 0 || c.Key.Seq == 0 || c.ReceivedSeq >= c.Key.Seq || ackCount > 0 {
		return fmt.Errorf("%w: key %v, received sequence number %d", ErrInvalidCommand, c.Key, c.ReceivedSeq)
	}
	if c.Name == "" || len(c.Name) > MaxNameBytes || len(c.Value) > MaxValueBytes {
		return fmt.Errorf("%w: a name of %d bytes (must be 1 to %d), a value of %d bytes (at most %d)",
			ErrInvalidCommand, len(c.Name), MaxNameBytes, len(c.Value), MaxValueBytes)
	}
	return nil
}

// Encode validates and encodes a command.
func (c Command) Encode() ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return codec.Encode(c, MaxCommandBytes)
}

// Decode decodes and validates a command. It returns codec.ErrMalformed or ErrInvalidCommand.
func Decode(encoded []byte) (c Command, err error) {
	if err := codec.Decode(encoded, &c, MaxCommandBytes); err != nil {
		return Command{}, err
	}
	return c, c.Validate()
}
