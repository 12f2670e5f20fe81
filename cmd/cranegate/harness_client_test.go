package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cranegate/internal/fake"
)

const (
	readQuery  = "/* id=%s,c=platzsuche,d=2000,cluster=0 */ SELECT v FROM records WHERE k = '%s'"
	writeQuery = "/* id=%s,c=zusage,d=2000,cluster=0 */ INSERT INTO records (k) VALUES ('%s')"
)

// listenLoopback listens on a free port until the end of the test.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// dial connects to an address. The connection is closed at the end of the test.
func (h *harness) dial(address string) net.Conn {
	h.t.Helper()
	c, err := dialWithDeadline(address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	return c
}

// dialWithDeadline connects to an address for testTimeout.
func dialWithDeadline(address string) (net.Conn, error) {
	c, err := net.Dial("tcp", address)
	if err == nil {
		c.SetDeadline(time.Now().Add(testTimeout))
	}
	return c, err
}

// untilListening waits for the PostgreSQL frontend's listener and returns a connection to it.
func (h *harness) untilListening() net.Conn {
	h.t.Helper()
	var conn net.Conn
	h.until("a listener", func() bool {
		var err error
		conn, err = net.Dial("tcp", h.postgresAddress)
		return err == nil
	})
	return conn
}

// dialClient connects a client to the PostgreSQL frontend.
func (h *harness) dialClient() *fake.PostgresClient {
	h.t.Helper()
	c, err := fake.DialPostgres(h.dial(h.postgresAddress), "")
	if err != nil {
		h.t.Fatal(err)
	}
	return c
}

// queryPostgres sends one query from a new client. It fails if the connection is rejected.
func queryPostgres(address, query string) (fake.Reply, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return fake.Reply{}, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	client, err := fake.DialPostgres(conn, "")
	if err != nil {
		return fake.Reply{}, err
	}
	return client.Ask(query)
}

// servesPostgres reports whether a read by a new PostgreSQL client is served.
func (h *harness) servesPostgres(id string) bool {
	reply, err := queryPostgres(h.postgresAddress, fmt.Sprintf(readQuery, id, id))
	return err == nil && reply.Outcome == "served"
}

// servesMySQL reports whether a read by a new MySQL client is served.
func (h *harness) servesMySQL(id string) bool {
	conn, err := net.Dial("tcp", h.mysqlAddress)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	client, err := fake.DialMySQL(conn, 0)
	if err != nil {
		return false
	}
	reply, err := client.Query(fmt.Sprintf(readQuery, id, id))
	return err == nil && reply.Outcome == "served"
}

// expectServed checks that a read by a client is served.
func (h *harness) expectServed(client *fake.PostgresClient, id string) {
	h.t.Helper()
	if r, err := client.Ask(fmt.Sprintf(readQuery, id, id)); err != nil || r.Outcome != "served" {
		h.t.Errorf("%s: %+v, %v", id, r, err)
	}
}

// expectReadsAtFirstHost checks that reads are served, and none by the second host.
func (h *harness) expectReadsAtFirstHost(client *fake.PostgresClient, prefix string, reads int) {
	h.t.Helper()
	for i := range reads {
		id := fmt.Sprint(prefix, i)
		if r, err := client.Ask(fmt.Sprintf(readQuery, id, id)); err != nil || r.Outcome != "served" || h.hosts[1].Ran(id) > 0 {
			h.t.Fatalf("%s: %+v, %v, ran %d times at the excluded host", id, r, err, h.hosts[1].Ran(id))
		}
	}
}

// checks returns the agent-check's line and the status of the health endpoint.
func (h *harness) checks() (string, int) {
	line, err := io.ReadAll(h.dial(h.agentCheckAddress))
	if err != nil {
		h.t.Fatal(err)
	}
	r, err := http.Get("http://" + h.healthAddress + "/health")
	if err != nil {
		h.t.Fatal(err)
	}
	r.Body.Close()
	return string(line), r.StatusCode
}

// counters returns the program's /counters page.
func (h *harness) counters() string {
	h.t.Helper()
	r, err := http.Get("http://" + h.healthAddress + "/counters")
	if err != nil {
		h.t.Fatal(err)
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body)
	return string(b)
}

// adminStatus makes an admin call and returns the response's status, or 0 if there is no response.
func adminStatus(method, address, path string) int {
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode
}

// expectStatus makes an admin call and checks the response's status.
func (h *harness) expectStatus(method, path string, want int) {
	h.t.Helper()
	if got := adminStatus(method, h.adminAddress, path); got != want {
		h.t.Fatalf("%s %s: %d, want %d", method, path, got, want)
	}
}

// untilCounted waits until the /counters page contains a text, such as reloads=1.
func (h *harness) untilCounted(counter string) {
	h.t.Helper()
	h.until(counter, func() bool { return strings.Contains(h.counters(), counter) })
}
