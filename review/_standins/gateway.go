package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// target is an entry of discovery's list.
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

// agent is discovery's agent on the gateway's machine.
type agent struct {
	mu      sync.Mutex
	rev     int64
	targets []target
	news    chan struct{}
	server  *http.Server
	address string
}

func newAgent(targets []target) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{rev: 1, targets: targets, news: make(chan struct{}), address: l.Addr().String()}
	a.server = &http.Server{Handler: a}
	go a.server.Serve(l)
	return a, nil
}

// ServeHTTP answers a call for the list, or a watch. It gives the whole list when there is something new.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	a.mu.Lock()
	if err == nil && after >= a.rev {
		news := a.news
		a.mu.Unlock()
		select {
		case <-news:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		a.mu.Lock()
	}
	all := err != nil || after < a.rev
	list := map[string]any{"rev": a.rev, "all": all, "targets": []target{}}
	if all {
		list["targets"] = append([]target(nil), a.targets...)
	}
	a.mu.Unlock()
	json.NewEncoder(w).Encode(list)
}

// deployment is one gateway with its hosts and its agent.
type deployment struct {
	record  *record
	dir     string
	root    string
	hosts   []*host
	agent   *agent
	config  map[string]any
	listen  string
	gateway *process // the newest
	older   *process // before an upgrade
	passed  *os.File // the listening socket that the platform holds, if it does
}

// process is a process that the test started.
type process struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	code   int
	endsAt time.Time
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// deploy starts hosts and the agent, and writes the gateway's configuration: the example's settings, which are the site's. The
// first host is the primary.
func deploy(rec *record, root string, hosts []*host, change func(config map[string]any)) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, dir: dir, root: root, hosts: hosts}
	var targets []target
	for i, h := range hosts {
		h.record = rec
		if err := h.start(); err != nil {
			return nil, err
		}
		role := "standby"
		if h.primary = i == 0; h.primary {
			role = "primary"
		}
		targets = append(targets, target{UID: h.uid, Endpoint: h.address(), Zone: "nuernberg", Model: "standard-3k", State: "SERVING",
			Capacity: 1, Replication: role})
	}
	if d.agent, err = newAgent(targets); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(root, "examples", "config.json"))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &d.config); err != nil {
		return nil, err
	}
	if d.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	d.config["listen"], d.config["discovery"] = d.listen, d.agent.address
	d.config["known"] = map[string]any{"rev": 1, "all": true, "targets": targets}
	if change != nil {
		change(d.config)
	}
	return d, os.MkdirAll(filepath.Join(dir, "tmp"), 0o700)
}

// runCommand is the command that the deploy file names.
var runCommand = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// startGateway starts the gateway with the platform's configuration, and waits until it answers the empty query.
func (d *deployment) startGateway() error {
	text, err := json.Marshal(d.config)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	return d.startProcess([]string{"PROXY_CONFIG=" + path, "PROXY_NAME=n0", "PROXY_LISTEN=" + d.listen, "PROXY_DISCOVERY=" + d.agent.address},
		func() bool {
			c, err := dial(d.listen)
			if err != nil {
				return false
			}
			defer c.Close()
			c.Write(queryMessage(""))
			c.SetReadDeadline(time.Now().Add(2 * time.Second))
			return c.read().outcome == "empty"
		})
}

// holdSocket has the platform hold the clients' listening socket, as it does where versions are upgraded.
func (d *deployment) holdSocket() error {
	l, err := net.Listen("tcp", d.listen)
	if err != nil {
		return err
	}
	defer l.Close()
	d.passed, err = l.(*net.TCPListener).File()
	return err
}

// upgrade starts a second process with another second address, waits for its yes, and sends SIGTERM to the first.
func (d *deployment) upgrade(admin string) error {
	d.older = d.gateway
	d.config["admin"] = admin
	text, err := json.Marshal(d.config)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, "config-new.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	err = d.startProcess([]string{"PROXY_CONFIG=" + path, "PROXY_NAME=n0", "PROXY_LISTEN=" + d.listen, "PROXY_DISCOVERY=" + d.agent.address,
		"PROXY_ADMIN=" + admin}, func() bool {
		answer, err := http.Get("http://" + admin + "/_ready")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode/100 == 2
	})
	if err != nil {
		return err
	}
	d.record.add("platform", "sends SIGTERM to the older process")
	return d.older.cmd.Process.Signal(syscall.SIGTERM)
}

// startProcess starts the gateway by the deploy file's command, and waits until it is ready.
func (d *deployment) startProcess(environment []string, ready func() bool) error {
	deployFile, err := os.ReadFile(filepath.Join(d.root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	found := runCommand.FindSubmatch(deployFile)
	if found == nil {
		return errors.New("the deploy file names no run command")
	}
	cmd := exec.Command("/bin/sh", "-c", string(found[1]))
	cmd.Dir = d.root
	cmd.Env = append(append(os.Environ(), environment...), "TMPDIR="+filepath.Join(d.dir, "tmp"))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(d.dir, "gateway.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if d.passed != nil { // the platform's listening socket, as descriptor 5
		cmd.ExtraFiles = []*os.File{log, log, d.passed}
		cmd.Env = append(cmd.Env, "PROXY_PASSED_SOCKET=5")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	d.gateway = p
	go func() {
		cmd.Wait()
		p.endsAt, p.code = time.Now(), cmd.ProcessState.ExitCode()
		d.record.addAt(p.endsAt, "gateway", "process %d ended: %v", cmd.Process.Pid, cmd.ProcessState)
		close(p.ended)
	}()
	d.record.add("gateway", "process %d started", cmd.Process.Pid)
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.ended:
			return fmt.Errorf("the gateway ended with %d", p.code)
		default:
		}
		if ready() {
			d.record.add("gateway", "is ready")
			return nil
		}
	}
	return errors.New("the gateway was not ready within 30 s")
}

// checkAlive returns an error if the gateway has ended.
func (d *deployment) checkAlive() error {
	select {
	case <-d.gateway.ended:
		return fmt.Errorf("the gateway ended by itself with %d", d.gateway.code)
	default:
		return nil
	}
}

// signal sends a signal to the gateway.
func (d *deployment) signal(s syscall.Signal) {
	d.record.add("platform", "sends %v", s)
	d.gateway.cmd.Process.Signal(s)
}

// stop ends the gateway, adds the end of its log to the record, and removes the folder.
func (d *deployment) stop() {
	for _, p := range []*process{d.older, d.gateway} {
		if p != nil {
			p.cmd.Process.Kill()
			<-p.ended
		}
	}
	for _, h := range d.hosts {
		h.listener.Close()
	}
	d.agent.server.Close()
	if log, err := os.ReadFile(filepath.Join(d.dir, "gateway.log")); err == nil {
		d.record.add("gateway", "its log:\n%s", log[max(0, len(log)-8000):])
	}
	os.RemoveAll(d.dir)
}
