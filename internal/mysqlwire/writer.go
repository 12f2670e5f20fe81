package mysqlwire

import "encoding/binary"

// maxIdleBuffer is the capacity up to which Reset keeps a Writer's buffer, in bytes.
const maxIdleBuffer = 16 << 10

// Writer builds packets with ascending sequence numbers.
type Writer struct {
	B     []byte // the packets
	Seq   byte   // of the next packet
	start int    // the offset of the open packet in B
}

// Reset empties the writer. The next packet has the sequence number seq.
func (w *Writer) Reset(seq byte) {
	if cap(w.B) > maxIdleBuffer {
		w.B = nil
	}
	w.B = w.B[:0]
	w.Seq = seq
}

// Begin opens a packet, which End closes.
func (w *Writer) Begin() {
	w.start = len(w.B)
	w.B = append(w.B, 0, 0, 0, w.Seq)
	w.Seq++
}

// End closes the packet that Begin opened.
func (w *Writer) End() {
	length := len(w.B) - w.start - headerBytes
	w.B[w.start], w.B[w.start+1], w.B[w.start+2] = byte(length), byte(length>>8), byte(length>>16)
}

// Packet writes a complete packet.
func (w *Writer) Packet(payload []byte) {
	w.Begin()
	w.B = append(w.B, payload...)
	w.End()
}

// Byte appends one byte to the open packet.
func (w *Writer) Byte(b byte) { w.B = append(w.B, b) }

// U16 appends a 2-byte number, little-endian.
func (w *Writer) U16(n uint16) { w.B = binary.LittleEndian.AppendUint16(w.B, n) }

// U32 appends a 4-byte number, little-endian.
func (w *Writer) U32(n uint32) { w.B = binary.LittleEndian.AppendUint32(w.B, n) }

// Int appends a length-encoded number.
func (w *Writer) Int(n uint64) { w.B = AppendInt(w.B, n) }

// Text appends the bytes of s without their length.
func (w *Writer) Text(s string) { w.B = append(w.B, s...) }

// String appends a length-encoded string.
func (w *Writer) String(s string) {
	w.Int(uint64(len(s)))
	w.Text(s)
}

// AppendInt appends a length-encoded number to b.
func AppendInt(b []byte, n uint64) []byte {
	switch {
	case n < lenencNull:
		return append(b, byte(n))
	case n < 1<<16:
		return binary.LittleEndian.AppendUint16(append(b, lenenc2Bytes), uint16(n))
	case n < 1<<24:
		return append(b, lenenc3Bytes, byte(n), byte(n>>8), byte(n>>16))
	}
	return binary.LittleEndian.AppendUint64(append(b, lenenc8Bytes), n)
}

// appendString appends a length-encoded string to b.
func appendString(b []byte, s string) []byte {
	return append(AppendInt(b, uint64(len(s))), s...)
}
