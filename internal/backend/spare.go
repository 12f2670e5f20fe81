package backend

import (
	"sync"
	"time"
)

// spare is the descriptors that are left unused, as another process of the same gateway holds them.
type spare struct {
	mu     sync.Mutex
	want   int
	held   int
	moving bool
}

// spareEvery is how often idle connections are asked to make room while too many are open.
const spareEvery = 50 * time.Millisecond

// Spare leaves so many of the connections unused from now on, as soon as there are as few open. Idle ones give way. It
// never waits.
func (p *Pool) ReserveDescriptors(n int) {
	s := &p.spare
	s.mu.Lock()
	defer s.mu.Unlock()
	s.want = max(0, min(n, cap(p.slots)-1)) // one at least stays
	if !s.moving {
		s.moving = true
		p.group.Go(func() error { p.move(); return nil })
	}
}

// move takes descriptors out of use or gives them back, until there are as many as are wanted.
func (p *Pool) move() {
	s := &p.spare
	for {
		s.mu.Lock()
		for s.held > s.want {
			<-p.slots
			s.held--
		}
		if s.held == s.want || p.ctx.Err() != nil {
			s.moving = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case p.slots <- struct{}{}:
			s.mu.Lock()
			s.held++
			s.mu.Unlock()
		case <-time.After(spareEvery):
			p.relieve()
		case <-p.ctx.Done():
		}
	}
}
