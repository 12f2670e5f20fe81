package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

const (
	meanRequestInterval = 10 * time.Millisecond // mean time between an answer and the next request
	connectTimeout      = 25 * time.Second      // covers the start of a process
	answerTimeoutMargin = 5 * time.Second       // how long after a request's timeout its answer is still awaited
	retryDelay          = 20 * time.Millisecond // after a failed connection, request or administrative call
)

// client is one client of a gateway.
type client struct {
	scenario *scenario
	gateway  *gateway
	rng      *rand.Rand
	conn     *fake.PostgresClient
}

// connect connects the client unless its connection is still open, and reports whether it is connected.
func (c *client) connect() bool {
	if c.conn != nil && c.conn.Alive() {
		return true
	}
	c.disconnect()
	raw, err := net.DialTimeout("tcp", c.gateway.listener.Addr().String(), connectTimeout)
	if err != nil {
		return false
	}
	raw.SetDeadline(time.Now().Add(connectTimeout))
	if c.conn, err = fake.DialPostgres(raw, ""); err != nil {
		raw.Close()
		c.conn = nil
		return false
	}
	return true
}

// disconnect closes the client's connection, if it has one.
func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// execute sends a request, and records and checks its answer.
func (c *client) execute(r *request, text string) {
	checker := c.scenario.checker
	r.sentAt = time.Now()
	checker.recordRequest(r)
	c.conn.Conn.Conn.SetDeadline(r.sentAt.Add(r.clientTimeout + answerTimeoutMargin))
	reply, err := c.conn.Ask(text)
	c.recordReply(r, reply, err)
}

// recordReply records and checks the result of a request. It closes a connection that failed.
func (c *client) recordReply(r *request, reply fake.Reply, err error) {
	checker, now := c.scenario.checker, time.Now()
	timedOut := err != nil && isTimeout(err)
	checker.updateRequest(r, func(r *request) {
		switch {
		case err == nil || reply.Outcome != "": // a fatal error is not followed by ReadyForQuery
			r.outcome, r.answeredAt = reply.Outcome, now
		default:
			r.connectionLostAt = now
		}
	})
	slack, checkTimes := checker.slack()
	allowed := r.precedingTimeouts + r.clientTimeout + time.Duration(r.precedingRequests+1)*answerGrace + slack
	if (timedOut || now.Sub(r.sentAt) > allowed) && checkTimes && !c.gateway.disruptedDuring(r.sentAt, now) {
		checker.report(ruleLate, r.where(), "%q after %v of %v", reply.Outcome, now.Sub(r.sentAt), r.clientTimeout)
	}
	if err == nil && reply.Outcome == "served" && reply.Value != "value of "+r.id {
		checker.report(ruleWrong, r.where(), "the answer is %q", reply.Value)
	}
	if err != nil {
		c.disconnect()
	}
}

// requestLoop sends one request after the other until ctx ends.
func (c *client) requestLoop(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(meanRequestInterval)))
		if !c.connect() {
			time.Sleep(retryDelay)
			continue
		}
		if ctx.Err() == nil {
			c.execute(c.newRequest())
		}
	}
}

// startClients starts the regular clients. The returned function stops them, each after its last answer.
func (s *scenario) startClients() (stop func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	var group sync.WaitGroup
	for i, g := range s.gateways {
		for n := range s.options.Clients {
			c := &client{scenario: s, gateway: g, rng: rand.New(rand.NewPCG(s.options.Seed, uint64(1000*i+n)))}
			group.Go(func() { c.requestLoop(ctx) })
		}
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// disconnectAfter sends a request and closes the connection after a delay, even if no answer has arrived.
func (c *client) disconnectAfter(group int, after time.Duration) {
	defer c.disconnect()
	if !c.connect() {
		return
	}
	r, text := c.newGroupRequest(group)
	r.sentAt = time.Now()
	c.scenario.checker.recordRequest(r)
	c.conn.Write(pgwire.Append(nil, 'Q', text, "\x00"))
	time.Sleep(after)
	c.disconnect()
	c.scenario.checker.updateRequest(r, func(r *request) { r.clientClosedAt = time.Now() })
}

// pipeline sends several requests at once and reads their answers in order.
func (c *client) pipeline(count int) {
	defer c.disconnect()
	if !c.connect() {
		return
	}
	var requests []*request
	var encoded []byte
	var precedingTimeouts time.Duration
	for i := range count {
		r, text := c.newRequest()
		r.precedingRequests, r.precedingTimeouts, r.sentAt = i, precedingTimeouts, time.Now()
		precedingTimeouts += r.clientTimeout
		c.scenario.checker.recordRequest(r)
		requests = append(requests, r)
		encoded = pgwire.Append(encoded, 'Q', text, "\x00")
	}
	c.conn.Conn.Conn.SetDeadline(time.Now().Add(time.Duration(count) * 2 * answerTimeoutMargin))
	if _, err := c.conn.Write(encoded); err != nil {
		return
	}
	for _, r := range requests {
		if c.conn == nil {
			c.scenario.checker.updateRequest(r, func(r *request) { r.connectionLostAt = time.Now() })
			continue
		}
		reply, err := c.conn.Read()
		c.recordReply(r, reply, err)
	}
}

// sendPartial writes a part of a message and keeps the connection open; if requestBefore is set, it sends a complete
// request first. The gateway must answer or close the connection within partialMessageTimeout.
func (c *client) sendPartial(requestBefore bool) {
	defer c.disconnect()
	if !c.connect() {
		return
	}
	if requestBefore {
		if c.execute(c.newRequest()); c.conn == nil {
			return
		}
	}
	_, text := c.newRequest()
	message := pgwire.Append(nil, 'Q', text, "\x00")
	if _, err := c.conn.Write(message[:1+c.rng.IntN(len(message)-2)]); err != nil {
		return
	}
	sentAt := time.Now()
	c.conn.Conn.Conn.SetReadDeadline(sentAt.Add(partialMessageTimeout + answerTimeoutMargin))
	c.conn.Need(1)
	slack, checkTimes := c.scenario.checker.slack()
	if took := time.Since(sentAt); checkTimes && took > partialMessageTimeout+slack && !c.gateway.disruptedDuring(sentAt, time.Now()) {
		c.scenario.checker.report(rulePartialMessage, c.gateway.name, "held for %v, request before: %t", took, requestBefore)
	}
}

// sendGarbage sends random bytes and waits for the gateway to react.
func (c *client) sendGarbage() {
	raw, err := net.DialTimeout("tcp", c.gateway.listener.Addr().String(), connectTimeout)
	if err != nil {
		return
	}
	defer raw.Close()
	garbage := make([]byte, 1+c.rng.IntN(4000))
	for i := range garbage {
		garbage[i] = byte(c.rng.IntN(256))
	}
	raw.Write(garbage)
	raw.SetReadDeadline(time.Now().Add(partialMessageTimeout))
	raw.Read(garbage)
}

// checkServing checks at the end of a run that each gateway serves reads and writes of each group.
func (s *scenario) checkServing() {
	var group sync.WaitGroup
	for _, g := range s.gateways {
		for n := range s.options.Groups {
			for _, class := range []string{classRead, classNonIdempotent} {
				group.Go(func() { s.checkGroupServed(g, n, class) })
			}
		}
	}
	group.Wait()
}

// checkGroupServed sends requests of one class to a gateway until one is served. It reports a finding if none is within
// serveTimeout.
func (s *scenario) checkGroupServed(g *gateway, group int, class string) {
	c := &client{scenario: s, gateway: g, rng: rand.New(rand.NewPCG(s.options.Seed, uint64(group)))}
	defer c.disconnect()
	last := "no connection"
	for end := time.Now().Add(serveTimeout); time.Now().Before(end); time.Sleep(retryDelay) {
		if !c.connect() {
			continue
		}
		r, text := c.request(class, group, 2*time.Second)
		c.execute(r, text)
		if last = r.outcome; last == "served" {
			return
		}
	}
	s.checker.report(ruleNotServing, g.name, "group %d, %s: %q after %v; %s", group, class, last, serveTimeout, g.currentProcess().tail())
}
