package routing

import "testing"

// TestUnknownGroupsAreForgotten checks that the table of groups does not grow without bound when clients name
// ever new groups, which have no members. Groups with members or open requests are kept.
func TestUnknownGroupsAreForgotten(t *testing.T) {
	h := newHarness(t, testConfig())
	known := len(h.router.groups)
	var last uint64
	for n := range 20_000 {
		id := h.request(anyRead, func(req *Request) { req.Group = 1000 + n })
		if n%100 == 99 {
			h.advance(100 * ms)
		}
		last = id
	}
	h.advance(2 * h.router.cfg.maxDeadline())
	h.want("rejections of the last request", h.rejected[last], 1)
	h.want("open requests", len(h.router.requests), 0)
	if grown := len(h.router.groups) - known; grown > maxEmptyGroups {
		t.Errorf("%d groups more than at the start, want at most %d", grown, maxEmptyGroups)
	}
	if h.router.groups[1] == nil {
		t.Error("a group with members was forgotten")
	}
}
