package main

import (
	"fmt"
	"io"
	"testing"
	"time"
)

// TestDetachAndAttach detaches a replica and attaches it again while discovery still lists it as serving. It must get no request once the
// detach call has returned, and must be used again after the attach call.
func TestDetachAndAttach(t *testing.T) {
	h := startGateway(t, nil)
	client := h.dialClient()
	requests := 0
	read := func() {
		t.Helper()
		requests++
		id := fmt.Sprint("r", requests)
		if r, err := client.Ask(fmt.Sprintf(readQuery, id, id)); err != nil || r.Outcome != "served" {
			t.Fatal(r, err)
		}
	}
	ran := func(host int) (total int) {
		for i := 1; i <= requests; i++ {
			total += h.hosts[host].Ran(fmt.Sprint("r", i))
		}
		return total
	}
	h.expectStatus("GET", "/_ready", 200)
	h.until("both hosts are used", func() bool { read(); return ran(1) > 0 })
	h.expectStatus("POST", "/_database-hosts/detach/nobody", 404)
	h.expectStatus("POST", "/_database-hosts/attach/nobody", 404)
	h.expectStatus("POST", "/_database-hosts/detach/db-1", 200)
	h.expectStatus("POST", "/_database-hosts/detach/db-1", 200)
	before := ran(1)
	for i := range 60 {
		if i%20 == 5 {
			h.discovery.Set(h.targets) // lists it as serving
		}
		read()
	}
	if got := ran(1); got != before {
		t.Errorf("%d requests went to a detached host", got-before)
	}
	h.expectStatus("POST", "/_database-hosts/attach/db-1", 200)
	h.until("it is used again", func() bool { read(); return ran(1) > before })
}

// TestLameduck drains the clients and accepts clients again. The empty query, by which balancers check the frontend, fails at once; a
// client that keeps sending gets each answer before its connection is closed, and an idle client's connection is closed.
func TestLameduck(t *testing.T) {
	h := startGateway(t, nil)
	idle, busy, balancer := h.dialClient(), h.dialClient(), h.dialClient()
	h.expectStatus("POST", "/_lameduck/on", 200)
	h.expectStatus("POST", "/_lameduck/on", 200)
	if r, err := balancer.Ask(";"); err != nil || r.Outcome != "failed" {
		t.Errorf("the empty query: %+v, %v", r, err)
	}
	answers := 0
	for i := 0; ; i++ {
		id := fmt.Sprint("b", i)
		r, err := busy.Ask(fmt.Sprintf(readQuery, id, id))
		if err != nil {
			break // closed between requests: the check below shows that no host ran an unanswered request
		}
		if answers++; r.Outcome != "served" {
			t.Errorf("%s: %+v", id, r)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if ran := h.hosts[0].Ran(fmt.Sprint("b", answers)) + h.hosts[1].Ran(fmt.Sprint("b", answers)); ran > 0 {
		t.Error("a request ran and was not answered")
	}
	if _, err := idle.Need(1); err != io.EOF {
		t.Errorf("an idle client is closed with %v", err)
	}
	h.expectStatus("POST", "/_lameduck/off", 200)
	again := h.dialClient()
	if r, err := again.Ask(";"); err != nil || r.Outcome != "empty" {
		t.Errorf("the empty query after: %+v, %v", r, err)
	}
	time.Sleep(2500 * time.Millisecond)
	if r, err := again.Ask(";"); err != nil || r.Outcome != "empty" {
		t.Errorf("a client that connected after the drain: %+v, %v", r, err)
	}
}
