package routing

// Reason is why a request was rejected or has failed, for logs and counters. No decision depends on it.
type Reason string

// The reasons.
const (
	ReasonHopeless     Reason = "hopeless"      // no answer can arrive within its remaining time
	ReasonAttemptsUsed Reason = "attempts_used" // Config.MaxAttempts are used up
	ReasonWindowOver   Reason = "window_over"   // a retry could run a second time
	ReasonUnsent       Reason = "unsent"        // no member could be sent it for a good part of its time
	ReasonUnreachable  Reason = "unreachable"   // its group's primary is silent, and most requests wait in vain
	ReasonShed         Reason = "shed"          // load shedding: its answer would likely be late
	ReasonRetryBudget  Reason = "retry_budget"  // too many requests are being retried
	ReasonRejected     Reason = "rejected"      // members can't execute the statement
)
