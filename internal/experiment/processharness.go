package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// processHarness runs a membership scenario with real processes: each runs the program with its own operator's file,
// and a network of relays connects them. It judges from outside, by the lines that they log and by the view that each
// reports on its admin listener, and shares no code with what it judges.
type processHarness struct {
	*membershipScenario
	command   func(file string) *exec.Cmd
	dir       string
	network   *network
	processes []*process
	logs      io.Writer
	client    http.Client
	startedAt time.Duration // when the day began, by the network's clock
	isolated  bool          // processes don't know each other: for comparison

	mu              sync.Mutex // guards what follows: lines come from each process's own goroutine
	excuses         []excuse
	memberByStart   map[string]int // whose each start is
	diedAt          map[string]time.Duration
	detections      map[string][]time.Duration
	falseVerdicts   int
	notes           []string
	changes         int // verdicts and other news that were seen: a rig that reads nothing judges nothing
	excusedVerdicts int // verdicts on the living that were to be expected: without any a cut has cut nothing
}

// harnessCount numbers the harnesses of this process, so that each has its own addresses.
var harnessCount atomic.Int32

const (
	processTimeout = 30 * time.Second // for what has to happen in the end, on a busy machine
	pollInterval   = 250 * time.Millisecond
)

// newProcessHarness returns a harness for n members; prepare creates them.
func newProcessHarness(ctx context.Context, d *membershipScenario, n int, loss float64, seed uint64, dir string, logs io.Writer) *processHarness {
	return &processHarness{membershipScenario: d, dir: dir, logs: logs, client: http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		network:       newNetwork(ctx, links{members: n, lossRate: loss, rng: rand.New(rand.NewPCG(seed, 6)), freeAt: map[[2]int]time.Duration{}}),
		memberByStart: map[string]int{}, diedAt: map[string]time.Duration{}, detections: map[string][]time.Duration{}}
}

// prepare allocates addresses, opens the relays and writes the configuration files of n members.
func (h *processHarness) prepare(n int) error {
	number := os.Getpid()<<2&0xffc | int(harnessCount.Add(1))&3
	var join []string
	for i := range n {
		p := &process{index: i, configFile: filepath.Join(h.dir, fmt.Sprintf("g%d.toml", i))}
		member, behind := addresses(number, i)
		listen, err := freePort(member)
		if err != nil {
			return err
		}
		admin, err := freePort(member)
		if err != nil {
			return err
		}
		p.listen, p.adminAddress = listen, admin.String()
		if p.relayAddress, err = h.network.addRelay(p.listen, behind); err != nil {
			return err
		}
		if i%max(1, n/3) == 0 && len(join) < 3 {
			join = append(join, p.relayAddress.String())
		}
		h.processes = append(h.processes, p)
	}
	key := filepath.Join(h.dir, "key")
	if err := os.WriteFile(key, []byte(strings.Repeat("c0ffee00", 8)+"\n"), 0o600); err != nil {
		return err
	}
	for _, p := range h.processes {
		p.operatorTables = fmt.Sprintf("[admin]\nlisten = %q\n[fleet]\nfleet = \"rig\"\nname = \"g%d\"\nzone = %q\nlisten = %q\nadvertise = %q\njoin = [%s]\nkey_file = %q\n",
			p.adminAddress, p.index, threeZones[p.index%3], p.listen, p.relayAddress, `"`+strings.Join(join, `", "`)+`"`, key)
		if err := os.WriteFile(p.configFile, []byte(p.operatorTables), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// launch starts a process and waits until it is ready.
func (h *processHarness) launch(p *process) error {
	p.cmd = h.command(p.configFile)
	p.cmd.SysProcAttr = killWithParent
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err = p.cmd.Start(); err != nil {
		return fmt.Errorf("starting a member: %w", err)
	}
	p.ended = make(chan struct{})
	lines := bufio.NewScanner(out)
	go func() {
		defer close(p.ended)
		for lines.Scan() {
			h.readLogLine(p.index, lines.Text())
		}
		p.cmd.Wait()
	}()
	return h.waitReady(p)
}

// waitReady waits until a started process reports its view.
func (h *processHarness) waitReady(p *process) error {
	for end := time.Now().Add(processTimeout); ; time.Sleep(20 * time.Millisecond) {
		v, err := h.fetchView(p)
		if err == nil {
			h.mu.Lock()
			p.start, p.up, p.paused = v.Self.Start, true, false
			h.memberByStart[p.start] = p.index
			h.mu.Unlock()
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("member %d ended at its start", p.index)
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("member %d tells nothing: %w", p.index, err)
		}
	}
}

// fetchView requests a member's view from its admin listener.
func (h *processHarness) fetchView(p *process) (v memberView, err error) {
	resp, err := h.client.Get("http://" + p.adminAddress + "/members")
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return v, errors.New(resp.Status)
	}
	return v, json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&v)
}

// readLogLine checks a line that a member has logged.
func (h *processHarness) readLogLine(i int, line string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.logs, "g%d %s\n", i, line)
	_, rest, ok := strings.Cut(line, "event=member_changed ")
	if !ok {
		return
	}
	values := map[string]string{}
	for _, word := range strings.Fields(rest) {
		if k, v, ok := strings.Cut(word, "="); ok {
			values[k] = v
		}
	}
	now := h.network.now()
	h.changes++
	if values["to"] != "failed" || values["from"] == "new" {
		return
	}
	start := values["incarnation"]
	if at, dead := h.diedAt[start]; dead {
		h.detections[start] = append(h.detections[start], now-at)
		return
	}
	of, known := h.memberByStart[start]
	switch {
	case !known || !h.processes[of].up || h.processes[of].start != start || h.startedAt == 0:
	case isExcused(h.excuses, now, i, of, len(h.processes)):
		h.excusedVerdicts++
	default:
		h.falseVerdicts++
		h.note("%d holds %d as failed, by %s", i, of, line)
	}
}

// note records a violation with its time, up to maxMemberNotes.
func (h *processHarness) note(format string, args ...any) {
	if len(h.notes) < 10 {
		h.notes = append(h.notes, fmt.Sprintf("%7.3fs ", (h.network.now()-h.startedAt).Seconds())+fmt.Sprintf(format, args...))
	}
}

// pollViews requests all views at the same time. It returns how many differ from the set of running members, and the
// sum of their shares of a common budget.
func (h *processHarness) pollViews() (unequal int, parts float64) {
	if h.isolated {
		return 0, 0
	}
	living, asked := map[string]bool{}, []*process{}
	h.mu.Lock()
	for _, p := range h.processes {
		if p.up {
			living[p.start] = true
		}
		if p.up && !p.paused {
			asked = append(asked, p)
		}
	}
	h.mu.Unlock()
	views := make([]*memberView, len(asked))
	var work sync.WaitGroup
	for k, p := range asked {
		work.Go(func() {
			if v, err := h.fetchView(p); err == nil {
				views[k] = &v
			}
		})
	}
	work.Wait()
	for _, v := range views {
		if v == nil {
			unequal++
			continue
		}
		parts += v.Part
		seen, wrong := 1, !living[v.Self.Start]
		for _, m := range v.Members {
			if m.State == "alive" || m.State == "draining" {
				seen++
				wrong = wrong || !living[m.Start]
			}
		}
		if wrong || seen != len(living) {
			unequal++
		}
	}
	return unequal, parts
}

// run waits until the members have found each other, applies the faults, and waits for their views to converge.
func (h *processHarness) run(ctx context.Context) (x processStats, err error) {
	if h.isolated {
		time.Sleep(settleTime)
	}
	for end := time.Now().Add(processTimeout); !h.isolated; time.Sleep(pollInterval) {
		unequal, parts := h.pollViews()
		x.maxBudgetShare = max(x.maxBudgetShare, parts)
		if unequal == 0 && parts > 0.99 {
			break
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return x, fmt.Errorf("%d of %d members have not found all others in %v", unequal, len(h.processes), processTimeout)
		}
	}
	h.mu.Lock()
	h.startedAt = h.network.now()
	h.mu.Unlock()
	type act struct {
		at time.Duration
		do func() error
	}
	var acts []act
	last := time.Duration(0)
	for _, f := range h.Faults {
		acts = append(acts, act{f.at(), func() error { return h.startFault(f) }})
		if end := f.end(h.membershipScenario); end <= time.Duration(h.Duration) {
			last = max(last, end)
			acts = append(acts, act{end, func() error { return h.endFault(f) }})
		}
	}
	slices.SortStableFunc(acts, func(a, b act) int { return int(a.at - b.at) })
	healed := time.Duration(0)
	x.healSeconds = processTimeout.Seconds()
	for {
		now := h.network.now() - h.startedAt
		for len(acts) > 0 && acts[0].at <= now {
			if err := acts[0].do(); err != nil {
				return x, err
			}
			acts = acts[1:]
		}
		unequal, parts := h.pollViews()
		x.maxBudgetShare, x.divergedViews = max(x.maxBudgetShare, parts), unequal
		if now = h.network.now() - h.startedAt; unequal > 0 || len(acts) > 0 {
			healed = 0
		} else if healed == 0 {
			healed = now
			x.healSeconds = max(0, now-last).Seconds()
		}
		// The day ends when its time is over, and views are equal or have had their time.
		if now >= time.Duration(h.Duration) && (healed > 0 || h.HealTimeout == 0 || now >= last+processTimeout) {
			break
		}
		wait := pollInterval
		if len(acts) > 0 {
			wait = min(wait, max(0, acts[0].at-now))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return x, ctx.Err()
		}
	}
	x.bytesPerSecond, x.residentMB = h.resourceUsage()
	h.mu.Lock()
	defer h.mu.Unlock()
	for start := range h.diedAt {
		took := h.detections[start]
		slices.Sort(took)
		if !h.ClaimsDetection {
			continue
		}
		if x.detectionSeconds = processTimeout.Seconds(); len(took) >= len(h.processes)-1 {
			x.detectionSeconds = took[len(h.processes)-2].Seconds()
		}
	}
	x.falseVerdicts, x.changes, x.excusedVerdicts, x.notes = h.falseVerdicts, h.changes, h.excusedVerdicts, h.notes
	return x, nil
}

// startFault applies a fault.
func (h *processHarness) startFault(f *membershipFault) error {
	h.mu.Lock()
	now := h.network.now()
	h.excuses = append(h.excuses, f.newExcuses(now, now+f.end(h.membershipScenario)-f.at())...)
	h.mu.Unlock()
	if f.Peers.matches != nil {
		h.network.startFault(f)
		return nil
	}
	for _, p := range h.processes {
		if !f.Members.matches(p.index, len(h.processes)) || !p.up {
			continue
		}
		var err error
		switch f.Kind {
		case faultPause:
			h.mu.Lock()
			p.paused = true
			h.mu.Unlock()
			err = p.cmd.Process.Signal(syscall.SIGSTOP)
		case faultKill, faultLeave:
			h.mu.Lock()
			p.up = false
			h.diedAt[p.start] = h.network.now()
			h.mu.Unlock()
			if f.Kind == faultLeave {
				err = p.terminate()
			} else {
				p.kill()
			}
		}
		if err != nil {
			return fmt.Errorf("%s of member %d: %w", f.Kind, p.index, err)
		}
	}
	return nil
}

// endFault reverts a fault. Killed processes start again, all at once.
func (h *processHarness) endFault(f *membershipFault) error {
	if f.Peers.matches != nil {
		h.network.endFault(f)
		return nil
	}
	var errs []error
	for _, p := range h.processes {
		if !f.Members.matches(p.index, len(h.processes)) {
			continue
		}
		switch f.Kind {
		case faultPause:
			errs = append(errs, p.cmd.Process.Signal(syscall.SIGCONT))
			h.mu.Lock()
			p.paused = false
			h.mu.Unlock()
		case faultKill, faultLeave:
			errs = append(errs, h.launch(p))
		}
	}
	return errors.Join(errs...)
}

// resourceUsage returns the mean bytes per second that a member has sent, and its mean resident memory in MB.
func (h *processHarness) resourceUsage() (bytes, resident float64) {
	for _, p := range h.processes {
		if !p.up {
			continue
		}
		if resp, err := h.client.Get("http://" + p.adminAddress + "/counters"); err == nil {
			text, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10)) // what is missing shows as 0
			resp.Body.Close()
			for _, line := range strings.Split(string(text), "\n") {
				var n float64
				if _, err := fmt.Sscanf(line, "peers_bytes_sent=%f", &n); err == nil {
					bytes += n / h.network.now().Seconds() / float64(len(h.processes))
				}
			}
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if _, rest, ok := strings.Cut(string(text), "VmRSS:"); err == nil && ok {
			var kb float64
			fmt.Sscanf(rest, "%f", &kb)
			resident += kb / 1024 / float64(len(h.processes))
		}
	}
	return bytes, resident
}
