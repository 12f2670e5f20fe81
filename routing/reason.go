package routing

// Reason says why a request was refused or has failed, for logs and counters. It changes no decision.
type Reason string

// The reasons.
const (
	ReasonHopeless     Reason = "hopeless"      // no answer can come within what is left of its time
	ReasonAttemptsUsed Reason = "attempts_used" // the settings allow no further attempt
	ReasonWindowOver   Reason = "window_over"   // a repeat could run a second time
	ReasonUnsent       Reason = "unsent"        // no host could be sent it for a good part of its time
	ReasonUnreachable  Reason = "unreachable"   // its group's primary is silent, and most requests wait in vain
	ReasonShed         Reason = "shed"          // load: its answer would likely come too late
	ReasonRetryBudget  Reason = "retry_budget"  // too many requests are being tried again
	ReasonRejected     Reason = "rejected"      // hosts can't use the statement
)
