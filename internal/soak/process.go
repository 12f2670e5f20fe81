package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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

// process is one process of a gateway. It logs to a pipe, as to a log collector.
type process struct {
	gateway      *gateway
	number       int
	cmd          *exec.Cmd
	adminAddress string
	done         chan struct{}
	exitErr      error       // valid once done is closed
	exitExpected atomic.Bool // set before the process is ended on purpose

	wasReady  atomic.Bool // set once the process has reported ready
	logPaused atomic.Bool // the log is not being read
	logPipe   *os.File

	mu         sync.Mutex
	logTail    []string       // last lines of the log
	violations []string       // log lines of violations
	logFile    io.WriteCloser // nil if the log is discarded
}

const (
	readyTimeout         = 30 * time.Second // the documented bound for a start
	exitTimeout          = 20 * time.Second // after SIGTERM: the documented 3.7 s and a margin for a busy machine
	logPipeBytes         = 4096
	logTailLines         = 12
	listenerDescriptor   = 5 // descriptor number of the listening socket in the process
	readyPollInterval    = 10 * time.Millisecond
	adminCallTimeout     = 3 * time.Second
	crashDetectionDelay  = time.Second // upper bound of the time between a crash and its detection
	logPausePollInterval = 5 * time.Millisecond
)

// launch starts a process of the gateway.
func (g *gateway) launch() (*process, error) {
	p := &process{gateway: g, cmd: exec.Command(g.scenario.options.Program), done: make(chan struct{})}
	g.scenario.mu.Lock()
	g.scenario.processCount++
	p.number = g.scenario.processCount
	g.scenario.mu.Unlock()
	var err error
	if p.adminAddress, err = fake.FreeAddress(); err != nil {
		return nil, err
	}
	socket, err := g.listener.File()
	if err != nil {
		return nil, fmt.Errorf("duplicating the listening socket: %w", err)
	}
	defer socket.Close()
	read, write, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("creating the log's pipe: %w", err)
	}
	defer write.Close()
	unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, logPipeBytes)
	if g.scenario.options.LogDir != "" {
		path := filepath.Join(g.scenario.options.LogDir, fmt.Sprintf("%s-%03d.log", g.name, p.number))
		if p.logFile, err = os.Create(path); err != nil {
			return nil, fmt.Errorf("creating the log file: %w", err)
		}
	}
	p.logPipe = read
	p.cmd.ExtraFiles = []*os.File{nil, nil, socket}
	p.cmd.Env = append(os.Environ(),
		"TMPDIR="+g.stateDir,
		"PROXY_CONFIG="+g.configPath,
		"PROXY_ADMIN="+p.adminAddress,
		fmt.Sprintf("PROXY_PASSED_SOCKET=%d", listenerDescriptor),
	)
	if g.scenario.options.LogDir != "" {
		p.cmd.Env = append(p.cmd.Env, "CRANEGATE_LOG_LEVEL=debug")
	}
	p.cmd.Stdout, p.cmd.Stderr = write, write
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", g.name, err)
	}
	go p.collectLog()
	go func() {
		p.exitErr = p.cmd.Wait()
		if !p.exitExpected.Load() {
			g.scenario.checker.report(ruleCrash, p.String(), "%v; %s", p.exitErr, p.tail())
			go g.restartCrashed()
		}
		close(p.done)
	}()
	return p, nil
}

// restartCrashed replaces a process that crashed, so that the run can continue.
func (g *gateway) restartCrashed() {
	defer g.beginInterval(&g.disruptions, time.Now().Add(-crashDetectionDelay))()
	if g.scenario.ctx.Err() == nil {
		g.scenario.replace(g)
	}
}

func (p *process) String() string { return fmt.Sprintf("%s process %d", p.gateway.name, p.number) }

// collectLog reads the process's log, except while logPaused is set.
func (p *process) collectLog() {
	lines := bufio.NewReader(p.logPipe)
	for {
		for p.logPaused.Load() && p.gateway.scenario.ctx.Err() == nil {
			time.Sleep(logPausePollInterval)
		}
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		p.recordLogLine(strings.TrimSuffix(line, "\n"))
	}
}

// recordLogLine adds a line to the log file, if there is one, and to the recorded violations and the log's tail, if it
// belongs there.
func (p *process) recordLogLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.logFile != nil {
		fmt.Fprintln(p.logFile, line)
	}
	if strings.Contains(line, "event=violation") {
		p.violations = append(p.violations, line)
	}
	if strings.Contains(line, "level=DEBUG") {
		return
	}
	if p.logTail = append(p.logTail, line); len(p.logTail) > logTailLines {
		p.logTail = p.logTail[1:]
	}
}

// tail returns the end of the log, for a finding.
func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.logTail, " | ")
}

// loggedViolations returns the violations that the process has logged.
func (p *process) loggedViolations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.violations
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// signalIfReady sends a signal that the gateway handles, unless the process has not been ready yet. Until then its handler
// may be missing, and the signal's default action would end the process.
func (p *process) signalIfReady(s syscall.Signal) {
	if p.wasReady.Load() {
		p.signal(s)
	}
}

// kill ends the process with SIGKILL and waits for it.
func (p *process) kill() {
	p.exitExpected.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate ends the process with SIGTERM. It reports a finding unless the process exits with code 0 within exitTimeout.
func (p *process) terminate() {
	p.exitExpected.Store(true)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.exitErr != nil {
			p.gateway.scenario.checker.report(ruleExit, p.String(), "after SIGTERM: %v; %s", p.exitErr, p.tail())
		}
	case <-time.After(exitTimeout):
		p.gateway.scenario.checker.report(ruleExit, p.String(), "it does not end after SIGTERM; %s", p.tail())
		p.kill()
	}
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// killAll kills the processes that still run.
func (s *scenario) killAll() {
	for _, g := range s.gateways {
		for _, p := range g.allProcesses() {
			if p.running() {
				p.kill()
			}
			p.logPipe.Close()
		}
	}
}

// stopAll checks and terminates the processes that still run, concurrently.
func (s *scenario) stopAll() {
	var group sync.WaitGroup
	for _, g := range s.gateways {
		g.beginDrain()
		for _, p := range g.allProcesses() {
			if p.running() {
				group.Go(func() {
					p.checkCounters()
					p.terminate()
				})
			}
		}
	}
	group.Wait()
}

// closeAtEnd closes c when the run ends.
func (s *scenario) closeAtEnd(c io.Closer) { context.AfterFunc(s.ctx, func() { c.Close() }) }

// openDescriptors returns how many descriptors the process has open.
func (p *process) openDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries), err
}

// limitDescriptors lowers the process's descriptor limit to the number of open descriptors plus spare. The returned
// function restores the limit.
func (p *process) limitDescriptors(spare int) (end func(), err error) {
	openNow, err := p.openDescriptors()
	if err != nil {
		return nil, err
	}
	pid := p.cmd.Process.Pid
	var previous unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &previous); err != nil {
		return nil, err
	}
	lowered := unix.Rlimit{Cur: uint64(openNow + spare), Max: previous.Max}
	if lowered.Cur > previous.Cur {
		return nil, errors.New("the current limit is lower already")
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		return nil, err
	}
	return func() { unix.Prlimit(pid, unix.RLIMIT_NOFILE, &previous, nil) }, nil
}
