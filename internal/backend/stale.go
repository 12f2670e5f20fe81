package backend

import (
	"math"
	"sync"
	"time"
)

const (
	staleClasses = 9                      // of idle times: under 0.2 s, under 0.4 s, and so on
	staleFirst   = 200 * time.Millisecond // the first class's end
	staleLeast   = 4.0                    // breaks that say anything
	staleMore    = 0.1                    // share of breaks over that of connections hardly idle that counts
	staleSure    = 2.0                    // times what chance brings, on top of that
	staleFades   = 30 * time.Second       // what was seen counts half after this
	staleAtOnce  = 50 * time.Millisecond  // a break within this of the write was there before it
)

// staleness learns how long idle connections stay good. Hosts, or what stands before them, may let go of idle ones
// without a word, so that the next request on one breaks, and may have run for all that one can tell.
type staleness struct {
	mu      sync.Mutex
	uses    [staleClasses]float64
	broke   [staleClasses]float64
	fadedAt time.Time
}

// staleClass is the class of an idle time.
func staleClass(idle time.Duration) int {
	i := 0
	for end := staleFirst; idle >= end && i < staleClasses-1; end *= 2 {
		i++
	}
	return i
}

// saw takes the first use of a connection after some time idle: whether it broke at once.
func (s *staleness) saw(idle time.Duration, broke bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(time.Now())
	i := staleClass(idle)
	s.uses[i]++
	if broke {
		s.broke[i]++
	}
}

// fade lets what was seen long ago count less, so that a limit is tried again.
func (s *staleness) fade(now time.Time) {
	if s.fadedAt.IsZero() {
		s.fadedAt = now
	}
	for ; now.Sub(s.fadedAt) >= staleFades; s.fadedAt = s.fadedAt.Add(staleFades) {
		for i := range s.uses {
			s.uses[i], s.broke[i] = s.uses[i]/2, s.broke[i]/2
		}
	}
}

// trusted is how long a connection may stand idle and be used again, at most so long.
func (s *staleness) trusted(most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(time.Now())
	usual := s.broke[0] / max(1, s.uses[0]) // as many break that were hardly idle
	end := staleFirst
	for i := 1; i < staleClasses && end < most; i++ {
		chance := math.Sqrt(s.uses[i] * usual * (1 - usual)) // what breaks more or less without a reason
		if s.broke[i] >= staleLeast && s.broke[i] > (usual+staleMore)*s.uses[i]+staleSure*chance {
			return end
		}
		end *= 2
	}
	return most
}
