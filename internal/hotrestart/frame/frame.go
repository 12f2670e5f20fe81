// Package frame encodes the messages that processes of one gateway exchange during a hot restart. A frame is a length in 4 bytes,
// big-endian, followed by a message in CBOR.
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
	// Version is the version of the messages. Connections between processes of different versions are closed.
	Version = 1
	// MaxBlobBytes bounds Message.Blob. The rest of the frame is left for the other fields of the message.
	MaxBlobBytes = maxFrameBytes - 16384

	maxFrameBytes = 1 << 20 // processes of all versions accept frames up to this size
	lengthBytes   = 4       // of the length before each message
)

// ErrInvalidFrame reports a frame of invalid length or without a valid message.
var ErrInvalidFrame = errors.New("not a message of a gateway")

// Kind is the kind of a message. Receivers ignore unknown kinds.
type Kind uint8

// Kinds of messages.
const (
	Hello       Kind = 1 // the first message of each side; uses Version, Name, Ready and WantBlob
	Blob        Kind = 2 // the response to WantBlob; uses Blob
	Update      Kind = 3 // carries Registers to merge; the receiver sends Acknowledge after it has applied them
	Acknowledge Kind = 4 // carries Registers that the sender's program has applied
	Ready       Kind = 5 // the sender's listeners accept clients
)

// Message is one message. Fields that its kind does not use are empty.
type Message struct {
	Kind      Kind            `cbor:"1,keyasint"`
	Version   int             `cbor:"2,keyasint,omitempty"`
	Name      string          `cbor:"3,keyasint,omitempty"` // file name of the sender's socket
	Ready     bool            `cbor:"4,keyasint,omitempty"` // the sender's listeners accept clients
	WantBlob  bool            `cbor:"5,keyasint,omitempty"` // the sender is starting and requests a Blob
	Blob      []byte          `cbor:"6,keyasint,omitempty"`
	Registers *state.Snapshot `cbor:"7,keyasint,omitempty"`
}

// decMode limits the memory that the decoder allocates for a message from another process.
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

// Write writes one message to w. If its frame would be too large, it writes nothing and fails with ErrInvalidFrame.
func Write(w io.Writer, m Message) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	if len(body) > maxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrInvalidFrame, len(body))
	}
	frame := make([]byte, 0, lengthBytes+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	_, err = w.Write(frame)
	return err
}

// Read reads one message. It reads no further than the end of its frame, and checks the length before it allocates memory.
// Errors: the errors of r, and ErrInvalidFrame.
func Read(r io.Reader) (Message, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Message{}, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length == 0 || length > maxFrameBytes {
		return Message{}, fmt.Errorf("%w: %d bytes", ErrInvalidFrame, length)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return Message{}, err
	}
	var m Message
	if err := decMode.Unmarshal(body, &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	return m, nil
}
