package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rules that a finding can be about.
const (
	ruleCrash      = "crash"       // a process ended on its own
	ruleExit       = "exit"        // a process did not exit cleanly after SIGTERM
	ruleLost       = "lost"        // a forwarded request's connection was closed without an answer
	ruleTurnedBack = "turned_back" // a connection with a request in flight was closed without a reason
	ruleLate       = "late"        // a request was not answered in time
	ruleWrong      = "wrong"       // the answer belongs to no execution of the request
	ruleTwice      = "ran_twice"   // a non-idempotent request ran twice, or one with an idempotency key again after the key's window
	ruleRefused    = "refused_ran" // a rejected request had been executed
	ruleUnrun      = "unrun"       // a successful write was never executed
	ruleGone       = "gone"        // an attempt began after its client had disconnected
	ruleTime       = "time_told"   // a host received a longer deadline than the client's
	ruleDrain      = "drain"       // a request went to a host that the gateway knew to be draining or removed
	ruleDeaf       = "deaf"        // a request went to a host whose draining the gateway should have known of
	ruleBan        = "ban"         // a request went to a host that an administrator had banned
	ruleHalf       = "half"        // a connection with a partial message was kept for too long
	ruleStuck      = "stuck"       // a gateway does not serve although no fault is active
	ruleMemory     = "memory"      // a process exceeds its memory limit
	ruleViolation  = "violation"   // a gateway counted a violation of its own invariants
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

// reportLocked adds a finding; the caller holds the lock. It keeps the first maxFindingsPerRule of each rule and counts the
// others.
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

// findings returns the findings, with a total for each rule that has more than are kept.
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
