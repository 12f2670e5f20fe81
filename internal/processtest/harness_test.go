// Package processtest tests the operation of real gateway processes on loopback, with and without faults: upgrades, kills and stops
// at each step, administrative calls, and invalid files. What must never happen is checked strictly; what must happen eventually
// has a generous timeout, so that a busy machine does not change a result.
package processtest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
)

const (
	eventualTimeout = 90 * time.Second // a start can take 25 s on a busy machine
	groupCount      = 2
	hostsPerGroup   = 3 // the first is the primary
)

// program is the path of the gateway's binary.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "cranegate")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "cranegate/cmd/cranegate")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the gateway: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
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

// listen opens a listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// arrival is the arrival of a request at a host.
type arrival struct {
	id string
	at time.Time
}

// host is a fake database host that records the requests it receives.
type host struct {
	*fake.Host
	uid string

	mu       sync.Mutex
	received []arrival
}

// arrivals returns the requests received so far.
func (h *host) arrivals() []arrival {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received[:len(h.received):len(h.received)]
}

// harness is one gateway with all that it needs to run: hosts, discovery, the listening socket and the state directory.
type harness struct {
	t                  *testing.T
	hosts              []*host
	targets            []discovery.Target
	discovery          *fake.Discovery
	discoveryHung      atomic.Bool // while set, discovery answers no call
	listener           *net.TCPListener
	configPath         string
	stateDir           string
	processes          []*process
	lastSessionRequest atomic.Int64
	replicaLag         atomic.Int64 // time by which the replicas' positions lag, in nanoseconds
	maxAttempts        int          // of an idempotent request
	logOutput          *os.File     // where processes started from now on log; nil: to their own logBuffer
}

// executions returns how often a request was executed on all hosts together.
func (h *harness) executions(id string) (n int) {
	for _, host := range h.hosts {
		n += host.Ran(id)
	}
	return n
}

// newHarness creates the hosts, discovery and files of a gateway whose processes may use maxSockets descriptors. The options alter
// its settings.
func newHarness(t *testing.T, maxSockets int, options ...func(settings map[string]any)) *harness {
	h := &harness{t: t, discovery: &fake.Discovery{}, stateDir: t.TempDir(), listener: listen(t).(*net.TCPListener)}
	for i := range groupCount * hostsPerGroup {
		h.addHost(i/hostsPerGroup, i%hostsPerGroup)
	}
	h.discovery.Set(h.targets)
	agent := listen(t)
	go http.Serve(agent, http.HandlerFunc(h.serveDiscovery))
	h.writeConfig(agent.Addr().String(), maxSockets, options)
	startedAt := time.Now()
	t.Cleanup(func() { h.cleanUp(startedAt) })
	return h
}

// addHost starts the nth host of a group and adds it to the endpoint list. The first host of a group is its primary; the others
// reject writes.
func (h *harness) addHost(group, n int) {
	server := &host{Host: &fake.Host{Primary: n == 0}, uid: fmt.Sprintf("db-%d-%d", group, n)}
	server.Act = func(id, text string, prepare bool) fake.Act {
		server.mu.Lock()
		server.received = append(server.received, arrival{id, time.Now()})
		server.mu.Unlock()
		if !server.Primary && strings.Contains(text, "INSERT") {
			return fake.Miss
		}
		return fake.Serve
	}
	server.RoleAndPosition = func(bool) (bool, int64) {
		lag := time.Duration(0)
		if !server.Primary {
			lag = time.Duration(h.replicaLag.Load())
		}
		return server.Primary, time.Now().Add(-lag).UnixMilli()
	}
	l := listen(h.t)
	go fake.Accept(l, server.ServePostgres)
	role := "standby"
	if server.Primary {
		role = "primary"
	}
	h.hosts = append(h.hosts, server)
	h.targets = append(h.targets, discovery.Target{UID: server.uid, Endpoint: l.Addr().String(), Zone: "nuernberg", Group: group,
		State: "SERVING", Capacity: 1, Replication: role})
}

// serveDiscovery answers a call to discovery as soon as discoveryHung is not set.
func (h *harness) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	for h.discoveryHung.Load() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
	h.discovery.ServeHTTP(w, r)
}

// writeConfig writes the example configuration with the harness's addresses, limits and settings.
func (h *harness) writeConfig(discoveryAddress string, maxSockets int, options []func(settings map[string]any)) {
	example, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		h.t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(example, &config); err != nil {
		h.t.Fatal(err)
	}
	settings := config["settings"].(map[string]any)
	h.maxAttempts = int(settings["policyLimits"].(map[string]any)["maxAttempts"].(float64))
	for _, option := range options {
		option(settings)
	}
	config["listen"] = h.listener.Addr().String()
	config["discovery"] = discoveryAddress
	config["known"] = discovery.Snapshot{Rev: 0, All: true, Targets: h.targets}
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": maxSockets}
	text, err := json.Marshal(config)
	if err != nil {
		h.t.Fatal(err)
	}
	h.configPath = filepath.Join(h.t.TempDir(), "config.json")
	if err := os.WriteFile(h.configPath, text, 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// cleanUp kills all processes and checks that none has logged a violation. It prints the logs of a failed or slow test.
func (h *harness) cleanUp(startedAt time.Time) {
	for _, p := range h.processes {
		p.cmd.Process.Kill() // also ends a stopped process
		<-p.exited
	}
	for i, p := range h.processes {
		if n := p.eventCount("violation"); n > 0 {
			h.t.Errorf("process %d: %d violations in its log", i, n)
		}
	}
	if !h.t.Failed() && time.Since(startedAt) <= eventualTimeout/2 {
		return
	}
	for i, p := range h.processes {
		h.t.Logf("process %d:\n%s", i, p.logText())
	}
}

// eventually waits until ok returns true and fails the test after eventualTimeout.
func (h *harness) eventually(what string, ok func() bool) {
	h.t.Helper()
	for end := time.Now().Add(eventualTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("not within %v: %s", eventualTimeout, what)
		}
	}
}
