// Package frame frames what processes of the gateway say to each other: a length in 4 bytes, big-endian, then CBOR.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"cranegate/internal/hotrestart/state"
)

const (
	Version = 1
	most    = 1 << 20      // bytes of a frame, which processes of all versions take
	MaxBlob = most - 16384 // bytes of a Blob: what the rest of its frame leaves
)

// ErrFrame says that a peer sent something that is no message.
var ErrFrame = errors.New("not a message of a gateway")

// Kind is what a message says. Kinds that are not known are passed over.
type Kind uint8

const (
	Hello       Kind = 1 // the first of each side: Version, Name, Ready, Ask
	Blob        Kind = 2 // the answer to Ask: what Export gave
	Update      Kind = 3 // Registers to take; answered with Holding once they hold
	Acknowledge Kind = 4 // Registers that the sender's module holds
	Ready       Kind = 5 // the sender serves
)

// Message is one message. Fields that its kind does not name are empty.
type Message struct {
	Kind      Kind            `cbor:"1,keyasint"`
	Version   int             `cbor:"2,keyasint,omitempty"`
	Name      string          `cbor:"3,keyasint,omitempty"` // of the sender's socket
	Ready     bool            `cbor:"4,keyasint,omitempty"` // the sender serves
	Ask       bool            `cbor:"5,keyasint,omitempty"` // the sender starts: it wants a Blob
	Blob      []byte          `cbor:"6,keyasint,omitempty"`
	Registers *state.Snapshot `cbor:"7,keyasint,omitempty"`
}

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: state.MaxHosts,
		MaxMapPairs: 32, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Write sends one message. It fails with ErrFrame, before the first byte, where the frame would be too large.
func Write(w io.Writer, m Message) error {
	text, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	if len(text) > most {
		return fmt.Errorf("%w: %d bytes", ErrFrame, len(text))
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text))), text...))
	return err
}

// Read takes one message. It reads no more than a frame, and judges the length before it takes memory.
// Errors: those of r, and ErrFrame.
func Read(r io.Reader) (Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Message{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > most {
		return Message{}, fmt.Errorf("%w: %d bytes", ErrFrame, n)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return Message{}, err
	}
	var m Message
	if err := decoding.Unmarshal(text, &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return m, nil
}
