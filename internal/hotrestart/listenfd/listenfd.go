// Package listenfd opens the listening socket that the platform passes to a starting process as an inherited descriptor.
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

// Variable is the environment variable that holds the number of the descriptor, such as 5. If it is unset or empty, Listener opens
// a new socket.
const Variable = "PROXY_PASSED_SOCKET"

// acceptTimeout bounds an accept call if another process that shares the socket has set it to blocking.
const acceptTimeout = 50 * time.Millisecond

// maxStandardStream is the highest descriptor of a standard stream.
const maxStandardStream = 2

// Causes of an InheritedSocketError.
var (
	ErrNotANumber = errors.New("is not the number of a descriptor; set it to one, such as 5, or unset it")
	ErrNotOpen    = errors.New("names a descriptor that is not open; pass the listening socket to this program " +
		"without close-on-exec, or unset it")
	ErrNotTCP       = errors.New("names a descriptor that is not a TCP socket; pass the listening socket, or unset it")
	ErrNotListening = errors.New("names a socket that does not listen; call listen on it before this program starts, or unset it")
	ErrWrongAddress = errors.New("names a socket that listens at another address; pass the socket of the configured address, " +
		"or correct the configured address")
)

// InheritedSocketError reports that the inherited descriptor can't be used.
type InheritedSocketError struct {
	Value  string // the value of Variable
	Cause  error  // one of the errors above
	Detail string // may be empty
}

// Error gives Variable with its value, the cause and the remedy.
func (e *InheritedSocketError) Error() string {
	text := fmt.Sprintf("%s=%q %v", Variable, e.Value, e.Cause)
	if e.Detail != "" {
		text += " (" + e.Detail + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *InheritedSocketError) Unwrap() error { return e.Cause }

// Listener returns the inherited listening socket, or opens a new one at address if Variable is unset or empty. The inherited
// descriptor is checked before anything is changed, and is then closed: the returned listener uses a duplicate with
// close-on-exec. Closing either of them does not affect the platform's own copy, and shutdown is never called.
// address is host:port of TCP with a numeric or empty host, or a name that resolves. Errors: *InheritedSocketError, and errors
// of package net.
// Call it once, before the program opens other descriptors: one of them could get the number in Variable.
func Listener(env func(string) string, address string) (net.Listener, error) {
	value := env(Variable)
	if value == "" {
		return net.Listen("tcp", address)
	}
	descriptor, err := parseDescriptor(value)
	if err != nil {
		return nil, err
	}
	if err := checkListening(value, descriptor); err != nil {
		return nil, err
	}
	bound, err := boundAddress(descriptor)
	if err != nil {
		return nil, &InheritedSocketError{value, ErrNotTCP, err.Error()}
	}
	want, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	if !sameAddress(bound, want.AddrPort()) {
		return nil, &InheritedSocketError{value, ErrWrongAddress, fmt.Sprintf("it listens at %s, not at %s", bound, address)}
	}
	unix.CloseOnExec(descriptor)
	// The program that starts the next process may set the socket to blocking, which affects every process that shares it.
	// An accept call would then block in the kernel, and Close would wait until the next client connects. With a timeout
	// accept returns on its own.
	timeout := unix.Timeval{Usec: acceptTimeout.Microseconds()}
	if err := unix.SetsockoptTimeval(descriptor, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return nil, &InheritedSocketError{value, ErrNotTCP, err.Error()}
	}
	file := os.NewFile(uintptr(descriptor), Variable)
	defer file.Close()
	return net.FileListener(file)
}

// parseDescriptor parses a value of Variable. Its errors are of type *InheritedSocketError.
func parseDescriptor(value string) (int, error) {
	descriptor, err := strconv.Atoi(value)
	if err != nil || descriptor < 0 {
		return 0, &InheritedSocketError{value, ErrNotANumber, ""}
	}
	if descriptor <= maxStandardStream {
		return 0, &InheritedSocketError{value, ErrNotTCP, "0 to 2 are the standard streams"}
	}
	return descriptor, nil
}

// checkListening returns an *InheritedSocketError unless the descriptor is a listening TCP socket.
func checkListening(value string, descriptor int) error {
	if _, err := unix.FcntlInt(uintptr(descriptor), unix.F_GETFD, 0); err != nil {
		return &InheritedSocketError{value, ErrNotOpen, err.Error()}
	}
	kind, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil {
		return &InheritedSocketError{value, ErrNotTCP, err.Error()}
	}
	protocol, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_PROTOCOL)
	if err != nil || kind != unix.SOCK_STREAM || protocol != unix.IPPROTO_TCP && protocol != unix.IPPROTO_MPTCP {
		return &InheritedSocketError{value, ErrNotTCP, ""}
	}
	if listening, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listening == 0 {
		return &InheritedSocketError{value, ErrNotListening, ""}
	}
	return nil
}

// boundAddress returns the address that a socket is bound to.
func boundAddress(descriptor int) (netip.AddrPort, error) {
	address, err := unix.Getsockname(descriptor)
	if err != nil {
		return netip.AddrPort{}, err
	}
	switch address := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(address.Addr).Unmap(), uint16(address.Port)), nil
	}
	return netip.AddrPort{}, errors.New("neither an IPv4 nor an IPv6 address")
}

// sameAddress reports whether a socket is bound to the configured address, want. The wildcard addresses of IPv4 and IPv6 are
// the same, because net.Listen with an empty host listens at [::], which accepts IPv4 as well. Port 0 never matches, because
// a bound socket has another port.
func sameAddress(bound, want netip.AddrPort) bool {
	if bound.Port() != want.Port() {
		return false
	}
	boundHost, wantHost := bound.Addr(), want.Addr().Unmap().WithZone("")
	return boundHost == wantHost || isWildcard(boundHost) && isWildcard(wantHost)
}

func isWildcard(host netip.Addr) bool { return !host.IsValid() || host.IsUnspecified() }
