package soak

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// rollingRestart terminates a gateway's process and starts the next one at once.
func rollingRestart(s *scenario, g *gateway, _ *host, _ *rand.Rand) {
	if !g.tryReserve() {
		return
	}
	defer g.release()
	defer g.beginDrain()()
	defer s.checker.forgetNotifications(g) // the old process may have received changes that the new one has not
	old := g.currentProcess()
	ended := make(chan struct{})
	go func() {
		old.terminate()
		close(ended)
	}()
	s.replace(g)
	<-ended
}

// replace starts a gateway's next process and waits until it is ready. A failure is a finding.
func (s *scenario) replace(g *gateway) {
	if err := g.start(); err != nil {
		s.checker.report(ruleCrash, g.name, "%v", err)
		return
	}
	if !g.currentProcess().waitReady(s.ctx) {
		s.checker.report(ruleCrash, g.name, "it does not get ready; %s", g.currentProcess().tail())
	}
}

// killAndRestart kills a gateway's process and starts the next one after a downtime.
func killAndRestart(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	downtime := randomDuration(rng, 50*time.Millisecond, time.Second)
	if !g.tryReserve() {
		return
	}
	defer g.release()
	defer g.beginDisruption()()
	g.currentProcess().kill()
	time.Sleep(downtime)
	s.replace(g)
}

// pauseProcess stops a process for a while with SIGSTOP, as on an overloaded machine.
func pauseProcess(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	duration := randomDuration(rng, 20*time.Millisecond, 1500*time.Millisecond)
	if !g.tryReserve() {
		return
	}
	defer g.release()
	end := g.beginDisruption()
	p := g.currentProcess()
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
	time.Sleep(faultGroupSpread)
	end()
}

// upgradeProcess starts the next process while the old one runs, and terminates the old one some time after the next one
// is ready.
func upgradeProcess(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	overlap := randomDuration(rng, 20*time.Millisecond, time.Second)
	if !g.tryReserve() {
		return
	}
	defer g.release()
	defer g.beginDrain()()
	defer s.checker.forgetNotifications(g)
	old := g.currentProcess()
	s.replace(g)
	time.Sleep(overlap)
	old.terminate()
}

// reloadConfiguration points the discovery watch at the other agent and reloads the configuration, several times in a
// row.
func reloadConfiguration(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	for range 1 + rng.IntN(4) {
		wait := randomDuration(rng, 10*time.Millisecond, 300*time.Millisecond)
		g.mu.Lock()
		g.activeAgent = 1 - g.activeAgent
		err := g.configure()
		g.mu.Unlock()
		if p := g.currentProcess(); err == nil && p.running() {
			p.signalIfReady(syscall.SIGHUP)
		}
		time.Sleep(wait)
	}
}

// banHost takes a host out of service by an administrative call and puts it back later, even if the gateway's process was
// replaced meanwhile. Some processes are killed right after they have confirmed the call.
func banHost(s *scenario, g *gateway, h *host, rng *rand.Rand) {
	duration := randomDuration(rng, time.Second, 6*time.Second)
	killProcess := rng.IntN(3) == 0
	release, ok := g.reserveBan(h)
	if !ok {
		return
	}
	defer release()
	status, err := g.currentProcess().callAdmin(s.ctx, http.MethodPost, "/_database-hosts/detach/"+h.uid)
	if err != nil || status != http.StatusOK {
		g.attach(s, h) // the ban may hold although the call failed
		return
	}
	end := s.checker.beginWithdrawal(h, 0, g)
	if killProcess {
		killAndRestart(s, g, h, rng)
	}
	time.Sleep(duration)
	end()
	g.attach(s, h)
}

// attach puts a host back into service. It retries until a process confirms the call; after serveTimeout it reports a
// finding.
func (g *gateway) attach(s *scenario, h *host) {
	for end := time.Now().Add(serveTimeout); time.Now().Before(end); time.Sleep(retryDelay) {
		status, err := g.currentProcess().callAdmin(s.ctx, http.MethodPost, "/_database-hosts/attach/"+h.uid)
		if err == nil && status == http.StatusOK {
			return
		}
	}
	s.checker.report(ruleNotServing, g.name, "%s can't be attached within %v", h.uid, serveTimeout)
}

// toggleLameduck has a gateway close its clients' connections for a while, then accept clients again.
func toggleLameduck(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	duration := randomDuration(rng, 200*time.Millisecond, 2*time.Second)
	defer g.beginDrain()()
	g.currentProcess().callAdmin(s.ctx, http.MethodPost, "/_lameduck/on")
	time.Sleep(duration)
	for end := time.Now().Add(serveTimeout); time.Now().Before(end); time.Sleep(retryDelay) {
		status, err := g.currentProcess().callAdmin(s.ctx, http.MethodPost, "/_lameduck/off")
		if err == nil && status == http.StatusOK {
			return
		}
	}
	s.checker.report(ruleNotServing, g.name, "lameduck mode can't be ended")
}

// exhaustDescriptors leaves a process at most two spare descriptors, so that accept, connect and open fail.
func exhaustDescriptors(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	spareDescriptors := rng.IntN(3)
	duration := randomDuration(rng, 300*time.Millisecond, 2*time.Second)
	end, err := g.currentProcess().limitDescriptors(spareDescriptors)
	if err != nil {
		return
	}
	time.Sleep(duration)
	end()
}

// stopLogCollector stops reading a process's log, for a while or permanently.
func stopLogCollector(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	pauseDuration := randomDuration(rng, time.Second, 5*time.Second)
	permanent := rng.IntN(2) == 0
	p := g.currentProcess()
	p.logPaused.Store(true)
	for range 30 { // each logs a line; enough to fill the pipe
		p.signalIfReady(syscall.SIGUSR1)
		time.Sleep(retryDelay / 4)
	}
	if !permanent {
		time.Sleep(pauseDuration)
		p.logPaused.Store(false)
	}
}

// closeLogPipe closes the reading end of a process's log pipe.
func closeLogPipe(s *scenario, g *gateway, _ *host, _ *rand.Rand) {
	p := g.currentProcess()
	p.logPipe.Close()
	p.signalIfReady(syscall.SIGUSR1)
}

// limitFileSize sets a process's file size limit to zero for a while, so that writes of its state fail.
func limitFileSize(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	duration := randomDuration(rng, 300*time.Millisecond, 2*time.Second)
	pid := g.currentProcess().cmd.Process.Pid
	var previous unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &previous) != nil {
		return
	}
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: previous.Max}, nil)
	time.Sleep(duration)
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &previous, nil)
}
