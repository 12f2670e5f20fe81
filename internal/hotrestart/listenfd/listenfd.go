// Package listenfd takes over the listening socket that the platform hands to a new process.
package listenfd

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// acceptFor bounds an accept on a socket that another process has set to blocking.
const acceptFor = 50 * time.Millisecond

// Variable holds the number of the descriptor, such as 5. Where it is not set the address is listened on anew.
const Variable = "PROXY_PASSED_SOCKET"

// What is wrong with a descriptor; Error wraps one of them.
var (
	ErrNumber  = errors.New("is not the number of a descriptor; set it to one, such as 5, or unset it")
	ErrNotOpen = errors.New("names a descriptor that is not open; have whoever starts this program pass the socket on " +
		"(without close-on-exec), or unset it")
	ErrNoSocket = errors.New("names a descriptor that is not a TCP socket; pass the listening socket on, or unset it")
	ErrIdle     = errors.New("names a socket that does not listen; call listen on it before the start, or unset it")
	ErrAddress  = errors.New("names a socket that listens elsewhere; pass on the one of the configured address, " +
		"or correct the address")
)

// Error says what is wrong with what was inherited. It wraps one of the errors above.
type Error struct {
	Value string // of the variable
	Kind  error  // one of the above
	Cause string // more of it, or empty
}

func (e *Error) Error() string {
	s := fmt.Sprintf("%s=%q %v", Variable, e.Value, e.Kind)
	if e.Cause != "" {
		s += " (" + e.Cause + ")"
	}
	return s
}

func (e *Error) Unwrap() error { return e.Kind }

// Listener gives the inherited listening socket, or a new one at address where the variable is not set or empty. The
// inherited descriptor is checked before anything is changed, then closed: what is returned is a duplicate that is
// closed on exec. Closing either leaves the platform's own copy as it is; shutdown is never called.
// address is host:port of TCP with a numeric or empty host, or a name that resolves. Errors: *Error, those of net.
// Call it once, before the program opens other descriptors that it could confuse with it.
func Listener(env func(string) string, address string) (net.Listener, error) {
	value := env(Variable)
	if value == "" {
		return net.Listen("tcp", address)
	}
	fail := func(kind error, cause string) (net.Listener, error) { return nil, &Error{value, kind, cause} }
	fd, err := strconv.Atoi(value)
	if err != nil || fd < 0 {
		return fail(ErrNumber, "")
	}
	if fd <= 2 {
		return fail(ErrNoSocket, "0 to 2 are the standard streams")
	}
	if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err != nil {
		return fail(ErrNotOpen, err.Error())
	}
	kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil {
		return fail(ErrNoSocket, err.Error())
	}
	protocol, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_PROTOCOL)
	if err != nil || kind != unix.SOCK_STREAM || protocol != unix.IPPROTO_TCP && protocol != unix.IPPROTO_MPTCP {
		return fail(ErrNoSocket, "")
	}
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on == 0 {
		return fail(ErrIdle, "")
	}
	bound, err := boundTo(fd)
	if err != nil {
		return fail(ErrNoSocket, err.Error())
	}
	want, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	if !same(bound, want.AddrPort()) {
		return fail(ErrAddress, fmt.Sprintf("it listens at %s, not at %s", bound, address))
	}
	unix.CloseOnExec(fd)
	// Whoever starts the next process may set the socket to blocking, which holds for all that share it: an accept that
	// waits in the kernel then would keep Close waiting for the next client. With a time-out it comes back by itself.
	if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Usec: acceptFor.Microseconds()}); err != nil {
		return fail(ErrNoSocket, err.Error())
	}
	f := os.NewFile(uintptr(fd), Variable)
	defer f.Close()
	return net.FileListener(f)
}

func boundTo(fd int) (netip.AddrPort, error) {
	at, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	switch at := at.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(at.Addr).Unmap(), uint16(at.Port)), nil
	}
	return netip.AddrPort{}, errors.New("not of the Internet families")
}

// same says whether a socket's address is the wanted one. The wildcards of both families are the same: net.Listen
// with an empty host gives [::], which takes IPv4 as well. Port 0 is never the same, as a bound socket has another.
func same(bound, want netip.AddrPort) bool {
	a, b := bound.Addr(), want.Addr().Unmap().WithZone("")
	wild := func(a netip.Addr) bool { return !a.IsValid() || a.IsUnspecified() }
	return bound.Port() == want.Port() && (a == b || wild(a) && wild(b))
}
