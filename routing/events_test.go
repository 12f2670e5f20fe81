package routing

import (
	"testing"
	"time"
)

func TestReadsGoToReplicasAndWritesToThePrimary(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	for range 20 {
		id := h.request(boundedRead)
		if h.membersTried(id)[0] == "a" {
			t.Fatal("a bounded read went to the primary though replicas are fresh")
		}
		h.endAttempt(id, ResultOK, RoleReplica, h.position(10*ms))
		write := h.request(nonIdempotentWrite)
		h.want("write", h.membersTried(write), "[a]")
		h.endAttempt(write, ResultOK, RolePrimary, h.position(0))
	}
}

func TestWaitingWriteIsSentAtOnceWhenThePrimaryIsKnown(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	write := h.request(nonIdempotentWrite)
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(0))
	for range 3 { // the search finds no primary
		h.endAttempt(write, ResultMissed, RoleReplica, h.position(0))
	}
	h.want("a search in the order of ids", h.membersTried(write), "[a a b c]")
	h.now += 5 * ms
	h.checkOK("c", RolePrimary, 0)
	tried := h.membersTried(write)
	h.want("after a health check named c", tried[len(tried)-1], "c")
}

func TestIdleGatewaySetsFewTimers(t *testing.T) {
	h := newHarness(t, testConfig())
	h.timers = 0
	h.advance(10 * time.Second)
	if h.timers > 110 {
		t.Errorf("%d timers in 10 s without a request, want at most 110", h.timers)
	}
}
