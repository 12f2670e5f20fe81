package frontend

import (
	"errors"
	"log/slog"
	"os"

	"cranegate/internal/framebuf"
	"cranegate/internal/invariant"
	"cranegate/internal/logging"
)

// closeReason is why a connection was closed. It is part of a counter's name.
type closeReason string

// The close reasons.
const (
	closedByClient     closeReason = "by_client"    // the client sent a Terminate message or COM_QUIT
	closedDisconnected closeReason = "client_left"  // the client closed or reset the connection, or did not read its answer
	closedIdle         closeReason = "idle"         // evicted between requests, to free its slot
	closedDrained      closeReason = "drained"      // closed between requests, in a drain
	closedTransferred  closeReason = "passed"       // another process continues the session
	closedLate         closeReason = "message_late" // a message was not complete before its deadline
	closedFaults       closeReason = "faults"       // too many unusable messages in a row
	closedTooLarge     closeReason = "too_large"    // a message over the size limit
	closedNoMemory     closeReason = "no_memory"    // the memory budget was exhausted
	closedPanic        closeReason = "panic"        // a fault of the gateway
	closedMalformed    closeReason = "malformed"    // a message that can't be parsed
)

// closeReasonOf returns the close reason for the error that Protocol.Serve has returned.
func closeReasonOf(err error) closeReason {
	switch {
	case err == nil:
		return closedByClient
	case errors.Is(err, ErrDisconnected):
		return closedDisconnected
	case errors.Is(err, errIdleEvicted):
		return closedIdle
	case errors.Is(err, errDraining):
		return closedDrained
	case errors.Is(err, errTransferred):
		return closedTransferred
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closedLate
	case errors.Is(err, ErrTooManyFaults):
		return closedFaults
	case errors.Is(err, framebuf.ErrTooLarge):
		return closedTooLarge
	case errors.Is(err, framebuf.ErrBudgetExhausted):
		return closedNoMemory
	case errors.Is(err, errPanic):
		return closedPanic
	}
	return closedMalformed
}

// isFault reports whether the connection was closed because of a fault of the client or the gateway.
func (r closeReason) isFault() bool {
	switch r {
	case closedByClient, closedDisconnected, closedIdle, closedDrained, closedTransferred:
		return false
	}
	return true
}

// checkClose counts and logs the end of a session. It reports a violation of an invariant if a message that was read has no
// answer, unless the client has disconnected.
func (s *Session) checkClose(reason closeReason) {
	server := s.server
	server.Counters.Add(server.Name+"_closed_"+string(reason), 1)
	if logging.Debugs() {
		slog.Debug("closed", "front", server.Name, "peer", s.RemoteAddr(), "reason", reason, "request_id", s.lastRequestID,
			"unanswered", s.unanswered)
	}
	if !s.unanswered || reason == closedByClient {
		return
	}
	if reason == closedDisconnected {
		if established, known := s.Established(); !established || !known {
			return
		}
	}
	server.Monitor.Report(invariant.Violation{Rule: invariant.Close, Reason: invariant.Unanswered, Request: s.lastRequestID})
}
