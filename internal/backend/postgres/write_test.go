package postgres

import (
	"bytes"
	"io"
	"net"
	"testing"

	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
)

// TestWriteMessage breaks the write of a short and of a long message, which is written in parts. The number of bytes that were written
// decides whether the statement may have run, so it has to be exact; the bytes have to be those of one write.
func TestWriteMessage(t *testing.T) {
	for _, textBytes := range []int{100, 2 * maxCopiedMessage} {
		text := bytes.Repeat([]byte("x"), textBytes)
		want := pgwire.Append(nil, 'Q', string(text), "\x00")
		for _, cut := range []int{0, 1, len(want) - 1, len(want)} {
			near, far := net.Pipe()
			received := make(chan []byte, 1)
			go func() {
				b := make([]byte, cut)
				io.ReadFull(far, b)
				far.Close()
				received <- b
			}()
			c := &Conn{Conn: framebuf.New(near, pgwire.MaxMessage)}
			message, size := pgwire.QueryMessage([][]byte{text[:textBytes/2], text[textBytes/2:]})
			n, err := c.writeMessage(message, size)
			if n != int64(cut) || size != int64(len(want)) || (err == nil) != (cut == len(want)) {
				t.Errorf("%d bytes, cut after %d: wrote %d of %d, %v", textBytes, cut, n, size, err)
			}
			if b := <-received; !bytes.Equal(b, want[:cut]) {
				t.Errorf("%d bytes, cut after %d: other bytes arrived", textBytes, cut)
			}
			near.Close()
		}
	}
}
