package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rig plays a day of members with real processes: each runs the program with an operator's file, and a network of relays
// stands between them. It judges from outside: by the lines that they log, and by what each says of its view through its
// admin listener. It shares no code with what it judges.
type rig struct {
	*memberDay
	program func(file string) *exec.Cmd
	dir     string
	net     *network
	procs   []*process
	logs    io.Writer
	client  http.Client
	warm    time.Duration // when the day began, by the network's clock
	off     bool          // processes don't know each other: for comparison

	mu      sync.Mutex // guards what follows: lines come from each process's own goroutine
	excuses []excuse
	starts  map[string]int // whose each start is
	died    map[string]time.Duration
	knew    map[string][]time.Duration
	lies    int
	notes   []string
	changes int // verdicts and other news that were seen: a rig that reads nothing judges nothing
	excused int // verdicts on the living that were to be expected: without any a cut has cut nothing
}

// process is one member.
type process struct {
	i              int
	file, admin    string
	tables         string // of the operator's file
	cmd            *exec.Cmd
	ended          chan struct{}
	start          string
	up, stopped    bool
	listen, behind netip.AddrPort
}

// rigs numbers the rigs of this process: each has addresses of its own.
var rigs atomic.Int32

const (
	processWait = 30 * time.Second // for what has to happen in the end, on a busy machine
	pollEvery   = 250 * time.Millisecond
)

// diesWithUs has a process end with this one, also when that is killed. (The kernel means the thread that starts it; the
// runtime keeps its threads.)
var diesWithUs = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

// processFigures are those of one day with processes.
type processFigures struct {
	lies, unequal int
	healed        float64 // s from the end of the last fault until all views were the living; the bound if they never were
	parts         float64 // of a common budget that all may use, at most
	detect        float64 // s until all others know of a crash; 0: none
	changes       int
	excused       int     // verdicts on the living that were to be expected
	bytes         float64 // a second and member, over the day
	resident      float64 // MB a process, at the end
	notes         []string
}

// playProcesses plays a day once.
func playProcesses(ctx context.Context, d *memberDay, n int, loss float64, seed uint64, program func(file string) *exec.Cmd, logs io.Writer) (x processFigures, err error) {
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return x, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	r := newRig(ctx, d, n, loss, seed, dir, logs)
	r.program = program
	defer func() {
		for _, p := range r.procs {
			p.kill()
		}
		cancel()
		r.net.work.Wait()
	}()
	if err := r.prepare(n); err != nil {
		return x, err
	}
	r.net.serve()
	for _, p := range r.procs {
		if err := r.launch(p); err != nil {
			return x, err
		}
	}
	return r.play(ctx)
}

func newRig(ctx context.Context, d *memberDay, n int, loss float64, seed uint64, dir string, logs io.Writer) *rig {
	return &rig{memberDay: d, dir: dir, logs: logs, client: http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		net:    newNetwork(ctx, links{n: n, loss: loss, rng: rand.New(rand.NewPCG(seed, 6)), free: map[[2]int]time.Duration{}}),
		starts: map[string]int{}, died: map[string]time.Duration{}, knew: map[string][]time.Duration{}}
}

// prepare finds addresses, opens the relays and writes the files.
func (r *rig) prepare(n int) error {
	number := os.Getpid()<<2&0xffc | int(rigs.Add(1))&3
	var join []string
	for i := range n {
		p := &process{i: i, file: filepath.Join(r.dir, fmt.Sprintf("g%d.toml", i))}
		member, behind := addresses(number, i)
		listen, err := freePort(member)
		if err != nil {
			return err
		}
		admin, err := freePort(member)
		if err != nil {
			return err
		}
		p.listen, p.admin = listen, admin.String()
		if p.behind, err = r.net.add(p.listen, behind); err != nil {
			return err
		}
		if i%max(1, n/3) == 0 && len(join) < 3 {
			join = append(join, p.behind.String())
		}
		r.procs = append(r.procs, p)
	}
	key := filepath.Join(r.dir, "key")
	if err := os.WriteFile(key, []byte(strings.Repeat("c0ffee00", 8)+"\n"), 0o600); err != nil {
		return err
	}
	for _, p := range r.procs {
		p.tables = fmt.Sprintf("[admin]\nlisten = %q\n[fleet]\nfleet = \"rig\"\nname = \"g%d\"\nzone = %q\nlisten = %q\nadvertise = %q\njoin = [%s]\nkey_file = %q\n",
			p.admin, p.i, threeZones[p.i%3], p.listen, p.behind, `"`+strings.Join(join, `", "`)+`"`, key)
		if err := os.WriteFile(p.file, []byte(p.tables), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// freePort finds a port that is free for datagrams and streams.
func freePort(at netip.Addr) (netip.AddrPort, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// launch starts a process, and waits until it tells who it is.
func (r *rig) launch(p *process) error {
	p.cmd = r.program(p.file)
	p.cmd.SysProcAttr = diesWithUs
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
			r.read(p.i, lines.Text())
		}
		p.cmd.Wait()
	}()
	return r.greet(p)
}

// greet waits until a process that has been started tells who it is.
func (r *rig) greet(p *process) error {
	for end := time.Now().Add(processWait); ; time.Sleep(20 * time.Millisecond) {
		v, err := r.ask(p)
		if err == nil {
			r.mu.Lock()
			p.start, p.up, p.stopped = v.Self.Start, true, false
			r.starts[p.start] = p.i
			r.mu.Unlock()
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("member %d ended at its start", p.i)
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("member %d tells nothing: %w", p.i, err)
		}
	}
}

func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil && p.ended != nil {
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// end asks a process to end, and kills it if it does not.
func (p *process) end() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(processWait):
		p.kill()
		return fmt.Errorf("it does not end in %v after SIGTERM", processWait)
	}
}

// told is what a member says of itself, as far as it is judged.
type told struct {
	Self    struct{ Start string }
	Members []struct{ Start, State string }
	Part    float64
	Size    int

	Conflicts []string
}

// ask gets a member's view.
func (r *rig) ask(p *process) (v told, err error) {
	resp, err := r.client.Get("http://" + p.admin + "/members")
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return v, errors.New(resp.Status)
	}
	return v, json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&v)
}

// read judges a line that a member logs.
func (r *rig) read(i int, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.logs, "g%d %s\n", i, line)
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
	now := r.net.now()
	r.changes++
	if values["to"] != "failed" || values["from"] == "new" {
		return
	}
	start := values["incarnation"]
	if at, dead := r.died[start]; dead {
		r.knew[start] = append(r.knew[start], now-at)
		return
	}
	of, known := r.starts[start]
	switch {
	case !known || !r.procs[of].up || r.procs[of].start != start || r.warm == 0:
	case excused(r.excuses, now, i, of, len(r.procs)):
		r.excused++
	default:
		r.lies++
		r.note("%d holds %d as failed, by %s", i, of, line)
	}
}

func (r *rig) note(format string, args ...any) {
	if len(r.notes) < 10 {
		r.notes = append(r.notes, fmt.Sprintf("%7.3fs ", (r.net.now()-r.warm).Seconds())+fmt.Sprintf(format, args...))
	}
}

// poll asks all that run at once, and returns how many hold other members for living than do live, and the parts of a
// common budget that they may use together.
func (r *rig) poll() (unequal int, parts float64) {
	if r.off {
		return 0, 0
	}
	living, asked := map[string]bool{}, []*process{}
	r.mu.Lock()
	for _, p := range r.procs {
		if p.up {
			living[p.start] = true
		}
		if p.up && !p.stopped {
			asked = append(asked, p)
		}
	}
	r.mu.Unlock()
	views := make([]*told, len(asked))
	var work sync.WaitGroup
	for k, p := range asked {
		work.Go(func() {
			if v, err := r.ask(p); err == nil {
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

// play lets the members find each other, does to them what the day says, and waits for their views to be equal.
func (r *rig) play(ctx context.Context) (x processFigures, err error) {
	if r.off {
		time.Sleep(settles)
	}
	for end := time.Now().Add(processWait); !r.off; time.Sleep(pollEvery) {
		unequal, parts := r.poll()
		x.parts = max(x.parts, parts)
		if unequal == 0 && parts > 0.99 {
			break
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return x, fmt.Errorf("%d of %d members have not found all others in %v", unequal, len(r.procs), processWait)
		}
	}
	r.mu.Lock()
	r.warm = r.net.now()
	r.mu.Unlock()
	type act struct {
		at time.Duration
		do func() error
	}
	var acts []act
	last := time.Duration(0)
	for _, f := range r.Faults {
		acts = append(acts, act{f.at(), func() error { return r.begin(f) }})
		if end := f.end(r.memberDay); end <= time.Duration(r.Length) {
			last = max(last, end)
			acts = append(acts, act{end, func() error { return r.finish(f) }})
		}
	}
	slices.SortStableFunc(acts, func(a, b act) int { return int(a.at - b.at) })
	healed := time.Duration(0)
	x.healed = processWait.Seconds()
	for {
		now := r.net.now() - r.warm
		for len(acts) > 0 && acts[0].at <= now {
			if err := acts[0].do(); err != nil {
				return x, err
			}
			acts = acts[1:]
		}
		unequal, parts := r.poll()
		x.parts, x.unequal = max(x.parts, parts), unequal
		if now = r.net.now() - r.warm; unequal > 0 || len(acts) > 0 {
			healed = 0
		} else if healed == 0 {
			healed = now
			x.healed = max(0, now-last).Seconds()
		}
		// The day ends when its time is over, and views are equal or have had their time.
		if now >= time.Duration(r.Length) && (healed > 0 || r.Heal == 0 || now >= last+processWait) {
			break
		}
		wait := pollEvery
		if len(acts) > 0 {
			wait = min(wait, max(0, acts[0].at-now))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return x, ctx.Err()
		}
	}
	x.bytes, x.resident = r.costs()
	r.mu.Lock()
	defer r.mu.Unlock()
	for start := range r.died {
		took := r.knew[start]
		slices.Sort(took)
		if !r.Crash {
			continue
		}
		if x.detect = processWait.Seconds(); len(took) >= len(r.procs)-1 {
			x.detect = took[len(r.procs)-2].Seconds()
		}
	}
	x.lies, x.changes, x.excused, x.notes = r.lies, r.changes, r.excused, r.notes
	return x, nil
}

// begin does what a fault does at its start.
func (r *rig) begin(f *memberFault) error {
	r.mu.Lock()
	now := r.net.now()
	r.excuses = append(r.excuses, f.excusesOf(now, now+f.end(r.memberDay)-f.at())...)
	r.mu.Unlock()
	if f.To.has != nil {
		r.net.begin(f)
		return nil
	}
	for _, p := range r.procs {
		if !f.Who.has(p.i, len(r.procs)) || !p.up {
			continue
		}
		var err error
		switch f.Kind {
		case pause:
			r.mu.Lock()
			p.stopped = true
			r.mu.Unlock()
			err = p.cmd.Process.Signal(syscall.SIGSTOP)
		case kill, leave:
			r.mu.Lock()
			p.up = false
			r.died[p.start] = r.net.now()
			r.mu.Unlock()
			if f.Kind == leave {
				err = p.end()
			} else {
				p.kill()
			}
		}
		if err != nil {
			return fmt.Errorf("%s of member %d: %w", f.Kind, p.i, err)
		}
	}
	return nil
}

// finish undoes it. Processes that were killed start anew, all at once.
func (r *rig) finish(f *memberFault) error {
	if f.To.has != nil {
		r.net.end(f)
		return nil
	}
	var errs []error
	for _, p := range r.procs {
		if !f.Who.has(p.i, len(r.procs)) {
			continue
		}
		switch f.Kind {
		case pause:
			errs = append(errs, p.cmd.Process.Signal(syscall.SIGCONT))
			r.mu.Lock()
			p.stopped = false
			r.mu.Unlock()
		case kill, leave:
			errs = append(errs, r.launch(p))
		}
	}
	return errors.Join(errs...)
}

// costs are the bytes that a member has sent a second, and its memory in MB, both on the mean.
func (r *rig) costs() (bytes, resident float64) {
	for _, p := range r.procs {
		if !p.up {
			continue
		}
		if resp, err := r.client.Get("http://" + p.admin + "/counters"); err == nil {
			text, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10)) // what is missing shows as 0
			resp.Body.Close()
			for _, line := range strings.Split(string(text), "\n") {
				var n float64
				if _, err := fmt.Sscanf(line, "peers_bytes_sent=%f", &n); err == nil {
					bytes += n / r.net.now().Seconds() / float64(len(r.procs))
				}
			}
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if _, rest, ok := strings.Cut(string(text), "VmRSS:"); err == nil && ok {
			var kb float64
			fmt.Sscanf(rest, "%f", &kb)
			resident += kb / 1024 / float64(len(r.procs))
		}
	}
	return bytes, resident
}

// runProcesses plays a day of members with real processes, at each size, with each loss and seed.
func (e *Experiment) runProcesses(ctx context.Context, o Options) (*Result, error) {
	d := e.members
	sizes := o.Members
	if len(sizes) == 0 {
		sizes = []int{7}
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: "processes", Version: o.Version,
		Size: fmt.Sprintf("%v members", sizes), Machine: fmt.Sprintf("%d cores", runtime.NumCPU()),
		Figures: map[string]float64{}, Series: map[string][]float64{}}
	program := func(file string) *exec.Cmd { return exec.Command(o.Program, "--operator", file) }
	for _, n := range sizes {
		for _, loss := range d.Losses {
			var sum processFigures
			for i := range o.Seeds {
				x, err := playProcesses(ctx, d, n, loss, o.Seed+uint64(i), program, o.Logs)
				if err != nil {
					return nil, fmt.Errorf("%d members, loss %.0f%%, seed %d: %w", n, loss*100, o.Seed+uint64(i), err)
				}
				sum.lies, sum.changes, sum.notes = sum.lies+x.lies, sum.changes+x.changes, append(sum.notes, x.notes...)
				sum.healed, sum.parts, sum.detect = max(sum.healed, x.healed), max(sum.parts, x.parts), max(sum.detect, x.detect)
				sum.bytes, sum.resident = max(sum.bytes, x.bytes), max(sum.resident, x.resident)
				if o.Progress != nil {
					o.Progress(i+1, o.Seeds)
				}
			}
			p := fmt.Sprintf("%d processes, loss %.0f%%: ", n, loss*100)
			key := func(name string) string { return fmt.Sprintf("%s_%d_loss_%.0f", name, n, loss*100) }
			r.claim(p+"live members held as failed", float64(sum.lies), "==", 0)
			r.claim(p+"of a budget that all may use together, at most", sum.parts, "<=", 1+1e-9)
			r.claim(p+"news that were seen of them", float64(sum.changes), ">=", float64(n*(n-1)*o.Seeds))
			if d.Heal > 0 {
				r.claim(p+"s until all views are the living, worst day", sum.healed, "<=", time.Duration(d.Heal).Seconds())
			}
			if d.Crash {
				r.claim(p+"s until all know of a crash, worst day", sum.detect, "<=", map[bool]float64{true: 5, false: 8}[loss == 0])
			}
			r.Figures[key("bytes_a_second")], r.Figures[key("resident_mb")] = sum.bytes, sum.resident
			r.Notes = append(r.Notes, sum.notes...)
		}
	}
	r.Notes = r.Notes[:min(len(r.Notes), 20)]
	return r, nil
}
