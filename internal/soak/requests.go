package soak

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Classes of the settings.
const (
	classRead            = "platzsuche"
	classSession         = "eigener-antrag"
	classNonIdempotent   = "zusage"
	classIdempotentByKey = "vormerken"
)

// newRequest draws a request to a random group.
func (c *client) newRequest() (*request, string) {
	return c.newGroupRequest(c.rng.IntN(c.scenario.options.Groups))
}

// newGroupRequest draws a request to a group.
func (c *client) newGroupRequest(group int) (*request, string) {
	classes := []string{classRead, classRead, classSession, classNonIdempotent, classNonIdempotent, classIdempotentByKey}
	timeouts := []time.Duration{2 * time.Second, 2 * time.Second, 600 * time.Millisecond, 120 * time.Millisecond}
	class := classes[c.rng.IntN(len(classes))]
	return c.request(class, group, timeouts[c.rng.IntN(len(timeouts))])
}

// request returns a request with the given timeout, and its statement.
func (c *client) request(class string, group int, timeout time.Duration) (*request, string) {
	r := &request{gateway: c.gateway, id: fmt.Sprintf("%06x", lastRequestID.Add(1)), class: class, clientTimeout: timeout}
	head := fmt.Sprintf("/* id=%s,c=%s,d=%d", r.id, class, timeout.Milliseconds())
	switch class {
	case classNonIdempotent, classIdempotentByKey:
		return r, fmt.Sprintf("%s,k=%s,cluster=%d */ INSERT INTO records (k, v) VALUES ('%s', '') RETURNING v", head, r.id, group, r.id)
	case classSession:
		head += fmt.Sprintf(",after=%d", time.Now().Add(-time.Second).UnixMilli())
	}
	return r, fmt.Sprintf("%s,cluster=%d */ SELECT v FROM records WHERE k = '%s'", head, group, r.id)
}

var lastRequestID atomic.Int64
