package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// trouble is one kind of trouble at a gateway and a host. Play draws its figures first, so that a seed gives the same ones.
type trouble struct {
	kind string
	play func(s *site, g *gateway, h *host, rng *rand.Rand)
}

var troubles = []trouble{
	{"rolling_restart", rollingRestart}, {"kill", killAndStart}, {"pause", pause}, {"upgrade", upgrade}, {"reload", reload},
	{"discovery", discoveryFault}, {"drain", drain}, {"hang", hang}, {"host_dies", hostDies}, {"late_connects", lateConnects},
	{"stall", stall}, {"resets", resets}, {"bad_answers", badAnswers}, {"ban", ban}, {"lameduck", lameduck},
	{"descriptors", descriptors}, {"log_stops", logStops}, {"log_ends", logEnds}, {"file_size", fileSize},
	{"leavers", leavers}, {"half_messages", halfMessages}, {"babble", babble}, {"pipelines", pipelines},
}

const (
	knotEvery   = 1500 * time.Millisecond // the mean between two knots of one strand
	knotSpread  = 400 * time.Millisecond  // in which a knot's troubles begin
	strandEvery = 3                       // gateways to a strand of knots
)

// play draws knots of troubles and waits until the last has ended.
func (s *site) play(rng *rand.Rand) {
	var group sync.WaitGroup
	for range max(1, s.opt.Gateways/strandEvery) {
		strand := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		group.Go(func() {
			for at := time.Duration(0); at < s.opt.For; {
				wait := time.Duration((0.5 + strand.Float64()) * float64(knotEvery))
				time.Sleep(wait)
				at += wait
				s.knot(strand, &group)
			}
		})
	}
	group.Wait()
}

// knot begins two or three troubles at one gateway and one host.
func (s *site) knot(rng *rand.Rand, group *sync.WaitGroup) {
	g, h := s.gateways[rng.IntN(len(s.gateways))], s.hosts[rng.IntN(len(s.hosts))]
	drawn := s.drawn()
	for _, i := range rng.Perm(len(drawn))[:min(len(drawn), 2+rng.IntN(2))] {
		after := time.Duration(rng.Int64N(int64(knotSpread)))
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		group.Go(func() {
			time.Sleep(after)
			s.count(drawn[i].kind)
			drawn[i].play(s, g, h, own)
		})
	}
}

// drawn are the troubles that the run draws from.
func (s *site) drawn() []trouble {
	if len(s.opt.Only) == 0 {
		return troubles
	}
	return slices.DeleteFunc(slices.Clone(troubles), func(t trouble) bool { return !slices.Contains(s.opt.Only, t.kind) })
}

// between draws a time.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// rollingRestart ends a gateway's process in order and starts the next at once.
func rollingRestart(s *site, g *gateway, _ *host, _ *rand.Rand) {
	if !g.take() {
		return
	}
	defer g.release()
	defer g.sendsAway()()
	defer s.judge.forget(g) // the old process may have been told what the new one was not
	old := g.current()
	ended := make(chan struct{})
	go func() { old.term(); close(ended) }()
	s.replace(g)
	<-ended
}

// replace starts a gateway's next process and waits until it serves.
func (s *site) replace(g *gateway) {
	if err := g.start(); err != nil {
		s.judge.find(Finding{Rule: ruleCrash, Where: g.name, Detail: err.Error()})
		return
	}
	if !g.current().ready(s.ctx) {
		s.judge.find(Finding{Rule: ruleCrash, Where: g.name, Detail: "it does not get ready; " + g.current().tail()})
	}
}

// killAndStart kills a gateway's process and starts the next some time later.
func killAndStart(s *site, g *gateway, _ *host, rng *rand.Rand) {
	down := between(rng, 50*time.Millisecond, time.Second)
	if !g.take() {
		return
	}
	defer g.release()
	defer g.excuse()()
	g.current().kill()
	time.Sleep(down)
	s.replace(g)
}

// pause stops a process for a time, as a machine does that is held up.
func pause(s *site, g *gateway, _ *host, rng *rand.Rand) {
	stopped := between(rng, 20*time.Millisecond, 1500*time.Millisecond)
	if !g.take() {
		return
	}
	defer g.release()
	end := g.excuse()
	p := g.current()
	p.signal(syscall.SIGSTOP)
	time.Sleep(stopped)
	p.signal(syscall.SIGCONT)
	time.Sleep(knotSpread)
	end()
}

// upgrade starts the next process beside the old one, which is ended once the next serves.
func upgrade(s *site, g *gateway, _ *host, rng *rand.Rand) {
	beside := between(rng, 20*time.Millisecond, time.Second)
	if !g.take() {
		return
	}
	defer g.release()
	defer g.sendsAway()()
	defer s.judge.forget(g)
	old := g.current()
	s.replace(g)
	time.Sleep(beside)
	old.term()
}

// reload moves the watch on discovery, several times in a row.
func reload(s *site, g *gateway, _ *host, rng *rand.Rand) {
	for range 1 + rng.IntN(4) {
		wait := between(rng, 10*time.Millisecond, 300*time.Millisecond)
		g.mu.Lock()
		g.watched = 1 - g.watched
		err := g.configure()
		g.mu.Unlock()
		if p := g.current(); err == nil && p.lives() {
			p.tell(syscall.SIGHUP)
		}
		time.Sleep(wait)
	}
}

// ban takes a host out by hand, whatever becomes of the process meanwhile, and calls it back. Some of the processes are killed
// right behind their yes.
func ban(s *site, g *gateway, h *host, rng *rand.Rand) {
	lasts, kills := between(rng, time.Second, 6*time.Second), rng.IntN(3) == 0
	release, ok := g.ban(h)
	if !ok {
		return
	}
	defer release()
	if status, err := g.current().call(s.ctx, http.MethodPost, "/_database-hosts/detach/"+h.uid); err != nil || status != http.StatusOK {
		g.attach(s, h) // one that got a no may hold all the same
		return
	}
	end := s.judge.withdraw(h, 0, g)
	if kills {
		killAndStart(s, g, h, rng)
	}
	time.Sleep(lasts)
	end()
	g.attach(s, h)
}

// attach calls a host back, until a process says yes.
func (g *gateway) attach(s *site, h *host) {
	for end := time.Now().Add(serveFor); time.Now().Before(end); time.Sleep(againAfter) {
		if status, err := g.current().call(s.ctx, http.MethodPost, "/_database-hosts/attach/"+h.uid); err == nil && status == http.StatusOK {
			return
		}
	}
	s.judge.find(Finding{Rule: ruleStuck, Where: g.name, Detail: fmt.Sprintf("%s can't be called back within %v", h.uid, serveFor)})
}

// lameduck has a gateway send its clients away, and take clients again.
func lameduck(s *site, g *gateway, _ *host, rng *rand.Rand) {
	lasts := between(rng, 200*time.Millisecond, 2*time.Second)
	defer g.sendsAway()()
	g.current().call(s.ctx, http.MethodPost, "/_lameduck/on")
	time.Sleep(lasts)
	for end := time.Now().Add(serveFor); time.Now().Before(end); time.Sleep(againAfter) {
		if status, err := g.current().call(s.ctx, http.MethodPost, "/_lameduck/off"); err == nil && status == http.StatusOK {
			return
		}
	}
	s.judge.find(Finding{Rule: ruleStuck, Where: g.name, Detail: "lameduck can't be ended"})
}

// descriptors leaves a process few descriptors or none: accept, connect and open fail.
func descriptors(s *site, g *gateway, _ *host, rng *rand.Rand) {
	spare, lasts := rng.IntN(3), between(rng, 300*time.Millisecond, 2*time.Second)
	end, err := g.current().limitDescriptors(spare)
	if err != nil {
		return
	}
	time.Sleep(lasts)
	end()
}

// logStops has the collector of a process's log stop reading for a time or for good, and logEnds has it end.
func logStops(s *site, g *gateway, _ *host, rng *rand.Rand) {
	lasts, forGood := between(rng, time.Second, 5*time.Second), rng.IntN(2) == 0
	p := g.current()
	p.paused.Store(true)
	for range 30 { // lines enough to fill the pipe
		p.tell(syscall.SIGUSR1)
		time.Sleep(againAfter / 4)
	}
	if !forGood {
		time.Sleep(lasts)
		p.paused.Store(false)
	}
}

func logEnds(s *site, g *gateway, _ *host, _ *rand.Rand) {
	p := g.current()
	p.pipe.Close()
	p.tell(syscall.SIGUSR1)
}

// fileSize bounds the files that a process may write at nothing: writes of its state fail.
func fileSize(s *site, g *gateway, _ *host, rng *rand.Rand) {
	lasts := between(rng, 300*time.Millisecond, 2*time.Second)
	pid := g.current().cmd.Process.Pid
	var old unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &old) != nil {
		return
	}
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: old.Max}, nil)
	time.Sleep(lasts)
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &old, nil)
}
