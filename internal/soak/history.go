package soak

import (
	"fmt"
	"time"
)

// request is one request of a client and its result as the client observed it.
type request struct {
	gateway           *gateway
	id                string
	class             string
	sentAt            time.Time
	clientTimeout     time.Duration // as stated in the statement
	precedingRequests int           // unanswered requests before it on its connection
	precedingTimeouts time.Duration // sum of their timeouts
	outcome           string        // served, refused or failed; empty without an answer
	answeredAt        time.Time
	connectionLostAt  time.Time // when its connection ended without an answer
	clientClosedAt    time.Time // when the client closed the connection
}

// where identifies the request in a finding.
func (r *request) where() string { return fmt.Sprintf("%s %s %s", r.gateway.name, r.class, r.id) }

// arrival is one attempt of a request on its way from a gateway to a host, as the proxy recorded it.
type arrival struct {
	gateway              *gateway
	host                 *host
	id, class            string
	at                   time.Time
	remaining            time.Duration // the deadline sent to the host
	discoveryReachableAt time.Time     // the gateway's value at the time of the arrival
}

// execution is a request that a host executed.
type execution struct {
	host *host
	at   time.Time
}

// withdrawal is a time in which a host must receive no new requests.
type withdrawal struct {
	host     *host
	rev      int64    // revision of the endpoint list that withdrew the host; 0 for a ban
	gateway  *gateway // the gateway at which the host is banned; nil if this is no ban
	from, to time.Time
}

// notification is the delivery of a revision of the endpoint list to a gateway.
type notification struct {
	rev int64
	at  time.Time
}

// recordRequest records a request before it is sent.
func (c *checker) recordRequest(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.id] = r
}

// updateRequest updates a request under the checker's lock.
func (c *checker) updateRequest(r *request, update func(r *request)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(r)
}

// recordArrival records an attempt on its way to a host.
func (c *checker) recordArrival(a arrival) {
	a.discoveryReachableAt = a.gateway.discoveryReachableSince()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, a)
}

// recordExecution records a request that a host executed.
func (c *checker) recordExecution(h *host, id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[id] = append(c.executions[id], execution{h, at})
}

// beginWithdrawal marks the time from which a host must receive no new requests. The returned function marks its end.
// The gateway is set for a ban and nil otherwise.
func (c *checker) beginWithdrawal(h *host, rev int64, g *gateway) (end func()) {
	w := &withdrawal{host: h, rev: rev, gateway: g, from: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawals = append(c.withdrawals, w)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		w.to = time.Now()
	}
}

// recordNotification records that a gateway received a revision of the endpoint list.
func (c *checker) recordNotification(g *gateway, rev int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	notified := c.notifications[g]
	if len(notified) == 0 || notified[len(notified)-1].rev < rev {
		c.notifications[g] = append(notified, notification{rev, at})
	}
}

// forgetNotifications drops the notifications of a gateway, because its next process has not received them.
func (c *checker) forgetNotifications(g *gateway) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.notifications, g)
}

// notifiedAt returns when the gateway's current process received the revision or a later one. The caller holds the
// lock.
func (c *checker) notifiedAt(g *gateway, rev int64) (time.Time, bool) {
	for _, notified := range c.notifications[g] {
		if notified.rev >= rev {
			return notified.at, true
		}
	}
	return time.Time{}, false
}

// outcomes counts the requests by outcome.
func (c *checker) outcomes() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := map[string]int{}
	for _, r := range c.requests {
		switch {
		case r.outcome != "":
			n[r.outcome]++
		case !r.clientClosedAt.IsZero():
			n["left"]++
		default:
			n["turned_back"]++
		}
	}
	return n
}
