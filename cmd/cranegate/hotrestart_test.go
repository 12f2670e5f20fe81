package main

import (
	"fmt"
	"net"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// maxAttempts is how often a client of loadClients sends one request at most, each time on a new connection.
const maxAttempts = 4

// loadClients are clients that send reads one after another.
type loadClients struct {
	h          *harness
	count      int
	stop       chan struct{}
	group      sync.WaitGroup
	requests   atomic.Int64 // with a final answer
	unanswered atomic.Int64 // attempts that ended with an error
}

// startLoad starts a number of clients. The caller must call end.
func (h *harness) startLoad(count int) *loadClients {
	l := &loadClients{h: h, count: count, stop: make(chan struct{})}
	for i := range count {
		l.group.Go(func() { l.run(i) })
	}
	return l
}

// end stops the clients after their current requests. It may be called only once.
func (l *loadClients) end() {
	close(l.stop)
	l.group.Wait()
}

// requestID is the id of a client's n-th request.
func (l *loadClients) requestID(client, n int) string { return fmt.Sprintf("c%d-%d", client, n) }

// run sends requests until end is called, or until a connect fails.
func (l *loadClients) run(index int) {
	var client *fake.PostgresClient
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(5+index) * time.Millisecond):
		}
		var ok bool
		if client, ok = l.request(client, l.requestID(index, n)); !ok {
			return
		}
	}
}

// request sends one request until it has an answer, at most maxAttempts times, and returns the client for the next one.
func (l *loadClients) request(client *fake.PostgresClient, id string) (next *fake.PostgresClient, ok bool) {
	for attempt := 1; ; attempt++ {
		if client == nil {
			var err error
			if client, err = l.connect(); err != nil {
				l.h.t.Errorf("%s: %v", id, err)
				return nil, false
			}
		}
		r, err := client.Ask(fmt.Sprintf(readQuery, id, id))
		if err != nil && attempt < maxAttempts {
			client.Close()
			client = nil
			l.unanswered.Add(1)
			continue
		}
		if l.requests.Add(1); err != nil || r.Outcome != "served" {
			l.h.t.Errorf("%s: %+v, %v", id, r, err)
		}
		return client, true
	}
}

func (l *loadClients) connect() (*fake.PostgresClient, error) {
	conn, err := net.Dial("tcp", l.h.postgresAddress)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	return fake.DialPostgres(conn, "")
}

// reached reports whether a host ran one of the latest requests, about 50 of each client.
func (l *loadClients) reached(host *fake.Host) bool {
	latest := int(l.requests.Load()) / l.count
	for i := range l.count {
		for n := max(0, latest-50); n < latest+50; n++ {
			if host.Ran(l.requestID(i, n)) > 0 {
				return true
			}
		}
	}
	return false
}

// TestHotRestartUnderLoad replaces the running process by a newer one three times under load, on a listening socket that both
// inherit. Every request must get its answer, and no client connection may end: each passes to the newer process. A detached host must
// stay detached until it is attached, which happens after the second replacement.
func TestHotRestartUnderLoad(t *testing.T) {
	h := startGatewayWithListener(t, listenLoopback(t), nil)
	load := h.startLoad(8)
	end := sync.OnceFunc(load.end)
	defer end()
	h.expectStatus("POST", "/_database-hosts/detach/db-1", 200)
	for i := range 3 {
		adminAddress := freeAddress(t)
		newer := h.launchNewer(adminAddress)
		h.until("the newer process is ready", func() bool { return adminStatus("GET", adminAddress, "/_ready") == 200 })
		time.Sleep(100 * time.Millisecond)
		h.cmd.Process.Signal(syscall.SIGTERM)
		h.expectCleanExit()
		h.cmd, h.adminAddress = newer, adminAddress
		if i < 2 {
			h.expectReadsAtFirstHost(h.dialClient(), fmt.Sprint("after", i, "-"), 30)
		}
		if i == 1 {
			h.expectStatus("POST", "/_database-hosts/attach/db-1", 200)
		}
	}
	h.until("the attached host is used again", func() bool { return load.reached(h.hosts[1]) })
	end()
	if load.requests.Load() == 0 || load.unanswered.Load() > 0 {
		t.Errorf("%d requests, %d attempts unanswered", load.requests.Load(), load.unanswered.Load())
	}
	t.Logf("%d requests", load.requests.Load())
}

// TestMySQLRestoredAfterFailedHotRestart kills a newer process, without the MySQL frontend, after it has taken over. Until then the MySQL
// address must refuse clients instead of leaving them waiting; afterwards the older process must serve both frontends again.
func TestMySQLRestoredAfterFailedHotRestart(t *testing.T) {
	h := startGatewayWithListener(t, listenLoopback(t), nil)
	newer := h.launchNewer(freeAddress(t))
	h.untilLogged("event=superseded")
	h.until("nobody listens for MySQL", func() bool {
		c, err := net.Dial("tcp", h.mysqlAddress)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	kill(newer)
	h.until("MySQL is served", func() bool { return h.servesMySQL("my") })
	h.expectServed(h.dialClient(), "pg")
}

// TestInvalidInheritedSocket starts the program with descriptors that are not a listening socket at its address. It must exit with an
// error that names the variable.
func TestInvalidInheritedSocket(t *testing.T) {
	h := startGateway(t, nil)
	for _, number := range []string{"five", "77", "1"} {
		cmd := exec.Command(program)
		cmd.Env = append(slices.Clip(h.cmd.Env), "PROXY_PASSED_SOCKET="+number, "PROXY_ADMIN=")
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), "PROXY_PASSED_SOCKET") {
			t.Errorf("descriptor %s: %v\n%s", number, err, out)
		}
	}
}
