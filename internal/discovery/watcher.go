// Package discovery follows the endpoint list of the discovery service. The service's agent, a process on this machine, answers the
// calls. A Watcher makes one long-polling call after another and passes each complete list and each patch to the core.
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

// A change must be known within 6 s after discovery has it and can be reached, regardless of the calls before. With these times any
// two consecutive calls may fail in any way, and the third is still made early enough; docs/standing.md has the sums. The exception is
// two calls for the first list that time out.
const (
	watchWait        = 1500 * time.Millisecond // the wait that a watch call asks for; the agent answers sooner when there is a change
	answerGrace      = 600 * time.Millisecond  // added to watchWait before the call is abandoned and repeated on a new connection
	firstWatchWait   = 50 * time.Millisecond   // the wait of a first call: at the start, after a failure and after a change of address
	firstAnswerGrace = 2150 * time.Millisecond // added to firstWatchWait: an agent with too many calls takes up to 2 s to reject one
	firstListTimeout = 4500 * time.Millisecond // for the first list; no request can be sent until a list is known
	dialTimeout      = 400 * time.Millisecond  // the agent runs on this machine
)

// failureLogInterval is the least time between two log lines about failed calls.
const failureLogInterval = time.Second

// Watcher follows the endpoint list. Run makes all calls. The other methods may be called from any goroutine, SetAddress from one
// goroutine at a time.
type Watcher struct {
	address   string
	rev       int64 // of the last answer; only Run uses it
	notify    func(core.EndpointList)
	counters  *metrics.Counters
	backoff   *backoff.Backoff
	addresses chan string // from SetAddress to Run; a newer address replaces an unread one
	dial      func(ctx context.Context, network, address string) (net.Conn, error)

	failureLoggedAt time.Time
	firstCallDone   chan struct{}
	firstCallOnce   sync.Once

	mu         sync.Mutex
	entries    map[string]Target // the list as given to NewWatcher or as last notified, by UID; after NewWatcher only Run changes it
	entriesRev int64             // the revision of entries, for Snapshot; unlike rev, it is guarded by mu
}

// NewWatcher returns a Watcher that starts from the list in known. If no list is known, known is empty and has the revision -1. Run
// makes the calls and passes each complete list and each patch to notify. With an empty address it makes no call until SetAddress sets
// one.
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

// Snapshot returns the complete list as given to NewWatcher or as last notified, with its revision and sorted by UID. It has no
// targets until a list is known.
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

// FirstCallDone returns a channel that is closed once the first call has ended. If it was answered, the changes that discovery had at
// the start have been notified; if it failed, they are not available. Run also closes the channel if the address is empty.
func (w *Watcher) FirstCallDone() <-chan struct{} { return w.firstCallDone }

func (w *Watcher) markFirstCallDone() {
	w.firstCallOnce.Do(func() { close(w.firstCallDone) })
}

// SetAddress makes Run continue at another address at once. The known list and its revision are kept, so the new address sends only
// later changes. If the address is the same, the current call is still abandoned and a new one made. One goroutine at a time may call
// SetAddress. It never blocks.
func (w *Watcher) SetAddress(address string) {
	select {
	case <-w.addresses:
	default:
	}
	w.addresses <- address
}

// Run follows the list until the context ends, and then returns nil. While discovery does not answer, the known list stays in use.
func (w *Watcher) Run(ctx context.Context) error {
	delay := time.Duration(0) // the gateway must follow changes that discovery already has, so the first call is made at once
	firstCall := true
	for ctx.Err() == nil {
		select {
		case <-time.After(delay):
		case address := <-w.addresses: // no call to this address has failed yet, so the delay does not apply
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
		case errors.Is(err, errConnectionClosed):
			// Not a failure, as the list is current up to the last answer. The delay is the same as after one failure.
			delay, firstCall = backoff.MaxFailureDelay(1), false
		default:
			w.recordFailure(err)
			delay, firstCall = w.failureDelay(err), true
		}
	}
	return nil
}

// followAddress follows the list at the current address until a call fails or SetAddress sets another address.
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

// changeAddress switches to another address and resets the backoff, which applies to the old one.
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

// failureDelay records a failed call in the backoff and returns the time to wait after it.
func (w *Watcher) failureDelay(err error) time.Duration {
	var rejected rejectedError
	if errors.As(err, &rejected) {
		return w.backoff.Rejected(rejected.elapsed, rejected.retryAfter)
	}
	return w.backoff.Failed()
}

// follow connects to an address and makes calls until one fails, each immediately after the answer to the one before. If firstCall is
// set, the first call waits for firstWatchWait only, in order to show soon that the agent answers. It returns nil only
// for an empty address, when ctx ends.
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

// query returns the query string of the next call, and the timeout for its complete answer.
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

// apply records the snapshot of an answer and notifies the core of a complete list or of a patch that has targets.
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
