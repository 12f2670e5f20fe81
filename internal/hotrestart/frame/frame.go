// Package frame encodes the messages between processes of the gateway: a length in 4 bytes, big-endian, then CBOR.
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
	// Version is that of the messages. Processes of different versions do not understand each other.
	Version = 1
	// MaxBlobBytes bounds a Blob: what the rest of its frame leaves.
	MaxBlobBytes = maxFrameBytes - 16384

	maxFrameBytes = 1 << 20 // processes of all versions accept as much
	lengthBytes   = 4
)

// ErrInvalidFrame reports that a peer sent something that is not a message.
var ErrInvalidFrame = errors.New("not a message of a gateway")

// Kind is the kind of a message. Unknown kinds are ignored.
type Kind uint8

// Kinds of messages.
const (
	Hello       Kind = 1 // the first message of each side: Version, Name, Ready, WantBlob
	Blob        Kind = 2 // the answer to WantBlob: Blob
	Update      Kind = 3 // Registers to merge; answered with Acknowledge once they are applied
	Acknowledge Kind = 4 // Registers that the sender's program has applied
	Ready       Kind = 5 // the sender serves
)

// Message is one message. Fields that its kind does not use are empty.
type Message struct {
	Kind      Kind            `cbor:"1,keyasint"`
	Version   int             `cbor:"2,keyasint,omitempty"`
	Name      string          `cbor:"3,keyasint,omitempty"` // of the sender's socket
	Ready     bool            `cbor:"4,keyasint,omitempty"` // the sender serves
	WantBlob  bool            `cbor:"5,keyasint,omitempty"` // the sender starts, and asks for a Blob
	Blob      []byte          `cbor:"6,keyasint,omitempty"`
	Registers *state.Snapshot `cbor:"7,keyasint,omitempty"`
}

// decMode bounds what a message from another process may make the decoder allocate.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: state.MaxHosts,
		MaxMapPairs:      32,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Write sends one message. It fails with ErrInvalidFrame, before the first byte, where the frame would be too large.
func Write(w io.Writer, m Message) error {
	text, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	if len(text) > maxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrInvalidFrame, len(text))
	}
	frame := make([]byte, 0, lengthBytes+len(text))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(text)))
	frame = append(frame, text...)
	_, err = w.Write(frame)
	return err
}

// Read reads one message. It reads no more than a frame, and checks the length before it allocates memory.
// Errors: those of r, and ErrInvalidFrame.
func Read(r io.Reader) (Message, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Message{}, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length == 0 || length > maxFrameBytes {
		return Message{}, fmt.Errorf("%w: %d bytes", ErrInvalidFrame, length)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(r, text); err != nil {
		return Message{}, err
	}
	var m Message
	if err := decMode.Unmarshal(text, &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	return m, nil
}
