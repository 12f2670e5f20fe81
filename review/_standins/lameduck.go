package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["lameduck"] = lameduck }

const (
	lameduckClients = 4
	lameduckOpen    = 2               // requests that a client has open on its connection
	lameduckBefore  = 2 * time.Second // until the call
	lameduckAfter   = 12 * time.Second
	lameduckLimit   = 4 * time.Second // from the call until no connection may be held with a request from the last 2 s
)

// lameduck is a probe, no case. It drains a gateway whose clients send the next request before they have the answer to the last.
func lameduck(rec *record, root string, disturbed bool) (bool, error) {
	var hosts []*host
	for _, uid := range []string{"db-0", "db-1", "db-2"} {
		hosts = append(hosts, &host{uid: uid, work: func(*query) time.Duration { return 87*time.Millisecond + rand.N(63*time.Millisecond) }})
	}
	admin, err := freeAddress()
	if err != nil {
		return false, err
	}
	d, err := deploy(rec, root, hosts, func(config map[string]any) { config["admin"] = admin })
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.startGateway(); err != nil {
		return false, err
	}
	called := time.Now().Add(lameduckBefore)
	held := make([]bool, lameduckClients)
	var group sync.WaitGroup
	for i := range held {
		c, err := dial(d.listen)
		if err != nil {
			return false, err
		}
		group.Go(func() {
			defer c.Close()
			send := func() { c.Write(queryMessage(statement(newID(), "platzsuche", 2*time.Second, ""))) }
			for range lameduckOpen {
				send()
			}
			served := map[string]int{}
			for time.Since(called) < lameduckAfter {
				r := c.read()
				if r.err != nil {
					rec.say("connection %d ended %.2f s after the call: %v", i, time.Since(called).Seconds(), served)
					return
				}
				served[r.outcome]++
				held[i] = disturbed && time.Since(called) > lameduckLimit
				send()
			}
			rec.say("connection %d is open %.2f s after the call: %v", i, time.Since(called).Seconds(), served)
		})
	}
	time.Sleep(time.Until(called))
	if disturbed {
		answer, err := http.Post("http://"+admin+"/_lameduck/on", "", nil)
		if err != nil {
			return false, err
		}
		answer.Body.Close()
		rec.say("lameduck on: %s", answer.Status)
	}
	group.Wait()
	for _, h := range held {
		if h {
			return true, nil
		}
	}
	return false, d.checkAlive()
}
