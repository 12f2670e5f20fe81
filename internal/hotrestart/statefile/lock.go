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

// ErrLocked says that the lock was not free in time.
var ErrLocked = errors.New("another process holds the lock on the state file and hangs; " +
	"end the process that does not answer, then call again")

const lockEvery = 2 * time.Millisecond // how often a held lock is tried

// lock waits for this process's turn and for the lock among processes, which ends with its holder's death.
func (f *File) lock(ctx context.Context) (free func(), err error) {
	select {
	case f.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrLocked, ctx.Err())
	}
	defer func() {
		if err != nil {
			<-f.turn
		}
	}()
	l, err := os.OpenFile(filepath.Join(f.dir, lock), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = syscall.Flock(int(l.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { l.Close(); <-f.turn }, nil
		}
		if err != syscall.EWOULDBLOCK && err != syscall.EINTR {
			l.Close()
			return nil, fmt.Errorf("locking %s: %w", l.Name(), err)
		}
		select {
		case <-ctx.Done():
			l.Close()
			return nil, fmt.Errorf("%w: %w", ErrLocked, ctx.Err())
		case <-time.After(lockEvery):
		}
	}
}
