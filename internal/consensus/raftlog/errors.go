package raftlog

import "errors"

// Errors of a voter.
var (
	// ErrInconsistentLog means that this voter's log contradicts the cluster's. It stops the voter, which handles no message
	// from then on. Most likely the voter was restarted under its old identity without the file that holds its votes.
	// Remove its file and let it join under a new identity.
	ErrInconsistentLog = errors.New("consensus: this voter's log contradicts the cluster's")
	// ErrUnexpectedAdvance means that Advance was called without a preceding Ready. This is a bug of the caller.
	ErrUnexpectedAdvance = errors.New("consensus: Advance without Ready")
)

// Errors of a single call.
var (
	// ErrMisdirected means that a message is of another cluster or for another recipient. Compare the identities with which
	// both clusters were bootstrapped.
	ErrMisdirected = errors.New("consensus: message of another cluster or for another recipient")
	// ErrOverloaded means that the limit of pending requests is reached, or that raft dropped the proposal. Retry later.
	ErrOverloaded = errors.New("consensus: too many pending requests")
)
