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
	"cranegate/internal/requestids"
)

// importTimeout bounds how long a starting process waits until its cores have applied the start times from an older process.
const importTimeout = time.Second

// hotRestart is the part of the gateway that cooperates with its older and newer processes.
type hotRestart struct {
	coordinator *hotrestart.Coordinator // nil: hot restart is disabled
	folder      string                  // shared by all processes of this gateway
	inherited   handoffState            // from an older process
	maxClients  int                     // limit on client connections of all processes of this gateway

	lameduckMu sync.Mutex // serializes changes of the limiter's draining

	mu                sync.Mutex       // guards the fields below
	detached          map[string]bool  // hosts that are detached in the cores; nil before the first applyState
	applied           chan struct{}    // closed when applyState has succeeded for the first time
	olderAlive        bool             // an older process is running
	newerAlive        bool             // a newer process is running
	newerServing      bool             // the newer process serves
	serving           bool             // this process serves
	receiver          *fdpass.Receiver // accepts connections from an older process; nil: none
	sender            *fdpass.Sender   // hands connections to the newer process; nil: none
	otherProcessBytes int              // part of the budget that is left to the other process
}

// openHotRestart reads the state that older processes of this gateway hand over. If the folder can't be used, it logs that hot restart
// is disabled: the gateway still serves, but detached hosts are not carried over.
func (g *gateway) openHotRestart(folder string) {
	if folder == "" {
		slog.Warn("hotrestart_disabled", "reason", "TMPDIR is not set: a newer process will not know which hosts are detached")
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
		OnOlderEnded:  g.onOlderProcessEnded,
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
	if g.requestIDs, err = requestids.Open(folder); err != nil {
		slog.Warn("request_ids_not_shared", "error", err)
	}
	known := coordinator.State()
	slog.Info("hotrestart_opened", "older", g.olderAlive, "out", len(known.Detached), "lameduck", known.Lameduck)
}

// closeHotRestart notifies the other processes that this one has ended.
func (g *gateway) closeHotRestart() {
	if g.coordinator != nil {
		g.coordinator.Close()
	}
}

// applyInherited sets the start times and overrides from an older process in the cores. Nothing is sent to hosts before it returns.
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

// announceReady notifies older processes that this one serves, so that they hand their clients over to it.
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

// receiveConnections accepts open client connections from an older process. If it can't listen for them, the older
// process closes its client connections, and the clients connect again.
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

// applyState applies the detached hosts of a state in all cores, and its lameduck flag to the clients. The coordinator makes one call at
// a time.
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

// updateOverrides detaches in a core the hosts that are in next but not in current, and attaches those that are only in current.
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

// setDraining drains the clients if a state's lameduck flag is set, and accepts clients again if not. g.lameduckMu is held.
func (g *gateway) setDraining(s state.State) {
	if s.Lameduck {
		g.limiter.Drain()
	} else {
		g.limiter.Undrain()
	}
}

// onNewerProcess records whether a newer process is running, and updates the limits.
func (g *gateway) onNewerProcess(alive bool) {
	slog.Info("newer_process", "alive", alive)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newerAlive = alive
	g.updateLimitsLocked()
}

// onSuperseded stops accepting clients, because a newer process serves, and hands the open connections to that process.
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

// onRestored accepts clients again after the newer process that served has ended. Clients that connected in between wait in the queue
// of the listening socket, from which no process accepts until then.
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

// connectionSender returns the frontend.Server.Transfer of a fleet, which hands a client's connection to the newer process and reports
// whether that process accepted it.
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

// onOlderProcessEnded updates the limits after the last older process has ended.
func (g *gateway) onOlderProcessEnded() {
	slog.Info("older_process_gone")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.olderAlive = false
	g.updateLimitsLocked()
}
