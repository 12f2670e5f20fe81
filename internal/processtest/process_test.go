package processtest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"cranegate/internal/admin"
)

// logBuffer collects what a process writes.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// process is one of the gateway's processes.
type process struct {
	harness      *harness
	cmd          *exec.Cmd
	adminAddress string
	output       logBuffer
	exited       chan struct{}
	exitErr      error // valid once exited is closed
}

// logText returns the log so far.
func (p *process) logText() string { return p.output.String() }

// start starts a process of the gateway. An argument is used as the state directory in place of the harness's; "" leaves TMPDIR unset.
func (h *harness) start(stateDir ...string) *process {
	h.t.Helper()
	p := &process{harness: h, adminAddress: freeAddress(h.t), exited: make(chan struct{}), cmd: exec.Command(program)}
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "TMPDIR=") {
			p.cmd.Env = append(p.cmd.Env, variable)
		}
	}
	dir := h.stateDir
	if len(stateDir) > 0 {
		dir = stateDir[0]
	}
	if dir != "" {
		p.cmd.Env = append(p.cmd.Env, "TMPDIR="+dir)
	}
	socket, err := h.listener.File()
	if err != nil {
		h.t.Fatal(err)
	}
	defer socket.Close()
	p.cmd.ExtraFiles = []*os.File{nil, nil, socket}
	p.cmd.Env = append(p.cmd.Env, "PROXY_CONFIG="+h.configPath, "PROXY_ADMIN="+p.adminAddress, "PROXY_PASSED_SOCKET=5")
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if h.logOutput != nil {
		p.cmd.Stdout, p.cmd.Stderr = h.logOutput, h.logOutput
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	h.processes = append(h.processes, p)
	return p
}

// eventCount counts the log lines of an event.
func (p *process) eventCount(event string) int { return strings.Count(p.logText(), "event="+event) }

// waitEvent waits until an event is logged.
func (p *process) waitEvent(event string) {
	p.harness.t.Helper()
	p.waitEventAfter(event, 0)
}

// waitEventAfter waits until an event is logged more than before times.
func (p *process) waitEventAfter(event string, before int) {
	p.harness.t.Helper()
	p.harness.eventually(event, func() bool { return p.eventCount(event) > before })
}

// waitReady waits until the process reports ready.
func (p *process) waitReady() *process {
	p.harness.t.Helper()
	p.harness.eventually("the process is ready", func() bool {
		status, _ := p.callAdmin("GET", "/_ready")
		return status == http.StatusOK
	})
	return p
}

// callAdmin calls the admin listener. The status is 0 if it does not answer.
func (p *process) callAdmin(method, path string) (status int, body string) {
	request, err := http.NewRequest(method, "http://"+p.adminAddress+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: eventualTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

// mustPost makes an administrative call that must succeed. It retries a call that timed out because the disk was slow, until
// eventualTimeout; any other answer fails the test.
func (p *process) mustPost(path string) {
	p.harness.t.Helper()
	for end := time.Now().Add(eventualTimeout); ; {
		status, body := p.callAdmin("POST", path)
		if status == http.StatusOK {
			return
		}
		timedOut := status == http.StatusServiceUnavailable && body == admin.ErrTimeout.Error()+"\n"
		if !timedOut || time.Now().After(end) {
			p.harness.t.Fatalf("%s: %d %s", path, status, body)
		}
		p.harness.t.Logf("%s: timed out, retrying", path)
	}
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill kills the process and returns the time at which it had ended.
func (p *process) kill() time.Time {
	p.cmd.Process.Kill()
	<-p.exited
	return time.Now()
}

// terminate sends SIGTERM and waits for a clean exit.
func (p *process) terminate() {
	p.harness.t.Helper()
	p.signal(syscall.SIGTERM)
	p.waitExit()
}

// waitExit waits for a clean exit after SIGTERM.
func (p *process) waitExit() {
	p.harness.t.Helper()
	select {
	case <-p.exited:
		if p.exitErr != nil {
			p.harness.t.Errorf("exit after SIGTERM: %v", p.exitErr)
		}
	case <-time.After(eventualTimeout):
		p.harness.t.Fatal("the process does not exit after SIGTERM")
	}
}

// upgrade replaces a process by a new one and terminates it 50 ms after the new one is ready.
func (h *harness) upgrade(old *process) *process {
	h.t.Helper()
	next := h.start().waitReady()
	time.Sleep(50 * time.Millisecond)
	old.terminate()
	return next
}

// startStopped starts a process and stops it with SIGSTOP after it has found the gateway's other processes and before it serves.
// Discovery hangs until then, which delays a start by half a second.
func (h *harness) startStopped() *process {
	h.t.Helper()
	h.discoveryHung.Store(true)
	defer h.discoveryHung.Store(false)
	for range 5 {
		p := h.start()
		p.waitEvent("hotrestart_opened ")
		p.stop()
		if !strings.Contains(p.logText(), "event=listening front=postgres") {
			return p
		}
		p.kill() // stopped too late on a busy machine
	}
	h.t.Fatal("no process could be stopped before it serves")
	return nil
}

// stop stops the process with SIGSTOP and returns once it is stopped.
func (p *process) stop() {
	p.harness.t.Helper()
	p.signal(syscall.SIGSTOP)
	p.harness.eventually("the process is stopped", func() bool {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		_, rest, _ := strings.Cut(string(text), ") ")
		return strings.HasPrefix(rest, "T")
	})
}
