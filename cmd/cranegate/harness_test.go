package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
)

// These tests start the program and connect to it over loopback. The bounds of waits are generous, so that a busy machine changes
// no result.

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

const linkFlag = "-ldflags=-linkmode=external" // as in deploy/balancer.toml

// program is the path of the program under test, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cranegate")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "cranegate")
	build := exec.Command("go", "build", linkFlag, "-o", program, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// harness is a running program with fake database hosts and a fake discovery service.
type harness struct {
	t         *testing.T
	hosts     []*fake.Host
	targets   []discovery.Target
	discovery *fake.Discovery

	postgresAddress   string
	mysqlAddress      string
	agentCheckAddress string
	healthAddress     string
	adminAddress      string
	inheritedListener net.Listener // for PostgreSQL clients; nil: the program opens its own

	config     map[string]any // the content of the file at configPath, which PROXY_CONFIG names
	configPath string
	cmd        *exec.Cmd
	log        *fake.LogBuffer
}

// startGateway runs the program with two hosts, which serve both protocols.
func startGateway(t *testing.T, act func(id, text string, prepare bool) fake.Act) *harness {
	return startGatewayWithListener(t, nil, act)
}

// startGatewayWithListener passes the program a listening socket for PostgreSQL clients; nil: it opens its own.
func startGatewayWithListener(t *testing.T, inherited net.Listener, act func(id, text string, prepare bool) fake.Act) *harness {
	h := &harness{
		t:                 t,
		discovery:         &fake.Discovery{},
		postgresAddress:   freeAddress(t),
		mysqlAddress:      freeAddress(t),
		agentCheckAddress: freeAddress(t),
		healthAddress:     freeAddress(t),
		adminAddress:      freeAddress(t),
		inheritedListener: inherited,
		log:               &fake.LogBuffer{},
	}
	if inherited != nil {
		h.postgresAddress = inherited.Addr().String()
	}
	mysqlHosts := h.startHosts(act)
	h.discovery.Set(h.targets)
	discoveryListener := listenLoopback(t)
	go http.Serve(discoveryListener, h.discovery)
	discoveryAddress := discoveryListener.Addr().String()

	dir := t.TempDir()
	h.configPath = filepath.Join(dir, "config.json")
	h.loadExampleConfig(discoveryAddress)
	h.writeConfig()
	operatorPath := filepath.Join(dir, "operator.toml")
	operator := fmt.Sprintf("[agent_check]\nlisten = %q\n[health]\nlisten = %q\n[mysql]\nlisten = %q\n%s",
		h.agentCheckAddress, h.healthAddress, h.mysqlAddress, mysqlHosts)
	if err := os.WriteFile(operatorPath, []byte(operator), 0o600); err != nil {
		t.Fatal(err)
	}
	h.cmd = exec.Command(program, "-operator", operatorPath)
	h.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+h.configPath, "PROXY_DISCOVERY="+discoveryAddress, "TMPDIR="+dir)
	h.launch(h.cmd)
	h.waitServing()
	return h
}

// startHosts starts a primary and a standby, and returns their [[mysql.host]] tables for the operator's file.
func (h *harness) startHosts(act func(id, text string, prepare bool) fake.Act) string {
	var tables strings.Builder
	for i, role := range []string{"primary", "standby"} {
		host := &fake.Host{Primary: role == "primary", Act: act}
		h.hosts = append(h.hosts, host)
		postgres, mysql := listenLoopback(h.t), listenLoopback(h.t)
		go fake.Accept(postgres, host.ServePostgres)
		go fake.Accept(mysql, host.ServeMySQL)
		h.targets = append(h.targets, discovery.Target{UID: fmt.Sprint("db-", i), Endpoint: postgres.Addr().String(), State: "SERVING",
			Capacity: 1, Replication: role})
		fmt.Fprintf(&tables, "[[mysql.host]]\nuid = \"db-%d\"\nendpoint = %q\nreplication = %q\n", i, mysql.Addr(), role)
	}
	return tables.String()
}

// loadExampleConfig loads examples/config.json and replaces its addresses and hosts with the harness's.
func (h *harness) loadExampleConfig(discoveryAddress string) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		h.t.Fatal(err)
	}
	if err := json.Unmarshal(text, &h.config); err != nil {
		h.t.Fatal(err)
	}
	h.config["listen"] = h.postgresAddress
	h.config["discovery"] = discoveryAddress
	h.config["admin"] = h.adminAddress
	h.config["known"] = discovery.Snapshot{Rev: 0, All: true, Targets: h.targets}
}

// writeConfig writes the configuration to its file.
func (h *harness) writeConfig() {
	h.t.Helper()
	text, _ := json.Marshal(h.config)
	if err := os.WriteFile(h.configPath, text, 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// launch starts a process, with the inherited listener if there is one. It is killed at the end of the test.
func (h *harness) launch(cmd *exec.Cmd) {
	h.t.Helper()
	if h.inheritedListener != nil {
		f, err := h.inheritedListener.(*net.TCPListener).File()
		if err != nil {
			h.t.Fatal(err)
		}
		defer f.Close()
		cmd.ExtraFiles = []*os.File{nil, nil, f}
		cmd.Env = append(cmd.Env, "PROXY_PASSED_SOCKET=5")
	}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		kill(cmd)
		if h.logged("event=violation") {
			h.t.Error("invariant violations in the log")
		}
		if h.t.Failed() {
			h.t.Log(h.log.String())
			h.log = &fake.LogBuffer{}
		}
	})
}

// kill ends a process at once and waits for its end.
func kill(cmd *exec.Cmd) {
	cmd.Process.Kill()
	cmd.Wait()
}

// launchNewer starts a newer process with only the PostgreSQL frontend, because the addresses of the other listeners are in use.
func (h *harness) launchNewer(adminAddress string) *exec.Cmd {
	h.t.Helper()
	newer := exec.Command(program)
	newer.Env = append(slices.Clip(h.cmd.Env), "PROXY_ADMIN="+adminAddress)
	h.launch(newer)
	return newer
}

// restartWithConfig kills the program and starts it with a changed configuration, without the operator's file, in a new folder.
func (h *harness) restartWithConfig(change func(config map[string]any)) {
	h.t.Helper()
	kill(h.cmd)
	change(h.config)
	h.writeConfig()
	h.log = &fake.LogBuffer{}
	h.cmd = exec.Command(program)
	h.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+h.configPath, "TMPDIR="+h.t.TempDir())
	h.launch(h.cmd)
}

// restartWithFileLimit kills the program and starts it with the harness's present configuration and only the PostgreSQL frontend,
// under a limit on open files.
func (h *harness) restartWithFileLimit(files int) {
	h.t.Helper()
	h.writeConfig()
	kill(h.cmd)
	env := slices.DeleteFunc(h.cmd.Env, func(s string) bool { return strings.HasPrefix(s, "PROXY_DISCOVERY=") })
	h.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", files, program))
	h.cmd.Env = append(env, "PROXY_DISCOVERY="+h.config["discovery"].(string))
	h.launch(h.cmd)
}

// until waits for a condition.
func (h *harness) until(what string, condition func() bool) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// logged reports whether the program's log contains a text.
func (h *harness) logged(text string) bool { return strings.Contains(h.log.String(), text) }

// untilLogged waits until the program's log contains a text.
func (h *harness) untilLogged(text string) {
	h.t.Helper()
	h.until(text, func() bool { return h.logged(text) })
}

func (h *harness) waitServing() {
	h.t.Helper()
	h.untilLogged("event=serving")
}

// expectCleanExit waits for the program's end, which must be with exit code 0.
func (h *harness) expectCleanExit() {
	h.t.Helper()
	if err := h.cmd.Wait(); err != nil {
		h.t.Errorf("exit: %v", err)
	}
}

// openDescriptors counts the descriptors that the program holds.
func (h *harness) openDescriptors() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	return len(names)
}
