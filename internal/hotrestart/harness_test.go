package hotrestart

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranegate/internal/hotrestart/state"
	"cranegate/internal/metrics"
)

const childDir = "HANDOVER_TEST_DIR"

func TestMain(m *testing.M) {
	if dir := os.Getenv(childDir); dir != "" {
		child(dir)
		return
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}

// answer is what a child says to a line.
type answer struct {
	Out        []string // hosts that its module holds out
	Lameduck   bool
	Older      bool
	Role       string
	Inherited  string
	Superseded int
	Alone      int
	Doubts     []string
	Err        string
	Silent     bool // ErrUnacknowledged
	Took       time.Duration
}

// child is a process of the gateway: it takes lines, and answers each with one.
func child(dir string) {
	var mu sync.Mutex
	var held state.State
	var superseded, alone int
	if where := os.Getenv("HANDOVER_TEST_KILL"); where != "" {
		atStep = stopAt(where, syscall.SIGKILL)
	} else if where := os.Getenv("HANDOVER_TEST_STOP"); where != "" {
		atStep = stopAt(where, syscall.SIGSTOP)
	}
	began := time.Now()
	h, err := Open(context.Background(), Options{Dir: dir, Counters: &metrics.Counters{},
		OnState: func(_ context.Context, s state.State) error {
			mu.Lock()
			defer mu.Unlock()
			held = s
			return nil
		},
		Export:     func() []byte { return fmt.Appendf(nil, "of %d", os.Getpid()) },
		Superseded: func() { mu.Lock(); defer mu.Unlock(); superseded++ },
		Alone:      func() { mu.Lock(); defer mu.Unlock(); alone++ }})
	took := time.Since(began)
	if err != nil {
		fmt.Println(`{"Err":"open"}`)
		return
	}
	go h.Run(context.Background())
	say := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		a := answer{Lameduck: held.Lameduck, Older: h.Older(), Role: h.Role().String(), Inherited: string(h.Inherited()),
			Superseded: superseded, Alone: alone, Took: took}
		for id := range held.Out {
			a.Out = append(a.Out, id)
		}
		for _, d := range h.Unconfirmed() {
			a.Doubts = append(a.Doubts, d.Error())
		}
		if err != nil {
			a.Err, a.Silent = err.Error(), errors.Is(err, ErrUnacknowledged)
		}
		json.NewEncoder(os.Stdout).Encode(a)
	}
	say(nil)
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		words := append(strings.Fields(lines.Text()), "", "")
		began = time.Now()
		switch words[0] {
		case "out", "back":
			err = h.Apply(context.Background(), state.Change{Host: words[1], Out: words[0] == "out"})
		case "lame":
			err = h.Apply(context.Background(), state.Change{Lameduck: words[1] == "on"})
		case "ready":
			h.Ready()
		case "close":
			err = h.Close()
		default:
			err = nil
		}
		took = time.Since(began)
		say(err)
	}
}

func stopAt(where string, s syscall.Signal) func(string) {
	return func(step string) {
		if step == where {
			syscall.Kill(os.Getpid(), s)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// process is a child seen from the test.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	in    *os.File
	lines chan string
	first answer
}

// begin starts a child that is not waited for; it is ended with the test.
func begin(t *testing.T, dir string, env ...string) *process {
	t.Helper()
	in, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: exec.Command(os.Args[0]), in: w, lines: make(chan string, 100)}
	p.cmd.Env = append(os.Environ(), append(env, childDir+"="+dir)...)
	p.cmd.Stdin, p.cmd.Stderr = in, os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	in.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer close(p.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			p.lines <- s.Text()
		}
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		w.Close()
		<-done
		p.cmd.Wait()
	})
	return p
}

// launch starts a child that is open when it returns.
func launch(t *testing.T, dir string, env ...string) *process {
	t.Helper()
	p := begin(t, dir, env...)
	a, ok := p.hear()
	if !ok {
		t.Fatal("a process did not start")
	}
	p.first = a
	return p
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// hear waits for an answer; ok is false when the process died or hangs.
func (p *process) hear() (a answer, ok bool) {
	select {
	case line, open := <-p.lines:
		if !open {
			return a, false
		}
		if err := json.Unmarshal([]byte(line), &a); err != nil {
			p.t.Fatal(err, line)
		}
		return a, true
	case <-time.After(20 * time.Second):
		return a, false
	}
}

func (p *process) tell(line string) { fmt.Fprintln(p.in, line) }

func (p *process) ask(line string) answer {
	p.t.Helper()
	p.tell(line)
	a, ok := p.hear()
	if !ok {
		p.t.Fatalf("no answer to %q", line)
	}
	return a
}

// yes makes a call that has to succeed.
func (p *process) yes(line string) {
	p.t.Helper()
	if a := p.ask(line); a.Err != "" {
		p.t.Fatalf("%s: %s", line, a.Err)
	}
}

// until waits for what has to become true.
func (p *process) until(what string, is func(answer) bool) {
	p.t.Helper()
	var a answer
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if a = p.ask("look"); is(a) {
			return
		}
	}
	p.t.Fatalf("%s: %+v", what, a)
}

func out(a answer, host string) bool {
	for _, id := range a.Out {
		if id == host {
			return true
		}
	}
	return false
}
