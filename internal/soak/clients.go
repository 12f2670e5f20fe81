package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

// The classes of the site's settings.
const (
	classRead    = "platzsuche"
	classSession = "eigener-antrag"
	classOnce    = "zusage"
	classKeyed   = "vormerken"
)

const (
	patientPause = 10 * time.Millisecond // the mean between an answer and the next request
	connectFor   = 25 * time.Second      // whoever comes to a process that starts waits
	hungFor      = 5 * time.Second       // past the time for its answer a request is given up
	againAfter   = 20 * time.Millisecond // after a connection that failed
)

// client is one client of a gateway.
type client struct {
	site    *site
	gateway *gateway
	rng     *rand.Rand
	conn    *fake.PostgresClient
}

var lastID atomic.Int64

// newRequest draws a request.
func (c *client) newRequest() (*request, string) {
	return c.requestOf(c.rng.IntN(c.site.opt.Groups))
}

// requestOf draws a request of a group.
func (c *client) requestOf(group int) (*request, string) {
	class := []string{classRead, classRead, classSession, classOnce, classOnce, classKeyed}[c.rng.IntN(6)]
	wait := []time.Duration{2 * time.Second, 2 * time.Second, 600 * time.Millisecond, 120 * time.Millisecond}[c.rng.IntN(4)]
	return c.request(class, group, wait)
}

// request makes a request, and its statement.
func (c *client) request(class string, group int, wait time.Duration) (*request, string) {
	r := &request{gateway: c.gateway, id: fmt.Sprintf("%06x", lastID.Add(1)), class: class, wait: wait}
	head := fmt.Sprintf("/* id=%s,c=%s,d=%d", r.id, class, wait.Milliseconds())
	switch class {
	case classOnce, classKeyed:
		return r, fmt.Sprintf("%s,k=%s,cluster=%d */ INSERT INTO records (k, v) VALUES ('%s', '') RETURNING v", head, r.id, group, r.id)
	case classSession:
		head += fmt.Sprintf(",after=%d", time.Now().Add(-time.Second).UnixMilli())
	}
	return r, fmt.Sprintf("%s,cluster=%d */ SELECT v FROM records WHERE k = '%s'", head, group, r.id)
}

// connect connects where the client has no connection. False: it can't.
func (c *client) connect() bool {
	if c.conn != nil && c.conn.Alive() {
		return true
	}
	c.drop()
	raw, err := net.DialTimeout("tcp", c.gateway.socket.Addr().String(), connectFor)
	if err != nil {
		return false
	}
	raw.SetDeadline(time.Now().Add(connectFor))
	if c.conn, err = fake.DialPostgres(raw, ""); err != nil {
		raw.Close()
		c.conn = nil
		return false
	}
	return true
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ask sends a request and judges its answer.
func (c *client) ask(r *request, text string) {
	j := c.site.judge
	r.sent = time.Now()
	j.ask(r)
	c.conn.Conn.Conn.SetDeadline(r.sent.Add(r.wait + hungFor))
	reply, err := c.conn.Ask(text)
	c.note(r, reply, err)
}

// note takes what came back for a request. A connection that failed is dropped.
func (c *client) note(r *request, reply fake.Reply, err error) {
	j, now := c.site.judge, time.Now()
	var netErr net.Error
	late := err != nil && asTimeout(err, &netErr)
	j.change(r, func(r *request) {
		switch {
		case err == nil || reply.Outcome != "": // a fatal error needs no Ready
			r.outcome, r.answered = reply.Outcome, now
		default:
			r.ended = now
		}
	})
	slack, timed := j.slack()
	allowed := r.ahead + r.wait + time.Duration(r.behind+1)*answerGrace + slack
	if (late || now.Sub(r.sent) > allowed) && timed && !c.gateway.excusedIn(r.sent, now) {
		j.find(Finding{Rule: ruleLate, Where: r.where(), Detail: fmt.Sprintf("%q after %v of %v", reply.Outcome, now.Sub(r.sent), r.wait)})
	}
	if err == nil && reply.Outcome == "served" && reply.Value != "value of "+r.id {
		j.find(Finding{Rule: ruleWrong, Where: r.where(), Detail: fmt.Sprintf("the answer is %q", reply.Value)})
	}
	if err != nil {
		c.drop()
	}
}

// patient asks one request after the other until the context ends.
func (c *client) patient(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(patientPause)))
		if !c.connect() {
			time.Sleep(againAfter)
			continue
		}
		if ctx.Err() == nil {
			c.ask(c.newRequest())
		}
	}
}

// startClients starts the patient clients; the call ends them once each has its last answer.
func (s *site) startClients() (stop func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	var group sync.WaitGroup
	for i, g := range s.gateways {
		for n := range s.opt.Clients {
			c := &client{site: s, gateway: g, rng: rand.New(rand.NewPCG(s.opt.Seed, uint64(1000*i+n)))}
			group.Go(func() { c.patient(ctx) })
		}
	}
	return func() { cancel(); group.Wait() }
}

// leaves asks a group and closes some time later, whatever has come back.
func (c *client) leaves(group int, after time.Duration) {
	defer c.drop()
	if !c.connect() {
		return
	}
	r, text := c.requestOf(group)
	r.sent = time.Now()
	c.site.judge.ask(r)
	c.conn.Write(pgwire.Append(nil, 'Q', text, "\x00"))
	time.Sleep(after)
	c.drop()
	c.site.judge.change(r, func(r *request) { r.left = time.Now() })
}

// pipelines sends several requests at once and takes their answers in order.
func (c *client) pipelines(n int) {
	defer c.drop()
	if !c.connect() {
		return
	}
	var all []*request
	var out []byte
	var ahead time.Duration
	for i := range n {
		r, text := c.newRequest()
		r.behind, r.ahead, r.sent = i, ahead, time.Now()
		ahead += r.wait
		c.site.judge.ask(r)
		all = append(all, r)
		out = pgwire.Append(out, 'Q', text, "\x00")
	}
	c.conn.Conn.Conn.SetDeadline(time.Now().Add(time.Duration(n) * 2 * hungFor))
	if _, err := c.conn.Write(out); err != nil {
		return
	}
	for _, r := range all {
		if c.conn == nil {
			c.site.judge.change(r, func(r *request) { r.ended = time.Now() })
			continue
		}
		reply, err := c.conn.Read()
		c.note(r, reply, err)
	}
}

// stopsHalfway writes a part of a message, maybe behind a good request, and stays. It is to be told or closed in time.
func (c *client) stopsHalfway(asksBefore bool) {
	defer c.drop()
	if !c.connect() {
		return
	}
	if asksBefore {
		if c.ask(c.newRequest()); c.conn == nil {
			return
		}
	}
	_, text := c.newRequest()
	message := pgwire.Append(nil, 'Q', text, "\x00")
	if _, err := c.conn.Write(message[:1+c.rng.IntN(len(message)-2)]); err != nil {
		return
	}
	began := time.Now()
	c.conn.Conn.Conn.SetReadDeadline(began.Add(halfWithin + hungFor))
	c.conn.Need(1)
	slack, timed := c.site.judge.slack()
	if took := time.Since(began); timed && took > halfWithin+slack && !c.gateway.excusedIn(began, time.Now()) {
		c.site.judge.find(Finding{Rule: ruleHalf, Where: c.gateway.name, Detail: fmt.Sprintf("held for %v, asked before: %t", took, asksBefore)})
	}
}

// babbles sends bytes of which nothing can be made.
func (c *client) babbles() {
	raw, err := net.DialTimeout("tcp", c.gateway.socket.Addr().String(), connectFor)
	if err != nil {
		return
	}
	defer raw.Close()
	b := make([]byte, 1+c.rng.IntN(4000))
	for i := range b {
		b[i] = byte(c.rng.IntN(256))
	}
	raw.Write(b)
	raw.SetReadDeadline(time.Now().Add(halfWithin))
	raw.Read(b)
}

// checkServes asks each gateway for each group, reads and writes, until it is served.
func (s *site) checkServes() {
	var group sync.WaitGroup
	for _, g := range s.gateways {
		for n := range s.opt.Groups {
			for _, class := range []string{classRead, classOnce} {
				group.Go(func() { s.checkServed(g, n, class) })
			}
		}
	}
	group.Wait()
}

func (s *site) checkServed(g *gateway, group int, class string) {
	c := &client{site: s, gateway: g, rng: rand.New(rand.NewPCG(s.opt.Seed, uint64(group)))}
	defer c.drop()
	last := "no connection"
	for end := time.Now().Add(serveFor); time.Now().Before(end); time.Sleep(againAfter) {
		if !c.connect() {
			continue
		}
		r, text := c.request(class, group, 2*time.Second)
		c.ask(r, text)
		if last = r.outcome; last == "served" {
			return
		}
	}
	s.judge.find(Finding{Rule: ruleStuck, Where: g.name, Detail: fmt.Sprintf("group %d, %s: %q after %v; %s", group, class, last, serveFor, g.current().tail())})
}
