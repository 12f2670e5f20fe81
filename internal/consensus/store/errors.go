package store

import (
	"errors"
	"fmt"
	"syscall"

	bolterrors "go.etcd.io/bbolt/errors"
)

// Errors of a file. Each names what the operator can do.
var (
	// ErrDamaged means that the file is damaged. Move it away: the gateway then joins as a new voter, and the cluster
	// replaces the old one. Never restore an older copy: the votes cast since it was made would be forgotten.
	ErrDamaged = errors.New("consensus: the file is damaged; move it away and start again, as a new voter; never restore an older copy")
	// ErrFull means that the disk is full, or that the file has reached MaxFileBytes. Free disk space, or move a file of
	// that size away (the gateway is then a new voter), and start again. No acknowledged write is lost.
	ErrFull = errors.New("consensus: no room on the disk or in the file; make room and start again")
	// ErrWrongOwner means that the file is not a consensus file, or belongs to another gateway or another cluster.
	// Configure another folder.
	ErrWrongOwner = errors.New("consensus: the file belongs to something else; name another folder")
	// ErrInUse means that another process has the file open. Stop that process, or configure another folder.
	ErrInUse = errors.New("consensus: another process has the file open; end it or name another folder")
	// ErrUnusable means that the disk failed otherwise, or that the folder can't be written. The wrapped error has the details.
	ErrUnusable = errors.New("consensus: the folder can't be read or written; look at its rights and at the disk")
)

// classify wraps an error in the error of this package that names the operator's remedy. An error that has one
// already, and nil, are returned as they are.
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

// recoverDamage turns a panic, which bbolt raises over a damaged page, into ErrDamaged. It is deferred.
func recoverDamage(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, p)
	}
}
