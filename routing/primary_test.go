package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestWriteTriesAPrimaryThatRefusesConnections(t *testing.T) {
	for connectFailures, want := range map[int]bool{0: false, maxFailures: true} {
		h := newHarness(t, testConfig())
		h.reportAll("a", 10*ms)
		h.router.members["a"].failures = maxFailures
		h.router.members["a"].connectFailures = connectFailures
		h.advance(time.Second)
		tried := h.membersTried(h.request(nonIdempotentWrite))
		h.want(fmt.Sprint("sent to the primary after ", connectFailures, " failed connects"),
			slices.Contains(tried, "a"), want)
	}
}

// TestPrimaryIsFoundWithoutAListedRole checks that the primary is found although the endpoint list names no
// current one: by a write that other members reject, and by health checks. Members do not check reads, so
// bounded reads depend on the positions that members report.
func TestPrimaryIsFoundWithoutAListedRole(t *testing.T) {
	cfg := testConfig()
	cfg.RoleSource, cfg.StaleReads = RoleSourceNone, StaleReadServed
	h := newHarness(t, cfg,
		Endpoint{Member: "a", Group: 1, Primary: true},
		Endpoint{Member: "b", Group: 1},
		Endpoint{Member: "c", Group: 1})
	h.want("no primary before any answer", h.router.groups[1].primary() == nil, true)
	write := h.request(nonIdempotentWrite)
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(50*ms))
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(50*ms))
	h.endAttempt(write, ResultOK, RolePrimary, h.position(0))
	h.want("a write searches", h.membersTried(write), "[a b c]")
	h.want("the next write goes to", h.membersTried(h.request(nonIdempotentWrite)), "[c]")
	read := h.request(boundedRead)
	h.want("a read goes where the data is recent", len(h.membersTried(read)), 1)
	h.now += 300 * ms // past the staleness bound of 200 ms, without an answer since
	h.router.advanceClock(h.now)
	h.want("a read then goes to the primary", h.membersTried(h.request(boundedRead)), "[c]")
	h.reportAll("b", 10*ms)
	h.want("a health check names another", h.router.groups[1].primary().id, "b")
}
