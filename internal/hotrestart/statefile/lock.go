package statefile

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// ErrLocked reports that the lock could not be acquired before the context ended.
var ErrLocked = errors.New("another process holds the lock on the state file and hangs; " +
	"end the process that does not answer, then call again")

// lockRetryInterval is the time between attempts to acquire a lock that another process holds.
const lockRetryInterval = 2 * time.Millisecond

// lock excludes other calls of this process and then acquires the lock among processes, which the system releases when its holder
// exits. The caller must call unlock once.
func (f *File) lock(ctx context.Context) (unlock func(), err error) {
	select {
	case f.semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrLocked, ctx.Err())
	}
	defer func() {
		if err != nil {
			<-f.semaphore
		}
	}()
	lockFile, err := os.OpenFile(filepath.Join(f.dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() {
				lockFile.Close()
				<-f.semaphore
			}, nil
		}
		if err != syscall.EWOULDBLOCK && err != syscall.EINTR {
			lockFile.Close()
			return nil, fmt.Errorf("locking %s: %w", lockFile.Name(), err)
		}
		select {
		case <-ctx.Done():
			lockFile.Close()
			return nil, fmt.Errorf("%w: %w", ErrLocked, ctx.Err())
		case <-time.After(lockRetryInterval):
		}
	}
}
