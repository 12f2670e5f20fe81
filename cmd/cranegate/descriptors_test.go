package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/config"
	"cranegate/internal/fake"
	"cranegate/internal/frontend/connlimit"
)

// idleConns are clients and admin callers that keep their connections open without using them, and connect again once they are closed.
type idleConns struct {
	h      *harness
	stop   chan struct{}
	group  sync.WaitGroup
	served atomic.Int64 // requests
}

func (h *harness) startIdleConns(count int) *idleConns {
	conns := &idleConns{h: h, stop: make(chan struct{})}
	for i := range count {
		conns.group.Go(func() { conns.run(i) })
	}
	return conns
}

func (c *idleConns) end() {
	close(c.stop)
	c.group.Wait()
}

// run connects again and again until end is called. Every eighth index is an admin caller.
func (c *idleConns) run(index int) {
	address, open := c.h.postgresAddress, c.openClient
	if index%8 == 7 {
		address, open = c.h.adminAddress, c.openAdminCall
	}
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		go func() {
			<-c.stop
			conn.Close()
		}()
		open(conn, index, n)
		io.Copy(io.Discard, conn)
		conn.Close()
	}
}

// openAdminCall sends an incomplete call.
func (c *idleConns) openAdminCall(conn net.Conn, _, _ int) {
	io.WriteString(conn, "GET /counters HTTP/1.1\r\n")
}

// openClient sends nothing, only starts a session, or also sends one request, depending on the index.
func (c *idleConns) openClient(conn net.Conn, index, n int) {
	if index%3 == 0 {
		return
	}
	client, err := fake.DialPostgres(conn, "")
	if err != nil || index%3 == 1 {
		return
	}
	id := fmt.Sprint("c", index, "-", n)
	if r, err := client.Ask(fmt.Sprintf(readQuery, id, id)); err == nil && r.Outcome == "served" {
		c.served.Add(1)
	}
}

// TestIdleClientsDoNotStarveDiscovery runs the program with few descriptors while discovery is down, and opens up to hundreds of
// connections: clients that send nothing, that only start a session or that are idle after a request, and admin callers that complete no
// call. Once discovery is back its endpoint list must be read, and a request be served by the host that is not draining. The limit must
// never be exceeded.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	for _, x := range []struct{ sockets, files int }{{40, 40}, {64, 64}, {128, 128}, {1024, 100}} {
		t.Run(fmt.Sprintf("%d of %d", x.sockets, x.files), func(t *testing.T) { idleClientsDoNotStarveDiscovery(t, x.sockets, x.files) })
	}
}

func idleClientsDoNotStarveDiscovery(t *testing.T, sockets, files int) {
	h := startGateway(t, nil)
	down := freeAddress(t)
	h.config["discovery"] = down
	h.config["limits"].(map[string]any)["sockets"] = sockets
	h.restartWithFileLimit(files)
	h.untilListening().Close()
	idle := h.startIdleConns(2 * files)
	defer idle.end()

	maxOpen := 0
	sample := func() { maxOpen = max(maxOpen, h.openDescriptors()) }
	untilSampled := func(what string, condition func() bool) {
		t.Helper()
		h.until(what, func() bool { sample(); return condition() })
	}
	untilSampled("the clients have been served", func() bool { return idle.served.Load() >= 20 })
	for range 100 {
		sample()
		time.Sleep(5 * time.Millisecond)
	}

	h.targets = slices.Clone(h.targets)
	h.targets[1].State = "DRAINING"
	h.discovery.Set(h.targets)
	l, err := net.Listen("tcp", down)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go http.Serve(l, h.discovery)
	discoveryBack := time.Now()
	untilSampled("the endpoint list", func() bool {
		h.cmd.Process.Signal(syscall.SIGUSR1)
		return h.logged("list_changes=1")
	})
	if took := time.Since(discoveryBack); took > 12*time.Second { // 6 s on an idle machine
		t.Errorf("the endpoint list was read after %v", took)
	}
	untilSampled("a request is served", func() bool { return h.servesPostgres("last") })
	if n := h.hosts[1].Ran("last"); n > 0 {
		t.Errorf("the request ran %d times at the draining host", n)
	}
	if h.logged("too many open files") || maxOpen > min(sockets, files) {
		t.Errorf("%d descriptors were open", maxOpen)
	}
	t.Logf("at most %d descriptors were open", maxOpen)
}

// TestDescriptorAllocation checks the allocation of each limit: its parts never add up to more than the limit, each part gets
// something, and a limit that is too low is reported.
func TestDescriptorAllocation(t *testing.T) {
	for limit := range 1100 {
		for frontends := range 3 {
			for i := range 8 {
				users := descriptorUsers{frontends: frontends, admin: i&1 > 0, checks: i&2 > 0, gossip: i&4 > 0}
				checkAllocation(t, limit, users)
			}
		}
	}
	users := descriptorUsers{frontends: 1, admin: true}
	if a, err := allocateDescriptors(config.Limits{Sockets: 1024}, 100, users); err != nil || a.limit != 100 {
		t.Errorf("100 files: %+v, %v", a, err)
	}
}

func checkAllocation(t *testing.T, limit int, users descriptorUsers) {
	t.Helper()
	a, err := allocateDescriptors(config.Limits{Sockets: limit}, 0, users)
	var tooFew TooFewDescriptorsError
	if errors.As(err, &tooFew) {
		if tooFew.Min <= limit || tooFew.Min > 140 || limit == 0 {
			t.Fatalf("%d: %v", limit, err)
		}
		return
	}
	total := a.clients + connlimit.RejectQueueSize(a.clients) + runtimeDescriptors
	total += max(1, users.frontends) * (a.backendConns + frontendDescriptors + discoveryDescriptors)
	if users.admin {
		total += hotRestartDescriptors + listenerDescriptors + a.adminCallers
	}
	if users.checks {
		total += checkDescriptors
	}
	if users.gossip {
		total += gossipDescriptors
	}
	if err != nil || total > a.limit || a.limit > maxDescriptors || a.clients < 1 || a.backendConns < 1 || a.adminCallers < 2 || a.limit > 2*total {
		t.Fatalf("%d for %+v: %+v, together %d, %v", limit, users, a, total, err)
	}
}
