package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["stop"] = stopUnderPipelining
}

// request is what is known of one request.
type request struct {
	id         string
	sent       time.Time
	wait       time.Duration // how long the client waits
	ran        int
	answered   bool
	answeredAt time.Time
	endedAt    time.Time // when its connection ended before its answer
}

// ledger holds all requests.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
}

func (l *ledger) add(id string, wait time.Duration) *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &request{id: id, sent: time.Now(), wait: wait}
	l.requests[id] = r
	return r
}

func (l *ledger) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requests, id)
}

func (l *ledger) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		r.ran++
	}
}

// pipeliner is a client that keeps a number of commands under way on one connection.
type pipeliner struct {
	number, depth int
	ledger        *ledger
	record        *record
	stop          chan struct{} // closed: no further request
}

// run sends and reads until the connection ends, or stop is closed and all is answered.
func (p *pipeliner) run(address string) {
	c, err := dial(address)
	if err != nil {
		p.record.line("refused", "client=%d %v", p.number, err)
		return
	}
	defer c.Close()
	var open []*request
	for {
		for len(open) < p.depth && !p.stopped() {
			r := p.send(c)
			if r == nil {
				break
			}
			open = append(open, r)
		}
		if len(open) == 0 {
			return
		}
		a, err := c.answer()
		now := time.Now()
		p.ledger.mu.Lock()
		if err != nil {
			for _, r := range open {
				r.endedAt = now
			}
		} else {
			open[0].answered, open[0].answeredAt = true, now
		}
		p.ledger.mu.Unlock()
		if err != nil {
			p.record.line("ended", "client=%d open=%d %v", p.number, len(open), err)
			return
		}
		p.record.line("answer", "client=%d id=%s %s", p.number, open[0].id, a)
		open = open[1:]
	}
}

func (p *pipeliner) stopped() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// send writes one request, and returns nil if its last byte could not be written.
func (p *pipeliner) send(c *client) *request {
	id, class, d := newID(), "statistik", 1000
	if rand.IntN(2) == 0 {
		class, d = "zusage", 2000
	}
	r := p.ledger.add(id, time.Duration(d)*time.Millisecond)
	p.record.line("sent", "client=%d id=%s class=%s", p.number, id, class)
	if err := c.query(statement(id, class, d, 0)); err != nil {
		p.record.line("unsent", "client=%d id=%s %v", p.number, id, err)
		p.ledger.remove(id)
		return nil
	}
	return r
}

// pipelining is a gateway with clients that pipeline.
type pipelining struct {
	*gateway
	ledger  *ledger
	clients sync.WaitGroup
	stop    chan struct{}
}

// startPipelining starts a group whose statements run for least to most, a gateway and clients.
func startPipelining(rec *record, least, most time.Duration, clients, depth int) *pipelining {
	p := &pipelining{ledger: &ledger{requests: map[string]*request{}}, stop: make(chan struct{})}
	_, agent := group(rec, func(h *host) {
		h.onRun = p.ledger.run
		h.work = func(string, string) time.Duration { return least + rand.N(most-least) }
	})
	p.gateway = startGateway(gatewayOptions{name: "n0", agent: agent, settings: settings(), log: "info"}, rec)
	p.awaitReady()
	time.Sleep(time.Second)
	for i := range clients {
		c := &pipeliner{number: i, depth: depth, ledger: p.ledger, record: rec, stop: p.stop}
		p.clients.Go(func() { c.run(p.listen) })
	}
	time.Sleep(2 * time.Second)
	return p
}

// stopUnderPipelining ends a gateway by SIGTERM while clients have three commands under way on each connection.
func stopUnderPipelining(rec *record) bool {
	p := startPipelining(rec, 2900*time.Microsecond, 5*time.Millisecond, 3, 3)
	if trouble {
		rec.line("signal", "SIGTERM")
		p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.ended:
		case <-time.After(20 * time.Second): // the platform's SIGKILL, which may come 3.2 s after SIGTERM
			rec.line("signal", "SIGKILL")
			p.cmd.Process.Kill()
		}
	} else {
		time.Sleep(4 * time.Second)
		close(p.stop)
	}
	p.clients.Wait()
	lost := 0
	for _, r := range p.ledger.requests {
		if r.answered || r.ran == 0 || r.endedAt.Sub(r.sent) > r.wait {
			continue
		}
		lost++
		rec.line("lost", "id=%s runs=%d age_at_end=%.4f", r.id, r.ran, r.endedAt.Sub(r.sent).Seconds())
	}
	rec.line("total", "requests=%d lost=%d", len(p.ledger.requests), lost)
	fmt.Printf("requests %d, run by a host and never answered %d\n", len(p.ledger.requests), lost)
	return lost > 0
}
