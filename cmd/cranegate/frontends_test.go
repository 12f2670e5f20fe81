package main

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

// TestBothFrontends sends reads and writes in both protocols, of which each must run once, and a prepared statement.
func TestBothFrontends(t *testing.T) {
	h := startGateway(t, nil)
	client := h.dialClient()
	if r, err := client.Ask(";"); err != nil || r.Outcome != "empty" {
		t.Fatalf("empty query: %+v, %v", r, err)
	}
	mysql, err := fake.DialMySQL(h.dial(h.mysqlAddress), mysqlwire.CapQueryAttributes|mysqlwire.CapDeprecateEOF)
	if err != nil {
		t.Fatal(err)
	}
	for i, ask := range []func(string) (fake.Reply, error){client.Ask, func(s string) (fake.Reply, error) { return mysql.Query(s) }} {
		for _, form := range []string{readQuery, writeQuery} {
			id := fmt.Sprint("q", i, len(form))
			r, err := ask(fmt.Sprintf(form, id, id))
			if err != nil || r.Outcome != "served" || form == readQuery && r.Value != "value of "+id {
				t.Errorf("%s: %+v, %v", id, r, err)
			}
			if n := h.hosts[0].Ran(id) + h.hosts[1].Ran(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	}
	_, id, _, err := mysql.Prepare("/* c=platzsuche,cluster=0 */ SELECT v FROM records WHERE k = ?")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := mysql.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", "key")}); err != nil || r.Value != "value of key" {
		t.Errorf("prepared: %+v, %v", r, err)
	}
	if line, status := h.checks(); !strings.HasPrefix(line, "up ready ") || status != 200 {
		t.Errorf("checks while ready: %q, %d", line, status)
	}
	h.cmd.Process.Signal(syscall.SIGUSR1)
	h.untilLogged("event=counters")
}

// TestHAProxyChecks sends what HAProxy's mysql-check sends, the login and the quit message in one segment, and the startup message of its
// pgsql-check.
func TestHAProxyChecks(t *testing.T) {
	h := startGateway(t, nil)
	post41 := "\x00\x82\x00\x00\x00\x00\x00\x01\x21" + strings.Repeat("\x00", 23) + "haproxy\x00\x00"
	pre41 := "\x00\x80\x00\x00\x01haproxy\x00\x00"
	for _, login := range []string{post41, pre41} {
		c := h.dial(h.mysqlAddress)
		fmt.Fprintf(c, "%c\x00\x00\x01%s\x01\x00\x00\x00\x01", len(login), login)
		b, err := io.ReadAll(c)
		if err != nil || len(b) < 10 || b[4] != 10 || b[4+int(b[0])+3] != 2 || b[4+int(b[0])+4] != 0 {
			t.Errorf("mysql-check: %q, %v", b, err)
		}
	}
	c := h.dial(h.postgresAddress)
	io.WriteString(c, "\x00\x00\x00\x16\x00\x03\x00\x00user\x00haproxy\x00\x00")
	b := make([]byte, 9)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "R\x00\x00\x00\x08\x00\x00\x00\x00" {
		t.Errorf("pgsql-check: %q, %v", b, err)
	}
}

// TestDrainingHostGetsNoRequests checks that changes in discovery are followed: a draining host gets no new request.
func TestDrainingHostGetsNoRequests(t *testing.T) {
	h := startGateway(t, nil)
	client := h.dialClient()
	h.untilCounted("list_changes=1")
	h.targets[1].State = "DRAINING"
	h.discovery.Set(h.targets)
	h.untilCounted("list_changes=2")
	h.expectReadsAtFirstHost(client, "d", 20)
}
