package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rules that a finding can be about.
const (
	ruleCrash          = "crash"       // a process ended without being terminated or killed, or did not start
	ruleExit           = "exit"        // a process did not exit cleanly after SIGTERM
	ruleLost           = "lost"        // a forwarded request's connection was closed without an answer
	ruleNotForwarded   = "turned_back" // a connection whose request was not forwarded was closed although the gateway was not drained
	ruleLate           = "late"        // a request was not answered within its timeout and a tolerance
	ruleWrong          = "wrong"       // the answer belongs to no execution of the request
	ruleRanTwice       = "ran_twice"   // a non-idempotent request ran twice, or one with an idempotency key again after the key's window
	ruleRejectedRan    = "refused_ran" // a rejected request had been executed
	ruleNotExecuted    = "unrun"       // a successful write was never executed
	ruleClientGone     = "gone"        // an attempt began after its client had disconnected
	ruleDeadline       = "time_told"   // a host received a longer deadline than the client's
	ruleDrain          = "drain"       // a request went to a host that the gateway knew to be draining or removed
	ruleUnnoticedDrain = "deaf"        // a request went to a host whose draining the gateway should have known of
	ruleBan            = "ban"         // a request went to a host that an administrator had banned
	rulePartialMessage = "half"        // a connection with a partial message was kept for too long
	ruleNotServing     = "stuck"       // a gateway does not serve although no fault is active
	ruleMemory         = "memory"      // a process exceeds its memory limit
	ruleViolation      = "violation"   // a gateway counted a violation of its own invariants
)

// Finding is a violation of a rule by a gateway.
type Finding struct {
	Rule   string
	Where  string // the process, the gateway or the request
	Detail string
	At     time.Duration // since the start of the run
}

// String formats the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s at %v: %s: %s", f.Rule, f.At.Round(time.Millisecond), f.Where, f.Detail)
}

// Rules returns the distinct rules of the findings in alphabetical order.
func Rules(found []Finding) []string {
	var rules []string
	for _, f := range found {
		rules = append(rules, f.Rule)
	}
	slices.SortFunc(rules, cmp.Compare[string])
	return slices.Compact(rules)
}

// report adds a finding about a process, gateway or request.
func (c *checker) report(rule, where, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportLocked(rule, where, format, args...)
}

// reportLocked adds a finding; the caller holds the lock. It counts all findings, but records only the first
// maxFindingsPerRule of each rule.
func (c *checker) reportLocked(rule, where, format string, args ...any) {
	c.countByRule[rule]++
	if c.countByRule[rule] > maxFindingsPerRule {
		return
	}
	c.recorded = append(c.recorded, Finding{
		Rule:   rule,
		Where:  where,
		Detail: fmt.Sprintf(format, args...),
		At:     time.Since(c.scenario.startedAt),
	})
}

// findings returns the recorded findings, and a total for each rule that has more than maxFindingsPerRule.
func (c *checker) findings() []Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := slices.Clone(c.recorded)
	for rule, n := range c.countByRule {
		if n > maxFindingsPerRule {
			found = append(found, Finding{Rule: rule, Where: "all", Detail: fmt.Sprintf("%d in all", n)})
		}
	}
	return found
}
