package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

// These tests start the program and speak to it over sockets on loopback. Waiting is bounded but never timed
// closely, so a busy machine changes nothing.

const patience = 20 * time.Second

const linked = "-ldflags=-linkmode=external" // as the deploy file has it

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cranegate")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "cranegate")
	build := exec.Command("go", "build", linked, "-o", program, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// output is what the program writes.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) { o.mu.Lock(); defer o.mu.Unlock(); return o.b.Write(p) }
func (o *output) String() string              { o.mu.Lock(); defer o.mu.Unlock(); return o.b.String() }

// world is a running program with its surroundings.
type world struct {
	t                     *testing.T
	hosts                 []*fake.Host
	targets               []discovery.Target
	discovery             *fake.Discovery
	pg, my, agent, health string
	admin                 string
	passed                net.Listener   // nil: the program makes its own
	config                map[string]any // as PROXY_CONFIG holds it, at path
	path                  string
	cmd                   *exec.Cmd
	out                   *output
}

// write puts the configuration in place.
func (w *world) write() {
	w.t.Helper()
	text, _ := json.Marshal(w.config)
	if err := os.WriteFile(w.path, text, 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// listen gives a listener on a port of its own, closed at the end.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// free gives an address on which nothing listens.
func free(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start runs the program beside two hosts of each protocol.
func start(t *testing.T, act func(id, text string, prepare bool) fake.Act) *world {
	return startAt(t, nil, act)
}

// startAt hands the program a listening socket for clients; nil: it makes its own.
func startAt(t *testing.T, passed net.Listener, act func(id, text string, prepare bool) fake.Act) *world {
	w := &world{t: t, passed: passed, admin: free(t), discovery: &fake.Discovery{}, pg: free(t), my: free(t), agent: free(t), health: free(t), out: &output{}}
	var mysqlHosts strings.Builder
	for i := range 2 {
		h := &fake.Host{Primary: i == 0, Act: act}
		w.hosts = append(w.hosts, h)
		role := []string{"primary", "standby"}[i]
		pg, my := listen(t), listen(t)
		go fake.Accept(pg, h.ServePostgres)
		go fake.Accept(my, h.ServeMySQL)
		w.targets = append(w.targets, discovery.Target{UID: fmt.Sprint("db-", i), Endpoint: pg.Addr().String(), State: "SERVING",
			Capacity: 1, Replication: role})
		fmt.Fprintf(&mysqlHosts, "[[mysql.host]]\nuid = \"db-%d\"\nendpoint = %q\nreplication = %q\n", i, my.Addr(), role)
	}
	w.discovery.Set(w.targets)
	agent := listen(t)
	go http.Serve(agent, w.discovery)

	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &w.config); err != nil {
		t.Fatal(err)
	}
	w.config["listen"], w.config["discovery"] = w.pg, agent.Addr().String()
	if passed != nil {
		w.pg = passed.Addr().String()
		w.config["listen"] = w.pg
	}
	w.config["admin"] = w.admin
	w.config["known"] = discovery.Snapshot{Rev: 0, All: true, Targets: w.targets}
	dir := t.TempDir()
	w.path = filepath.Join(dir, "config.json")
	w.write()
	operator := fmt.Sprintf("[agent_check]\nlisten = %q\n[health]\nlisten = %q\n[mysql]\nlisten = %q\n%s", w.agent, w.health,
		w.my, mysqlHosts.String())
	if err := os.WriteFile(filepath.Join(dir, "operator.toml"), []byte(operator), 0o600); err != nil {
		t.Fatal(err)
	}
	w.cmd = exec.Command(program, "-operator", filepath.Join(dir, "operator.toml"))
	w.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+w.path, "PROXY_DISCOVERY="+agent.Addr().String(), "TMPDIR="+dir)
	w.launch(w.cmd)
	w.until("serving", func() bool { return strings.Contains(w.out.String(), "event=serving") })
	return w
}

// launch starts a process with the socket that is passed on, and has the test's end end it.
func (w *world) launch(cmd *exec.Cmd) {
	w.t.Helper()
	if w.passed != nil {
		f, err := w.passed.(*net.TCPListener).File()
		if err != nil {
			w.t.Fatal(err)
		}
		defer f.Close()
		cmd.ExtraFiles = []*os.File{nil, nil, f}
		cmd.Env = append(cmd.Env, "PROXY_PASSED_SOCKET=5")
	}
	cmd.Stdout, cmd.Stderr = w.out, w.out
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		if strings.Contains(w.out.String(), "event=violation") {
			w.t.Error("violations of the rules in the log")
		}
		if w.t.Failed() {
			w.t.Log(w.out.String())
			w.out = &output{}
		}
	})
}

// until waits for something to come true.
func (w *world) until(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("waited in vain for: %s", what)
		}
	}
}

func (w *world) dial(address string) net.Conn {
	w.t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	w.t.Cleanup(func() { c.Close() })
	return c
}

// check is the agent's line and the health endpoint's status.
func (w *world) check() (string, int) {
	line, err := io.ReadAll(w.dial(w.agent))
	if err != nil {
		w.t.Fatal(err)
	}
	r, err := http.Get("http://" + w.health + "/health")
	if err != nil {
		w.t.Fatal(err)
	}
	r.Body.Close()
	return string(line), r.StatusCode
}

const (
	read  = "/* id=%s,c=platzsuche,d=2000,cluster=0 */ SELECT v FROM records WHERE k = '%s'"
	write = "/* id=%s,c=zusage,d=2000,cluster=0 */ INSERT INTO records (k) VALUES ('%s')"
)

func TestBothFronts(t *testing.T) {
	w := start(t, nil)
	p, err := fake.DialPostgres(w.dial(w.pg), "")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := p.Ask(";"); err != nil || r.Outcome != "empty" {
		t.Fatalf("empty query: %+v, %v", r, err)
	}
	m, err := fake.DialMySQL(w.dial(w.my), mysqlwire.CapQueryAttributes|mysqlwire.CapDeprecateEOF)
	if err != nil {
		t.Fatal(err)
	}
	for i, ask := range []func(string) (fake.Reply, error){p.Ask, func(s string) (fake.Reply, error) { return m.Query(s) }} {
		for _, form := range []string{read, write} {
			id := fmt.Sprint("q", i, len(form))
			r, err := ask(fmt.Sprintf(form, id, id))
			if err != nil || r.Outcome != "served" || form == read && r.Value != "value of "+id {
				t.Errorf("%s: %+v, %v", id, r, err)
			}
			if n := w.hosts[0].Ran(id) + w.hosts[1].Ran(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	}
	_, id, _, err := m.Prepare("/* c=platzsuche,cluster=0 */ SELECT v FROM records WHERE k = ?")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := m.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", "key")}); err != nil || r.Value != "value of key" {
		t.Errorf("prepared: %+v, %v", r, err)
	}
	if line, status := w.check(); !strings.HasPrefix(line, "up ready ") || status != 200 {
		t.Errorf("checks while ready: %q, %d", line, status)
	}
	w.cmd.Process.Signal(syscall.SIGUSR1)
	w.until("counters", func() bool { return strings.Contains(w.out.String(), "event=counters") })
}

// TestBalancersOwnChecks speaks as HAProxy's mysql-check and pgsql-check do: the login and the end in one segment.
func TestBalancersOwnChecks(t *testing.T) {
	w := start(t, nil)
	post41 := "\x00\x82\x00\x00\x00\x00\x00\x01\x21" + strings.Repeat("\x00", 23) + "haproxy\x00\x00"
	pre41 := "\x00\x80\x00\x00\x01haproxy\x00\x00"
	for _, login := range []string{post41, pre41} {
		c := w.dial(w.my)
		fmt.Fprintf(c, "%c\x00\x00\x01%s\x01\x00\x00\x00\x01", len(login), login)
		b, err := io.ReadAll(c)
		if err != nil || len(b) < 10 || b[4] != 10 || b[4+int(b[0])+3] != 2 || b[4+int(b[0])+4] != 0 {
			t.Errorf("mysql-check: %q, %v", b, err)
		}
	}
	c := w.dial(w.pg)
	io.WriteString(c, "\x00\x00\x00\x16\x00\x03\x00\x00user\x00haproxy\x00\x00")
	b := make([]byte, 9)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "R\x00\x00\x00\x08\x00\x00\x00\x00" {
		t.Errorf("pgsql-check: %q, %v", b, err)
	}
}

// TestDrainIsFollowed guards the watch on discovery: a host that drains gets nothing new.
func TestDrainIsFollowed(t *testing.T) {
	w := start(t, nil)
	p, err := fake.DialPostgres(w.dial(w.pg), "")
	if err != nil {
		t.Fatal(err)
	}
	w.until("the watch's first answer", func() bool { return strings.Contains(w.counts(), "list_changes=1") })
	w.targets[1].State = "DRAINING"
	w.discovery.Set(w.targets)
	w.until("the watch's answers", func() bool { return strings.Contains(w.counts(), "list_changes=2") })
	w.onlyFirst(p, "d")
}

// counts are the program's counters.
func (w *world) counts() string {
	w.t.Helper()
	r, err := http.Get("http://" + w.health + "/counters")
	if err != nil {
		w.t.Fatal(err)
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body)
	return string(b)
}

// onlyFirst checks that reads are served, and none by the second host.
func (w *world) onlyFirst(p *fake.PostgresClient, prefix string) {
	w.t.Helper()
	for i := range 20 {
		id := fmt.Sprint(prefix, i)
		if r, err := p.Ask(fmt.Sprintf(read, id, id)); err != nil || r.Outcome != "served" || w.hosts[1].Ran(id) > 0 {
			w.t.Fatalf("%s: %+v, %v, ran %d times at the drained host", id, r, err, w.hosts[1].Ran(id))
		}
	}
}

// TestReloadOfZones has a running program take new tiers, turn down a faulty table, and say that it can't turn zones on.
func TestReloadOfZones(t *testing.T) {
	for _, on := range []bool{false, true} {
		w := start(t, nil)
		path := filepath.Join(filepath.Dir(w.path), "operator.toml")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		put := func(zones string) {
			t.Helper()
			if err := os.WriteFile(path, append(text[:len(text):len(text)], zones...), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if on { // the program starts anew with zones
			put("[zones]\n")
			w.cmd.Process.Kill()
			w.cmd.Wait()
			w.out = &output{}
			w.cmd = exec.Command(program, "-operator", path)
			w.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+w.path)
			w.launch(w.cmd)
			w.until("serving", func() bool { return strings.Contains(w.out.String(), "event=serving") })
		}
		put("[zones]\noverprovision = 0.5\n")
		w.cmd.Process.Signal(syscall.SIGHUP)
		w.until("the fault", func() bool { return strings.Contains(w.out.String(), "overprovision 0.5 is not between") })
		put("[zones]\ntiers = [[\"nuernberg\"]]\n")
		w.cmd.Process.Signal(syscall.SIGHUP)
		w.until("the reload", func() bool { return strings.Contains(w.out.String(), "event=reloaded") })
		if !on {
			w.until("the refusal", func() bool { return strings.Contains(w.out.String(), "event=zones_off") })
		} else if strings.Contains(w.out.String(), "event=zones_rejected") {
			t.Error("new tiers were refused")
		}
		p, err := fake.DialPostgres(w.dial(w.pg), "")
		if err != nil {
			t.Fatal(err)
		}
		if r, err := p.Ask(fmt.Sprintf(read, "z", "z")); err != nil || r.Outcome != "served" {
			t.Errorf("after the reload: %+v, %v", r, err)
		}
	}
}

// TestReload guards what a SIGHUP is for: the program lives on, follows the address that the new file names though
// the environment names another, keeps clients and the list's version, and passes over a file with a fault. A
// SIGTERM right behind a SIGHUP still ends it in order.
func TestReload(t *testing.T) {
	w := start(t, nil)
	p, err := fake.DialPostgres(w.dial(w.pg), "")
	if err != nil {
		t.Fatal(err)
	}
	w.until("the first list", func() bool { return strings.Contains(w.counts(), "list_changes=1") })
	next := &fake.Discovery{}
	next.Set(w.targets)
	var mu sync.Mutex
	var asked []string
	agent := listen(t)
	go http.Serve(agent, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		asked = append(asked, r.FormValue("after"))
		mu.Unlock()
		next.ServeHTTP(rw, r)
	}))
	count := func() int { mu.Lock(); defer mu.Unlock(); return len(asked) }

	good := w.config["discovery"]
	w.config["discovery"] = "no address"
	w.write()
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.until("the fault", func() bool { return strings.Contains(w.counts(), "reloads_failed=1") })
	if r, err := p.Ask(fmt.Sprintf(read, "f", "f")); err != nil || r.Outcome != "served" {
		t.Errorf("after a file with a fault: %+v, %v", r, err)
	}
	if w.config["discovery"] = agent.Addr().String(); w.config["discovery"] == good {
		t.Fatal("the address did not change")
	}
	w.write()
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.until("a call to the new address", func() bool { return count() > 0 })
	if mu.Lock(); asked[0] != "1" {
		t.Errorf("the new address was asked for news after %q", asked[0])
	}
	mu.Unlock()
	w.targets[1].State = "DRAINING"
	next.Set(w.targets)
	w.until("the news", func() bool { return strings.Contains(w.counts(), "list_changes=2") })
	w.onlyFirst(p, "r")
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.cmd.Process.Signal(syscall.SIGTERM)
	if err := w.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestStop guards the end after SIGTERM: what was taken is answered, new clients come for a while, balancers are
// told, idle clients are let go, and the program exits with 0.
func TestStop(t *testing.T) {
	hold := make(chan struct{})
	arrived := make(chan struct{})
	w := start(t, func(id, _ string, _ bool) fake.Act {
		if id == "slow" {
			close(arrived)
			<-hold
		}
		return fake.Serve
	})
	idle, err := fake.DialPostgres(w.dial(w.pg), "")
	if err != nil {
		t.Fatal(err)
	}
	busy, err := fake.DialPostgres(w.dial(w.pg), "")
	if err != nil {
		t.Fatal(err)
	}
	answer := make(chan fake.Reply, 1)
	go func() {
		r, _ := busy.Ask(fmt.Sprintf(write, "slow", "slow"))
		answer <- r
	}()
	<-arrived
	w.cmd.Process.Signal(syscall.SIGTERM)
	w.until("the stop", func() bool { return strings.Contains(w.out.String(), "event=stopping") })
	if late, err := fake.DialPostgres(w.dial(w.pg), fmt.Sprintf(read, "late", "late")); err != nil {
		t.Errorf("a client that comes after the stop: %v", err)
	} else if r, err := late.Read(); err != nil || r.Outcome != "served" {
		t.Errorf("its request: %+v, %v", r, err)
	}
	if line, status := w.check(); line != "drain\n" || status != 503 {
		t.Errorf("checks after the stop: %q, %d", line, status)
	}
	if _, err := idle.Need(1); err != io.EOF {
		t.Errorf("an idle client is let go with %v", err)
	}
	close(hold)
	if r := <-answer; r.Outcome != "served" {
		t.Errorf("the request under way: %+v", r)
	}
	if err := w.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(w.out.String(), "event=counters") {
		t.Error("no counters at the exit")
	}
}

// TestFleetOfTwo starts two gateways that are to know each other, and asks them on the command line; then one leaves.
func TestFleetOfTwo(t *testing.T) {
	dir := t.TempDir()
	address := func() string { return free(t) }
	at := []string{address(), address()}
	var cmds []*exec.Cmd
	var files []string
	for i := range 2 {
		path := filepath.Join(dir, fmt.Sprintf("g%d.toml", i))
		text := fmt.Sprintf("[admin]\nlisten = %q\n[fleet]\nname = \"g%d\"\nzone = \"z\"\nlisten = %q\njoin = [%q]\n", address(), i, at[i], at[1-i])
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, path)
		if out, err := exec.Command(program, "check", path).CombinedOutput(); err != nil || !strings.Contains(string(out), "fleet on") {
			t.Fatalf("check: %v, %s", err, out)
		}
		cmd := exec.Command(program, "run", "--operator", path)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
		cmds = append(cmds, cmd)
	}
	w := &world{t: t}
	w.until("both know each other", func() bool {
		for i, f := range files {
			out, err := exec.Command(program, "members", "--operator", f).CombinedOutput()
			if text := string(out); err != nil || !strings.Contains(text, fmt.Sprintf("g%d    z     %s  alive", 1-i, at[1-i])) || !strings.Contains(text, "2 gateways are counted on") {
				return false
			}
		}
		return true
	})
	cmds[1].Process.Signal(syscall.SIGTERM)
	w.until("one has left", func() bool {
		out, err := exec.Command(program, "members", "--json", "--operator", files[0]).CombinedOutput()
		return err == nil && strings.Contains(string(out), `"state":"left"`)
	})
	if err := os.WriteFile(files[0], []byte("[fleet]\nname = 7\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(program, "check", files[0]).CombinedOutput(); err == nil || !strings.Contains(string(out), "name") {
		t.Errorf("a file with a fault is in order: %s", out)
	}
	if out, err := exec.Command(program, "members").CombinedOutput(); err == nil {
		t.Errorf("members asks nobody and shows %s", out)
	}
}
