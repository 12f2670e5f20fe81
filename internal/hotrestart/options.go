package hotrestart

import (
	"context"
	"time"

	"cranegate/internal/hotrestart/state"
	"cranegate/internal/metrics"
)

const (
	openTimeout    = 600 * time.Millisecond // of Open's wait for older processes
	applyTimeout   = time.Second            // of a call with all its attempts
	ackTimeout     = 500 * time.Millisecond // of an attempt's wait until every live process has applied the change
	lockTimeout    = 200 * time.Millisecond // of a wait for the lock on the file
	reserveTimeout = 500 * time.Millisecond // of a call of Options.Reserve
	dialTimeout    = 250 * time.Millisecond
	writeTimeout   = time.Second     // of writing one message; on timeout the connection is closed
	helloTimeout   = 2 * time.Second // of the first message on an accepted connection

	minRetryDelay      = 20 * time.Millisecond // of connects, accepts and writes of the file; for connects and writes doubled up to a maximum
	maxConnectDelay    = time.Second
	maxPersistDelay    = time.Second
	applyRetryInterval = 100 * time.Millisecond

	maxPeers        = 1024         // other processes in the folder; more than two are rare
	maxLinks        = 2 * maxPeers // connections to them; both sides may connect at the same time
	unreservedLinks = 2            // connections that need no descriptor from Options.Reserve

	// Attempts of a call while concurrent opposite calls to other processes overrule it. Detach has more, so that of two conflicting
	// calls the detach wins.
	maxDetachAttempts = 4
	maxAttachAttempts = 2
)

// Options configures a Coordinator. The On functions are called from goroutines of Run, Export from goroutines of connections.
type Options struct {
	// Dir is the private folder that the gateway's processes share. It must exist and be writable.
	Dir string
	// Reserve reserves a descriptor for a connection to another process beyond the first two. Its error tells an operator what to do. It
	// is called concurrently. release is called after the connection has ended. nil: only the system's limit applies.
	Reserve func(context.Context) (release func(), err error)
	// OnState makes the program apply a state, and returns after that. It is called one at a time, with ever newer states, also for this
	// process's own changes, and once at the start of Run. The program must not send to hosts before the first call has returned. After
	// an error it is called again, every 100 ms.
	OnState func(context.Context, state.State) error
	// Export returns a blob for a newer process, of at most frame.MaxBlobBytes; a larger blob is not sent. It is called one at a time,
	// and has to return within 0.5 s, or the newer process starts without the blob. nil: there is no blob.
	Export func() []byte
	// OnNewerExists reports that a newer process has registered itself, or that no newer process is alive any more. While one is, it
	// shares the gateway's limits with this process. May be nil.
	OnNewerExists func(alive bool)
	// OnSuperseded reports that a newer process is ready, so that this one must stop accepting connections. May be nil.
	OnSuperseded func()
	// OnRestored reports that no newer process is ready any more, so that this one must accept connections again. Each call follows a
	// call of OnSuperseded. May be nil.
	OnRestored func()
	// OnOlderEnded reports that no older process is left. It is called at most once, and only if there was one. May be nil.
	OnOlderEnded func()
	// Counters may be nil.
	Counters *metrics.Counters
}
