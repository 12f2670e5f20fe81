package state

import (
	"errors"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxIDBytes bounds a host's id.
	MaxIDBytes = 256
	// MaxHosts bounds the number of hosts with a register, detached and attached.
	MaxHosts = 4096
	// MaxTombstones bounds the number of tombstones, which are the registers of attached hosts. A tombstone prevents an older copy of the
	// register from detaching the host again.
	MaxTombstones = 1024
	// MaxBytes bounds the size of a snapshot in JSON or CBOR. It is less than the maximum size of a frame and of the state file.
	MaxBytes = 1<<20 - 16384

	minTombstones     = 512 // retained even if detached hosts need the capacity
	reservedRegisters = 64  // left free by Prepare for concurrent calls to two processes
	maxEntryBytes     = 128 // of a register without its id, the size of which JSON may double
)

// Errors of changes and snapshots.
var (
	// ErrInvalidID reports a host's id that can't be stored.
	ErrInvalidID = errors.New("the host's id is empty, longer than 256 bytes or not printable UTF-8; nothing was changed; " +
		"use the id that discovery tells")
	// ErrFull reports that there is no capacity for another detached host.
	ErrFull = errors.New("too many hosts are taken out by hand (4096, or 1 MiB of ids); nothing was changed; " +
		"attach those that are gone for good, then call again")
	// ErrClockExhausted reports that the sequence numbers are exhausted, which only a corrupt or foreign state file can cause.
	ErrClockExhausted = errors.New("sequence numbers are used up; nothing was changed; remove the state file and restart")
	// ErrInvalidSnapshot reports a snapshot that this package can't have written.
	ErrInvalidSnapshot = errors.New("not a valid snapshot")
)

// checkID returns ErrInvalidID unless id can be stored.
func checkID(id string) error {
	if id == "" || len(id) > MaxIDBytes || !utf8.ValidString(id) {
		return ErrInvalidID
	}
	for _, c := range id {
		if !unicode.IsPrint(c) {
			return ErrInvalidID
		}
	}
	return nil
}

// canDetach reports whether one more host can be detached with reservedRegisters left free, if necessary after tombstones are trimmed.
func (r Registers) canDetach(id string) bool {
	r = r.trimTombstones(minTombstones)
	detached := 0
	for _, e := range r.hosts {
		if e.On {
			detached++
		}
	}
	return detached < MaxHosts-minTombstones-reservedRegisters &&
		r.bytes()+maxEntryBytes+2*len(id) <= MaxBytes-reservedRegisters*(maxEntryBytes+2*MaxIDBytes)
}

// fits reports whether the registers are within the given bounds.
func (r Registers) fits(maxHosts, maxBytes int) bool {
	return len(r.hosts) <= maxHosts && r.bytes() <= maxBytes
}

// bytes returns an upper bound of the size of a snapshot.
func (r Registers) bytes() int {
	n := 2 * maxEntryBytes
	for id := range r.hosts {
		n += maxEntryBytes + 2*len(id)
	}
	return n
}
