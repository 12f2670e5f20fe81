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

// output is what a process writes.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) { o.mu.Lock(); defer o.mu.Unlock(); return o.b.Write(p) }

// process is one of the gateway's processes.
type process struct {
	r     *rig
	cmd   *exec.Cmd
	admin string
	out   output
	ended chan struct{}
	err   error // once it has ended
}

func (p *process) log() string { p.out.mu.Lock(); defer p.out.mu.Unlock(); return p.out.b.String() }

// start starts a process of the program. tmp replaces the shared folder where it is given: "" leaves it out.
func (r *rig) start(tmp ...string) *process {
	r.t.Helper()
	p := &process{r: r, admin: free(r.t), ended: make(chan struct{}), cmd: exec.Command(program)}
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "TMPDIR=") {
			p.cmd.Env = append(p.cmd.Env, v)
		}
	}
	dir := r.dir
	if len(tmp) > 0 {
		dir = tmp[0]
	}
	if dir != "" {
		p.cmd.Env = append(p.cmd.Env, "TMPDIR="+dir)
	}
	f, err := r.passed.File()
	if err != nil {
		r.t.Fatal(err)
	}
	defer f.Close()
	p.cmd.ExtraFiles = []*os.File{nil, nil, f}
	p.cmd.Env = append(p.cmd.Env, "PROXY_CONFIG="+r.path, "PROXY_ADMIN="+p.admin, "PROXY_PASSED_SOCKET=5")
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	if r.logs != nil {
		p.cmd.Stdout, p.cmd.Stderr = r.logs, r.logs
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() { p.err = p.cmd.Wait(); close(p.ended) }()
	r.procs = append(r.procs, p)
	return p
}

// said counts the lines of an event in the log.
func (p *process) said(event string) int { return strings.Count(p.log(), "event="+event) }

// says waits for a line of the log.
func (p *process) says(event string) { p.r.t.Helper(); p.saysAgain(event, 0) }

// saysAgain waits for a line of the log that was not there when its event was counted.
func (p *process) saysAgain(event string, before int) {
	p.r.t.Helper()
	p.r.until(event, func() bool { return p.said(event) > before })
}

// ready waits for the yes.
func (p *process) ready() *process {
	p.r.t.Helper()
	p.r.until("the yes", func() bool { s, _ := p.call("GET", "/_ready"); return s == 200 })
	return p
}

// call makes a call at the second address; 0: nobody answers there.
func (p *process) call(method, path string) (status int, body string) {
	q, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	a, err := c.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

// must makes a call that has to be answered with yes. One whose own write takes the disk longer than a call may take is told
// so, and to ask again, which it does until patience ends; any other answer is a fault.
func (p *process) must(path string) {
	p.r.t.Helper()
	for end := time.Now().Add(patience); ; {
		s, body := p.call("POST", path)
		if s == 200 {
			return
		}
		if s != 503 || body != admin.ErrTimeout.Error()+"\n" || time.Now().After(end) {
			p.r.t.Fatalf("%s: %d %s", path, s, body)
		}
		p.r.t.Logf("%s: not in time on this machine, asked again", path)
	}
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill ends a process at once and returns when it is dead.
func (p *process) kill() time.Time {
	p.cmd.Process.Kill()
	<-p.ended
	return time.Now()
}

// term ends a process in order, which has to take it no longer than the platform waits, on an idle machine.
func (p *process) term() {
	p.r.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		if p.err != nil {
			p.r.t.Errorf("exit after SIGTERM: %v", p.err)
		}
	case <-time.After(patience):
		p.r.t.Fatal("it does not end after SIGTERM")
	}
}

// upgrade puts a new process in place of an old one, which is ended 50 ms after the yes.
func (r *rig) upgrade(old *process) *process {
	r.t.Helper()
	next := r.start().ready()
	time.Sleep(50 * time.Millisecond)
	old.term()
	return next
}

// startStopped starts a process and stops it after it has met the others, before it serves. Discovery is silent meanwhile,
// which holds a start up for half a second.
func (r *rig) startStopped() *process {
	r.t.Helper()
	r.mute.Store(true)
	defer r.mute.Store(false)
	for range 5 {
		p := r.start()
		p.says("hotrestart_opened ")
		p.stop()
		if !strings.Contains(p.log(), "event=listening front=postgres") {
			return p
		}
		p.kill() // this machine is too busy
	}
	r.t.Fatal("no process could be stopped before it serves")
	return nil
}

// stop stops a process and returns once it runs no more.
func (p *process) stop() {
	p.r.t.Helper()
	p.signal(syscall.SIGSTOP)
	p.r.until("it stops", func() bool {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		_, rest, _ := strings.Cut(string(text), ") ")
		return strings.HasPrefix(rest, "T")
	})
}
