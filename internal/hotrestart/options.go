package hotrestart

import (
	"context"
	"time"

	"cranegate/internal/hotrestart/state"
	"cranegate/internal/metrics"
)

const (
	openTimeout    = 600 * time.Millisecond // Open waits for older processes
	applyTimeout   = time.Second            // a call in all, with its attempts
	ackTimeout     = 500 * time.Millisecond // an attempt waits until every live process has applied the change
	lockTimeout    = 200 * time.Millisecond // a wait for the lock on the file
	reserveTimeout = 500 * time.Millisecond // a connection waits for its descriptor
	dialTimeout    = 250 * time.Millisecond
	writeTimeout   = time.Second     // one message; the connection is closed after it
	helloTimeout   = 2 * time.Second // the first message on an accepted connection

	minRetryDelay      = 20 * time.Millisecond // of connects, accepts and writes of the file; doubled up to a maximum
	maxConnectDelay    = time.Second
	maxPersistDelay    = time.Second
	applyRetryInterval = 100 * time.Millisecond

	maxPeers        = 1024         // processes in one folder beside this one; more than two are rare
	maxLinks        = 2 * maxPeers // connections to them: both sides may connect at once
	unreservedLinks = 2            // connections that need nothing from Options.Reserve

	// Attempts of a call that a concurrent call to another process overrules at once: of two calls that fight the detach wins.
	maxDetachAttempts = 4
	maxAttachAttempts = 2
)

// Options are the settings. The On functions are called from goroutines of Run, Export from those of the connections.
type Options struct {
	// Dir is the private folder that the gateway's processes share. It must exist and be writable.
	Dir string
	// Reserve reserves a descriptor for a connection to another process past the first two; nil: no limit but the system's. Its error
	// says what an operator can do. It is called concurrently, and release once the connection has ended.
	Reserve func(context.Context) (release func(), err error)
	// OnState has the program apply a state, and returns once it has. It is called one at a time, with ever newer states, also for this
	// process's own changes, and once at the start of Run. The program sends nothing to hosts before that first call has returned. After an
	// error it is called again, every 100 ms.
	OnState func(context.Context, state.State) error
	// Export returns a blob for a newer process, of at most frame.MaxBlobBytes; one that is larger is not sent at all. nil: none. It is
	// called one at a time, and has to return within 0.5 s, or the newer process starts without the blob.
	Export func() []byte
	// OnNewerExists reports that a newer process has registered itself, or that none lives any more: the gateway's limits are shared
	// meanwhile. May be nil.
	OnNewerExists func(alive bool)
	// OnSuperseded reports that a newer process is ready: stop accepting connections. May be nil.
	OnSuperseded func()
	// OnRestored reports that no newer process that was ready lives any more: accept connections again. Each call follows one
	// of OnSuperseded. May be nil.
	OnRestored func()
	// OnOlderEnded reports that no older process is left. It is called at most once, if there was one at Open. May be nil.
	OnOlderEnded func()
	// Counters may be nil.
	Counters *metrics.Counters
}
