package store

import (
	"errors"
	"fmt"
	"syscall"

	bolterrors "go.etcd.io/bbolt/errors"
)

// Errors of Open, Load, Save and Close. Each message says what the operator can do.
var (
	// ErrDamaged means that the file is damaged. Move it away: the gateway then joins as a new voter, and the cluster
	// replaces the old one. Never restore an older copy of the file: it lacks the votes cast since the copy was made.
	ErrDamaged = errors.New("consensus: the file is damaged; move it away and start again, as a new voter; never restore an older copy")
	// ErrFull means that the disk is full, or that the file has reached MaxFileBytes. Free disk space, or move a file of
	// that size away (the gateway is then a new voter), and start again. No acknowledged write is lost.
	ErrFull = errors.New("consensus: the disk is full or the file has reached its size limit; make room and start again")
	// ErrWrongOwner means that the file is not a consensus file, or belongs to another gateway or another cluster.
	// Configure another folder.
	ErrWrongOwner = errors.New("consensus: the file is not the consensus file of this gateway and cluster; configure another folder")
	// ErrInUse means that another process has the file open. Stop that process, or configure another folder.
	ErrInUse = errors.New("consensus: another process has the file open; stop it or configure another folder")
	// ErrUnusable means that the disk failed in another way, or that the folder can't be read or written. The wrapped error
	// has the details.
	ErrUnusable = errors.New("consensus: the folder can't be read or written; check its permissions and the disk")
)

// classify wraps an error in the matching error of this package, whose message says what the operator can do. It returns
// nil, and an error that wraps one of them already, unchanged.
func classify(err error) error {
	if err == nil {
		return nil
	}
	for _, known := range []error{ErrDamaged, ErrFull, ErrWrongOwner, ErrInUse, ErrUnusable} {
		if errors.Is(err, known) {
			return err
		}
	}
	switch {
	case isAny(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, bolterrors.ErrMaxSizeReached):
		return fmt.Errorf("%w: %w", ErrFull, err)
	case errors.Is(err, bolterrors.ErrTimeout):
		return fmt.Errorf("%w: %w", ErrInUse, err)
	case errors.Is(err, bolterrors.ErrVersionMismatch):
		return fmt.Errorf("%w: %w", ErrWrongOwner, err)
	case isAny(err, bolterrors.ErrInvalid, bolterrors.ErrChecksum):
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return fmt.Errorf("%w: %w", ErrUnusable, err)
}

func isAny(err error, targets ...error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// recoverDamage turns a panic into ErrDamaged; bbolt panics when it reads a damaged page. Callers must defer it.
func recoverDamage(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, p)
	}
}
