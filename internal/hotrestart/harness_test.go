package hotrestart

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranegate/internal/hotrestart/state"
)

// testTimeout bounds each wait of a test, and allows for a busy machine.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if dir := os.Getenv(childDirVariable); dir != "" {
		runChild(dir)
		return
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}

// detachDB1 is a change for tests that need only one.
var detachDB1 = state.Change{Host: "db1", Detach: true}

// openCoordinator opens a Coordinator that runs until the test ends.
func openCoordinator(t *testing.T, o Options) *Coordinator {
	t.Helper()
	if o.OnState == nil {
		o.OnState = func(context.Context, state.State) error { return nil }
	}
	c, err := Open(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	runDone := make(chan struct{})
	go func() {
		defer close(runDone)
		c.Run(context.Background())
	}()
	t.Cleanup(func() {
		c.Close()
		<-runDone
	})
	return c
}

// childProcess is the test's side of a child process.
type childProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	stdin  *os.File
	lines  chan string
	opened childReply
}

// startChild starts a child and does not wait for it. It is killed at the end of the test.
func startChild(t *testing.T, dir string, env ...string) *childProcess {
	t.Helper()
	stdin, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &childProcess{t: t, cmd: exec.Command(os.Args[0]), stdin: w, lines: make(chan string, 100)}
	p.cmd.Env = append(os.Environ(), append(env, childDirVariable+"="+dir)...)
	p.cmd.Stdin, p.cmd.Stderr = stdin, os.Stderr
	stdout, err := p.cmd.StdoutPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	stdin.Close()
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		defer close(p.lines)
		for s := bufio.NewScanner(stdout); s.Scan(); {
			p.lines <- s.Text()
		}
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		w.Close()
		<-readerDone
		p.cmd.Wait()
	})
	return p
}

// openChild starts a child and returns once its Open has returned.
func openChild(t *testing.T, dir string, env ...string) *childProcess {
	t.Helper()
	p := startChild(t, dir, env...)
	opened, ok := p.receive()
	if !ok {
		t.Fatal("a process did not start")
	}
	p.opened = opened
	return p
}

func (p *childProcess) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// untilStopped waits until the child has stopped itself.
func (p *childProcess) untilStopped() {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); !isStopped(p.cmd.Process.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("the child did not stop")
		}
	}
}

// receive waits for a reply. ok is false if the child has exited or hangs.
func (p *childProcess) receive() (r childReply, ok bool) {
	select {
	case line, open := <-p.lines:
		if !open {
			return r, false
		}
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			p.t.Fatal(err, line)
		}
		return r, true
	case <-time.After(testTimeout):
		return r, false
	}
}

// send sends a command and does not wait for the reply.
func (p *childProcess) send(command string) { fmt.Fprintln(p.stdin, command) }

// call sends a command and returns the reply.
func (p *childProcess) call(command string) childReply {
	p.t.Helper()
	p.send(command)
	r, ok := p.receive()
	if !ok {
		p.t.Fatalf("no reply to %q", command)
	}
	return r
}

// status returns the child's state.
func (p *childProcess) status() childReply {
	p.t.Helper()
	return p.call(statusCommand)
}

// mustCall sends a command that has to succeed.
func (p *childProcess) mustCall(command string) {
	p.t.Helper()
	if r := p.call(command); r.Err != "" {
		p.t.Fatalf("%s: %s", command, r.Err)
	}
}

// expectKilled waits until a child that kills itself has exited.
func (p *childProcess) expectKilled() {
	p.t.Helper()
	if r, ok := p.receive(); ok {
		p.t.Fatalf("the child replied, but should have been killed: %+v", r)
	}
}

// until waits until the child's state meets a condition.
func (p *childProcess) until(what string, condition func(childReply) bool) {
	p.t.Helper()
	var r childReply
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r = p.status(); condition(r) {
			return
		}
	}
	p.t.Fatalf("%s: %+v", what, r)
}

// hasDetached reports whether a host is detached.
func (r childReply) hasDetached(host string) bool { return slices.Contains(r.Detached, host) }
