// Package postgres speaks PostgreSQL's wire protocol to database hosts.
package postgres

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
	"cranegate/routing"
)

// The codes that settle an outcome; every other one may have run.
const (
	codeReadOnly    = "25006" // a write, and this is no primary
	codeBehind      = "72000" // a read that it is too far behind for
	codeTurnedAway  = "53300"
	codeNotNow      = "57P03"
	classRejected   = "42"            // the statement itself can't be used, here or elsewhere: it was read and never begun
	codeProtocol    = "08P01"         // likewise
	mostValue       = 128 << 10       // 64 KiB, in hex digits
	writeAtMost     = 5 * time.Second // no attempt waits for it: its connection is closed when it is given up
	probeText       = "SHOW pressure"
	probeUser       = "svc"
	defaultDatabase = "main"
)

// Conn is one connection to a database host.
type Conn struct {
	*framebuf.Conn
	out []byte
}

// Start makes a fresh connection ready for a query.
func Start(raw net.Conn) (backend.Conn, error) {
	c := &Conn{Conn: framebuf.New(raw, pgwire.MaxMessage)}
	return c, c.start()
}

// start says who we are and reads up to the first ReadyForQuery.
func (c *Conn) start() error {
	if _, err := c.Write(pgwire.AppendStartup(nil, probeUser, defaultDatabase)); err != nil {
		return err
	}
	for {
		kind, body, err := pgwire.ReadMessage(c.Conn)
		switch {
		case err != nil:
			return err
		case kind == 'Z':
			return nil
		case kind == 'E' && string(pgwire.Field(body, 'C')) == codeTurnedAway:
			return backend.ErrRejected
		case kind == 'E':
			return fmt.Errorf("error %s", pgwire.Field(body, 'C'))
		case kind == 'R' && (len(body) != 4 || body[0]|body[1]|body[2]|body[3] != 0):
			return errors.New("it wants a password")
		}
	}
}

// Exchange writes an attempt's statement, or the probe's, and reads up to ReadyForQuery. A break before the last
// byte is written means that nothing ran; after it, that it may have.
func (c *Conn) Exchange(a *core.Attempt) (core.Outcome, bool) {
	if a.Request == nil {
		c.out = pgwire.Append(c.out[:0], 'Q', probeText, "\x00")
	} else {
		s := a.Request.Payload.(*sqlcomment.Statement)
		text := s.Append(make([]byte, 0, s.Len()), time.Until(a.Deadline))
		c.out = pgwire.Append(c.out[:0], 'Q', string(text), "\x00")
	}
	c.SetWriteDeadline(time.Now().Add(writeAtMost))
	c.SetReadDeadline(time.Time{}) // the core gives attempts up in time
	if !c.Alive() {
		return backend.NotSent, false
	}
	if !a.Begin() {
		return backend.NotSent, true
	}
	stop := c.watch(a) // this is how an attempt is given up
	n, err := c.Write(c.out)
	whole := n == len(c.out)
	if cap(c.out) > 16<<10 {
		c.out = nil
	}
	if err != nil && !whole {
		return core.Outcome{Result: routing.ResultConnectFailed}, false
	}
	r := reply{probe: a.Request == nil}
	defer r.close()
	if _, err := c.Need(1); err != nil {
		return r.outcome(a), false
	}
	c.SetReadDeadline(time.Now().Add(backend.AnswerTimeout))
	for r.step != ended {
		size, long, err := c.long()
		if err == nil && long && !r.probe {
			if err = c.stream(a, &r, size); err != nil && !errors.Is(err, pgwire.ErrMalformed) {
				stop()
				return r.cut(err), false
			}
		} else if err == nil {
			var kind byte
			var body []byte
			if kind, body, err = c.message(); err == nil {
				err = r.take(kind, body)
			}
		}
		if err != nil {
			stop()
			if r.code != "" && !errors.Is(err, pgwire.ErrMalformed) && !errors.Is(err, framebuf.ErrTooLarge) {
				return r.outcome(a), false // a fatal error needs no Ready
			}
			if backend.IsMalformed(err, pgwire.ErrMalformed) {
				return core.Outcome{Result: routing.ResultMalformed}, false
			}
			return core.Outcome{Result: routing.ResultReset}, false
		}
	}
	return r.outcome(a), stop() && c.Buffered() == 0
}

// mostOf bounds the messages of an answer by their kinds. Other kinds have no place there, and whatever opens like
// one is noise: there is no use in waiting for the length that it claims.
var mostOf = map[byte]int{'T': 4 << 10, 'D': pgwire.MaxMessage, 'C': 256, 'E': 16 << 10, 'N': 16 << 10, 'S': 16 << 10, 'Z': 6}

// message reads one message of an answer.
func (c *Conn) message() (kind byte, body []byte, err error) {
	b, err := c.Need(1)
	if err != nil {
		return 0, nil, err
	}
	most, ok := mostOf[b[0]]
	if !ok {
		return 0, nil, fmt.Errorf("message %q: %w", b[0], pgwire.ErrMalformed)
	}
	if b, err = c.Need(5); err != nil {
		return 0, nil, err
	}
	if n := binary.BigEndian.Uint32(b[1:]); int64(n) > int64(most) {
		return 0, nil, fmt.Errorf("message %q of %d bytes: %w", b[0], n, framebuf.ErrTooLarge)
	}
	return pgwire.ReadMessage(c.Conn)
}

// The steps of an answer, in their order: a description, a row, its completion, Ready; or an error and Ready. Notes
// may stand anywhere between.
type step int

const (
	opens     step = iota
	described      // a row may follow
	completed      // only Ready may follow
	ended
)

// reply gathers what comes back for one statement.
type reply struct {
	probe    bool
	step     step
	value    []byte // the messages of the answer, copied: they outlive the buffer
	note     backend.Event
	rows     int
	complete bool
	code     string
	began    bool // the error came after a part of a result
	names    []string
	streamed bool        // its row has passed to the client
	tail     chan []byte // streamed: takes what follows the row
}

// close tells the client whose answer streams that nothing follows any more.
func (r *reply) close() {
	if r.tail != nil {
		close(r.tail)
	}
}

// take reads one message of the answer, or finds that it has no place there.
func (r *reply) take(kind byte, body []byte) error {
	switch {
	case kind == 'N':
	case kind == 'S': // a note that can't be read is passed over: the answer is good without it
		if name, value, err := pgwire.Parameter(body); err == nil {
			r.note.Set(string(name), string(value))
		}
	case kind == 'T' && r.step == opens:
		names, err := pgwire.Names(body)
		if err != nil || len(names) != 1 && !r.probe {
			return fmt.Errorf("%d columns: %w", len(names), cmp.Or(err, pgwire.ErrMalformed))
		}
		r.names, r.step = names, described
		r.value = pgwire.AppendRaw(r.value, kind, body)
	case kind == 'D' && r.step == described && r.rows == 0:
		columns, err := pgwire.Columns(body)
		if err != nil || len(columns) != len(r.names) || !r.probe && (columns[0] == nil || len(columns[0]) > mostValue) {
			return fmt.Errorf("row: %w", cmp.Or(err, pgwire.ErrMalformed))
		}
		r.rows++
		if r.probe {
			r.note.SetRow(r.names, columns)
		}
		r.value = pgwire.AppendRaw(r.value, kind, body)
	case kind == 'C' && r.step < completed:
		if _, rest, err := pgwire.Text(body); err != nil || len(rest) > 0 {
			return fmt.Errorf("completion: %w", cmp.Or(err, pgwire.ErrMalformed))
		}
		r.complete, r.step = true, completed
		r.value = pgwire.AppendRaw(r.value, kind, body)
	case kind == 'E' && r.step < completed:
		if r.code = string(pgwire.Field(body, 'C')); len(r.code) != 5 {
			return fmt.Errorf("error: %w", pgwire.ErrMalformed)
		}
		r.began, r.step = r.step != opens, completed
	case kind == 'Z' && r.step == completed && len(body) == 1:
		if r.step = ended; r.streamed && r.complete {
			r.tail <- r.value
		}
	default:
		return fmt.Errorf("message %q out of place: %w", kind, pgwire.ErrMalformed)
	}
	return nil
}

// outcome is the protocol's table of what comes back. Whatever the code, an error behind a part of a result is one of a
// statement that had begun.
func (r *reply) outcome(a *core.Attempt) core.Outcome {
	o := core.Outcome{Role: r.note.Role, Position: r.note.Position, Report: r.note.Report}
	switch {
	case r.began:
		o.Result = routing.ResultError
	case r.code == codeReadOnly, r.code == codeBehind:
		o.Result = routing.ResultMissed
	case r.code == codeTurnedAway, r.code == codeNotNow && a.Request == nil:
		o.Result = routing.ResultOverCapacity
	case strings.HasPrefix(r.code, classRejected), r.code == codeProtocol:
		o.Result = routing.ResultInvalidStatement
	case r.code != "":
		o.Result = routing.ResultError
	case r.complete && r.rows == 1:
		o.Result, o.Value = routing.ResultOK, r.value
	case r.complete:
		o.Result = routing.ResultError // no row is no answer, though it ran
	default:
		o.Result = routing.ResultReset
	}
	return o
}
