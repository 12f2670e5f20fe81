package raftlog

import "errors"

// Errors that stop a voter. It handles no message from then on.
var (
	// ErrInconsistentLog means that this voter's log contradicts the cluster's: most likely the voter came back under its
	// identity without the file that it had voted with. Remove its file and let it join under a new identity.
	ErrInconsistentLog = errors.New("consensus: this voter's log contradicts the cluster's")
	// ErrUnexpectedAdvance means that Advance was called without a preceding Ready: a bug of the caller.
	ErrUnexpectedAdvance = errors.New("consensus: Advance without Ready")
)

// Errors of a single call.
var (
	// ErrMisdirected means that a message belongs to another cluster or to another recipient: compare the identities with
	// which both clusters were bootstrapped.
	ErrMisdirected = errors.New("consensus: message of another cluster or for another recipient")
	// ErrOverloaded means that as many requests are pending as may be. Retry later.
	ErrOverloaded = errors.New("consensus: too many pending requests")
)
