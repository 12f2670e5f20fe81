package connlimit

import (
	"sync/atomic"
	"time"
)

// state is what a client connection does, as far as its slot is concerned.
type state int

const (
	stateReleased state = iota // it holds no slot
	stateActive                // a request is open, or part of a message has come
	stateNew                   // idle since it connected
	stateIdle                  // idle after a request
	stateEvicted               // it closes unless something has come meanwhile
	stateClosing               // its connection is being closed after an eviction
)

// Slot is one client connection's entry in a Limiter, which owns its fields.
type Slot struct {
	wake    func()
	evicted atomic.Bool // follows state, for readers without the limiter's lock

	state     state
	idleSince time.Time // in stateNew and stateIdle
}

// NewSlot returns a slot for a client that holds none yet. The limiter calls wake, with its lock held, when the client has
// to look at Evicted or at the drain schedule again.
func NewSlot(wake func()) *Slot { return &Slot{wake: wake} }

// Evicted reports whether the client has to close its connection unless something has come on it.
func (s *Slot) Evicted() bool { return s.evicted.Load() }

// idle reports whether the client may be evicted.
func (s *Slot) idle() bool { return s.state == stateNew || s.state == stateIdle }

// evictableAt is when an idle client has been idle long enough to be evicted for a new one.
func (s *Slot) evictableAt() time.Time {
	if s.state == stateNew {
		return s.idleSince.Add(newClientIdleTimeout)
	}
	return s.idleSince.Add(idleTimeout)
}

// transition changes a slot's state; no other function does. l.mu is held.
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
