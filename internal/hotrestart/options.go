package hotrestart

import (
	"context"
	"time"

	"cranegate/internal/hotrestart/state"
	"cranegate/internal/metrics"
)

const (
	openFor     = 600 * time.Millisecond // Open waits for older processes
	setFor      = time.Second            // a call in all, with its repetitions
	tellFor     = 500 * time.Millisecond // a call waits until every live process holds it
	lockFor     = 200 * time.Millisecond // a wait for the lock on the file
	dialFor     = 250 * time.Millisecond
	writeFor    = time.Second            // one message; the connection is given up after it
	helloFor    = 2 * time.Second        // the first message of who connects
	againMost   = time.Second            // between two tries of the same thing,
	againFirst  = 20 * time.Millisecond  // which begin with this
	applyEvery  = 100 * time.Millisecond // between tries to apply what could not be applied
	persistMost = time.Second            // between tries to write the file
	mostPeers   = 1024                   // processes in one folder beside this one; more than two are rare
	mostLinks   = 2 * mostPeers          // connections to them: both may connect at once
	ownLinks    = 2                      // of which so many are counted on, and need nothing from Options.Lend
	lendFor     = 500 * time.Millisecond // a connection waits for what Options.Lend gives
	triesNarrow = 4                      // of a ban that a call elsewhere overrules at once,
	triesWiden  = 2                      // and of an attach: of two calls that fight the ban wins
)

// Options are the settings. Callbacks are called from goroutines of Run, Export from one of the connections.
type Options struct {
	// Dir is the private folder that the gateway's processes share. It must exist and be writable.
	Dir string
	// Lend gives a descriptor for a connection to another process past the two that are counted on, or an error that says
	// what an operator can do; nil: as many as the system gives. It is called from many goroutines, and what it returns
	// once the connection has ended.
	Reserve func(context.Context) (giveBack func(), err error)
	// Apply makes the program hold a state and returns once the module does. It is called one at a time, with ever
	// newer state, also for this process's own changes, and once at the start of Run. The program sends nothing to
	// hosts before that first call has returned. After an error it is called again, every 100 ms.
	OnState func(context.Context, state.State) error
	// Export gives what a newer process should know, at most talk.MaxBlob, and none of it arrives if it is more; nil: nothing. It is called
	// one at a time, and has to return within 0.5 s, or the newer process starts without it.
	Export func() []byte
	// Newer says that a newer process has shown itself, or that none lives any more: the gateway's limits are shared
	// between them meanwhile. May be nil.
	NewerExists func(lives bool)
	// Superseded says that a newer process is ready: stop accepting connections. May be nil.
	Superseded func()
	// Restored says that no newer process that was ready lives any more: accept connections again. Each call follows one
	// of Superseded. May be nil.
	Restored func()
	// Alone says that no older process is left. Called at most once, if there was one at Open. May be nil.
	Alone    func()
	Counters *metrics.Counters
}
