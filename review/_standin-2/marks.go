package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["marks"] = memoryOfSessions }

const (
	marksLimitMB  = 192 // the most that the pages give a gateway
	marksPerS     = 45  // 15% of 300 requests a second
	marksFor      = 75 * time.Second
	marksClients  = 30
	longValue     = 64 << 10
	shortValue    = 16
	marksInterval = marksClients * time.Second / marksPerS
)

// memoryOfSessions has clients write long values, each with a key, and so a session, of its own. Without trouble the values are short.
func memoryOfSessions(rec *record) bool {
	size := longValue
	if !trouble {
		size = shortValue
	}
	value := strings.Repeat("v", size)
	_, agent := group(rec, func(h *host) {
		h.work = func(string, string) time.Duration { return 87 * time.Millisecond }
		h.value = func(string) string { return value }
	})
	s := settings()
	s["domain"].(map[string]any)["writeMarks"] = "remembered"
	g := startGateway(gatewayOptions{name: "n0", agent: agent, settings: s, log: "info", limits: limits{1, marksLimitMB, 1024}}, rec)
	g.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	writes := 0
	for i := range marksClients {
		clients.Go(func() {
			c, err := dial(g.listen)
			if err != nil {
				cannotRun(err)
			}
			defer c.Close()
			time.Sleep(rand.N(marksInterval))
			next := time.Now()
			for {
				next = next.Add(marksInterval)
				select {
				case <-stop:
					return
				case <-time.After(time.Until(next)):
				}
				id := newID()
				text := strings.Replace(statement(id, "zusage", 2000, 0), "9f03", strings.Repeat("9f", size), 1)
				rec.line("sent", "client=%d id=%s bytes=%d", i, id, len(text))
				c.SetDeadline(time.Now().Add(5 * time.Second))
				if err := c.query(text); err != nil {
					rec.line("ended", "client=%d %v", i, err)
					return
				}
				a, err := c.answer()
				if err != nil {
					rec.line("ended", "client=%d %v", i, err)
					return
				}
				rec.line("answer", "client=%d id=%s %s", i, id, a)
				mu.Lock()
				writes++
				mu.Unlock()
			}
		})
	}
	over := false
	own, resident := 0, 0
	for end := time.Now().Add(marksFor); time.Now().Before(end) && !over; time.Sleep(250 * time.Millisecond) {
		own, resident = memoryOf(g.cmd.Process.Pid)
		mu.Lock()
		rec.line("memory", "own_kib=%d resident_kib=%d writes=%d", own, resident, writes)
		mu.Unlock()
		over = own > marksLimitMB<<10
	}
	close(stop)
	clients.Wait()
	rec.line("total", "own_kib=%d resident_kib=%d limit_kib=%d writes=%d", own, resident, marksLimitMB<<10, writes)
	fmt.Printf("memory after %d writes: %d KiB of its own, %d KiB resident; the limit is %d KiB\n", writes, own, resident, marksLimitMB<<10)
	return over
}
