package main

import (
	"fmt"
	"time"
)

func init() { cases["lameduck"] = lameduckUnderPipelining }

// lameduckUnderPipelining drains a gateway while clients have three commands under way on each connection.
func lameduckUnderPipelining(rec *record) bool {
	p := startPipelining(rec, 87*time.Millisecond, 150*time.Millisecond, 8, 3)
	called := time.Now()
	if trouble {
		status := p.call("POST", "/_lameduck/on")
		rec.line("lameduck", "status=%d", status)
		if status != 200 {
			cannotRun(fmt.Errorf("no yes to the call"))
		}
	}
	time.Sleep(time.Until(called.Add(7 * time.Second)))
	close(p.stop)
	p.clients.Wait()
	const bound = 4*time.Second + 50*time.Millisecond // each time limit grows by 50 ms on sockets
	held := 0
	for _, r := range p.ledger.requests {
		if r.answered && r.answeredAt.Sub(called) > bound && r.answeredAt.Sub(r.sent) < 2*time.Second {
			held++
			rec.line("held", "id=%s sent_after_call=%.4f answered_after_call=%.4f", r.id, r.sent.Sub(called).Seconds(),
				r.answeredAt.Sub(called).Seconds())
		}
	}
	if !trouble { // nobody has called, so every connection may be held
		fmt.Printf("requests %d, no call\n", len(p.ledger.requests))
		return false
	}
	rec.line("total", "requests=%d answered_past_the_bound=%d", len(p.ledger.requests), held)
	fmt.Printf("requests %d, answered over 4 s after the call, on connections still held: %d\n", len(p.ledger.requests), held)
	return held > 0
}
