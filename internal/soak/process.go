package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cranegate/internal/fake"
)

// process is one process of a gateway. Its log goes through a pipe, as to a collector.
type process struct {
	gateway  *gateway
	number   int
	cmd      *exec.Cmd
	admin    string
	ended    chan struct{}
	err      error       // once it has ended
	expected atomic.Bool // somebody has ended it

	serves atomic.Bool // it has said yes
	paused atomic.Bool // its log's collector has stopped reading
	pipe   *os.File

	mu         sync.Mutex
	last       []string // lines of its log
	violations []string
	keep       io.WriteCloser // nil: its log is dropped
}

const (
	readyFor     = 30 * time.Second // the page's bound for a start
	exitFor      = 20 * time.Second // after SIGTERM; the page's 3.7 s and what a busy machine takes
	pipeSize     = 4096
	lastLines    = 12
	passedAt     = 5 // the descriptor of the listening socket in the process
	pollEvery    = 10 * time.Millisecond
	callFor      = 3 * time.Second
	crashNoticed = time.Second // a crash is noticed within this
	collectGap   = 5 * time.Millisecond
)

// launch starts a process of a gateway.
func (g *gateway) launch() (*process, error) {
	p := &process{gateway: g, cmd: exec.Command(g.site.opt.Program), ended: make(chan struct{})}
	g.site.mu.Lock()
	g.site.started++
	p.number = g.site.started
	g.site.mu.Unlock()
	var err error
	if p.admin, err = fake.FreeAddress(); err != nil {
		return nil, err
	}
	socket, err := g.socket.File()
	if err != nil {
		return nil, fmt.Errorf("passing the listening socket on: %w", err)
	}
	defer socket.Close()
	read, write, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("making the log's pipe: %w", err)
	}
	defer write.Close()
	unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, pipeSize)
	if g.site.opt.Keep != "" {
		if p.keep, err = os.Create(filepath.Join(g.site.opt.Keep, fmt.Sprintf("%s-%03d.log", g.name, p.number))); err != nil {
			return nil, fmt.Errorf("keeping a log: %w", err)
		}
	}
	p.pipe = read
	p.cmd.ExtraFiles = []*os.File{nil, nil, socket}
	p.cmd.Env = append(os.Environ(), "TMPDIR="+g.state, "PROXY_CONFIG="+g.config, "PROXY_ADMIN="+p.admin, fmt.Sprintf("PROXY_PASSED_SOCKET=%d", passedAt))
	if g.site.opt.Keep != "" {
		p.cmd.Env = append(p.cmd.Env, "CRANEGATE_LOG_LEVEL=debug")
	}
	p.cmd.Stdout, p.cmd.Stderr = write, write
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", g.name, err)
	}
	go p.collect()
	go func() {
		p.err = p.cmd.Wait()
		if !p.expected.Load() {
			g.site.judge.find(Finding{Rule: ruleCrash, Where: p.String(), Detail: fmt.Sprintf("%v; %s", p.err, p.tail())})
			go g.recover()
		}
		close(p.ended)
	}()
	return p, nil
}

// recover starts a process in place of one that has crashed, so that the run goes on.
func (g *gateway) recover() {
	defer g.during(&g.excused, time.Now().Add(-crashNoticed))()
	if g.site.ctx.Err() == nil {
		g.site.replace(g)
	}
}

func (p *process) String() string { return fmt.Sprintf("%s process %d", p.gateway.name, p.number) }

// collect reads the log, but while its collector has stopped.
func (p *process) collect() {
	lines := bufio.NewReader(p.pipe)
	for {
		for p.paused.Load() && p.gateway.site.ctx.Err() == nil {
			time.Sleep(collectGap)
		}
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		p.take(strings.TrimSuffix(line, "\n"))
	}
}

// take keeps a line of the log.
func (p *process) take(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keep != nil {
		fmt.Fprintln(p.keep, line)
	}
	if strings.Contains(line, "event=violation") {
		p.violations = append(p.violations, line)
	}
	if strings.Contains(line, "level=DEBUG") {
		return
	}
	if p.last = append(p.last, line); len(p.last) > lastLines {
		p.last = p.last[1:]
	}
}

// tail is the end of the log, for a finding.
func (p *process) tail() string { p.mu.Lock(); defer p.mu.Unlock(); return strings.Join(p.last, " | ") }

// reported are the violations that the process has logged.
func (p *process) reported() []string { p.mu.Lock(); defer p.mu.Unlock(); return p.violations }

// call makes a call at the second address.
func (p *process) call(ctx context.Context, method, path string) (status int, err error) {
	status, _, err = p.ask(ctx, method, path)
	return status, err
}

// ask makes a call at the second address, and returns what it says.
func (p *process) ask(ctx context.Context, method, path string) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// checkCounters looks whether the process has counted violations: its log may have been read by nobody.
func (p *process) checkCounters() {
	_, text, err := p.ask(p.gateway.site.ctx, http.MethodGet, "/counters")
	if err != nil || !strings.Contains(text, "requests=") {
		p.gateway.site.judge.find(Finding{Rule: ruleStuck, Where: p.String(), Detail: fmt.Sprintf("its counters can't be read: %v", err)})
	}
	if n := strings.Index(text, "\nviolations="); n >= 0 {
		line, _, _ := strings.Cut(text[n+1:], "\n")
		p.gateway.site.judge.find(Finding{Rule: ruleViolation, Where: p.String(), Detail: "counted: " + line})
	}
}

// ready waits until the process serves. False: it does not in time, or has ended.
func (p *process) ready(ctx context.Context) bool {
	for end := time.Now().Add(readyFor); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollEvery) {
		if status, err := p.call(ctx, http.MethodGet, "/_ready"); err == nil && status == http.StatusOK {
			p.serves.Store(true)
			return true
		}
		select {
		case <-p.ended:
			return false
		default:
		}
	}
	return false
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// tell sends a signal that the program handles, once it has said that it serves: before its runtime is up the system's default holds,
// which ends any process.
func (p *process) tell(s syscall.Signal) {
	if p.serves.Load() {
		p.signal(s)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.expected.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// term ends the process in order, which must not take long, and with code 0.
func (p *process) term() {
	p.expected.Store(true)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		if p.err != nil {
			p.gateway.site.judge.find(Finding{Rule: ruleExit, Where: p.String(), Detail: fmt.Sprintf("after SIGTERM: %v; %s", p.err, p.tail())})
		}
	case <-time.After(exitFor):
		p.gateway.site.judge.find(Finding{Rule: ruleExit, Where: p.String(), Detail: "it does not end after SIGTERM; " + p.tail()})
		p.kill()
	}
}

// lives says whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// killAll ends what is left, by process.
func (s *site) killAll() {
	for _, g := range s.gateways {
		for _, p := range g.all() {
			if p.lives() {
				p.kill()
			}
			p.pipe.Close()
		}
	}
}

// stopAll ends each gateway's last process in order, side by side.
func (s *site) stopAll() {
	var group sync.WaitGroup
	for _, g := range s.gateways {
		g.sendsAway()
		for _, p := range g.all() {
			if p.lives() {
				group.Go(func() {
					p.checkCounters()
					p.term()
				})
			}
		}
	}
	group.Wait()
}

// closeWith closes something as the run ends.
func (s *site) closeWith(c io.Closer) { context.AfterFunc(s.ctx, func() { c.Close() }) }

// descriptors is how many the process holds.
func (p *process) descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries), err
}

// limitDescriptors bounds the descriptors of the running process at what it holds and some more; the call ends that.
func (p *process) limitDescriptors(spare int) (end func(), err error) {
	held, err := p.descriptors()
	if err != nil {
		return nil, err
	}
	pid := p.cmd.Process.Pid
	var old unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old); err != nil {
		return nil, err
	}
	low := unix.Rlimit{Cur: uint64(held + spare), Max: old.Max}
	if low.Cur > old.Cur {
		return nil, errors.New("no lower limit")
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &low, nil); err != nil {
		return nil, err
	}
	return func() { unix.Prlimit(pid, unix.RLIMIT_NOFILE, &old, nil) }, nil
}
