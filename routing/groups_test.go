package routing

import "testing"

// TestUnknownGroupsAreForgotten has clients name ever new groups, which no host is in. The table of groups must not grow by what
// clients say; groups with hosts, and with open requests, stay.
func TestUnknownGroupsAreForgotten(t *testing.T) {
	b := newRig(t, config())
	known := len(b.r.groups)
	var last uint64
	for n := range 20_000 {
		q := b.ask(anyRead, func(in *Request) { in.Group = 1000 + n })
		if n%100 == 99 {
			b.pass(100 * ms)
		}
		last = q
	}
	b.pass(2 * b.r.cfg.maxDeadline())
	b.want("answers to the last", b.refused[last], 1)
	b.want("open requests", len(b.r.requests), 0)
	if grown := len(b.r.groups) - known; grown > maxEmptyGroups {
		t.Errorf("%d groups more than at first, %d may be", grown, maxEmptyGroups)
	}
	if b.r.groups[1] == nil {
		t.Error("a group with hosts was forgotten")
	}
}
