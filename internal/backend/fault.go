package backend

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// errNoDescriptor says that the gateway's own share of descriptors had none left for a connection.
var errNoDescriptor = errors.New("no descriptor left for a connection; raise limits.sockets or the limit on open files (ulimit -n)")

// ownFaults are what the system says of a connect that failed for want of something on this machine: descriptors, memory, local
// ports, or a network.
var ownFaults = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.ENETUNREACH}

// ownFault says whether a connection failed for a fault of this machine. It tells nothing of the host.
func ownFault(err error) bool {
	var code syscall.Errno
	return errors.Is(err, errNoDescriptor) || errors.As(err, &code) && slices.Contains(ownFaults, code)
}

// ownFaultWait is how long an attempt waits that met such a fault: the next one would meet it too, and a request has only so many.
// It is a tenth of the shortest deadline.
const ownFaultWait = 20 * time.Millisecond
