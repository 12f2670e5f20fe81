package frontend

import (
	"sync/atomic"
	"time"
)

const (
	// livenessInterval is how long a client counts as connected after it was seen to be. It is below the 0.1 s after a client's close
	// in which an attempt may still begin, and above unreadPollInterval.
	livenessInterval = 80 * time.Millisecond
	// livenessTimeout bounds the wait for the acknowledgement of a Protocol.Probe.
	livenessTimeout = 20 * time.Millisecond
	// livenessPollInterval is how often the acknowledgement is looked for.
	livenessPollInterval = time.Millisecond
)

// liveness is what a session knows of its client while unread bytes hide a close, see framebuf.Conn.CloseHidden. Attempts read it.
type liveness struct {
	hidden atomic.Bool               // the last look could not have seen a close
	seenAt atomic.Pointer[time.Time] // when the client was last seen to be connected
}

// isUnseen reports whether the client may have disconnected for longer than livenessInterval. Any goroutine may call it.
func (l *liveness) isUnseen() bool {
	if !l.hidden.Load() {
		return false
	}
	seenAt := l.seenAt.Load()
	return seenAt == nil || time.Since(*seenAt) > livenessInterval
}

// checkLiveness looks whether a close of the client could be seen and, if it could not, probes the client. It returns true if the
// client may have disconnected. The session's goroutine calls it while no answer is being written.
func (s *Session) checkLiveness() (unseen bool) {
	hidden := s.CloseHidden()
	s.liveness.hidden.Store(hidden)
	if !hidden || s.probe() {
		now := time.Now()
		s.liveness.seenAt.Store(&now)
	}
	return s.liveness.isUnseen()
}

// probe writes a message that the client ignores, and reports whether the client's system acknowledges it. A client that has closed its
// connection answers with a reset instead, which PeerClosed then reports.
func (s *Session) probe() bool {
	message := s.server.Protocol.Probe()
	if message == nil || s.Unacknowledged() > 0 {
		return false
	}
	s.server.Counters.Add(s.server.Name+"_client_probes", 1)
	s.SetWriteDeadline(time.Now().Add(livenessTimeout))
	if _, err := s.Write(message); err != nil {
		return false
	}
	for deadline := time.Now().Add(livenessTimeout); time.Now().Before(deadline); time.Sleep(livenessPollInterval) {
		if s.PeerClosed() {
			return false
		}
		if s.Unacknowledged() == 0 {
			return true
		}
	}
	return false
}
