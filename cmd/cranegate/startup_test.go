package main

import (
	"debug/elf"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// TestDrainingHostUnusedFromStart starts the program with a configuration that lists a host as serving, while discovery lists it as
// draining and answers slowly: no request may be sent to the host, not even the first. If discovery never answers, the host is used.
func TestDrainingHostUnusedFromStart(t *testing.T) {
	const draining = 1 // reads go there first
	for _, silent := range []bool{false, true} {
		h := startGateway(t, nil)
		h.targets = slices.Clone(h.targets) // the configuration keeps the unchanged list
		h.targets[draining].State = "DRAINING"
		h.discovery.Set(h.targets)
		slowDiscovery := listenLoopback(t)
		go http.Serve(slowDiscovery, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if silent {
				<-r.Context().Done()
				return
			}
			time.Sleep(200 * time.Millisecond)
			h.discovery.ServeHTTP(rw, r)
		}))
		h.config["discovery"] = slowDiscovery.Addr().String()
		h.writeConfig()
		kill(h.cmd)
		env := append(h.cmd.Env, "PROXY_DISCOVERY="+slowDiscovery.Addr().String())
		h.cmd = exec.Command(program)
		h.cmd.Env = env
		h.launch(h.cmd)
		conn := h.untilListening()
		defer conn.Close()
		client, err := fake.DialPostgres(conn, "")
		if err != nil {
			t.Fatal(err)
		}
		sent := 0
		for i := range 10 {
			id := fmt.Sprint("f", i)
			if r, err := client.Ask(fmt.Sprintf(readQuery, id, id)); err != nil || r.Outcome != "served" {
				t.Errorf("silent %t: %+v, %v", silent, r, err)
			}
			sent += h.hosts[draining].Ran(id)
		}
		if (sent > 0) != silent { // with a silent discovery the host is used, which shows that the test detects sends
			t.Errorf("silent %t: %d of the first reads were sent to a draining host", silent, sent)
		}
	}
}

// TestBuildMatchesDeployFile checks that the program is built as the deploy file says: one process, linked dynamically against the C
// library, that can't start other processes.
func TestBuildMatchesDeployFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"CGO_ENABLED=1 go build " + linkFlag + " ", `run = "exec bin/cranegate"`} {
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
		t.Errorf("the program can start processes, %v", err)
	}
}
