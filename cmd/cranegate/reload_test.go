package main

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"

	"cranegate/internal/fake"
)

// TestReloadOfZones checks that a reload applies new tiers, rejects an invalid table, and logs that it can't turn zones on.
func TestReloadOfZones(t *testing.T) {
	for _, on := range []bool{false, true} {
		h := startGateway(t, nil)
		path := filepath.Join(filepath.Dir(h.configPath), "operator.toml")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		writeZones := func(zones string) {
			t.Helper()
			if err := os.WriteFile(path, append(slices.Clip(text), zones...), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if on {
			writeZones("[zones]\n")
			kill(h.cmd)
			h.log = &fake.LogBuffer{}
			h.cmd = exec.Command(program, "-operator", path)
			h.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+h.configPath)
			h.launch(h.cmd)
			h.waitServing()
		}
		writeZones("[zones]\noverprovision = 0.5\n")
		h.cmd.Process.Signal(syscall.SIGHUP)
		h.untilLogged("overprovision 0.5 is not between")
		writeZones("[zones]\ntiers = [[\"nuernberg\"]]\n")
		h.cmd.Process.Signal(syscall.SIGHUP)
		h.untilLogged("event=reloaded")
		if !on {
			h.untilLogged("event=zones_off")
		} else if h.logged("event=zones_rejected") {
			t.Error("new tiers were rejected")
		}
		h.expectServed(h.dialClient(), "z")
	}
}

// recordedDiscovery is a discovery service that records which list version each call names.
type recordedDiscovery struct {
	fake.Discovery
	mu       sync.Mutex
	versions []string // list versions, in the order of the calls
}

func (d *recordedDiscovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.versions = append(d.versions, r.FormValue("after"))
	d.mu.Unlock()
	d.Discovery.ServeHTTP(rw, r)
}

// firstVersion returns the list version that the first call named; ok is false before the first call.
func (d *recordedDiscovery) firstVersion() (version string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.versions) == 0 {
		return "", false
	}
	return d.versions[0], true
}

// TestReload checks the reload at SIGHUP: the program keeps running, calls the discovery address in the new file although the environment
// names another, keeps its clients and the list's version, and ignores a faulty file. A SIGTERM right after a SIGHUP still leads to a
// clean exit.
func TestReload(t *testing.T) {
	h := startGateway(t, nil)
	client := h.dialClient()
	h.untilCounted("list_changes=1")
	next := &recordedDiscovery{}
	next.Set(h.targets)
	listener := listenLoopback(t)
	go http.Serve(listener, next)

	first := h.config["discovery"]
	h.config["discovery"] = "no address"
	h.writeConfig()
	h.cmd.Process.Signal(syscall.SIGHUP)
	h.untilCounted("reloads_failed=1")
	h.expectServed(client, "f")
	if h.config["discovery"] = listener.Addr().String(); h.config["discovery"] == first {
		t.Fatal("the address did not change")
	}
	h.writeConfig()
	h.cmd.Process.Signal(syscall.SIGHUP)
	h.until("a call to the new address", func() bool { _, called := next.firstVersion(); return called })
	if version, _ := next.firstVersion(); version != "1" {
		t.Errorf("the first call at the new address asked for changes after version %q", version)
	}
	h.targets[1].State = "DRAINING"
	next.Set(h.targets)
	h.untilCounted("list_changes=2")
	h.expectReadsAtFirstHost(client, "r", 20)
	h.cmd.Process.Signal(syscall.SIGHUP)
	h.cmd.Process.Signal(syscall.SIGTERM)
	h.expectCleanExit()
}
