package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["resting"] = memoryOfRestingClients }

const (
	memoryLimitMB   = 32   // the least that the pages give a gateway
	descriptorLimit = 1024 // the most that the pages give a gateway
	restingClients  = descriptorLimit/3 - 1
)

// memoryOfRestingClients has one client after the other write a long value and keep its connection. Without trouble the values are
// short.
func memoryOfRestingClients(rec *record) bool {
	size := longValue
	if !trouble {
		size = shortValue
	}
	value := strings.Repeat("v", size)
	_, agent := group(rec, func(h *host) {
		h.work = func(string, string) time.Duration { return 20 * time.Millisecond }
		h.value = func(string) string { return value }
	})
	g := startGateway(gatewayOptions{name: "n0", agent: agent, settings: settings(), log: "info",
		limits: limits{1, memoryLimitMB, descriptorLimit}}, rec)
	g.awaitReady()
	highestOwn, highest, open := 0, 0, 0
	var mu sync.Mutex
	for i := range restingClients {
		c, err := dial(g.listen)
		if err != nil {
			cannotRun(err)
		}
		defer c.Close()
		id := newID()
		text := strings.Replace(statement(id, "zusage", 2000, 0), "9f03", strings.Repeat("9f", size), 1)
		rec.line("sent", "client=%d id=%s bytes=%d", i, id, len(text))
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if err := c.query(text); err != nil {
			cannotRun(err)
		}
		a, err := c.answer()
		if err != nil {
			cannotRun(err)
		}
		rec.line("answer", "client=%d id=%s %s", i, id, a)
		c.SetDeadline(time.Time{})
		mu.Lock()
		open++
		mu.Unlock()
		go func() { // until the gateway ends the connection
			c.answer()
			mu.Lock()
			open--
			mu.Unlock()
		}()
		own, resident := memoryOf(g.cmd.Process.Pid)
		mu.Lock()
		rec.line("memory", "own_kib=%d resident_kib=%d open=%d", own, resident, open)
		mu.Unlock()
		highestOwn, highest = max(highestOwn, own), max(highest, resident)
	}
	rec.line("total", "highest_own_kib=%d highest_resident_kib=%d open=%d limit_kib=%d", highestOwn, highest, open, memoryLimitMB<<10)
	fmt.Printf("highest memory: %d KiB of its own, %d KiB resident, %d connections left; the limit is %d KiB\n", highestOwn, highest, open, memoryLimitMB<<10)
	return highestOwn > memoryLimitMB<<10
}
