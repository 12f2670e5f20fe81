// Package poolsize decides how many idle connections to a database host one gateway of a fleet keeps, and for how long.
// It does no I/O and reads no clock.
//
// An idle connection saves a handshake if it is used again in time, and takes capacity at the host meanwhile. With few
// gateways there is capacity for all that they may want. With hundreds, each of which meets a host once in ten seconds,
// their idle connections fill the host, and a request that finds none there is rejected. A host's capacity is
// therefore divided among the gateways: each may hold its share of it. Where that share is a whole number of
// connections they may stay idle for as long as the host allows; where it has a fraction, one more is kept for
// just so long that it exists for that fraction of the time. Requests to a host arrive at random, so a
// connection that is kept for T after each of them, at a rate of l a second, exists for 1-exp(-l*T) of the time.
//
// No source gives a host's capacity. It shows where a host ends new connections without serving anything on them;
// the share is then halved at once. Without such rejections it grows slowly, past what is assumed at the start, as
// each idle connection that a host accepts saves a handshake.
package poolsize

import (
	"math"
	"time"
)

const (
	// DefaultHostCapacity is the number of connections that the fleet assumes a host accepts until it sees fewer. The
	// protocol's price for open connections counts them by so many a host, and gives no host's limit.
	DefaultHostCapacity = 100.0
	// MaxIdle is the number of idle connections to a host that any gateway keeps: a bound on its own descriptors.
	MaxIdle = 24

	rateWindow      = 10 * time.Second // attempts are averaged over it: a gateway of many has few
	halvingInterval = time.Second      // rejections within it count as one: they have the same cause

	// The share doubles after so many accepted connections, and so one rejection in about as many is tolerated.
	connectsPerDoubling               = 50.0
	connectsPerDoublingAfterRejection = 150.0 // a host's capacity hardly ever grows

	maxShareFactor = 4.0        // beyond it, nearly all idle connections are used again anyway
	minShareFactor = 1.0 / 64   // a host that rejects all is short of more than our connections
	minHostRate    = 1.0 / 1000 // attempts a second, so that a host without any has a finite idle timeout
)

// Sizer decides for one gateway and all its hosts. It is not safe for use by several goroutines at once.
type Sizer struct {
	gateways            float64
	maxIdleTimeout      time.Duration
	attempts            float64 // that wanted a connection, with exponential decay, as of attemptsAt
	attemptsAt          time.Time
	startedAt           time.Time
	shareFactor         float64 // by which the assumed capacity is multiplied
	halvedAt            time.Time
	connectsPerDoubling float64 // of shareFactor
}

// New makes the Sizer of one of so many gateways. No connection may be idle for longer than maxIdleTimeout.
func New(gateways int, maxIdleTimeout time.Duration, now time.Time) *Sizer {
	return &Sizer{
		gateways:            float64(max(1, gateways)),
		maxIdleTimeout:      maxIdleTimeout,
		attemptsAt:          now,
		startedAt:           now,
		shareFactor:         1,
		halvedAt:            now,
		connectsPerDoubling: connectsPerDoubling,
	}
}

// SetGateways sets the number of gateways. It reports whether there are more than before: the caller must then check the idle connections
// to all hosts against IdleTimeout again.
func (s *Sizer) SetGateways(n int) (more bool) {
	more = float64(n) > s.gateways
	s.gateways = float64(max(1, n))
	return more
}

// Host is what a Sizer knows about one host. The zero value is a host that no attempt has gone to.
type Host struct {
	attempts   float64 // with exponential decay, as of attemptsAt
	attemptsAt time.Time
	rate       float64 // attempts a second, as of attemptsAt
}

// RecordAttempt records an attempt that wants a connection to a host, which is one of so many in the endpoint list.
func (s *Sizer) RecordAttempt(now time.Time, h *Host, hosts int) {
	s.attempts = s.attempts*decay(now.Sub(s.attemptsAt)) + 1
	s.attemptsAt = now
	if !h.attemptsAt.IsZero() {
		h.attempts *= decay(now.Sub(h.attemptsAt))
	}
	h.attempts++
	h.attemptsAt = now
	// A gateway of many has met the host only once or twice within rateWindow, and never without the attempt that is being
	// recorded. One more mean interval between the attempts to a host corrects for that.
	meanRate := s.attemptRate(now) / float64(max(1, hosts))
	h.rate = h.attempts / (rateWindow.Seconds()*(1-decay(now.Sub(s.startedAt))) + 1/meanRate)
}

// RecordConnect records that a host accepted a new connection. The share grows with these, not with time: an idle gateway
// that sees nothing has no reason to keep more.
func (s *Sizer) RecordConnect() {
	s.shareFactor = min(maxShareFactor, s.shareFactor*math.Exp2(1/s.connectsPerDoubling))
}

// RecordRejection records that a host had no capacity for a new connection. It reports whether the share was reduced: the caller must then
// check the idle connections to all hosts against IdleTimeout again.
func (s *Sizer) RecordRejection(now time.Time) (reduced bool) {
	if now.Sub(s.halvedAt) < halvingInterval {
		return false
	}
	// What has grown past the start goes at once: all gateways have grown alike, and each sees few rejections.
	s.shareFactor = max(minShareFactor, min(1, s.shareFactor)/2)
	s.halvedAt = now
	s.connectsPerDoubling = connectsPerDoublingAfterRejection
	return true
}

// IdleTimeout returns how long a connection to a host may be idle if so many other idle connections to it were used later.
func (s *Sizer) IdleTimeout(now time.Time, h *Host, usedLater int) time.Duration {
	share := s.shareFactor * DefaultHostCapacity / s.gateways
	whole := math.Floor(share)
	switch {
	case usedLater >= MaxIdle || float64(usedLater) > whole:
		return 0
	case float64(usedLater) < whole:
		return s.maxIdleTimeout
	default:
		seconds := -math.Log(1-(share-whole)) / max(h.rate, minHostRate)
		return time.Duration(min(s.maxIdleTimeout.Seconds(), seconds) * float64(time.Second))
	}
}

// attemptRate returns the number of attempts a second that want a connection to any host.
func (s *Sizer) attemptRate(now time.Time) float64 {
	observed := 1 - decay(now.Sub(s.startedAt)) // of rateWindow: less than 1 for a Sizer that has just started
	return (s.attempts*decay(now.Sub(s.attemptsAt)) + 1) / (rateWindow.Seconds()*observed + 1)
}

// decay returns the weight of an observation of some age.
func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / rateWindow.Seconds()) }
