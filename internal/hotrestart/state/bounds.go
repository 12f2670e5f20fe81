package state

import (
	"errors"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxIDBytes bounds a host's id.
	MaxIDBytes = 256
	// MaxHosts bounds the registers of hosts, detached and attached.
	MaxHosts = 4096
	// MaxTombstones bounds the registers of attached hosts among them. They are kept so that an older copy does not detach the host again.
	MaxTombstones = 1024
	// MaxBytes bounds a snapshot as JSON or CBOR. It is less than a frame or a file may have.
	MaxBytes = 1<<20 - 16384

	minTombstones     = 512 // are kept also where detached hosts need the capacity
	reservedRegisters = 64  // are left free by Prepare, for concurrent calls to two processes
	maxEntryBytes     = 128 // of a register besides its id, the bytes of which JSON may double
)

// Errors of changes and snapshots.
var (
	// ErrInvalidID reports a host's id that can't be stored.
	ErrInvalidID = errors.New("the host's id is empty, longer than 256 bytes or not printable UTF-8; nothing was changed; " +
		"use the id that discovery tells")
	// ErrFull reports that there is no capacity for another detached host.
	ErrFull = errors.New("too many hosts are taken out by hand (4096, or 1 MiB of ids); nothing was changed; " +
		"attach those that are gone for good, then call again")
	// ErrClockExhausted reports that the sequence numbers are used up, which only a corrupt or foreign state file can cause.
	ErrClockExhausted = errors.New("sequence numbers are used up; nothing was changed; remove the state file and restart")
	// ErrInvalidSnapshot reports a snapshot that this package did not write.
	ErrInvalidSnapshot = errors.New("not a valid snapshot")
)

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

// canDetach reports whether a further host can be detached with reservedRegisters left free.
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

// fits reports whether the registers are within bounds.
func (r Registers) fits(maxHosts, maxBytes int) bool {
	return len(r.hosts) <= maxHosts && r.bytes() <= maxBytes
}

// bytes is an upper bound of the size of a snapshot.
func (r Registers) bytes() int {
	n := 2 * maxEntryBytes
	for id := range r.hosts {
		n += maxEntryBytes + 2*len(id)
	}
	return n
}
