// Package fdpass passes open connections from one process to another on the same machine, as descriptors over a Unix socket in
// a folder that both share. The peer of such a connection notices nothing.
package fdpass

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// The form of the messages, which processes of other versions read and write: the version, the flags, and the protocol's name.
const (
	version          = 1
	maxProtocolBytes = 64
	flagStarted      = 1 << 0
	flagAnswered     = 1 << 1
)

// socketName is the socket on which the newest process listens.
const socketName = "cranegate-clients.sock"

// Errors of senders.
var (
	// ErrNoReceiver reports that no newer process receives connections: those here have to end.
	ErrNoReceiver = errors.New("no newer process takes open connections over; clients have to connect anew")
	// ErrNotPassed reports that a connection was not passed, and is still this process's.
	ErrNotPassed = errors.New("the connection could not be handed over")
)

// ProcessLimitError reports that too many processes send their connections concurrently.
type ProcessLimitError struct{ Max int }

// Error says what to do.
func (e ProcessLimitError) Error() string {
	return fmt.Sprintf("%d processes of this gateway hand their clients over already; those of further ones have to connect anew; "+
		"end processes that are left over, and give each gateway a folder of its own", e.Max)
}

// Conn is a client's connection that is passed, with what is known of it.
type Conn struct {
	net.Conn
	Protocol string // the frontend's name, of at most 64 bytes
	Started  bool   // the client has sent its startup message
	Answered bool   // and has had the answer to a request
}

// socketPath returns the path of a socket in a folder. It is short however long the folder's own path is.
func socketPath(dir *os.File, name string) string {
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), name)
}

// pendingSocketName is the name of this process's socket before it takes the place of socketName.
func pendingSocketName() string { return fmt.Sprintf("%s.%d", socketName, os.Getpid()) }
