package fake

import (
	"os"
	"syscall"
)

// LimitFreeDescriptors lowers this process's limit of file descriptors, so that it can open at most that many further
// ones. Open descriptors stay open. The caller must call undo, which restores the limit.
func LimitFreeDescriptors(files int) (undo func(), err error) {
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
	low := syscall.Rlimit{Cur: lowest + uint64(files), Max: before.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		return nil, err
	}
	return func() { syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before) }, nil
}
