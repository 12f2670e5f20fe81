package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// call makes a call at a second address and returns its status; 0: nobody answers there.
func call(method, address, path string) int {
	q, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	r, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(q)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, r.Body)
	r.Body.Close()
	return r.StatusCode
}

// must makes a call that has to be answered with a status.
func (w *world) must(method, path string, want int) {
	w.t.Helper()
	if got := call(method, w.admin, path); got != want {
		w.t.Fatalf("%s %s: %d, want %d", method, path, got, want)
	}
}

// client starts up a connection of the platform's front.
func (w *world) client() *fake.PostgresClient {
	w.t.Helper()
	c, err := fake.DialPostgres(w.dial(w.pg), "")
	if err != nil {
		w.t.Fatal(err)
	}
	return c
}

// TestHostsByHand takes a replica out and calls it back, while discovery goes on listing it: it gets nothing from the
// yes on, and is used again after.
func TestHostsByHand(t *testing.T) {
	w := start(t, nil)
	c := w.client()
	n := 0
	ask := func() {
		t.Helper()
		n++
		id := fmt.Sprint("r", n)
		if r, err := c.Ask(fmt.Sprintf(read, id, id)); err != nil || r.Outcome != "served" {
			t.Fatal(r, err)
		}
	}
	ran := func(host int) (sum int) {
		for i := 1; i <= n; i++ {
			sum += w.hosts[host].Ran(fmt.Sprint("r", i))
		}
		return sum
	}
	w.must("GET", "/_ready", 200)
	w.until("both hosts are used", func() bool { ask(); return ran(1) > 0 })
	w.must("POST", "/_database-hosts/detach/nobody", 404)
	w.must("POST", "/_database-hosts/attach/nobody", 404)
	w.must("POST", "/_database-hosts/detach/db-1", 200)
	w.must("POST", "/_database-hosts/detach/db-1", 200)
	before := ran(1)
	for i := range 60 {
		if i%20 == 5 {
			w.discovery.Set(w.targets) // says that it serves
		}
		ask()
	}
	if got := ran(1); got != before {
		t.Errorf("%d requests went to a host that is out", got-before)
	}
	w.must("POST", "/_database-hosts/attach/db-1", 200)
	w.until("it is used again", func() bool { ask(); return ran(1) > before })
}

// TestLameduck sends clients away and takes them back. Who asks whether the gateway serves is told at once; a client
// that goes on asking has each answer, and then the end of its connection; one that is idle is let go.
func TestLameduck(t *testing.T) {
	w := start(t, nil)
	idle, busy, front := w.client(), w.client(), w.client()
	w.must("POST", "/_lameduck/on", 200)
	w.must("POST", "/_lameduck/on", 200)
	if r, err := front.Ask(";"); err != nil || r.Outcome != "failed" {
		t.Errorf("the empty query: %+v, %v", r, err)
	}
	answers := 0
	for i := 0; ; i++ {
		id := fmt.Sprint("b", i)
		r, err := busy.Ask(fmt.Sprintf(read, id, id))
		if err != nil {
			break // between requests, as the next line shows: none that a host ran goes without its answer
		}
		if answers++; r.Outcome != "served" {
			t.Errorf("%s: %+v", id, r)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if ran := w.hosts[0].Ran(fmt.Sprint("b", answers)) + w.hosts[1].Ran(fmt.Sprint("b", answers)); ran > 0 {
		t.Error("a request ran and was not answered")
	}
	if _, err := idle.Need(1); err != io.EOF {
		t.Errorf("an idle client is let go with %v", err)
	}
	w.must("POST", "/_lameduck/off", 200)
	again := w.client()
	if r, err := again.Ask(";"); err != nil || r.Outcome != "empty" {
		t.Errorf("the empty query after: %+v, %v", r, err)
	}
	time.Sleep(2500 * time.Millisecond)
	if r, err := again.Ask(";"); err != nil || r.Outcome != "empty" {
		t.Errorf("a client that came after: %+v, %v", r, err)
	}
}

// TestNewVersion starts the program again beside itself three times under load, on a listening socket that both
// inherit. Every request has its answer, and no connection ends: they pass to the new version.
func TestNewVersion(t *testing.T) {
	w := startAt(t, listen(t), nil)
	var group sync.WaitGroup
	var asked, unheard atomic.Int64
	stop := make(chan struct{})
	end := sync.OnceFunc(func() { close(stop); group.Wait() })
	defer end()
	for i := range 8 {
		group.Go(func() {
			var c *fake.PostgresClient
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(5+i) * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				for tries := 0; ; tries++ {
					if c == nil {
						raw, err := net.Dial("tcp", w.pg)
						if err == nil {
							raw.SetDeadline(time.Now().Add(patience))
							c, err = fake.DialPostgres(raw, "")
						}
						if err != nil {
							t.Errorf("%s: %v", id, err)
							return
						}
					}
					r, err := c.Ask(fmt.Sprintf(read, id, id))
					if err != nil && tries < 3 {
						c.Close()
						c = nil
						unheard.Add(1)
						continue
					}
					if asked.Add(1); err != nil || r.Outcome != "served" {
						t.Errorf("%s: %+v, %v", id, r, err)
					}
					break
				}
			}
		})
	}
	w.must("POST", "/_database-hosts/detach/db-1", 200)
	for i := range 3 {
		next := exec.Command(program) // the platform's front alone: the others hold their addresses
		admin := free(t)
		next.Env = append(w.cmd.Env[:len(w.cmd.Env):len(w.cmd.Env)], "PROXY_ADMIN="+admin)
		w.launch(next)
		w.until("the new version says yes", func() bool { return call("GET", admin, "/_ready") == 200 })
		time.Sleep(100 * time.Millisecond)
		w.cmd.Process.Signal(syscall.SIGTERM)
		if err := w.cmd.Wait(); err != nil {
			t.Errorf("the old version: %v", err)
		}
		w.cmd, w.admin = next, admin
		if id := fmt.Sprint("after", i); i < 2 {
			c := w.client()
			for n := range 30 {
				if r, err := c.Ask(fmt.Sprintf(read, fmt.Sprint(id, "-", n), id)); err != nil || r.Outcome != "served" ||
					w.hosts[1].Ran(fmt.Sprint(id, "-", n)) > 0 {
					t.Fatalf("version %d: %+v, %v, ran %d times at the host that is out", i, r, err, w.hosts[1].Ran(fmt.Sprint(id, "-", n)))
				}
			}
		}
		if i == 1 { // the last version has it back
			w.must("POST", "/_database-hosts/attach/db-1", 200)
		}
	}
	w.until("the host that was called back is used again", func() bool {
		for i := range 8 {
			for n := max(0, int(asked.Load())/8-50); n < int(asked.Load())/8+50; n++ {
				if w.hosts[1].Ran(fmt.Sprintf("c%d-%d", i, n)) > 0 {
					return true
				}
			}
		}
		return false
	})
	end()
	if asked.Load() == 0 || unheard.Load() > 0 {
		t.Errorf("%d requests, %d turned back", asked.Load(), unheard.Load())
	}
	t.Logf("%d requests", asked.Load())
}

// TestSecondFrontIsTakenBack has a new version without the MySQL front take over and die. Meanwhile nobody is left to wait at
// that front's address; then the old version serves both fronts again.
func TestSecondFrontIsTakenBack(t *testing.T) {
	w := startAt(t, listen(t), nil)
	next := exec.Command(program)
	next.Env = append(w.cmd.Env[:len(w.cmd.Env):len(w.cmd.Env)], "PROXY_ADMIN="+free(t))
	w.launch(next)
	w.until("the old version leaves clients to the new", func() bool { return strings.Contains(w.out.String(), "event=superseded") })
	w.until("nobody listens for MySQL", func() bool {
		c, err := net.Dial("tcp", w.my)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	next.Process.Kill()
	next.Wait()
	w.until("both fronts serve", func() bool {
		c, err := net.Dial("tcp", w.my)
		if err != nil {
			return false
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		m, err := fake.DialMySQL(c, 0)
		if err != nil {
			return false
		}
		r, err := m.Query(fmt.Sprintf(read, "my", "my"))
		return err == nil && r.Outcome == "served"
	})
	if r, err := w.client().Ask(fmt.Sprintf(read, "pg", "pg")); err != nil || r.Outcome != "served" {
		t.Errorf("the platform's front: %+v, %v", r, err)
	}
}

// TestForeignSocket hands the program descriptors that are no listening socket at its address: it says so and ends.
func TestForeignSocket(t *testing.T) {
	w := start(t, nil)
	for _, number := range []string{"five", "77", "1"} {
		cmd := exec.Command(program)
		cmd.Env = append(w.cmd.Env[:len(w.cmd.Env):len(w.cmd.Env)], "PROXY_PASSED_SOCKET="+number, "PROXY_ADMIN=")
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), "PROXY_PASSED_SOCKET") {
			t.Errorf("descriptor %s: %v\n%s", number, err, out)
		}
	}
}
