package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// processHarness runs a membership scenario with real processes, which a network of relays connects. Each process runs
// the program with its own operator's file. The harness checks the processes by their log lines and by the view that
// each reports on its admin listener; it shares no code with them.
type processHarness struct {
	*membershipScenario
	command   func(file string) *exec.Cmd // returns the command that runs a member with an operator's file
	dir       string
	network   *network
	processes []*process
	logs      io.Writer
	client    http.Client
	startedAt time.Duration // start of the scenario, by the network's clock; 0: the members still converge
	isolated  bool          // processes form no fleet, for comparison

	mu              sync.Mutex // guards the fields below: each process logs from its own goroutine
	excuses         []excuse
	memberByStart   map[string]int             // index of the member that each start belongs to
	endedAt         map[string]time.Duration   // when the process of each start ended
	detections      map[string][]time.Duration // from that end to each observer's verdict
	falseVerdicts   int
	notes           []string
	changes         int // state changes read; 0 shows that the harness has checked nothing
	excusedVerdicts int // expected verdicts on running members; 0 shows that a partition had no effect
}

// harnessCount numbers the harnesses of this process, so that each has its own addresses.
var harnessCount atomic.Int32

const (
	processTimeout = 30 * time.Second // generous, for busy machines
	pollInterval   = 250 * time.Millisecond
)

// newProcessHarness returns a harness for n members; prepare creates them.
func newProcessHarness(ctx context.Context, scenario *membershipScenario, n int, lossRate float64, seed uint64, dir string, logs io.Writer) *processHarness {
	return &processHarness{
		membershipScenario: scenario,
		dir:                dir,
		logs:               logs,
		client:             http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		network:            newNetwork(ctx, newLinks(n, lossRate, seed)),
		memberByStart:      map[string]int{},
		endedAt:            map[string]time.Duration{},
		detections:         map[string][]time.Duration{},
	}
}

// prepare allocates addresses, opens the relays and writes the configuration files of n members.
func (h *processHarness) prepare(n int) error {
	number := os.Getpid()<<2&0xffc | int(harnessCount.Add(1))&3
	var join []string
	for i := range n {
		p := &process{index: i, configFile: filepath.Join(h.dir, fmt.Sprintf("g%d.toml", i))}
		member, relayAddress := addresses(number, i)
		listen, err := freePort(member)
		if err != nil {
			return err
		}
		admin, err := freePort(member)
		if err != nil {
			return err
		}
		p.listen, p.adminAddress = listen, admin.String()
		if p.relayAddress, err = h.network.addRelay(p.listen, relayAddress); err != nil {
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
		view, err := h.fetchView(p)
		if err == nil {
			h.mu.Lock()
			p.start, p.up, p.paused = view.Self.Start, true, false
			h.memberByStart[p.start] = p.index
			h.mu.Unlock()
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("member %d ended during its start", p.index)
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("member %d does not report its view: %w", p.index, err)
		}
	}
}

// note records a violation with its time, up to maxMemberNotes.
func (h *processHarness) note(format string, args ...any) {
	if len(h.notes) < maxMemberNotes {
		h.notes = append(h.notes, fmt.Sprintf("%7.3fs ", (h.network.now()-h.startedAt).Seconds())+fmt.Sprintf(format, args...))
	}
}

// run waits until the members have found each other, applies the faults, and waits for their views to converge.
func (h *processHarness) run(ctx context.Context) (stats processStats, err error) {
	if h.isolated {
		time.Sleep(settleTime)
	} else if err := h.waitConverged(ctx, &stats); err != nil {
		return stats, err
	}
	h.mu.Lock()
	h.startedAt = h.network.now()
	h.mu.Unlock()
	if err := h.runFaults(ctx, &stats); err != nil {
		return stats, err
	}
	stats.bytesPerSecond, stats.residentMB = h.resourceUsage()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ClaimsDetection {
		stats.detectionSeconds = h.detectionSeconds()
	}
	stats.falseVerdicts, stats.changes, stats.excusedVerdicts, stats.notes = h.falseVerdicts, h.changes, h.excusedVerdicts, h.notes
	return stats, nil
}

// waitConverged waits until each member's view contains all members and their shares add up to a full budget.
func (h *processHarness) waitConverged(ctx context.Context, stats *processStats) error {
	for end := time.Now().Add(processTimeout); ; time.Sleep(pollInterval) {
		diverged, total := h.pollViews()
		stats.maxBudgetShare = max(stats.maxBudgetShare, total)
		if diverged == 0 && total > 0.99 {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("%d of %d members have not found all others in %v", diverged, len(h.processes), processTimeout)
		}
	}
}

// detectionSeconds returns the seconds from a member's end until all other members had detected it, or processTimeout if
// they never did. The caller holds mu.
func (h *processHarness) detectionSeconds() float64 {
	seconds := 0.0
	for start := range h.endedAt {
		detections := h.detections[start]
		slices.Sort(detections)
		seconds = processTimeout.Seconds()
		if others := len(h.processes) - 1; len(detections) >= others {
			seconds = detections[others-1].Seconds()
		}
	}
	return seconds
}

// resourceUsage returns the mean bytes per second that a member has sent, and its mean resident memory in MB.
func (h *processHarness) resourceUsage() (bytes, resident float64) {
	for _, p := range h.processes {
		if !p.up {
			continue
		}
		if resp, err := h.client.Get("http://" + p.adminAddress + "/counters"); err == nil {
			text, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10)) // a missing value shows as 0
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
