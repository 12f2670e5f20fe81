package backend

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// errNoDescriptor is the error of a connect for which there was no slot in time.
var errNoDescriptor = errors.New(
	"no descriptor left for a connection; raise limits.sockets or the limit on open files (ulimit -n)")

// localFaults are the errors of a connect that failed for want of something on this machine: descriptors, memory, local
// ports, or a network.
var localFaults = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.ENETUNREACH}

// isLocalFault reports whether a connect failed for a fault of this machine. Such a failure is no evidence about the host.
func isLocalFault(err error) bool {
	var code syscall.Errno
	return errors.Is(err, errNoDescriptor) || errors.As(err, &code) && slices.Contains(localFaults, code)
}

// localFaultDelay is how long an attempt that met a local fault waits before it fails: the next attempt would meet the
// fault too, and a request has only so many. It is a tenth of the shortest deadline.
const localFaultDelay = 20 * time.Millisecond
