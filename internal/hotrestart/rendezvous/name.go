// Package rendezvous is the folder in which the gateway's processes find each other by their sockets.
//
// Each process has a socket of its own, whose name tells when it opened and its nonce; so the names alone tell who is
// older, even of a process that hangs. A socket gets its name once it takes connections: one that refuses is dead.
package rendezvous

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"regexp"
	"strconv"

	"golang.org/x/sys/unix"
)

// Name is the name of a process's socket. The zero Name stands for none.
type Name struct {
	Born  uint64 // when it opened, ns since the machine's start, which steps of its clock don't change
	Nonce uint64 // below 1<<48
}

var form = regexp.MustCompile(`^cranegate-([0-9a-f]{16})-([0-9a-f]{12})\.sock$`)

// New makes up a name for this process.
func New() (Name, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Name{}, fmt.Errorf("reading the clock: %w", err)
	}
	var nonce [8]byte
	rand.Read(nonce[:])
	return Name{Born: uint64(now.Nano()), Nonce: binary.BigEndian.Uint64(nonce[:]) >> 16}, nil
}

// Parse reads a file's name; ok is false for those of anything else.
func Parse(s string) (n Name, ok bool) {
	m := form.FindStringSubmatch(s)
	if m == nil {
		return Name{}, false
	}
	n.Born, _ = strconv.ParseUint(m[1], 16, 64)
	n.Nonce, _ = strconv.ParseUint(m[2], 16, 64)
	return n, true
}

// String is the file's name.
func (n Name) String() string { return fmt.Sprintf("cranegate-%016x-%012x.sock", n.Born, n.Nonce) }

// Before says whether n is the older one.
func (n Name) Before(o Name) bool {
	if n.Born != o.Born {
		return n.Born < o.Born
	}
	return n.Nonce < o.Nonce
}
