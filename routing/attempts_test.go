package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestNonIdempotentWriteThatMayHaveRunFails(t *testing.T) {
	for _, result := range []Result{ResultTimeout, ResultReset, ResultError} {
		h := newHarness(t, testConfig())
		h.reportAll("a", 10*ms)
		write := h.request(nonIdempotentWrite)
		h.endAttempt(write, result, RoleUnknown, 0)
		h.advance(time.Second)
		h.want("attempts", len(h.membersTried(write)), 1)
		h.want("rejections", h.rejected[write], 0)
		h.want("failures", h.failed[write], 1)
	}
}

func TestIdempotentByKeyIsRetriedWithinItsTTL(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	write := h.request(idempotentWrite)
	h.endAttempt(write, ResultReset, RoleUnknown, 0)
	h.now += 100 * ms
	h.checkOK("c", RolePrimary, 0)
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(0)) // a is no longer the primary
	h.want("attempts", h.membersTried(write), "[a a c]")
	h.now += 2 * time.Second
	h.endAttempt(write, ResultReset, RoleUnknown, 0)
	h.advance(time.Second)
	h.want("attempts", h.membersTried(write), "[a a c]")
	h.want("failures", h.failed[write], 1)
	h.want("rejections", h.rejected[write], 0)
	h.want("the reason", h.reason, ReasonWindowOver)
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	h := newHarness(t, testConfig(), []Endpoint{}...)
	id := h.request(anyRead)
	h.advance(2 * time.Second)
	h.want("rejections", h.rejected[id], 1)
	if h.retryAfter <= 0 || h.retryAfter > h.router.cfg.MaxRetryAfter {
		t.Errorf("Retry-After %v", h.retryAfter)
	}
}

// TestRetriesStartBeforeTheirDeadline checks that each attempt, which may wait for a connection, is sent with
// the time before which it must start.
func TestRetriesStartBeforeTheirDeadline(t *testing.T) {
	for _, ttl := range []time.Duration{150 * ms, 400 * ms, 2 * time.Second, time.Minute} {
		cfg := testConfig()
		cfg.Classes[idempotentWrite].IdempotencyTTL = ttl
		h := newHarness(t, cfg)
		h.reportAll("a", 10*ms)
		first := h.now
		write := h.request(idempotentWrite)
		deadline := first + cfg.Classes[idempotentWrite].Deadline
		h.want("the first attempt starts by", h.sends[0].startBy, deadline)
		h.now += 100 * ms
		h.endAttempt(write, ResultReset, RoleUnknown, 0)
		if len(h.membersTried(write)) != 2 {
			t.Fatalf("sent to %v", h.membersTried(write))
		}
		h.want(fmt.Sprint("the retry starts by, with a TTL of ", ttl), h.sends[1].startBy, min(deadline, first+ttl))
		h.want("and is abandoned at", h.sends[1].abandonAt, deadline)
	}
}

// TestReadsStartWhileTheirDataIsFresh checks the start deadlines of reads, which may wait for a connection,
// at members that do not check reads.
func TestReadsStartWhileTheirDataIsFresh(t *testing.T) {
	cfg := testConfig()
	cfg.StaleReads = StaleReadServed
	h := newHarness(t, cfg)
	h.reportAll("a", 60*ms)
	id := h.request(boundedRead)
	h.want("a read goes to a replica", h.membersTried(id)[0] != "a", true)
	staleAt := h.now - 60*ms + cfg.Classes[boundedRead].StalenessBound
	h.want("and starts while its data is recent enough", h.sends[0].startBy, staleAt)
	h.request(anyRead)
	h.want("a read of any age starts by its latency objective", h.sends[1].startBy,
		h.now+cfg.Classes[anyRead].LatencyObjective)
}

// TestStrongReadsStartWhileTheRoleIsValid checks that a strong read may start at a primary whose position is
// old, as long as no answer that names another primary counts as known.
func TestStrongReadsStartWhileTheRoleIsValid(t *testing.T) {
	cfg := testConfig()
	cfg.StaleReads = StaleReadServed
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	h.now += 50 * ms
	read := h.request(strongRead)
	h.want("a strong read goes to", h.membersTried(read)[0], "a")
	h.want("and starts before an answer that names another primary counts as known", h.sends[0].startBy,
		h.now+roleValidityPeriod)
	h.want("which is less than 100 ms", roleValidityPeriod < 100*ms, true)
	write := h.request(nonIdempotentWrite)
	h.want("a write goes to", h.membersTried(write)[0], "a")
	h.want("and starts within its deadline, as members check it", h.sends[1].startBy,
		h.now+cfg.Classes[nonIdempotentWrite].Deadline)
}
