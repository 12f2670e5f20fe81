// Package discovery follows the endpoint list of the discovery service. A Watcher keeps one long-polling call open all the time and
// passes each list, or change of it, to the core.
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

// A change has to be known 6 s after discovery had it and could be reached, whatever became of the calls before. With these
// times any two calls in a row may fail, in whatever way, and the third still comes in time; docs/standing.md has the sums.
const (
	watchWait        = 1500 * time.Millisecond // of one watch call; the agent answers sooner when there is a change
	answerGrace      = 600 * time.Millisecond  // on top of watchWait, before the call is given up for one on a new connection
	firstWatchWait   = 50 * time.Millisecond   // of the first call on a connection, which shows that the agent answers
	firstAnswerGrace = 2150 * time.Millisecond // on top of firstWatchWait: a service with too many calls takes up to 2 s to reject one
	firstListTimeout = 4500 * time.Millisecond // for the first list: while none is known no request is sent anywhere
	dialTimeout      = 400 * time.Millisecond  // the agent runs on this machine
)

// failureLogInterval is the least time between two log lines about failed calls.
const failureLogInterval = time.Second

// Watcher is the actor that follows the endpoint list. Run's goroutine makes all calls; the other methods may be called from any
// goroutine, SetAddress from one at a time.
type Watcher struct {
	address   string
	rev       int64
	notify    func(core.EndpointList)
	counters  *metrics.Counters
	backoff   *backoff.Backoff
	addresses chan string // the mailbox of SetAddress: a newer address replaces an older one
	dial      func(ctx context.Context, network, address string) (net.Conn, error)

	failureLoggedAt time.Time
	firstCallDone   chan struct{}
	firstCallOnce   sync.Once

	mu         sync.Mutex
	entries    map[string]Target // the list as last notified, by UID; only Run's goroutine changes it
	entriesRev int64
}

// NewWatcher makes a Watcher that starts from the list in known, which may be empty with revision -1. The watch begins with Run. With an
// empty address there is nothing to follow until SetAddress gives one. Run calls notify with each list and each change.
func NewWatcher(address string, known Snapshot, notify func(core.EndpointList), b *backoff.Backoff, counters *metrics.Counters) *Watcher {
	w := &Watcher{
		address:       address,
		rev:           known.Rev,
		notify:        notify,
		counters:      counters,
		backoff:       b,
		addresses:     make(chan string, 1),
		dial:          (&net.Dialer{}).DialContext,
		firstCallDone: make(chan struct{}),
	}
	w.record(known)
	return w
}

// Snapshot returns the complete list as last notified, with its revision and sorted by UID. It has no targets where no list is
// known yet.
func (w *Watcher) Snapshot() Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := Snapshot{Rev: w.entriesRev, All: true}
	for _, uid := range slices.Sorted(maps.Keys(w.entries)) {
		s.Targets = append(s.Targets, w.entries[uid])
	}
	return s
}

// record applies a snapshot to the list that Snapshot returns.
func (w *Watcher) record(s Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entriesRev = s.Rev
	if s.All || w.entries == nil {
		w.entries = map[string]Target{}
	}
	for _, target := range s.Targets {
		if target.State == stateDeleted {
			delete(w.entries, target.UID)
		} else {
			w.entries[target.UID] = target
		}
	}
}

// FirstCallDone returns a channel that is closed once the first call has ended, with an answer or without: what discovery had at
// the start has then been notified, or can't be had. It is closed as well where there is no address to follow.
func (w *Watcher) FirstCallDone() <-chan struct{} { return w.firstCallDone }

func (w *Watcher) markFirstCallDone() {
	w.firstCallOnce.Do(func() { close(w.firstCallDone) })
}

// SetAddress continues the watch at another address at once. The list known so far and its revision stay, so the new address
// sends only what has changed since. One goroutine at a time may call it. It never blocks.
func (w *Watcher) SetAddress(address string) {
	select {
	case <-w.addresses:
	default:
	}
	w.addresses <- address
}

// Run follows the list until the context ends, and returns nil then. While discovery does not answer, the list known so far stays.
func (w *Watcher) Run(ctx context.Context) error {
	delay := time.Duration(0) // a change that discovery already has is binding: the first call is made at once
	firstCall := true
	for ctx.Err() == nil {
		select {
		case <-time.After(delay):
		case address := <-w.addresses: // no call has failed there yet, so the delay does not apply
			w.changeAddress(address)
			firstCall = true
		case <-ctx.Done():
			return nil
		}
		addressChanged, err := w.followAddress(ctx, firstCall)
		switch {
		case ctx.Err() != nil:
			return nil
		case addressChanged:
			delay, firstCall = 0, true
		case errors.Is(err, errConnectionClosed): // the list is current up to that answer: the watch just goes on
			delay, firstCall = backoff.MaxFailureDelay(1), false
		default:
			w.recordFailure(err)
			delay, firstCall = w.failureDelay(err), true
		}
	}
	return nil
}

// followAddress follows the list at the present address until a call fails or SetAddress has given another address.
func (w *Watcher) followAddress(ctx context.Context, firstCall bool) (addressChanged bool, err error) {
	followCtx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- w.follow(followCtx, w.address, firstCall) }()
	select {
	case address := <-w.addresses:
		stop()
		<-ended
		w.changeAddress(address)
		return true, nil
	case err := <-ended:
		return false, err
	}
}

// changeAddress continues at another address, without the backoff of the old one.
func (w *Watcher) changeAddress(address string) {
	w.address = address
	w.backoff.Succeeded()
	slog.Info("discovery_address_changed", "address", address, "rev", w.rev)
}

// recordFailure counts a failed call and logs it, at most once per failureLogInterval: many calls fail in an outage.
func (w *Watcher) recordFailure(err error) {
	w.counters.Add("list_calls_failed", 1)
	now := time.Now()
	if now.Sub(w.failureLoggedAt) > failureLogInterval {
		w.failureLoggedAt = now
		slog.Warn("discovery_call_failed", "error", err)
	}
}

// failureDelay returns the time to wait after a failed call.
func (w *Watcher) failureDelay(err error) time.Duration {
	var rejected rejectedError
	if errors.As(err, &rejected) {
		return w.backoff.Rejected(rejected.elapsed, rejected.retryAfter)
	}
	return w.backoff.Failed()
}

// follow connects to an address and makes calls, each at once after the last answer, until one fails. If firstCall is set, the first
// one waits for firstWatchWait only. It never returns nil but for an empty address, once ctx has ended.
func (w *Watcher) follow(ctx context.Context, address string, firstCall bool) error {
	defer w.markFirstCallDone()
	if address == "" {
		w.markFirstCallDone()
		<-ctx.Done()
		return nil
	}
	callStarted := time.Now() // the connect is part of the first call
	raw, err := w.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("connecting to discovery: %w", err)
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	conn := framebuf.New(raw, maxAnswerBytes)
	for ; ; firstCall = false {
		snapshot, reusable, err := w.call(conn, address, firstCall)
		var rejected rejectedError
		if errors.As(err, &rejected) {
			rejected.elapsed = time.Since(callStarted)
			return rejected
		}
		if err != nil {
			return err
		}
		w.apply(snapshot)
		callStarted = time.Now()
		if !reusable {
			return errConnectionClosed
		}
	}
}

// connect dials an address within dialTimeout.
func (w *Watcher) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return w.dial(ctx, "tcp", address)
}

// call makes one call and decodes its answer.
func (w *Watcher) call(conn *framebuf.Conn, address string, firstCall bool) (s Snapshot, reusable bool, err error) {
	query, timeout := w.query(firstCall)
	conn.SetDeadline(time.Now().Add(timeout)) // for the call and its complete answer
	body, reusable, err := get(conn, address, "/discovery/hosts"+query)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return Snapshot{}, false, TimeoutError{address, timeout}
	}
	if err != nil {
		return Snapshot{}, false, fmt.Errorf("calling discovery: %w", err)
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return Snapshot{}, false, fmt.Errorf("decoding the endpoint list: %w", err)
	}
	return s, reusable, nil
}

// query returns the query of the next call, and the time within which its complete answer has to come.
func (w *Watcher) query(firstCall bool) (query string, timeout time.Duration) {
	if w.rev < 0 {
		if len(w.entries) == 0 {
			return "", firstListTimeout
		}
		return "", firstWatchWait + firstAnswerGrace
	}
	wait, grace := watchWait, answerGrace
	if firstCall {
		wait, grace = firstWatchWait, firstAnswerGrace
	}
	query = "?after=" + strconv.FormatInt(w.rev, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return query, wait + grace
}

// apply takes an answer: it records the snapshot and notifies the core where something has changed.
func (w *Watcher) apply(s Snapshot) {
	w.record(s)
	w.rev = s.Rev
	if s.All {
		w.counters.Add("list_changes", 1)
		w.notify(s.EndpointList(routing.EndpointListComplete))
	} else if len(s.Targets) > 0 {
		w.counters.Add("list_changes", 1)
		w.notify(s.EndpointList(routing.EndpointListPatch))
	}
	w.backoff.Succeeded()
	w.counters.Add("list_answers", 1)
	w.markFirstCallDone()
}
