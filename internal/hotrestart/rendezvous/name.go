// Package rendezvous manages the folder in which the gateway's processes discover each other by their sockets.
//
// Each process registers one socket, whose name contains the time at which the name was created, and a nonce. The names alone
// therefore show which of two processes is older, even if one of them hangs. A socket gets its name only after it accepts
// connections. If it refuses a connection, its process has therefore exited or closed the socket.
package rendezvous

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"regexp"
	"strconv"

	"golang.org/x/sys/unix"
)

// Name is the name of a process's socket, and identifies the process. The zero Name means no process.
type Name struct {
	OpenedAt uint64 // ns since the machine booted; unaffected by steps of the wall clock
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

// Parse parses a file name. ok is false if it is not the name of a process's socket.
func Parse(fileName string) (n Name, ok bool) {
	match := namePattern.FindStringSubmatch(fileName)
	if match == nil {
		return Name{}, false
	}
	n.OpenedAt, _ = strconv.ParseUint(match[1], 16, 64)
	n.Nonce, _ = strconv.ParseUint(match[2], 16, 64)
	return n, true
}

// String returns the file name of the socket.
func (n Name) String() string { return fmt.Sprintf("cranegate-%016x-%012x.sock", n.OpenedAt, n.Nonce) }

// Before reports whether the process of n is older than the process of o.
func (n Name) Before(o Name) bool {
	if n.OpenedAt != o.OpenedAt {
		return n.OpenedAt < o.OpenedAt
	}
	return n.Nonce < o.Nonce
}
