package main

import (
	"debug/elf"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// TestToldFromTheFirstMoment starts the program with a file that lists a host as serving, beside an agent that holds its drain
// and is slow to say so: nothing is sent there, from the first request on. Beside an agent that says nothing it serves.
func TestToldFromTheFirstMoment(t *testing.T) {
	const drained = 1 // reads go there first
	for _, silent := range []bool{false, true} {
		w := start(t, nil)
		w.targets = slices.Clone(w.targets) // the file keeps what it says
		w.targets[drained].State = "DRAINING"
		w.discovery.Set(w.targets)
		agent := listen(t)
		go http.Serve(agent, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if silent {
				<-r.Context().Done()
				return
			}
			time.Sleep(200 * time.Millisecond)
			w.discovery.ServeHTTP(rw, r)
		}))
		w.config["discovery"] = agent.Addr().String()
		w.write()
		w.cmd.Process.Kill()
		w.cmd.Wait()
		env := append(w.cmd.Env, "PROXY_DISCOVERY="+agent.Addr().String())
		w.cmd = exec.Command(program)
		w.cmd.Env = env
		w.launch(w.cmd)
		var c net.Conn
		w.until("a listener", func() bool { var err error; c, err = net.Dial("tcp", w.pg); return err == nil })
		defer c.Close()
		p, err := fake.DialPostgres(c, "")
		if err != nil {
			t.Fatal(err)
		}
		sent := 0
		for i := range 10 {
			id := fmt.Sprint("f", i)
			if r, err := p.Ask(fmt.Sprintf(read, id, id)); err != nil || r.Outcome != "served" {
				t.Errorf("silent %t: %+v, %v", silent, r, err)
			}
			sent += w.hosts[drained].Ran(id)
		}
		if (sent > 0) != silent { // as nobody could tell, it is used then: the test would see a send
			t.Errorf("silent %t: %d of the first reads were sent to a host that drains", silent, sent)
		}
	}
}

// TestBuiltAsThePlatformWants holds the deploy file and what it builds: one process, linked dynamically against the C library,
// that can't start others.
func TestBuiltAsThePlatformWants(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"CGO_ENABLED=1 go build " + linked + " ", `run = "exec bin/cranegate"`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("deploy/balancer.toml lacks %s", want)
		}
	}
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if libs, err := f.ImportedLibraries(); err != nil || !slices.Contains(libs, "libc.so.6") {
		t.Errorf("linked against %v, %v", libs, err)
	}
	if out, err := exec.Command("go", "list", "-deps", ".").Output(); err != nil || slices.Contains(strings.Fields(string(out)), "os/exec") {
		t.Errorf("the program can start others, %v", err)
	}
}
