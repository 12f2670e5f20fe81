package state

import (
	"errors"
	"unicode"
	"unicode/utf8"
)

const (
	MaxID    = 256           // bytes of a host's id
	MaxHosts = 4096          // registers of hosts, out and back
	MaxBack  = 1024          // of them that say "not out",
	keptBack = 512           // of which so many stay also where bans want the room of the others
	MaxBytes = 1<<20 - 16384 // of a snapshot as JSON or CBOR; less than a frame or a file may have

	spare      = 64  // registers that Reserve leaves free, for calls to two processes at once
	entryBytes = 128 // the most that a register takes besides its id, which JSON may double
)

var (
	// ErrID says that a host's id can't be kept.
	ErrID = errors.New("the host's id is empty, longer than 256 bytes or not printable UTF-8; nothing was changed; " +
		"use the id that discovery tells")
	// ErrFull says that there is no room for another ban.
	ErrFull = errors.New("too many hosts are taken out by hand (4096, or 1 MiB of ids); nothing was changed; " +
		"attach those that are gone for good, then call again")
	// ErrClock says that the sequence numbers are used up, which only a foreign hand can do.
	ErrClock = errors.New("sequence numbers are used up; nothing was changed; remove the state file and restart")
	// ErrSnapshot says that a snapshot is not one that this package wrote.
	ErrSnapshot = errors.New("not a valid snapshot")
)

func checkID(id string) error {
	if id == "" || len(id) > MaxID || !utf8.ValidString(id) {
		return ErrID
	}
	for _, c := range id {
		if !unicode.IsPrint(c) {
			return ErrID
		}
	}
	return nil
}

func (r Registers) roomFor(id string) bool {
	r = r.trim(keptBack)
	out := 0
	for _, e := range r.hosts {
		if e.On {
			out++
		}
	}
	return out < MaxHosts-keptBack-spare && r.bytes()+entryBytes+2*len(id) <= MaxBytes-spare*(entryBytes+2*MaxID)
}

func (r Registers) within(hosts, bytes int) bool { return len(r.hosts) <= hosts && r.bytes() <= bytes }

func (r Registers) bytes() int {
	n := 2 * entryBytes
	for id := range r.hosts {
		n += entryBytes + 2*len(id)
	}
	return n
}
