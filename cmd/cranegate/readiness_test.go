package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
)

// readyTimeout is the maximum time from the start of a process to its first answer to an empty query.
const readyTimeout = 10 * time.Second

// manyHosts is the number of hosts of the large cases.
const manyHosts = 300

// startMany starts n processes of the program at once, each with its own configuration, and returns how long after its start each
// answered an empty query.
func (h *harness) startMany(n int) []time.Duration {
	h.t.Helper()
	durations := make(chan time.Duration, n)
	for range n {
		h.postgresAddress, h.configPath = freeAddress(h.t), filepath.Join(h.t.TempDir(), "config.json")
		h.config["listen"], h.config["admin"] = h.postgresAddress, freeAddress(h.t)
		h.writeConfig()
		h.cmd = exec.Command(program)
		h.cmd.Env = append(h.cmd.Environ(), "PROXY_CONFIG="+h.configPath, "TMPDIR="+filepath.Dir(h.configPath))
		started, address := time.Now(), h.postgresAddress
		h.launch(h.cmd)
		go func() { durations <- untilAnswered(address, started) }()
	}
	var all []time.Duration
	for range n {
		all = append(all, <-durations)
	}
	return all
}

// untilAnswered waits until an empty query is answered at an address, or for testTimeout, and returns how long that took since started.
func untilAnswered(address string, started time.Time) time.Duration {
	for time.Since(started) < testTimeout {
		if r, err := queryPostgres(address, ";"); err == nil && r.Outcome == "empty" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// answerCall answers one call to discovery. Calls are numbered from 0. healthy answers them without a fault.
type answerCall func(rw http.ResponseWriter, r *http.Request, call int64, healthy http.Handler)

// readinessCase is one start of the program.
type readinessCase struct {
	name      string
	listed    bool // the configuration lists the hosts
	hosts     int
	processes int
	discovery answerCall // nil: discovery is down
}

var readinessCases = []readinessCase{
	{"down", true, 2, 1, nil},
	{"down, no list, back after a second", false, 2, 1, nil},
	{"full", true, 2, 1, answerOverloaded},
	{"full at first, no list, one of 300", false, 2, 1, answerOverloadedTwice},
	{"silent", true, 2, 1, answerNever},
	{"silent in the middle", true, manyHosts, 1, answerPartially},
	{"silent in the middle, no list", false, manyHosts, 1, answerPartially},
	{"300 hosts, half a core, seven at once", true, manyHosts, 7, answerHealthy},
	{"300 hosts, half a core, seven at once, no list", false, manyHosts, 7, answerHealthy},
}

func answerHealthy(rw http.ResponseWriter, r *http.Request, _ int64, healthy http.Handler) {
	healthy.ServeHTTP(rw, r)
}

func answerNever(_ http.ResponseWriter, r *http.Request, _ int64, _ http.Handler) {
	<-r.Context().Done()
}

func answerOverloaded(rw http.ResponseWriter, _ *http.Request, _ int64, _ http.Handler) {
	rw.Header().Set("Retry-After", "30")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func answerOverloadedTwice(rw http.ResponseWriter, r *http.Request, call int64, healthy http.Handler) {
	if call < 2 {
		answerOverloaded(rw, r, call, healthy)
		return
	}
	healthy.ServeHTTP(rw, r)
}

// answerPartially stalls in the middle of the first endpoint list, and answers later calls without a fault.
func answerPartially(rw http.ResponseWriter, r *http.Request, call int64, healthy http.Handler) {
	if call > 0 {
		healthy.ServeHTTP(rw, r)
		return
	}
	var text bytes.Buffer
	json.NewEncoder(&text).Encode(discovery.Snapshot{Rev: 1, All: true, Targets: make([]discovery.Target, manyHosts)})
	rw.Header().Set("Content-Length", fmt.Sprint(text.Len()))
	rw.Write(text.Bytes()[:text.Len()/2])
	rw.(http.Flusher).Flush()
	<-r.Context().Done()
}

// TestReadyWithFaultyDiscovery starts the program with each kind of discovery, with and without hosts in its configuration, and
// seven processes at once on half a core. Each must answer the empty query within readyTimeout, and serve. Without an endpoint list the
// program can't serve, so it listens once discovery is back.
func TestReadyWithFaultyDiscovery(t *testing.T) {
	for _, c := range readinessCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c readinessCase) run(t *testing.T) {
	h := startGateway(t, nil)
	kill(h.cmd)
	for i := range c.hosts - 2 { // in other groups: no request goes there
		h.targets = append(h.targets, discovery.Target{UID: fmt.Sprintf("s-%08x", i), Endpoint: h.targets[0].Endpoint, Zone: "nuernberg",
			Group: 1 + i, State: "SERVING", Capacity: 1})
	}
	h.discovery.Set(h.targets)
	c.startDiscovery(h)
	c.configure(h)
	took := h.startMany(c.processes)
	for _, d := range took {
		if d > readyTimeout {
			t.Errorf("ready after %v", d)
		}
	}
	t.Logf("ready after %v", took)
	h.until("a request is served", func() bool { return h.servesPostgres("r") })
}

// startDiscovery starts the case's discovery. If it is down and the configuration lists no hosts, it comes back after a second.
func (c readinessCase) startDiscovery(h *harness) {
	down := freeAddress(h.t)
	h.config["discovery"] = down
	if c.discovery == nil && !c.listed {
		time.AfterFunc(time.Second, func() {
			if l, err := net.Listen("tcp", down); err == nil {
				h.t.Cleanup(func() { l.Close() })
				http.Serve(l, h.discovery)
			}
		})
	} else if c.discovery != nil {
		var calls atomic.Int64
		l := listenLoopback(h.t)
		h.config["discovery"] = l.Addr().String()
		go http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			c.discovery(rw, r, calls.Add(1)-1, h.discovery)
		}))
	}
}

// configure sets the hosts, cores and number of gateways of the case in the configuration.
func (c readinessCase) configure(h *harness) {
	if c.listed {
		h.config["known"] = discovery.Snapshot{Rev: 0, All: true, Targets: h.targets}
	} else {
		h.config["known"] = discovery.Snapshot{Rev: -1}
	}
	if c.hosts == manyHosts {
		h.config["limits"].(map[string]any)["cores"] = 0.5
	}
	if strings.Contains(c.name, "of 300") {
		h.config["settings"].(map[string]any)["balancers"] = 300
	}
}

// TestFrontendsStartIndependently starts the program with both frontends while the PostgreSQL fleet has no endpoint list and discovery
// is down. The MySQL frontend must serve meanwhile, and the PostgreSQL frontend once discovery is back.
func TestFrontendsStartIndependently(t *testing.T) {
	h := startGateway(t, nil)
	kill(h.cmd)
	down := freeAddress(t)
	h.config["discovery"], h.config["known"] = down, discovery.Snapshot{Rev: -1}
	h.writeConfig()
	operator := filepath.Join(filepath.Dir(h.configPath), "operator.toml")
	env := append(h.cmd.Env, "PROXY_DISCOVERY="+down)
	h.log = &fake.LogBuffer{}
	h.cmd = exec.Command(program, "-operator", operator)
	h.cmd.Env = env
	h.launch(h.cmd)
	h.until("MySQL is served", func() bool { return h.servesMySQL("m") })
	if h.logged("front=postgres") {
		t.Error("a frontend without an endpoint list accepts clients")
	}
	l, err := net.Listen("tcp", down)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go http.Serve(l, h.discovery)
	h.untilLogged("event=serving fronts=2")
}
