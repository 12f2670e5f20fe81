// Package discovery follows discovery: its actor holds a watch all the time and hands news to the core.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"cranegate/internal/backoff"
	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/metrics"
	"cranegate/routing"
)

// A change counts as told 6 s after discovery had it and could be reached, whatever became of the call before. So any two
// calls in a row may fail, in whatever way, and the third still comes in time; docs/standing.md has the sums.
const (
	waitFor  = 1500 * time.Millisecond // one watch call; the agent answers sooner when there is news
	patience = 600 * time.Millisecond  // past that an answer is overdue: a call on a new connection takes its place
	// The first call on a connection hardly waits: its answer tells what is held already, and that there is one.
	glanceFor      = 50 * time.Millisecond
	glancePatience = 2150 * time.Millisecond // a service with too many calls turns them away after up to 2 s
	wholeFor       = 4500 * time.Millisecond // for a first list: where none is known nothing is sent that it could forbid
	dialFor        = 400 * time.Millisecond  // the agent stands on this machine
	mostTold       = 2 << 20                 // bytes of an answer: 2 KiB for each of 1,024 hosts; the buffer grows as they come
)

// errClosed says that discovery has ended the connection behind an answer, as it may.
var errClosed = errors.New("discovery closed the connection")

// Snapshot is the list, or changes of it, in discovery's form.
type Snapshot struct {
	Rev     int64    `json:"rev" toml:"rev"`
	All     bool     `json:"all" toml:"all"`
	Targets []Target `json:"targets" toml:"targets"`
}

// Target is one entry of the list.
type Target struct {
	UID         string  `json:"uid" toml:"uid"`
	Endpoint    string  `json:"endpoint" toml:"endpoint"`
	Zone        string  `json:"az" toml:"az"`
	Group       int     `json:"pod_group" toml:"pod_group"`
	State       string  `json:"state" toml:"state"`
	Capacity    float64 `json:"capacity_hint" toml:"capacity_hint"`
	BootMS      int64   `json:"boot_ms" toml:"boot_ms"`
	Replication string  `json:"replication" toml:"replication"`
}

var phases = map[string]routing.Phase{"SERVING": routing.PhaseServing, "DRAINING": routing.PhaseDraining, "DELETED": routing.PhaseRemoved}

// List turns a snapshot into the core's form. An entry with an unknown state is taken as draining: nothing new
// may be sent where that is in doubt.
func (s Snapshot) EndpointList(kind routing.EndpointListKind) core.EndpointList {
	l := core.EndpointList{Kind: kind}
	for _, t := range s.Targets {
		phase, ok := phases[t.State]
		if !ok {
			slog.Warn("list_state_unknown", "member", t.UID, "state", t.State)
			phase = routing.PhaseDraining
		}
		l.Hosts = append(l.Hosts, core.Host{Address: t.Endpoint, Endpoint: routing.Endpoint{Member: t.UID, Group: t.Group,
			Phase: phase, Zone: t.Zone, Capacity: t.Capacity, Primary: t.Replication == "primary",
			StartedAt: time.Duration(t.BootMS) * time.Millisecond}})
	}
	return l
}

// Watcher is the list's actor.
type Watcher struct {
	address  string
	rev      int64
	tell     func(core.EndpointList)
	counters *metrics.Counters
	pace     *backoff.Backoff
	moves    chan string // its mailbox; a newer address takes an older one's place
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	first    chan struct{} // closed once the first call has ended
	once     sync.Once

	mu   sync.Mutex
	held map[string]Target // the list as last told, with its version
	at   int64
}

// Held is the whole list as last told, with its version; no targets where nothing was told yet.
func (w *Watcher) Snapshot() Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := Snapshot{Rev: w.at, All: true}
	for _, uid := range slices.Sorted(maps.Keys(w.held)) {
		s.Targets = append(s.Targets, w.held[uid])
	}
	return s
}

// keep notes what was told.
func (w *Watcher) keep(s Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.at = s.Rev; s.All || w.held == nil {
		w.held = map[string]Target{}
	}
	for _, t := range s.Targets {
		if w.held[t.UID] = t; t.State == "DELETED" {
			delete(w.held, t.UID)
		}
	}
}

// Tried is closed once the first call has ended, with or without an answer: what discovery held at the start has then
// been told, or can't be had. It is closed too where there is nothing to follow.
func (w *Watcher) FirstCallDone() <-chan struct{} { return w.first }

func (w *Watcher) tried() { w.once.Do(func() { close(w.first) }) }

// NewWatcher makes the actor, which knows a list already, maybe none (of version -1); Run starts it. With no address there is nothing
// to follow until Move names one.
func NewWatcher(address string, known Snapshot, tell func(core.EndpointList), p *backoff.Backoff, counters *metrics.Counters) *Watcher {
	w := &Watcher{address: address, rev: known.Rev, tell: tell, pace: p, counters: counters, moves: make(chan string, 1),
		dial: (&net.Dialer{}).DialContext, first: make(chan struct{})}
	w.keep(known)
	return w
}

// Move has the watch go on at another address at once. What is known of the list stays, and so does its version,
// so the new address tells just what has changed since. One goroutine at a time may call it; it never waits.
func (w *Watcher) SetAddress(address string) {
	select {
	case <-w.moves:
	default:
	}
	w.moves <- address
}

// Run follows the list until the context ends. While discovery is silent the old list stays.
func (w *Watcher) Run(ctx context.Context) error {
	var logged time.Time
	wait := time.Duration(0) // what could have been told binds: the first call is made at once
	glance := true
	for ctx.Err() == nil {
		select {
		case <-time.After(wait):
		case address := <-w.moves: // nobody has called there in vain yet
			w.moved(address)
			glance = true
		case <-ctx.Done():
			return nil
		}
		wait = 0
		call, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- w.follow(call, w.address, glance) }()
		var err error
		select {
		case address := <-w.moves:
			stop()
			<-ended
			w.moved(address)
			glance = true
			continue
		case err = <-ended:
			stop()
		}
		if ctx.Err() != nil {
			break
		}
		if glance = !errors.Is(err, errClosed); !glance { // all is known up to its answer: the watch goes on
			wait = backoff.MaxFailureDelay(1)
			continue
		}
		w.counters.Add("list_calls_failed", 1)
		if now := time.Now(); now.Sub(logged) > time.Second { // an outage fails many
			logged = now
			slog.Warn("list_call_failed", "error", err)
		}
		var away turnedAway
		if errors.As(err, &away) {
			wait = w.pace.Rejected(away.took, away.after)
		} else {
			wait = w.pace.Failed()
		}
	}
	return nil
}

// moved goes on at another address, at once.
func (w *Watcher) moved(address string) {
	w.address = address
	w.pace.Succeeded()
	slog.Info("list_moved", "address", address, "rev", w.rev)
}

// follow makes calls, each at once after the last answer, until one fails. Each time it begins on a new connection; glance
// says that the first call there hardly waits.
func (w *Watcher) follow(ctx context.Context, address string, glance bool) error {
	defer w.tried()
	if address == "" {
		w.tried()
		<-ctx.Done()
		return nil
	}
	made := time.Now() // the connect is part of the first call
	up, cancel := context.WithTimeout(ctx, dialFor)
	raw, err := w.dial(up, "tcp", address)
	cancel()
	if err != nil {
		return fmt.Errorf("connecting to discovery: %w", err)
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	c := framebuf.New(raw, mostTold)
	for ; ; glance = false {
		query, within := "", glanceFor+glancePatience
		if w.rev >= 0 {
			wait := waitFor
			if within = waitFor + patience; glance {
				wait, within = glanceFor, glanceFor+glancePatience
			}
			query = "?after=" + strconv.FormatInt(w.rev, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
		} else if len(w.held) == 0 { // which this goroutine alone changes
			within = wholeFor
		}
		c.SetDeadline(time.Now().Add(within)) // for the call and its whole answer
		body, again, err := get(c, address, "/discovery/hosts"+query)
		var away turnedAway
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return TimeoutError{address, within}
		} else if errors.As(err, &away) {
			away.took = time.Since(made)
			return away
		} else if err != nil {
			return fmt.Errorf("asking discovery: %w", err)
		}
		var s Snapshot
		if err := json.Unmarshal(body, &s); err != nil {
			return fmt.Errorf("reading the list: %w", err)
		}
		w.keep(s)
		if w.rev = s.Rev; s.All {
			w.counters.Add("list_changes", 1)
			w.tell(s.EndpointList(routing.EndpointListComplete))
		} else if len(s.Targets) > 0 {
			w.counters.Add("list_changes", 1)
			w.tell(s.EndpointList(routing.EndpointListPatch))
		}
		w.pace.Succeeded()
		w.counters.Add("list_answers", 1)
		w.tried()
		made = time.Now()
		if !again {
			return errClosed
		}
	}
}
