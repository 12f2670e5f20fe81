package routing

// Reason is why a request was rejected or has failed, for logs and counters. No decision depends on it.
type Reason string

// The reasons.
const (
	ReasonHopeless     Reason = "hopeless"      // no answer can arrive while it is still useful
	ReasonAttemptsUsed Reason = "attempts_used" // Config.MaxAttempts are used up
	ReasonWindowOver   Reason = "window_over"   // a retry could run a second time
	ReasonUnsent       Reason = "unsent"        // no member received it within maxUnsentShare of its time
	ReasonUnreachable  Reason = "unreachable"   // primary unreachable, and most requests end unanswered
	ReasonShed         Reason = "shed"          // load shedding: its answer would likely be late
	ReasonRetryBudget  Reason = "retry_budget"  // too many requests are being retried
	ReasonRejected     Reason = "rejected"      // no member can execute the statement
)
