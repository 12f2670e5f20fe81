// Package statemachine is what the council's order is applied to: registers, the results of requests for whoever asks again, and
// the leases of those who act on the registers. It is a pure state machine: the same commands in the same order give the
// same state everywhere, and it reads no clock. What a register means is not known here.
package statemachine

import (
	"errors"
	"fmt"

	"cranegate/internal/consensus/codec"
)

// Bounds, of bytes and rows.
const (
	MaxEntry      = 16 << 10 // bytes of one command in the order
	MaxState      = 1 << 20  // bytes of a snapshot
	MaxName       = 128      // bytes of a register's name
	MaxValue      = 8 << 10  // bytes of a value
	MaxRegisters  = 4096
	MaxValues     = 512 << 10 // bytes of all registers, with 64 for each
	MaxClients    = 1024      // whose results are kept: every gateway of the largest fleet may be one
	Window        = 8         // results kept for one client
	Expiry        = 16384     // places in the order after which a client's results, and requests born before, are refused
	MaxHolders    = 2048
	MaxAcks       = 400 // acknowledgements in one command: 400 of at most 30 bytes fit an entry
	MaxNarrowings = 64  // under way at a time
	Patience      = 3   // aggregates that renew a holder's lease though it has not acknowledged a narrowing
)

// Key names a request: a client's identity and its own count, from 1 on. Who lost an answer asks again with the same Key.
type Key struct {
	Client uint64 `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
}

// Op is what a command does.
type Op uint8

// The operations. All but Renew carry a Key.
const (
	Set      Op = iota + 1 // a register that binds nobody's acts: in force at once
	Narrow                 // takes from what gateways may do: in force at once, done when all holders know it
	Widen                  // adds to what gateways may do: in force when every narrowing before it is done
	Withdraw               // takes back a widening that is not in force yet
	Remove                 // a register
	Renew                  // the aggregate of a period: acknowledgements, and leases that ended
)

// Command is what is proposed.
type Command struct {
	Key    Key    `cbor:"1,keyasint,omitzero"`
	Born   uint64 `cbor:"2,keyasint,omitempty"` // a place in the order that the client knew when it made Key
	Done   uint64 `cbor:"3,keyasint,omitempty"` // it has all answers up to this count and asks for none of them again
	Op     Op     `cbor:"4,keyasint"`
	Name   string `cbor:"5,keyasint,omitempty"`
	Value  []byte `cbor:"6,keyasint,omitempty"`
	Expect uint64 `cbor:"7,keyasint,omitempty"` // the version that must stand, 0 for none
	Any    bool   `cbor:"8,keyasint,omitempty"` // whatever stands
	Acks   []Ack  `cbor:"9,keyasint,omitempty"`
	Ended  []Ack  `cbor:"10,keyasint,omitempty"` // Holder and the Round after which its lease ended; Acked is unused
}

// Ack is what a holder says once a period: it asks for its lease to be renewed, and acts on nothing before Acked any more.
type Ack struct {
	Holder uint64 `cbor:"1,keyasint"`
	Round  uint64 `cbor:"2,keyasint"` // the holder's own count, from 1 on
	Acked  uint64 `cbor:"3,keyasint,omitempty"`
}

// Code says how a command went.
type Code uint8

// The codes.
const (
	OK       Code = iota + 1
	Conflict      // another version stands; it is in the result
	Busy          // a widening of the register is not in force yet: withdraw it, or ask again later
	Full          // no room for the register, its value or the narrowing
	Expired       // the request was born too long ago; it was not applied now, and may have been before
	Released      // the client had said that it has this answer; not applied now
	Open          // no room for the result: the client left Window open, or there are too many. No answer yet: ask again with the same Key
	Missing       // no such register, or nothing to withdraw
)

var codeNames = [...]string{"", "ok", "conflict", "busy", "full", "expired", "released", "open", "missing"}

// String is the code's name.
func (c Code) String() string {
	if c >= 1 && int(c) < len(codeNames) {
		return codeNames[c]
	}
	return fmt.Sprintf("code %d", uint8(c))
}

// Result is the answer to a command, the same whenever it is asked for.
type Result struct {
	Code    Code   `cbor:"1,keyasint"`
	Index   uint64 `cbor:"2,keyasint"` // the place of the command in the order
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// ErrCommand is a command that no client of this version makes; it never enters the order.
var ErrCommand = errors.New("council: malformed command")

// Check says whether a command keeps the bounds.
func (c Command) Check() error {
	switch {
	case c.Op < Set || c.Op > Renew:
		return fmt.Errorf("%w: operation %d", ErrCommand, c.Op)
	case c.Op == Renew && (c.Key != Key{} || len(c.Acks)+len(c.Ended) > MaxAcks):
		return fmt.Errorf("%w: an aggregate of %d acknowledgements, at most %d, without a key", ErrCommand, len(c.Acks)+len(c.Ended), MaxAcks)
	case c.Op != Renew && (c.Key.Client == 0 || c.Key.Seq == 0 || c.Done >= c.Key.Seq || len(c.Acks)+len(c.Ended) > 0):
		return fmt.Errorf("%w: key %v, done %d", ErrCommand, c.Key, c.Done)
	case c.Op != Renew && (c.Name == "" || len(c.Name) > MaxName || len(c.Value) > MaxValue):
		return fmt.Errorf("%w: a name of %d bytes (1 to %d), a value of %d (at most %d)", ErrCommand, len(c.Name), MaxName, len(c.Value), MaxValue)
	}
	return nil
}

// Encode writes a command that keeps the bounds.
func (c Command) Encode() ([]byte, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return codec.Encode(c, MaxEntry)
}

// Decode reads a command and checks it.
func Decode(b []byte) (c Command, err error) {
	if err := codec.Decode(b, &c, MaxEntry); err != nil {
		return Command{}, err
	}
	return c, c.Check()
}
