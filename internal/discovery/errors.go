package discovery

import (
	"errors"
	"fmt"
	"time"
)

// errConnectionClosed reports that discovery closed the connection after a complete answer, as HTTP allows. It is not a failure.
var errConnectionClosed = errors.New("discovery closed the connection")

// TimeoutError reports that discovery sent no complete answer within Timeout. The known endpoint list stays in use, and the call is
// repeated. Check that discovery's agent runs at Address.
type TimeoutError struct {
	Address string
	Timeout time.Duration
}

// Error implements the error interface.
func (e TimeoutError) Error() string {
	return fmt.Sprintf("no complete answer from %s within %v; check that discovery's agent runs there", e.Address, e.Timeout)
}

// AnswerTooLongError reports that an answer is longer than an endpoint list may be. Check that the service at Address is discovery.
// If it is, its list needs fewer or shorter entries.
type AnswerTooLongError struct{ Address string }

// Error implements the error interface.
func (e AnswerTooLongError) Error() string {
	return fmt.Sprintf("the answer from %s is over %d bytes; check that discovery serves there, and how long its list is", e.Address, maxAnswerBytes)
}

// rejectedError reports that discovery rejected a call because it has too many calls.
type rejectedError struct {
	code       string
	retryAfter time.Duration // the value of the Retry-After header, 0 if there is none
	elapsed    time.Duration // since the call began, including its connect
}

func (e rejectedError) Error() string {
	return fmt.Sprintf("status %q: discovery has too many calls", e.code)
}
