package routing

import (
	"testing"
	"time"
)

func TestLateReportDoesNotOverrideAnAnswer(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	write := h.request(nonIdempotentWrite)
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(0))
	h.checkOK("a", RolePrimary, 2*time.Second)
	if primary := h.router.groups[1].primary(); primary != nil {
		t.Errorf("%s counts as the primary because of a report that is older than its answer", primary.id)
	}
}

func TestSessionReadIncludesItsLocalCommit(t *testing.T) {
	cfg := testConfig()
	cfg.StaleReads = StaleReadServed
	cfg.LocalSessions = true
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	own := func(req *Request) { req.Session = "s" }
	other := func(req *Request) { req.Session = "other" }
	write := h.request(nonIdempotentWrite, own)
	h.endAttempt(write, ResultOK, RolePrimary, h.position(-50*ms))
	h.want("a read of the same session", h.membersTried(h.request(sessionRead, own)), "[a]")
	if h.membersTried(h.request(sessionRead, other))[0] == "a" {
		t.Error("another session's read went to the primary")
	}
}
