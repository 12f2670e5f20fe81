// Package processtest plays day-to-day service with real processes of the program on loopback, and with faults: upgrades,
// kills and stops at each step, calls of staff, and faulty files. What may never happen is judged strictly; what has to
// happen has a wide bound in time, so that a busy machine changes no verdict.
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
	patience = 90 * time.Second // for what has to happen in the end; a busy machine has kept a start waiting for 25 s
	groups   = 2
	each     = 3 // hosts of a group; the first is the primary
)

var (
	program string
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "optest")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "cranegate")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "cranegate/cmd/cranegate")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
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

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", free(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// arrival is a request that a host got.
type arrival struct {
	id string
	at time.Time
}

// host is a stand-in database host that keeps what it got, and when.
type host struct {
	*fake.Host
	uid string

	mu  sync.Mutex
	got []arrival
}

func (h *host) arrivals() []arrival {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.got[:len(h.got):len(h.got)]
}

// rig is one gateway with its surroundings: hosts, discovery, the listening socket, the folder.
type rig struct {
	t         *testing.T
	hosts     []*host
	targets   []discovery.Target
	discovery *fake.Discovery
	mute      atomic.Bool // discovery answers nothing
	passed    *net.TCPListener
	path, dir string
	procs     []*process
	attempts  int      // of a request that may be repeated, at most
	logs      *os.File // where the next processes write; nil: they are kept
}

// ran is how often a request has run, at all hosts.
func (r *rig) ran(id string) (n int) {
	for _, h := range r.hosts {
		n += h.Ran(id)
	}
	return n
}

// newRig makes the surroundings; sockets are what a process may use, and change may alter the settings.
func newRig(t *testing.T, sockets int, change ...func(settings map[string]any)) *rig {
	r := &rig{t: t, discovery: &fake.Discovery{}, dir: t.TempDir(), passed: listen(t).(*net.TCPListener)}
	for i := range groups * each {
		h := &host{Host: &fake.Host{Primary: i%each == 0}, uid: fmt.Sprintf("db-%d-%d", i/each, i%each)}
		h.Act = func(id, text string, prepare bool) fake.Act {
			h.mu.Lock()
			h.got = append(h.got, arrival{id, time.Now()})
			h.mu.Unlock()
			if !h.Primary && strings.Contains(text, "INSERT") {
				return fake.Miss
			}
			return fake.Serve
		}
		l := listen(t)
		go fake.Accept(l, h.ServePostgres)
		role := "standby"
		if h.Primary {
			role = "primary"
		}
		r.hosts = append(r.hosts, h)
		r.targets = append(r.targets, discovery.Target{UID: h.uid, Endpoint: l.Addr().String(), Zone: "nuernberg", Group: i / each,
			State: "SERVING", Capacity: 1, Replication: role})
	}
	r.discovery.Set(r.targets)
	agent := listen(t)
	go http.Serve(agent, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		for r.mute.Load() {
			select {
			case <-q.Context().Done():
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
		r.discovery.ServeHTTP(w, q)
	}))
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	settings := config["settings"].(map[string]any)
	r.attempts = int(settings["policyLimits"].(map[string]any)["maxAttempts"].(float64))
	for _, f := range change {
		f(settings)
	}
	config["listen"], config["discovery"] = r.passed.Addr().String(), agent.Addr().String()
	config["known"] = discovery.Snapshot{Rev: 0, All: true, Targets: r.targets}
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": sockets}
	text, _ = json.Marshal(config)
	r.path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(r.path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	born := time.Now()
	t.Cleanup(func() {
		for _, p := range r.procs {
			p.cmd.Process.Kill() // also one that is stopped
			<-p.ended
		}
		for i, p := range r.procs {
			if n := p.said("violation"); n > 0 {
				t.Errorf("process %d: %d violations of the rules in its log", i, n)
			}
		}
		if t.Failed() || time.Since(born) > patience/2 {
			for i, p := range r.procs {
				t.Logf("process %d:\n%s", i, p.log())
			}
		}
	})
	return r
}

// until waits for what has to happen in the end.
func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("it does not come to pass: %s", what)
		}
	}
}
