package backend

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// errNoDescriptor is the error of a connect that got no slot before its time was over.
var errNoDescriptor = errors.New(
	"no descriptor left for a connection; raise limits.sockets or the limit on open files (ulimit -n)")

// localFaults are the errors of a connect that failed because this machine lacks a resource: descriptors, memory, local
// ports, or a network.
var localFaults = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.ENETUNREACH}

// isLocalFault reports whether a connect failed because of a local fault. Such a failure is no evidence about the host.
func isLocalFault(err error) bool {
	var code syscall.Errno
	return errors.Is(err, errNoDescriptor) || errors.As(err, &code) && slices.Contains(localFaults, code)
}

// localFaultDelay is how long an attempt waits before it fails because of a local fault. An immediate retry would meet the
// same fault, and a request has a limited number of attempts. The delay is a tenth of the shortest deadline.
const localFaultDelay = 20 * time.Millisecond
