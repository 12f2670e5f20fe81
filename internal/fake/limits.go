package fake

import (
	"os"
	"syscall"
)

// LeaveFiles lets this process open so many descriptors more, and returns a call that undoes it. Those that are open stay.
func LeaveFiles(n int) (undo func(), err error) {
	next, err := os.Open(os.DevNull)
	if err != nil {
		return nil, err
	}
	lowest := uint64(next.Fd())
	next.Close()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		return nil, err
	}
	low := syscall.Rlimit{Cur: lowest + uint64(n), Max: before.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		return nil, err
	}
	return func() { syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before) }, nil
}
