package hotrestart

import (
	"errors"
	"fmt"
	"strings"

	"cranegate/internal/hotrestart/frame"
)

var (
	// ErrUnacknowledged says that a live process did not say in time that it holds the change.
	ErrUnacknowledged = errors.New("another live process of this gateway did not acknowledge the change within 500 ms: " +
		"it holds here, but the other one may still send to the host; it takes the change as soon as it goes on; " +
		"call again, or end the process that hangs")
	// ErrNotPersisted says that the change could not be written to the file.
	ErrNotPersisted = errors.New("the change could not be written to the state file: it holds in the live processes, " +
		"but is lost if they end before a newer one has started; free the folder ($TMPDIR), then call again")
	// ErrNotApplied says that this process does not hold the change yet.
	ErrNotApplied = errors.New("the change is known but does not hold in this process yet: it may still send to the host; " +
		"it goes on trying; call again to learn whether it holds")
	// ErrOverruled says that calls of the opposite meaning came to another process at the same time.
	ErrOverruled = errors.New("an opposite call to another process of this gateway won; look at what is out, then call again")
	// ErrUnverified says that the folder could not be read in search of processes that have just started.
	ErrUnverified = errors.New("the folder ($TMPDIR) could not be searched for other processes of this gateway: one that has " +
		"just started may not know of the change; make the folder readable, then call again")
	// ErrClosed says that Close was called.
	ErrClosed = errors.New("the handover of this process is closed; call the process that serves now")
	// ErrTooManyProcesses says that too many processes stand in the folder.
	ErrTooManyProcesses = fmt.Errorf("more than %d other processes of this gateway live in the folder ($TMPDIR): end those that are left over, "+
		"and give each gateway a folder of its own", mostPeers)
	// ErrTooManyConnections says that no more connections of other processes are taken.
	ErrTooManyConnections = fmt.Errorf("%d connections of other processes of this gateway are open: end those that are left over", mostLinks)
	// ErrUnresponsive says that an older process lives and has not answered at the start.
	ErrUnresponsive = errors.New("an older process lives and did not answer: every ban that got its yes is known from the state file, " +
		"what the older one knows of hosts is not; nothing needs to be done, or end it if it hangs")
)

// FolderError says that nothing can be handed over, as the folder can't be used. Open gives it, and no Handover.
type FolderError struct {
	Dir   string
	Cause error
}

func (e *FolderError) Error() string {
	return fmt.Sprintf("the folder %q can't be used (%v): hosts taken out by hand and lameduck are not known, and calls would "+
		"not outlive this process; set TMPDIR to a folder that exists and is writable, then start again", e.Dir, e.Cause)
}

func (e *FolderError) Unwrap() error { return e.Cause }

// PeerError says what a call or Open met with single processes.
type PeerError struct {
	Peers []string // the names of their sockets
	Cause error    // ErrUnacknowledged or ErrUnresponsive
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("%v (%s)", e.Cause, strings.Join(e.Peers, ", "))
}

func (e *PeerError) Unwrap() error { return e.Cause }

// BlobSizeError says that what a newer process asked for is not told: it learns the list and the hosts anew.
type BlobSizeError struct{ Bytes int }

func (e BlobSizeError) Error() string {
	return fmt.Sprintf("what this process knows takes %d bytes, %d are the most that a newer process is told; it starts without it, and "+
		"learns anew; nothing needs to be done", e.Bytes, frame.MaxBlob)
}

// because gives a sentence for operators its cause; both are found by errors.Is and errors.As.
func because(what, cause error) error { return fmt.Errorf("%w: %w", what, cause) }
