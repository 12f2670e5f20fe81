// Package fdpass passes open client connections from one process to another on the same machine, as descriptors over a Unix
// socket in a folder that both share. The clients are not affected.
package fdpass

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// The format of a message, which processes of other versions read and write too: the version, the flags, and the protocol's name.
const (
	version          = 1
	maxProtocolBytes = 64
	flagStarted      = 1 << 0
	flagAnswered     = 1 << 1
)

// socketName is the file name of the socket on which the newest process receives connections.
const socketName = "cranegate-clients.sock"

// Errors of senders.
var (
	// ErrNoReceiver reports that no newer process receives connections, so that this process has to close its own.
	ErrNoReceiver = errors.New("no newer process receives open connections; clients have to reconnect")
	// ErrNotPassed reports that a connection was not passed and still belongs to this process.
	ErrNotPassed = errors.New("the connection could not be passed to the newer process")
)

// ProcessLimitError reports that more than Max processes send their connections concurrently.
type ProcessLimitError struct{ Max int }

// Error gives the limit, the consequence and the remedy.
func (e ProcessLimitError) Error() string {
	return fmt.Sprintf("%d processes of this gateway already pass their clients; clients of further processes have to reconnect; "+
		"end processes that are left over, and give each gateway its own folder", e.Max)
}

// Conn is a client connection that is passed, with the state that the receiver needs to serve it.
type Conn struct {
	net.Conn
	Protocol string // the frontend's name, of at most 64 bytes
	Started  bool   // the client has sent its startup message
	Answered bool   // the client has also received the answer to a request
}

// socketPath returns a path of a socket in a folder through the folder's descriptor in /proc. It is short enough for a Unix socket
// however long the folder's own path is.
func socketPath(dir *os.File, name string) string {
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), name)
}

// pendingSocketName returns the name of this process's socket until Listen renames it to socketName.
func pendingSocketName() string { return fmt.Sprintf("%s.%d", socketName, os.Getpid()) }
