package connlimit

import (
	"sync/atomic"
	"time"
)

// state is the state of a client connection in the limiter.
type state int

const (
	stateReleased state = iota // the client has no slot
	stateActive                // a request is open, or part of a message has arrived
	stateNew                   // idle since it connected
	stateIdle                  // idle after a request
	stateEvicted               // to be closed, unless the client has sent something meanwhile
	stateClosing               // the connection is being closed after an eviction
)

// Slot is one client connection's entry in a Limiter. The limiter owns its fields.
type Slot struct {
	wake    func()
	evicted atomic.Bool // whether state is stateEvicted, for readers without the limiter's lock

	state     state
	idleSince time.Time // set in stateNew and stateIdle
}

// NewSlot returns a slot for a new client, not acquired yet. The limiter calls wake, with its lock held, when Evicted or
// the drain schedule has changed and the client has to check it.
func NewSlot(wake func()) *Slot { return &Slot{wake: wake} }

// Evicted reports whether the client's connection has to be closed, unless the client has sent something meanwhile.
func (s *Slot) Evicted() bool { return s.evicted.Load() }

// idle reports whether the client may be evicted.
func (s *Slot) idle() bool { return s.state == stateNew || s.state == stateIdle }

// evictableAt returns the time from which an idle client may be evicted for a new one.
func (s *Slot) evictableAt() time.Time {
	if s.state == stateNew {
		return s.idleSince.Add(newClientIdleTimeout)
	}
	return s.idleSince.Add(idleTimeout)
}

// transition changes a slot's state. No other function does. l.mu is held.
func (l *Limiter) transition(s *Slot, next state) {
	previous := s.state
	s.state = next
	s.evicted.Store(next == stateEvicted)
	switch next {
	case stateActive:
		l.slots[s] = true
	case stateNew, stateIdle:
		s.idleSince = time.Now()
	case stateEvicted:
		s.wake()
	case stateClosing:
		l.closing++
	case stateReleased:
		delete(l.slots, s)
		if previous == stateClosing {
			l.closing--
		}
		l.notifyReleased()
	}
}
