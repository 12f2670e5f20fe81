package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/hotrestart"
	"cranegate/internal/hotrestart/fdpass"
	"cranegate/internal/hotrestart/state"
)

// importTimeout bounds how long a starting process waits for its cores to hold the start times that an older one handed over.
const importTimeout = time.Second

// hotRestart is what this process shares with older and newer processes of the same gateway.
type hotRestart struct {
	coordinator *hotrestart.Coordinator // nil: hot restart is disabled
	folder      string                  // shared by all processes of this gateway
	inherited   handoffState            // from an older process
	maxClients  int                     // client connections of the whole gateway

	lameduckMu sync.Mutex // serializes changes of the limiter's draining

	mu            sync.Mutex       // guards what follows
	detached      map[string]bool  // hosts that the cores hold as detached; nil before the first applyState
	applied       chan struct{}    // closed when applyState has succeeded for the first time
	olderAlive    bool             // an older process lives
	newerAlive    bool             // a newer process lives
	newerServing  bool             // and serves
	serving       bool             // this process serves
	receiver      *fdpass.Receiver // takes connections from an older process; nil: none
	sender        *fdpass.Sender   // hands connections to the newer process; nil: none
	reservedBytes int              // of the memory budget, left to the other process
}

// openHotRestart learns what an older process of this gateway knows. Where the folder can't be used the gateway serves all the
// same, and logs that detached hosts are not carried over.
func (g *gateway) openHotRestart(folder string) {
	if folder == "" {
		slog.Warn("hotrestart_disabled", "reason", "TMPDIR is not set: hosts taken out by hand are not known to a process that follows")
		return
	}
	g.applied = make(chan struct{})
	coordinator, err := hotrestart.Open(g.lifetime, hotrestart.Options{
		Dir:           folder,
		OnState:       g.applyState,
		Export:        g.exportState,
		Reserve:       g.limiter.Reserve,
		OnNewerExists: g.onNewerProcess,
		OnSuperseded:  g.onSuperseded,
		OnRestored:    g.onRestored,
		OnOlderEnded:  g.onOlderProcessGone,
		Counters:      g.counters,
	})
	if err != nil {
		slog.Warn("hotrestart_disabled", "error", err)
		return
	}
	for _, err := range coordinator.Unconfirmed() {
		slog.Warn("hotrestart_unconfirmed", "error", err)
	}
	if text := coordinator.Inherited(); text != nil {
		if err := json.Unmarshal(text, &g.inherited); err != nil {
			slog.Warn("hotrestart_unconfirmed", "error", err)
		}
	}
	g.coordinator, g.olderAlive, g.folder = coordinator, coordinator.Older(), folder
	known := coordinator.State()
	slog.Info("hotrestart_opened", "older", g.olderAlive, "out", len(known.Detached), "lameduck", known.Lameduck)
}

// closeHotRestart lets the other processes know that this one has ended.
func (g *gateway) closeHotRestart() {
	if g.coordinator != nil {
		g.coordinator.Close()
	}
}

// applyInherited has the cores hold the start times and overrides that an older process handed over. Nothing is sent to hosts before
// it returns.
func (g *gateway) applyInherited() {
	if g.coordinator == nil {
		return
	}
	g.updateLimits()
	ctx, cancel := context.WithTimeout(g.lifetime, importTimeout)
	defer cancel()
	for name, f := range g.fleets {
		if err := f.core.SetStartTimes(ctx, g.inherited.StartTimes[name]); err != nil {
			slog.Warn("hotrestart_unconfirmed", "error", err)
		}
	}
	g.actors.Go(func() error { return g.coordinator.Run(g.lifetime) })
	select {
	case <-g.applied:
	case <-g.lifetime.Done():
	}
}

// announceReady has older processes leave their clients to this one, which serves.
func (g *gateway) announceReady() {
	if g.coordinator == nil {
		return
	}
	g.receiveConnections()
	g.coordinator.Ready()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serving = true
	g.updateLimitsLocked()
}

// receiveConnections accepts open client connections from an older process. Where it can't listen for them the older process
// closes its connections, and clients connect again.
func (g *gateway) receiveConnections() {
	receiver, err := fdpass.Listen(g.folder)
	if err != nil {
		slog.Warn("fdpass_disabled", "error", err)
		return
	}
	receiver.Reserve = g.limiter.Reserve
	g.mu.Lock()
	g.receiver = receiver
	g.mu.Unlock()
	g.actors.Go(func() error {
		return receiver.Run(g.lifetime, func(c fdpass.Conn) bool {
			f, ok := g.fleets[c.Protocol]
			return ok && f.frontend.Adopt(c.Conn, c.Started, c.Answered)
		})
	})
}

// applyState has all cores and frontends hold a state. The coordinator calls it one at a time.
func (g *gateway) applyState(ctx context.Context, s state.State) error {
	g.mu.Lock()
	current := g.detached
	g.mu.Unlock()
	next := map[string]bool{}
	for id := range s.Detached {
		next[id] = true
	}
	for _, f := range g.fleets {
		if err := updateOverrides(ctx, f.core, current, next); err != nil {
			return err
		}
	}
	g.lameduckMu.Lock()
	g.setDraining(s)
	g.lameduckMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.detached == nil {
		close(g.applied)
	}
	g.detached = next
	return nil
}

// updateOverrides detaches in a core the hosts that are new in next, and attaches those that it lacks.
func updateOverrides(ctx context.Context, c *core.Core, current, next map[string]bool) error {
	for id := range next {
		if current[id] {
			continue
		}
		if err := c.SetOverride(ctx, id, core.DetachUnlisted); err != nil {
			return err
		}
	}
	for id := range current {
		if next[id] {
			continue
		}
		if err := c.SetOverride(ctx, id, core.Attach); err != nil && !isUnknownHost(err) {
			return err
		}
	}
	return nil
}

// setDraining drains the clients, or accepts clients again, as a state demands. g.lameduckMu is held.
func (g *gateway) setDraining(s state.State) {
	if s.Lameduck {
		g.limiter.Drain()
	} else {
		g.limiter.Undrain()
	}
}

// onNewerProcess notes whether a newer process lives.
func (g *gateway) onNewerProcess(alive bool) {
	slog.Info("newer_process", "alive", alive)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newerAlive = alive
	g.updateLimitsLocked()
}

// onSuperseded leaves new clients to a newer process that serves, and hands it the open connections.
func (g *gateway) onSuperseded() {
	slog.Info("superseded")
	for _, f := range g.fleets {
		f.frontend.Retire()
	}
	g.mu.Lock()
	own := g.receiver
	g.mu.Unlock()
	sender, err := fdpass.Dial(g.folder, own)
	if err != nil {
		slog.Warn("fdpass_disabled", "error", err)
	}
	g.mu.Lock()
	g.sender = sender
	g.mu.Unlock()
	g.limiter.Handover()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newerServing = true
	g.updateLimitsLocked()
}

// onRestored accepts clients again after the newer process that served has ended. Clients that came meanwhile wait in the queue of the
// listening socket, which no other process accepts from then.
func (g *gateway) onRestored() {
	slog.Info("restored")
	g.mu.Lock()
	sender := g.sender
	g.newerServing, g.sender = false, nil
	g.updateLimitsLocked()
	g.mu.Unlock()
	if sender != nil {
		sender.Close()
	}
	g.lameduckMu.Lock()
	g.limiter.CancelHandover()
	g.setDraining(g.coordinator.State()) // the limiter ignored changes during the handover
	g.lameduckMu.Unlock()
	for _, f := range g.fleets {
		if err := f.frontend.Resume(); err != nil {
			slog.Warn("listening_failed", "error", err)
		}
	}
}

// connectionSender returns a fleet's frontend.Server.Pass: it hands a client's connection to the newer process, and reports whether
// that took it.
func (g *gateway) connectionSender(fleetName string) func(conn net.Conn, started, answered bool) bool {
	return func(conn net.Conn, started, answered bool) bool {
		g.mu.Lock()
		sender := g.sender
		g.mu.Unlock()
		if sender == nil {
			return false
		}
		return sender.Send(fdpass.Conn{Conn: conn, Protocol: fleetName, Started: started, Answered: answered}) == nil
	}
}

// onOlderProcessGone takes the whole of the limits again.
func (g *gateway) onOlderProcessGone() {
	slog.Info("older_process_gone")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.olderAlive = false
	g.updateLimitsLocked()
}
