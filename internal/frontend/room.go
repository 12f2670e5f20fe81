package frontend

import (
	"sync"
	"sync/atomic"
	"time"

	"cranegate/internal/frontend/drain"
)

const (
	silentFor = 100 * time.Millisecond // a client that has asked nothing yet gives way after this,
	idleFor   = 250 * time.Millisecond // and another without an open request after this, the longest idle first
	roomFor   = 300 * time.Millisecond // a new client waits so long for a place that is about to be free, or half of the
	//                                      shortest deadline: told then, it has time to try elsewhere
	roomLook    = 10 * time.Millisecond // and so long for the one that was asked to leave, before the next is
	mostThinned = 4                     // idle clients that are let go for each that comes to rest
	mostLobby   = 8                     // clients that wait for a place or are being turned away at once, in a room of 32 or more
)

// Room is the places of all fronts' clients, a descriptor for each. Where none is left, a client that has nothing
// open is let go for the next: silent and forgotten connections must not keep others out.
type Limiter struct {
	whole int // places in all, a descriptor each
	lobby lobby

	plan atomic.Pointer[drain.Schedule] // nil: clients are welcome

	mu       sync.Mutex
	size     int           // places for clients, where none is lent
	lent     int           // places that something else holds, or waits for
	returned chan struct{} // closed as a place is given back; nil while nothing waits to be lent one
	freed    chan struct{} // closed as a place is given back; nil while nobody waits for that
	waiting  int           // newcomers that do
	longest  time.Duration // any client's deadline,
	shortest time.Duration // zero while none is known
	sessions map[*Session]bool
	ending   int  // of them, those that have been let go
	keeps    bool // idle clients are not let go before there is no place left
}

// NewLimiter returns a room with a number of places.
func NewLimiter(size int) *Limiter {
	return &Limiter{whole: size, size: size, lobby: make(lobby, RejectQueueSize(size)), sessions: map[*Session]bool{}}
}

// lobby holds one for each client in it.
type lobby chan struct{}

// enter says whether there is room in the lobby.
func (l lobby) enter() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l lobby) leave() { <-l }

// Lobby is how many clients a room of so many places turns away at once. Each of them holds a descriptor beside the places.
func RejectQueueSize(size int) int { return max(1, min(mostLobby, size/4)) }

// Waits tells of a class's deadline. The longest says how soon after a stop the process may be killed, the shortest how
// long a new client may wait for its place.
func (r *Limiter) ObserveDeadline(deadline time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shortest == 0 || deadline < r.shortest {
		r.shortest = deadline
	}
	r.longest = max(r.longest, deadline)
}

// Longest is the longest of these deadlines.
func (r *Limiter) MaxDeadline() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longest
}

// Free is the share of places that no client holds.
func (r *Limiter) FreeShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, 1-float64(len(r.sessions))/float64(r.places()))
}

// take gives a session a place if there is one.
func (r *Limiter) take(x *Session) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sessions) >= r.places() {
		return false
	}
	r.sessions[x] = true
	return true
}

// enter gives a session a place as soon as there is one. False says that there won't be soon.
func (r *Limiter) enter(x *Session) bool {
	r.mu.Lock()
	r.waiting++
	wait := roomFor
	if r.shortest > 0 {
		wait = min(wait, max(0, r.shortest/2-letGoFor))
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	for until := time.Now().Add(wait); ; {
		now := time.Now()
		entered, due, freed := r.try(x, now)
		if entered || due.IsZero() || due.After(now) && due.After(until) || now.After(until.Add(letGoFor)) {
			return entered
		}
		wait := due.Sub(now)
		if wait <= 0 {
			wait = roomLook // one was asked to leave
		}
		select {
		case <-freed:
		case <-time.After(wait):
		}
	}
}

// force gives a session a place, also where there is none: it held one in another process till now. The one that has rested
// longest gives way for it then: two processes' idle clients must not take the descriptors of all else.
func (r *Limiter) force(x *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions[x] = true
	over, first := len(r.sessions)-r.places(), (*Session)(nil)
	for s := range r.sessions {
		if s.leaving.Load() {
			over--
		} else if !s.resting.IsZero() && (first == nil || s.resting.Before(first.resting)) {
			first = s
		}
	}
	if over > 0 && first != nil {
		first.ask()
	}
}

// try gives a session a place, or asks the one to leave whose time is up first, unless one is leaving for each newcomer that
// waits. It tells when that is, never if all have something open, and what is closed as a place is given back.
func (r *Limiter) try(x *Session, now time.Time) (entered bool, due time.Time, freed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sessions) < r.places() {
		r.sessions[x] = true
		return true, now, nil
	}
	if r.freed == nil {
		r.freed = make(chan struct{})
	}
	if r.ending >= r.waiting { // their clients have till letGoFor to close
		return false, now, r.freed
	}
	var first *Session
	for s := range r.sessions {
		if s.resting.IsZero() {
			continue
		}
		end := s.resting.Add(idleFor)
		if s.silent {
			end = s.resting.Add(silentFor)
		}
		if first == nil || end.Before(due) {
			first, due = s, end
		}
	}
	if first != nil && !due.After(now) {
		first.ask()
		due = now
	}
	return false, due, r.freed
}

// ask has a session end unless something comes. It is asked once, until it goes on.
func (x *Session) ask() {
	x.resting = time.Time{}
	x.leaving.Store(true)
	x.Wake()
}

// thin asks clients to leave that have been idle longest, where more than half of the places are held by clients
// that have asked something and are idle. Clients count their own connections too: who has come to the end of them
// does not come to us for another, and so would never push an idle one out.
func (r *Limiter) thin(now time.Time) {
	if r.keeps {
		return
	}
	for range mostThinned {
		idle, first := 0, (*Session)(nil)
		for s := range r.sessions {
			if s.resting.IsZero() || s.silent {
				continue
			}
			if idle++; first == nil || s.resting.Before(first.resting) {
				first = s
			}
		}
		if idle <= r.places()/2 || now.Sub(first.resting) < idleFor {
			return
		}
		first.ask()
	}
}

// leave gives a session's place back.
func (r *Limiter) leave(x *Session) {
	r.mu.Lock()
	delete(r.sessions, x)
	if x.ending {
		r.ending--
	}
	if r.freed != nil {
		close(r.freed)
		r.freed = nil
	}
	r.back()
	r.mu.Unlock()
}

// letGo says that a session ends as its place is wanted. It holds the place until its connection is closed.
func (r *Limiter) letGo(x *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.ending = true
	r.ending++
}

// rest says that a session has nothing open from now on, and work that it has.
func (r *Limiter) rest(x *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.resting, x.silent = time.Now(), !x.proves.IsZero()
	if r.lent > 0 && r.owes() > 0 { // a place was lent that clients hold still
		x.ask()
	} else if !x.silent {
		r.thin(x.resting)
	}
}

func (r *Limiter) work(x *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.resting = time.Time{}
	x.leaving.Store(false)
}

// Drain has all clients' connections end, each when that crosses nothing. New ones are still taken, for a request
// each. Twice is the same as once.
func (r *Limiter) Drain() {
	r.replan(func(p *drain.Schedule) *drain.Schedule {
		if p != nil {
			return p
		}
		return drain.Start(time.Now(), r.longest)
	})
}

// Undrain has clients welcome again. Connections whose end has begun end. False says that the process ends or has been
// followed by another, and clients are not taken again.
func (r *Limiter) Undrain() bool {
	return r.replan(func(p *drain.Schedule) *drain.Schedule {
		if p.Final() {
			return p
		}
		return nil
	}) == nil
}

// Stop sends clients away for good, as the process ends; Pass does as another process takes them from now on.
func (r *Limiter) Shutdown() {
	r.replan(func(p *drain.Schedule) *drain.Schedule { return p.Stop(time.Now(), r.longest) })
}

// Pass is described at Stop.
func (r *Limiter) Handover() {
	r.replan(func(p *drain.Schedule) *drain.Schedule { return p.Handover(time.Now()) })
}

// Return undoes Pass, as the other process is gone.
func (r *Limiter) CancelHandover() { r.replan((*drain.Schedule).CancelHandover) }

// replan replaces the plan and has all sessions look anew at what holds.
func (r *Limiter) replan(next func(*drain.Schedule) *drain.Schedule) *drain.Schedule {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.plan.Load()
	p := next(old)
	if p == old {
		return p
	}
	r.plan.Store(p)
	for x := range r.sessions {
		x.Wake()
	}
	return p
}

// Thin says whether idle clients are let go before there is no place left, as they are at first.
func (r *Limiter) SetEvictIdle(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keeps = !on
}

// Resize changes the number of places. Where more are held than there are now, idle clients give way as others come to
// rest.
func (r *Limiter) Resize(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size = max(1, size)
}

// Away says whether clients are sent away.
func (r *Limiter) Draining() bool { return r.plan.Load() != nil }
