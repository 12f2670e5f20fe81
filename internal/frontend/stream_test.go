package frontend_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

const longValue = 4 << 20

// longAnswer is a host's answer whose row is long, with what it has to tell behind the row, as hosts do.
func longAnswer(size int) []byte {
	b := pgwire.Append(nil, 'T', "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	v := strings.Repeat("0123456789abcdef", size/16)
	b = pgwire.Append(b, 'D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, uint32(len(v)))), v)
	b = pgwire.Append(b, 'C', "SELECT 1\x00")
	b = pgwire.AppendParameter(b, "replication_role", "primary")
	return pgwire.AppendReady(b)
}

// long is a client that asks for a long value and reads what comes by itself.
func (r *rig) long(id string) (*asker, error) {
	a, err := r.asker("postgres")
	if err == nil {
		_, err = a.pg.Write(pgwire.Append(nil, 'Q', "/* id="+id+",c=put,d=1000,cluster=4 */ "+verbs["put"]+"'"+id+"'", "\x00"))
	}
	return a, err
}

// TestLongValues passes 4 MiB on while they come: to a client that reads in small pieces, from a host that pauses for longer
// than any deadline in mid-row. Meanwhile the host is not taken for silent, little is kept, and afterwards both connections
// go on.
func TestLongValues(t *testing.T) {
	want := longAnswer(longValue)
	inBubble(t, func() error {
		host := &fake.Host{Primary: true, Malform: func(id string, b []byte) fake.Malformed {
			if id == "long" { // what follows a pause counts as surplus here: it belongs to the answer
				return fake.Malformed{Answer: want[:longValue/2], After: 3 * time.Second, Surplus: want[longValue/2:]}
			}
			return fake.Malformed{Answer: b}
		}}
		rig := newRig(false, host)
		a, err := rig.long("long")
		if err != nil {
			return err
		}
		done := make(chan error, 1)
		go func() {
			var got bytes.Buffer
			b := make([]byte, 1500)
			for !bytes.HasSuffix(got.Bytes(), []byte("Z\x00\x00\x00\x05I")) {
				n, err := a.pg.Conn.Conn.Read(b)
				if got.Write(b[:n]); err != nil {
					done <- fmt.Errorf("after %d bytes: %w", got.Len(), err)
					return
				}
				time.Sleep(50 * time.Microsecond)
			}
			// What a host tells of itself behind the row is for the gateway.
			told := bytes.LastIndex(want, []byte("S\x00\x00\x00"))
			whole := append(bytes.Clone(want[:told]), "Z\x00\x00\x00\x05I"...)
			if !bytes.Equal(got.Bytes(), whole) {
				done <- fmt.Errorf("%d bytes came, not the %d of the host", got.Len(), len(whole))
				return
			}
			done <- nil
		}()
		b, err := rig.asker("postgres")
		if err != nil {
			return err
		}
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			if r, err := b.ask("put", fmt.Sprint("short", i)); err != nil || r.Outcome != "served" {
				return fmt.Errorf("beside a long answer: %+v, %w", r, err)
			}
		}
		if err := <-done; err != nil {
			return err
		}
		if r, err := a.ask("put", "next"); err != nil || r.Outcome != "served" {
			return fmt.Errorf("after a long answer: %+v, %w", r, err)
		}
		if n := rig.counters.Get("streams"); n != 1 || host.Ran("long") != 1 {
			return fmt.Errorf("%d streams, ran %d times", n, host.Ran("long"))
		}
		return rig.close()
	})
}

// TestLongValuesCut breaks long answers off: by the host, and by a client that leaves. The one client can tell that its
// answer is not whole, nobody waits for the other, and the gateway goes on.
func TestLongValuesCut(t *testing.T) {
	want := longAnswer(longValue)
	for _, who := range []string{"host", "client", "client before it begins"} {
		inBubble(t, func() error {
			host := &fake.Host{Primary: true}
			host.Malform = func(id string, b []byte) fake.Malformed {
				if id != "long" {
					return fake.Malformed{Answer: b}
				}
				if who == "host" {
					go func() { time.Sleep(200 * time.Millisecond); host.Die() }()
					return fake.Malformed{Answer: want[:longValue/2], Dead: true}
				}
				time.Sleep(50 * time.Millisecond)
				return fake.Malformed{Answer: want}
			}
			rig := newRig(false, host)
			a, err := rig.long("long")
			if err != nil {
				return err
			}
			if who != "host" {
				if who == "client" {
					io.ReadFull(a.pg.Conn.Conn, make([]byte, 100<<10))
				}
				a.leave()
			} else if b, err := io.ReadAll(a.pg.Conn.Conn); err != nil || len(b) < longValue/4 || bytes.HasSuffix(b, []byte("Z\x00\x00\x00\x05I")) {
				return fmt.Errorf("%d bytes, and then %w", len(b), err)
			}
			time.Sleep(2 * time.Second)
			if b, err := rig.asker("postgres"); err != nil {
				return err
			} else if r, err := b.ask("put", "next"); err != nil || r.Outcome != "served" {
				return errors.Join(err, fmt.Errorf("%s: afterwards %+v", who, r))
			}
			return rig.close()
		})
	}
}

// TestLongValueAtAStop stops the gateway in the middle of a value whose host pauses for longer than idle connections last:
// the client has the whole of it, and then its connection ends.
func TestLongValueAtAStop(t *testing.T) {
	want := longAnswer(longValue)
	inBubble(t, func() error {
		rig := newRig(false, &fake.Host{Primary: true, Malform: func(string, []byte) fake.Malformed {
			return fake.Malformed{Answer: want[:longValue/2], After: 2500 * time.Millisecond, Surplus: want[longValue/2:]}
		}})
		a, err := rig.long("long")
		if err != nil {
			return err
		}
		head := make([]byte, 1000)
		if _, err := io.ReadFull(a.pg.Conn.Conn, head); err != nil {
			return err
		}
		rig.stop()
		rest, err := io.ReadAll(a.pg.Conn.Conn)
		told := bytes.LastIndex(want, []byte("S\x00\x00\x00"))
		whole := append(bytes.Clone(want[:told]), "Z\x00\x00\x00\x05I"...)
		if got := append(head, rest...); err != nil || !bytes.Equal(got, whole) {
			return fmt.Errorf("%d bytes came, not the %d of the host, and %v", len(got), len(whole), err)
		}
		return rig.close()
	})
}
