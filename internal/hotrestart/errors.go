package hotrestart

import (
	"errors"
	"fmt"
	"strings"

	"cranegate/internal/hotrestart/frame"
)

// Errors of Open and Apply. Their texts are for operators.
var (
	// ErrUnacknowledged reports that a live process did not acknowledge the change within ackTimeout.
	ErrUnacknowledged = errors.New("another live process of this gateway did not acknowledge the change within 500 ms: " +
		"it holds here, but the other one may still send to the host; it takes the change as soon as it goes on; " +
		"call again, or end the process that hangs")
	// ErrNotPersisted reports that the change could not be written to the file.
	ErrNotPersisted = errors.New("the change could not be written to the state file: it holds in the live processes, " +
		"but is lost if they end before a newer one has started; free the folder ($TMPDIR), then call again")
	// ErrNotApplied reports that this process has not applied the change yet.
	ErrNotApplied = errors.New("the change is known but does not hold in this process yet: it may still send to the host; " +
		"it goes on trying; call again to learn whether it holds")
	// ErrOverruled reports that concurrent opposite calls to another process took precedence in every attempt.
	ErrOverruled = errors.New("an opposite call to another process of this gateway won; look at what is out, then call again")
	// ErrUnverified reports that the folder could not be searched for processes that have just started.
	ErrUnverified = errors.New("the folder ($TMPDIR) could not be searched for other processes of this gateway: one that has " +
		"just started may not know of the change; make the folder readable, then call again")
	// ErrClosed reports that Close was called.
	ErrClosed = errors.New("hot restart of this process is closed; call the process that serves now")
	// ErrTooManyProcesses reports that more than maxPeers other processes are registered in the folder.
	ErrTooManyProcesses = fmt.Errorf("more than %d other processes of this gateway live in the folder ($TMPDIR): end those that are left over, "+
		"and give each gateway a folder of its own", maxPeers)
	// ErrTooManyConnections reports that maxLinks connections to other processes are open.
	ErrTooManyConnections = fmt.Errorf("%d connections of other processes of this gateway are open: end those that are left over", maxLinks)
	// ErrUnresponsive reports that an older process is alive and did not respond during Open.
	ErrUnresponsive = errors.New("an older process is alive but did not respond: all hosts whose detach call succeeded are known " +
		"from the state file, but the observations of that process are not; nothing needs to be done, or end it if it hangs")
)

// FolderError reports that the folder can't be used. Open returns it instead of a Coordinator.
type FolderError struct {
	Dir   string
	Cause error
}

// Error describes the consequences and the remedy.
func (e *FolderError) Error() string {
	return fmt.Sprintf("the folder %q can't be used (%v): detached hosts and lameduck are not known, and the effect of calls would "+
		"end with this process; set TMPDIR to a folder that exists and is writable, then restart", e.Dir, e.Cause)
}

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Cause }

// PeerError names the processes that did not acknowledge or respond.
type PeerError struct {
	Peers []string // the names of their sockets
	Cause error    // ErrUnacknowledged or ErrUnresponsive
}

// Error names the sockets and the cause.
func (e *PeerError) Error() string {
	return fmt.Sprintf("%v (%s)", e.Cause, strings.Join(e.Peers, ", "))
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// BlobSizeError reports a blob that is too large to be sent to a newer process, which then starts without it.
type BlobSizeError struct{ Bytes int }

// Error gives the size, the maximum and the consequence.
func (e BlobSizeError) Error() string {
	return fmt.Sprintf("the state for a newer process takes %d bytes, more than the maximum of %d; the newer process starts without it and "+
		"makes its own observations; nothing needs to be done", e.Bytes, frame.MaxBlobBytes)
}

// withCause adds a cause to one of the errors above; errors.Is and errors.As match both.
func withCause(err, cause error) error { return fmt.Errorf("%w: %w", err, cause) }
