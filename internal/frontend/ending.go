package frontend

import (
	"errors"
	"log/slog"
	"os"

	"cranegate/internal/framebuf"
	"cranegate/internal/invariant"
	"cranegate/internal/logging"
)

// ending says why a connection ends, in the counters and the log.
type ending string

// The endings.
const (
	endedByClient   ending = "by_client"    // it said goodbye
	endedClientLeft ending = "client_left"  // it closed, was reset, or takes no answer
	endedIdle       ending = "idle"         // between requests, for another client's sake
	endedDrained    ending = "drained"      // between requests, as all clients are sent away
	endedPassed     ending = "passed"       // another process goes on with it
	endedLate       ending = "message_late" // a message did not come in whole in time
	endedFaults     ending = "faults"       // it sent nothing but what can't be used
	endedTooLarge   ending = "too_large"    // a message is over the limit
	endedNoMemory   ending = "no_memory"    // no memory was left for a message
	endedPanic      ending = "panic"        // a fault of this program
	endedMalformed  ending = "malformed"    // a message that can't be read
)

// errPanic says that serving a client has failed by a fault of this program.
var errPanic = errors.New("panic")

// endingOf names the reason for which a front has returned.
func endingOf(err error) ending {
	switch {
	case err == nil:
		return endedByClient
	case errors.Is(err, ErrDisconnected):
		return endedClientLeft
	case errors.Is(err, errLetGo):
		return endedIdle
	case errors.Is(err, errSentAway):
		return endedDrained
	case errors.Is(err, errPassed):
		return endedPassed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endedLate
	case errors.Is(err, ErrTooManyFaults):
		return endedFaults
	case errors.Is(err, framebuf.ErrTooLarge):
		return endedTooLarge
	case errors.Is(err, framebuf.ErrBudgetExhausted):
		return endedNoMemory
	case errors.Is(err, errPanic):
		return endedPanic
	}
	return endedMalformed
}

// guardClose checks the end of a connection, and notes it: what was read has its answer, unless its client has left.
func (x *Session) guardClose(err error) {
	s, why := x.server, endingOf(err)
	s.Counters.Add(s.Name+"_closed_"+string(why), 1)
	if logging.Debugs() {
		slog.Debug("closed", "front", s.Name, "peer", x.RemoteAddr(), "reason", why, "last_id", x.lastID, "owes", x.owes)
	}
	if !x.owes || why == endedByClient {
		return
	}
	if why == endedClientLeft {
		if there, known := x.Established(); !there || !known {
			return
		}
	}
	s.Monitor.Report(invariant.Violation{Rule: invariant.Close, Reason: invariant.Unanswered, Request: x.lastID})
}
