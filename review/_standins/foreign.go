package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreign }

const (
	foreignClients  = 36
	foreignThink    = 30 * time.Millisecond // a client's longest pause between two requests
	foreignDuration = 40 * time.Second
	foreignMost     = 12                     // statements that a host takes at once; it turns others away
	foreignWait     = 100 * time.Millisecond // a client that is refused waits so long
	foreignShare    = 0.1                    // of the answers are followed by a second copy
	foreignBehind   = 500 * time.Microsecond // from an answer to its second copy
	foreignOneWay   = 600 * time.Microsecond // between the gateway's data centre and the hosts'
)

// foreignTally counts what the hosts and the clients of the case have seen.
type foreignTally struct {
	mu        sync.Mutex
	outcomes  map[string]int
	zusagen   map[string]string // outcomes by id
	foreign   int               // answers with another request's value
	copies    int               // second copies sent
	heldBacks int               // second copies not sent, as something waited on the connection
}

// foreign has database hosts send a second copy of some answers right behind them, when nothing else waits on the connection. Each
// client that is served has to get the value that a host made for its request.
func foreign(rec *record, root string, disturbed bool) (bool, error) {
	tally := &foreignTally{outcomes: map[string]int{}, zusagen: map[string]string{}}
	var hosts []*host
	for _, uid := range []string{"db-0", "db-1", "db-2"} {
		hosts = append(hosts, &host{
			uid: uid, delay: foreignOneWay, handshake: 6 * time.Millisecond, most: foreignMost,
			work: func(*query) time.Duration { return 87*time.Millisecond + rand.N(63*time.Millisecond) },
			answer: func(h *host, q *query) bool {
				answer := h.message(q)
				if _, err := q.conn.Write(answer); err != nil {
					return false
				}
				h.record.add(h.uid, "answers id=%s conn=%d", q.id, q.conn.number)
				return !disturbed || rand.Float64() >= foreignShare || tally.sendCopy(h, q, answer)
			},
		})
	}
	d, err := deploy(rec, root, hosts, nil)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.startGateway(); err != nil {
		return false, err
	}
	end := time.Now().Add(foreignDuration)
	var group sync.WaitGroup
	for range foreignClients {
		group.Go(func() {
			for time.Now().Before(end) {
				if c, err := dial(d.listen); err == nil {
					tally.ask(rec, c, end)
					c.Close()
				}
				time.Sleep(foreignThink)
			}
		})
	}
	group.Wait()
	requests := 0
	for _, n := range tally.outcomes {
		requests += n
	}
	for _, h := range hosts {
		rec.say("%s had up to %d connections at once", h.uid, h.peak.Load())
	}
	twice, unrun := 0, 0
	for id, outcome := range tally.zusagen {
		runs := 0
		for _, h := range hosts {
			runs += h.ran(id)
		}
		if runs > 1 {
			twice++
			rec.say("zusage id=%s was begun %d times; its client was told: %s", id, runs, outcome)
		}
		if runs == 0 && outcome == "served" {
			unrun++
			rec.say("zusage id=%s was never begun; its client was told: %s", id, outcome)
		}
	}
	rec.say("%.0f requests a second, outcomes %v; second copies sent %d, held back %d", float64(requests)/foreignDuration.Seconds(),
		tally.outcomes, tally.copies, tally.heldBacks)
	rec.say("clients that got another request's value: %d; zusagen: %d, begun twice %d, served and never begun %d",
		tally.foreign, len(tally.zusagen), twice, unrun)
	return tally.foreign+twice+unrun > 0, d.checkAlive()
}

// sendCopy sends an answer again, unless something waits on the connection. It returns false if the connection has ended.
func (t *foreignTally) sendCopy(h *host, q *query, answer []byte) bool {
	time.Sleep(foreignBehind)
	waiting := q.conn.waiting()
	t.mu.Lock()
	defer t.mu.Unlock()
	if waiting {
		t.heldBacks++
		return true
	}
	t.copies++
	h.record.add(h.uid, "sends a second copy of the answer to id=%s conn=%d", q.id, q.conn.number)
	_, err := q.conn.Write(answer)
	return err == nil
}

// ask sends one request after another, until the time is over or the connection has ended.
func (t *foreignTally) ask(rec *record, c *client, end time.Time) {
	classes := []string{"platzsuche", "platzsuche", "eigener-antrag", "statistik", "angebot-pruefen", "zusage"}
	for time.Now().Before(end) {
		time.Sleep(rand.N(foreignThink))
		id, class := newID(), classes[rand.IntN(len(classes))]
		if _, err := c.Write(queryMessage(statement(id, class, 2*time.Second, ""))); err != nil {
			return
		}
		r := c.read()
		t.mu.Lock()
		t.outcomes[r.outcome]++
		if class == "zusage" {
			t.zusagen[id] = r.outcome
		}
		if r.outcome == "served" && r.value != valueOf(id) {
			t.foreign++
			rec.add("client", "FOREIGN: asked id=%s c=%s and was %v", id, class, r)
		}
		t.mu.Unlock()
		if r.outcome == "refused" {
			time.Sleep(foreignWait)
		}
		if r.err != nil {
			rec.add("client", "id=%s: %v", id, r)
			return
		}
	}
}
