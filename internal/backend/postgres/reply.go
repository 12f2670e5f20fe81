package postgres

import (
	"cmp"
	"errors"
	"fmt"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
	"cranegate/routing"
)

// The message kinds of PostgreSQL's protocol.
const (
	messageAuthentication  = 'R'
	messageCommandComplete = 'C'
	messageDataRow         = 'D'
	messageError           = 'E'
	messageNotice          = 'N'
	messageParameter       = 'S'
	messageQuery           = 'Q'
	messageReady           = 'Z'
	messageRowDescription  = 'T'
)

const (
	authenticationOK = 0   // in an authentication message
	errorFieldCode   = 'C' // the field of an error message with its SQLSTATE code
	stateLength      = 5   // bytes of a SQLSTATE code
)

// The SQLSTATE codes that determine an attempt's result, in addition to the codes of package backend.
const (
	stateCannotConnectNow  = "57P03" // from a health check: the host is over its capacity
	stateProtocolViolation = "08P01" // no host can execute the statement
)

// maxValueBytes is the maximum length of a value: 64 KiB, in hexadecimal digits.
const maxValueBytes = 128 << 10

// replyState is how much of an answer has been read. An answer consists of a description, a row, its completion and Ready, or
// of an error and Ready. Notices and parameters may come at any time.
type replyState int

// The states, in their order.
const (
	replyOpen      replyState = iota
	replyDescribed            // a row may follow
	replyCompleted            // only Ready may follow
	replyEnded
)

// reply is the answer to one statement.
type reply struct {
	healthCheck bool
	state       replyState
	value       []byte // the messages of the answer, copied, as they outlive the connection's buffer
	status      backend.HostStatus
	rows        int
	names       []string // of the columns
	complete    bool
	errorCode   string
	partial     bool        // the error came after a part of a result
	streamed    bool        // the client takes its row as a stream
	tail        chan []byte // of a streamed answer: takes the messages that follow the row
}

// close closes the tail of a streamed answer, so that its client does not wait for more.
func (r *reply) close() {
	if r.tail != nil {
		close(r.tail)
	}
}

// add adds a message to the answer. It returns pgwire.ErrMalformed if the message is invalid or must not come at this point.
func (r *reply) add(kind byte, body []byte) error {
	switch {
	case kind == messageNotice:
		return nil
	case kind == messageParameter: // ignored if it can't be parsed, as the answer is valid without it
		if name, value, err := pgwire.Parameter(body); err == nil {
			r.status.Set(string(name), string(value))
		}
		return nil
	case kind == messageRowDescription && r.state == replyOpen:
		return r.addDescription(body)
	case kind == messageDataRow && r.state == replyDescribed && r.rows == 0:
		return r.addRow(body)
	case kind == messageCommandComplete && r.state < replyCompleted:
		return r.addCompletion(body)
	case kind == messageError && r.state < replyCompleted:
		return r.addError(body)
	case kind == messageReady && r.state == replyCompleted && len(body) == 1:
		r.state = replyEnded
		if r.streamed && r.complete {
			r.tail <- r.value
		}
		return nil
	}
	return fmt.Errorf("message %q out of place: %w", kind, pgwire.ErrMalformed)
}

func (r *reply) addDescription(body []byte) error {
	names, err := pgwire.Names(body)
	if err != nil || len(names) != 1 && !r.healthCheck {
		return fmt.Errorf("%d columns: %w", len(names), cmp.Or(err, pgwire.ErrMalformed))
	}
	r.names = names
	r.state = replyDescribed
	r.value = pgwire.AppendRaw(r.value, messageRowDescription, body)
	return nil
}

func (r *reply) addRow(body []byte) error {
	values, err := pgwire.Columns(body)
	if err != nil || len(values) != len(r.names) {
		return fmt.Errorf("row: %w", cmp.Or(err, pgwire.ErrMalformed))
	}
	if r.healthCheck {
		r.status.SetRow(r.names, values)
	} else if values[0] == nil || len(values[0]) > maxValueBytes {
		return fmt.Errorf("row: %w", pgwire.ErrMalformed)
	}
	r.rows++
	r.value = pgwire.AppendRaw(r.value, messageDataRow, body)
	return nil
}

func (r *reply) addCompletion(body []byte) error {
	if _, rest, err := pgwire.Text(body); err != nil || len(rest) > 0 {
		return fmt.Errorf("completion: %w", cmp.Or(err, pgwire.ErrMalformed))
	}
	r.complete = true
	r.state = replyCompleted
	r.value = pgwire.AppendRaw(r.value, messageCommandComplete, body)
	return nil
}

func (r *reply) addError(body []byte) error {
	r.errorCode = string(pgwire.Field(body, errorFieldCode))
	if len(r.errorCode) != stateLength {
		return fmt.Errorf("error: %w", pgwire.ErrMalformed)
	}
	r.partial = r.state != replyOpen
	r.state = replyCompleted
	return nil
}

// outcome returns the outcome of an attempt by the part of the answer that was read. If an error came after a part of a
// result, the statement had begun, whatever the error's code.
func (r *reply) outcome() core.Outcome {
	outcome := r.status.Outcome(r.result())
	if outcome.Result == routing.ResultOK {
		outcome.Value = r.value
	}
	return outcome
}

func (r *reply) result() routing.Result {
	switch {
	case r.partial:
		return routing.ResultError
	case r.errorCode == stateCannotConnectNow && r.healthCheck:
		return routing.ResultOverCapacity
	case r.errorCode == stateProtocolViolation:
		return routing.ResultInvalidStatement
	case r.errorCode != "":
		return backend.ResultOfState(r.errorCode)
	case r.complete && r.rows == 1:
		return routing.ResultOK
	case r.complete:
		return routing.ResultError // the statement ran, but a result without a row is no answer
	}
	return routing.ResultReset
}

// brokenOutcome returns the outcome of an attempt whose answer could not be read to its end.
func (r *reply) brokenOutcome(err error) core.Outcome {
	var broken streamError
	if errors.As(err, &broken) {
		return r.cutOutcome(err)
	}
	unreadable := errors.Is(err, pgwire.ErrMalformed) || errors.Is(err, framebuf.ErrTooLarge)
	if r.errorCode != "" && !unreadable {
		return r.outcome() // no Ready follows a fatal error
	}
	if backend.IsMalformed(err, pgwire.ErrMalformed) {
		return core.Outcome{Result: routing.ResultMalformed}
	}
	return core.Outcome{Result: routing.ResultReset}
}
