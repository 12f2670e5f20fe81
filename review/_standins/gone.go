package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

const (
	goneClients = 8
	goneMore    = 40                     // statements with 64 KiB values that a client sends behind its first
	goneStay    = 20 * time.Millisecond  // from a client's statements to its close
	goneCrowded = 170 * time.Millisecond // how long the hosts turn all statements away
	goneLimit   = 100 * time.Millisecond // from a close until nothing may begin for the client
)

// gone is a probe, no case. Clients send a zusage and much more behind it, and close, while the hosts turn statements away. The zusage
// must not begin later than 0.1 s after the close. Without the disturbance the clients send the zusage alone.
func gone(rec *record, root string, disturbed bool) (bool, error) {
	var mu sync.Mutex
	var crowded bool
	began := map[string]time.Time{} // the last time, by request
	var hosts []*host
	for _, uid := range []string{"db-0", "db-1", "db-2"} {
		hosts = append(hosts, &host{uid: uid,
			full: func() bool {
				mu.Lock()
				defer mu.Unlock()
				return crowded
			},
			work: func(q *query) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				began[q.id] = time.Now()
				return 87*time.Millisecond + rand.N(63*time.Millisecond)
			}})
	}
	d, err := deploy(rec, root, hosts, nil)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.startGateway(); err != nil {
		return false, err
	}
	setCrowded := func(to bool) {
		mu.Lock()
		defer mu.Unlock()
		crowded = to
	}
	value := strings.Repeat("ab", 64<<10)
	late := 0
	for range goneClients {
		c, err := dial(d.listen)
		if err != nil {
			return false, err
		}
		id := newID()
		out := queryMessage(statement(id, "zusage", 2*time.Second, ""))
		for i := 0; disturbed && i < goneMore; i++ {
			out = append(out, queryMessage(strings.Replace(statement(newID(), "zusage", 2*time.Second, ""), "9f03", value, 1))...)
		}
		setCrowded(true)
		go c.Write(out)
		time.Sleep(goneStay)
		c.Close()
		closed := time.Now()
		rec.add("client", "id=%s: closes", id)
		time.Sleep(goneCrowded - goneStay)
		setCrowded(false)
		time.Sleep(2500 * time.Millisecond)
		mu.Lock()
		at, ran := began[id]
		mu.Unlock()
		if ran && at.Sub(closed) > goneLimit {
			late++
			rec.say("zusage id=%s was begun %.3f s after its client's close", id, at.Sub(closed).Seconds())
		}
	}
	rec.say("%d of %d zusagen were begun over 0.1 s after their clients' close", late, goneClients)
	return late > 0, d.checkAlive()
}
