// Package rendezvous manages the folder in which the gateway's processes find each other by their sockets.
//
// Each process has a socket of its own, whose name holds when the process opened it and a nonce; so the names alone tell which process is
// older, even of one that hangs. A socket gets its name once it accepts connections: the process of one that refuses is dead.
package rendezvous

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"regexp"
	"strconv"

	"golang.org/x/sys/unix"
)

// Name identifies a process by its socket's name. The zero Name stands for none.
type Name struct {
	OpenedAt uint64 // ns since the machine's start, which steps of its clock don't change
	Nonce    uint64 // below 1<<48
}

var namePattern = regexp.MustCompile(`^cranegate-([0-9a-f]{16})-([0-9a-f]{12})\.sock$`)

// New returns a name for this process.
func New() (Name, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Name{}, fmt.Errorf("reading the clock: %w", err)
	}
	var nonce [8]byte
	rand.Read(nonce[:])
	return Name{OpenedAt: uint64(now.Nano()), Nonce: binary.BigEndian.Uint64(nonce[:]) >> 16}, nil
}

// Parse parses a file's name; ok is false for one that is no socket's.
func Parse(fileName string) (n Name, ok bool) {
	match := namePattern.FindStringSubmatch(fileName)
	if match == nil {
		return Name{}, false
	}
	n.OpenedAt, _ = strconv.ParseUint(match[1], 16, 64)
	n.Nonce, _ = strconv.ParseUint(match[2], 16, 64)
	return n, true
}

// String is the file's name.
func (n Name) String() string { return fmt.Sprintf("cranegate-%016x-%012x.sock", n.OpenedAt, n.Nonce) }

// Before reports whether the process of n is the older one.
func (n Name) Before(o Name) bool {
	if n.OpenedAt != o.OpenedAt {
		return n.OpenedAt < o.OpenedAt
	}
	return n.Nonce < o.Nonce
}
