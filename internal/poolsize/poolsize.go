// Package poolsize decides how many idle connections to a database host one gateway of a fleet keeps, and for how long.
// It does no I/O and reads no clock.
//
// An idle connection saves a handshake if it is reused before it is closed, and takes capacity at the host meanwhile. A host
// has enough capacity for all idle connections of a few gateways. With hundreds of gateways, each of which sends a request
// to a given host once in ten seconds, idle connections use up the host's capacity, and requests that need a new connection
// are rejected. A host's capacity is therefore divided among the gateways: each may hold its share of connections. The
// connections of the integer part of the share may stay idle for as long as the host allows. If the share has a fractional
// part, one more connection is kept after each use just long enough to exist for that fraction of the time. Requests to a
// host arrive at random, so a connection that is kept for T after each of them, at a rate of l a second, exists for
// 1-exp(-l*T) of the time.
//
// No source gives a host's capacity. A host that closes new connections without serving anything on them shows that it has
// reached its capacity; the share is then halved at once. Without such rejections the share grows slowly, also beyond what
// is assumed at the start, because each idle connection that a host accepts saves a handshake.
package poolsize

import (
	"math"
	"time"
)

const (
	// DefaultHostCapacity is the number of connections that a host is assumed to accept until it rejects some. The platform's
	// cost model counts open connections in units of 100 per host and states no limit per host.
	DefaultHostCapacity = 100.0
	// MaxIdle bounds the idle connections to a host that one gateway keeps, and so the gateway's file descriptors.
	MaxIdle = 24

	rateWindow      = 10 * time.Second // the attempt rate is averaged over it; each gateway of a large fleet has few attempts
	halvingInterval = time.Second      // rejections within it count as one, as they have the same cause

	// Numbers of accepted connections after which the share doubles. A rejection halves the share, so that with about one
	// rejection in as many connections a share that is not above the initial one stays level.
	connectsPerDoubling               = 50.0
	connectsPerDoublingAfterRejection = 150.0 // a host's capacity hardly ever grows

	maxShareFactor = 4.0        // with more, nearly all idle connections are reused anyway
	minShareFactor = 1.0 / 64   // lower bound; a host that still rejects connections lacks more than what our idle connections use
	minHostRate    = 1.0 / 1000 // attempts a second; lower bound of Host.rate that keeps the idle timeout finite for a host without attempts
)

// Sizer computes the idle timeouts of one gateway's connections to all its hosts. It is not safe for use by several goroutines at once.
type Sizer struct {
	gateways            float64
	maxIdleTimeout      time.Duration
	attempts            float64 // that needed a connection to any host, with exponential decay, as of attemptsAt
	attemptsAt          time.Time
	startedAt           time.Time
	shareFactor         float64 // by which the assumed capacity of every host is multiplied
	halvedAt            time.Time
	connectsPerDoubling float64 // of shareFactor
}

// New makes the Sizer of one gateway of a fleet of the given size. No connection may be idle for longer than maxIdleTimeout.
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

// Host is a Sizer's record of one host. The zero value is the record of a host to which no attempt was sent.
type Host struct {
	attempts   float64 // with exponential decay, as of attemptsAt
	attemptsAt time.Time
	rate       float64 // attempts a second, as of attemptsAt; not updated without an attempt
}

// RecordAttempt records an attempt that needs a connection to a host. hosts is the number of hosts in the endpoint list.
func (s *Sizer) RecordAttempt(now time.Time, h *Host, hosts int) {
	s.attempts = s.attempts*decay(now.Sub(s.attemptsAt)) + 1
	s.attemptsAt = now
	if !h.attemptsAt.IsZero() {
		h.attempts *= decay(now.Sub(h.attemptsAt))
	}
	h.attempts++
	h.attemptsAt = now
	// A gateway of a large fleet has sent the host only one or two attempts within rateWindow, and the count always includes
	// the attempt that is being recorded. Adding one mean interval between the attempts to a host (1/meanRate) to the window
	// corrects for that bias.
	meanRate := s.attemptRate(now) / float64(max(1, hosts))
	h.rate = h.attempts / (rateWindow.Seconds()*(1-decay(now.Sub(s.startedAt))) + 1/meanRate)
}

// RecordConnect records that a host accepted a new connection. The share grows with these connections and not with time,
// because an idle gateway learns nothing about the capacity and has no reason to keep more.
func (s *Sizer) RecordConnect() {
	s.shareFactor = min(maxShareFactor, s.shareFactor*math.Exp2(1/s.connectsPerDoubling))
}

// RecordRejection records that a host had no capacity for a new connection. This reduces the share at all hosts, to half of
// it or of the initial share, whichever is less, but not below minShareFactor. A rejection within halvingInterval of the last
// reduction, or of New, has no effect. RecordRejection reports whether it had one: the caller must then check the idle
// connections to all hosts against IdleTimeout again.
func (s *Sizer) RecordRejection(now time.Time) (reduced bool) {
	if now.Sub(s.halvedAt) < halvingInterval {
		return false
	}
	// Growth beyond the initial factor of 1 is lost at once: all gateways' factors have grown alike, and each gateway sees few
	// of the rejections.
	s.shareFactor = max(minShareFactor, min(1, s.shareFactor)/2)
	s.halvedAt = now
	s.connectsPerDoubling = connectsPerDoublingAfterRejection
	return true
}

// IdleTimeout returns how long a connection to a host may be idle if usedLaterCount other idle connections to the host were
// used after it.
func (s *Sizer) IdleTimeout(now time.Time, h *Host, usedLaterCount int) time.Duration {
	share := s.shareFactor * DefaultHostCapacity / s.gateways
	whole := math.Floor(share)
	switch {
	case usedLaterCount >= MaxIdle || float64(usedLaterCount) > whole:
		return 0
	case float64(usedLaterCount) < whole:
		return s.maxIdleTimeout
	default:
		seconds := -math.Log(1-(share-whole)) / max(h.rate, minHostRate)
		return time.Duration(min(s.maxIdleTimeout.Seconds(), seconds) * float64(time.Second))
	}
}

// attemptRate returns the number of attempts a second that need a connection to any host. One attempt in one second is added
// to those observed, so that the rate is finite right after New and never 0.
func (s *Sizer) attemptRate(now time.Time) float64 {
	observed := 1 - decay(now.Sub(s.startedAt)) // share of rateWindow that has been observed: less than 1 for a Sizer that has just started
	return (s.attempts*decay(now.Sub(s.attemptsAt)) + 1) / (rateWindow.Seconds()*observed + 1)
}

// decay returns the weight of an observation of the given age.
func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / rateWindow.Seconds()) }
