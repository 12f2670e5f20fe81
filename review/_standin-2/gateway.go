package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun(err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) line(event, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s %s\n", time.Since(r.start).Seconds(), event, fmt.Sprintf(format, args...))
}

// target is one entry of discovery's list.
type target struct {
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Model       string  `json:"model"`
	Group       int     `json:"pod_group"`
	State       string  `json:"state"`
	Capacity    float64 `json:"capacity_hint"`
	BootMS      int64   `json:"boot_ms"`
	Replication string  `json:"replication"`
}

// list is discovery's answer.
type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// agent is a stand-in for discovery's agent on the gateway's machine. It answers with the whole list, and
// without entries where nothing has changed since the version asked for.
type agent struct {
	listener net.Listener
	mu       sync.Mutex
	now      list
	changed  chan struct{}
	record   *record
}

func newAgent(targets []target, rec *record) *agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	a := &agent{listener: l, now: list{41, true, targets}, changed: make(chan struct{}), record: rec}
	go http.Serve(l, a)
	return a
}

// set changes one entry.
func (a *agent) set(uid string, change func(*target)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	targets := append([]target(nil), a.now.Targets...)
	for i := range targets {
		if targets[i].UID == uid {
			change(&targets[i])
			a.record.line("list", "uid=%s state=%s boot_ms=%d replication=%s", uid, targets[i].State, targets[i].BootMS,
				targets[i].Replication)
		}
	}
	a.now.Targets = targets
	a.now.Rev++
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	a.mu.Lock()
	if err == nil && after >= a.now.Rev {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		a.mu.Lock()
	}
	answer := a.now
	a.mu.Unlock()
	if err == nil && after == answer.Rev {
		answer = list{answer.Rev, false, []target{}}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// class is one request class of the settings.
func class(name string, aim, deadline, points, late float64, repeat string) map[string]any {
	return map[string]any{"name": name, "aimS": aim, "deadlineS": deadline, "points": points, "lateWorth": late, "repeat": repeat,
		"stream": false, "keyScope": "all", "keyTtlS": 5.0}
}

// settings are those of a small deployment, as kitaplatz-bayern has them.
func settings() map[string]any {
	return map[string]any{
		"balancers": 3, "zone": "nuernberg", "failureDomains": []string{"muenchen-nord", "nuernberg", "augsburg"},
		"discovery": "automatic",
		"classes": []any{
			class("platzsuche", 0.6, 2, 1, 0, "repeatable"),
			class("eigener-antrag", 0.75, 2.5, 2, 0.2, "repeatable"),
			class("statistik", 0.4, 1, 1, 0, "repeatable"),
			class("angebot-pruefen", 0.5, 2, 3, 0, "repeatable"),
			class("zusage", 0.75, 2, 6, 0.5, "once"),
		},
		"domain": map[string]any{
			"needsByClass": []string{"bounded", "session", "any", "fresh", "write"},
			"classBoundS":  []float64{3, 0, 0, 0, 0},
			"guards":       "wait", "catchUpWaitS": 0.02, "positions": true, "roleInList": "late", "writeMarks": "carried",
		},
		"loadInfo": map[string]any{"source": "probe", "columns": []string{"x0", "x1", "util", "queue"}},
		"policyLimits": map[string]any{
			"maxAttempts": 6, "mayCancel": true, "mayDuplicate": true, "probes": true, "retryAfter": true, "maxRetryAfterS": 0.5,
			"connectTimeoutS": 0.25, "idleCloseS": 30.0, "peers": false,
		},
		"deductions": map[string]any{"crossZone": 0.01},
		"rules": map[string]any{"answerSlackS": 0.02, "coldFrom": 0.15, "coldS": 18.0, "tipMultiple": 2.5, "fallS": 1.0,
			"drainGraceS": 0.25},
	}
}

// limits are a gateway's limits, as the configuration tells them.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// gateway is one process of the program, started with the deploy file's run command.
type gateway struct {
	cmd            *exec.Cmd
	listen, admin  string
	ended          chan struct{}
	dir            string
	config, output string
}

// gatewayOptions are what differs between the cases.
type gatewayOptions struct {
	name     string
	agent    *agent
	settings map[string]any
	limits   limits
	listen   string   // empty: a free port
	dir      string   // TMPDIR; empty: a new folder
	socket   *os.File // the clients' listening socket, passed on as descriptor 5
	log      string   // the log level
}

// freeAddress returns an address that nobody listens at.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startGateway starts a gateway. Its log goes to gateway-NAME.log in the temporary folder.
func startGateway(o gatewayOptions, rec *record) *gateway {
	g := &gateway{listen: o.listen, admin: freeAddress(), dir: o.dir, ended: make(chan struct{})}
	if g.listen == "" {
		g.listen = freeAddress()
	}
	if g.dir == "" {
		g.dir = filepath.Join(temporary, "tmp-"+o.name)
		if err := os.MkdirAll(g.dir, 0o700); err != nil {
			cannotRun(err)
		}
	}
	if o.limits.Cores == 0 {
		o.limits = limits{1, 192, 1024}
	}
	o.agent.mu.Lock()
	known := o.agent.now
	o.agent.mu.Unlock()
	config, err := json.Marshal(map[string]any{"name": o.name, "listen": g.listen, "admin": g.admin,
		"discovery": o.agent.listener.Addr().String(), "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": o.limits, "known": known, "settings": o.settings})
	if err != nil {
		cannotRun(err)
	}
	g.config = filepath.Join(temporary, "config-"+o.name+".json")
	if err := os.WriteFile(g.config, config, 0o600); err != nil {
		cannotRun(err)
	}
	g.output = filepath.Join(temporary, "gateway-"+o.name+".log")
	output, err := os.Create(g.output)
	if err != nil {
		cannotRun(err)
	}
	g.cmd = exec.Command("/bin/sh", "-c", "exec bin/cranegate") // the deploy file's run
	g.cmd.Dir = root
	g.cmd.Stdout, g.cmd.Stderr = output, output
	g.cmd.Env = append(os.Environ(), "PROXY_NAME="+o.name, "PROXY_LISTEN="+g.listen, "PROXY_ADMIN="+g.admin,
		"PROXY_DISCOVERY="+o.agent.listener.Addr().String(), "PROXY_CONFIG="+g.config, "TMPDIR="+g.dir, "CRANEGATE_OPERATOR=",
		"CRANEGATE_LOG_LEVEL="+o.log)
	if o.socket != nil {
		null, _ := os.Open(os.DevNull)
		g.cmd.ExtraFiles = []*os.File{null, null, o.socket} // descriptors 3, 4 and 5
		g.cmd.Env = append(g.cmd.Env, "PROXY_PASSED_SOCKET=5")
	}
	ending.Lock()
	err = g.cmd.Start()
	if err == nil {
		processes = append(processes, g)
	}
	ending.Unlock()
	if err != nil {
		cannotRun(err)
	}
	rec.line("start", "gateway=%s pid=%d listen=%s", o.name, g.cmd.Process.Pid, g.listen)
	go func() {
		err := g.cmd.Wait()
		rec.line("exit", "gateway=%s status=%v", o.name, err)
		close(g.ended)
	}()
	return g
}

// awaitReady waits until the gateway says yes at its second address.
func (g *gateway) awaitReady() {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if g.call("GET", "/_ready") == 200 {
			return
		}
	}
	cannotRun(fmt.Errorf("the gateway is not ready"))
}

// call makes one call at the second address and returns the status, or 0.
func (g *gateway) call(method, path string) int {
	request, _ := http.NewRequest(method, "http://"+g.admin+path, nil)
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	if response.StatusCode/100 == 2 {
		return 200
	}
	return response.StatusCode
}

// stop ends the process, whatever its state.
func (g *gateway) stop() {
	g.cmd.Process.Kill()
	select {
	case <-g.ended:
	case <-time.After(5 * time.Second):
	}
}
