package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/discovery"
	"cranegate/internal/hotrestart"
	"cranegate/internal/hotrestart/fdpass"
	"cranegate/internal/hotrestart/frame"
	"cranegate/internal/hotrestart/state"
	"cranegate/routing"
)

const (
	exportFor = 300 * time.Millisecond // for what a newer process is told
	startFor  = time.Second            // for what an older one has told to be taken in
)

// handed is what passes between the processes of one gateway.
type handed struct {
	hand      *hotrestart.Coordinator // nil: nothing is passed on
	folder    string                  // which all processes of this gateway share
	inherited knowledge
	places    int // clients that the whole gateway has room for

	ducks    sync.Mutex // over who says whether clients are sent away
	mu       sync.Mutex
	held     map[string]bool  // hosts that the cores hold as out
	applied  chan struct{}    // closed once that is so for the first time
	older    bool             // an older process lives
	newer    bool             // a newer one does
	serves   bool             // this process does
	passed   bool             // the newer one does
	receiver *fdpass.Receiver // takes those of an older one; nil: none come
	sender   *fdpass.Sender   // takes open connections to the newer process; nil: none does
	left     int              // bytes for clients that are left to the other
}

// knowledge is what a process tells the one that follows it, beside what staff have said.
type knowledge struct {
	Lists   map[string]discovery.Snapshot   `json:"lists"`  // by fleet
	Starts  map[string]map[string]time.Time `json:"starts"` // of hosts that may be cold
	Learned map[string]routing.Learned      `json:"learned"`
}

// openHandover asks a process of this gateway that lives already what it knows. Where the folder can't be used the
// program serves all the same, and says so.
func (g *gateway) openHandover(dir string) {
	if dir == "" {
		slog.Warn("handover_off", "detail", "TMPDIR is not set: hosts taken out by hand are not known to a process that follows")
		return
	}
	g.applied = make(chan struct{})
	h, err := hotrestart.Open(g.work, hotrestart.Options{Dir: dir, OnState: g.apply, Export: g.export, NewerExists: g.hasNewer,
		Reserve: g.room.Reserve, Superseded: g.superseded, Restored: g.restored, Alone: g.alone, Counters: g.counters})
	if err != nil {
		slog.Warn("handover_off", "error", err)
		return
	}
	for _, err := range h.Unconfirmed() {
		slog.Warn("handover_doubt", "error", err)
	}
	if text := h.Inherited(); text != nil {
		if err := json.Unmarshal(text, &g.inherited); err != nil {
			slog.Warn("handover_doubt", "error", err)
		}
	}
	g.hand, g.older, g.folder = h, h.Older(), dir
	slog.Info("handover", "older", g.older, "out", len(h.State().Out), "lameduck", h.State().Lameduck)
}

// closeHandover tells the others that this process is gone.
func (g *gateway) closeHandover() {
	if g.hand != nil {
		g.hand.Close()
	}
}

// takeOver has the cores hold what an older process has handed over, before anything is sent.
func (g *gateway) takeOver() error {
	if g.hand == nil {
		return nil
	}
	g.share()
	ctx, cancel := context.WithTimeout(g.work, startFor)
	defer cancel()
	for name, f := range g.lists {
		if err := f.core.SetStartTimes(ctx, g.inherited.Starts[name]); err != nil {
			slog.Warn("handover_doubt", "error", err)
		}
	}
	g.actors.Go(func() error { return g.hand.Run(g.work) })
	select {
	case <-g.applied:
	case <-g.work.Done():
	}
	return nil
}

// passOn tells an older process that this one serves.
func (g *gateway) passOn() {
	if g.hand == nil {
		return
	}
	g.receive()
	g.hand.Ready()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serves = true
	g.shareLocked()
}

// receive takes open connections of an older process. Without it they end, and their clients connect anew.
func (g *gateway) receive() {
	r, err := fdpass.Listen(g.folder)
	if err != nil {
		slog.Warn("passing_off", "error", err)
		return
	}
	r.Reserve = g.room.Reserve
	g.mu.Lock()
	g.receiver = r
	g.mu.Unlock()
	g.actors.Go(func() error {
		return r.Run(g.work, func(c fdpass.Conn) bool {
			f, ok := g.lists[c.Protocol]
			return ok && f.front.Adopt(c.Conn, c.Started, c.Answered)
		})
	})
}

// apply has all cores and fronts hold a state. It is called one at a time.
func (g *gateway) apply(ctx context.Context, s state.State) error {
	g.mu.Lock()
	held := g.held
	g.mu.Unlock()
	if held == nil {
		held = map[string]bool{}
	}
	next := map[string]bool{}
	for id := range s.Out {
		next[id] = true
	}
	for _, f := range g.lists {
		for id := range next {
			if held[id] {
				continue
			}
			if err := f.core.SetOverride(ctx, id, core.DetachUnlisted); err != nil {
				return err
			}
		}
		for id := range held {
			if next[id] {
				continue
			}
			if err := f.core.SetOverride(ctx, id, core.Attach); err != nil && !unknown(err) {
				return err
			}
		}
	}
	g.ducks.Lock()
	g.lameduck(s)
	g.ducks.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held == nil {
		close(g.applied)
	}
	g.held = next
	return nil
}

// lameduck sends clients away or takes them again, as a state says. g.ducks is held.
func (g *gateway) lameduck(s state.State) {
	if s.Lameduck {
		g.room.Drain()
	} else {
		g.room.Undrain()
	}
}

// export is what a newer process is told. It gets what is known in time.
func (g *gateway) export() []byte {
	ctx, cancel := context.WithTimeout(g.work, exportFor)
	defer cancel()
	k := knowledge{Lists: map[string]discovery.Snapshot{}, Starts: map[string]map[string]time.Time{},
		Learned: map[string]routing.Learned{}}
	for name, f := range g.lists {
		k.Lists[name] = f.watch.Snapshot()
		if starts, err := f.core.StartTimes(ctx); err == nil {
			k.Starts[name] = starts
		}
		if l, err := f.core.Learned(ctx); err == nil {
			k.Learned[name] = l
		}
	}
	text, err := k.within(frame.MaxBlob)
	if err != nil {
		slog.Warn("handover_doubt", "error", err)
		return nil
	}
	return text
}

// within writes as much as fits: without the round trips of single hosts where it is too long, then without what was learned of
// hosts, which is learned anew soon. What stays in any case are the lists and the starts: without them requests wait, and cold
// hosts get too much.
func (k knowledge) within(most int) ([]byte, error) {
	text, err := json.Marshal(k)
	for _, less := range []func(*routing.Learned){
		func(l *routing.Learned) {
			for id, m := range l.Members {
				m.Window = nil
				l.Members[id] = m
			}
		},
		func(l *routing.Learned) { l.Members = nil },
	} {
		if err != nil || len(text) <= most {
			break
		}
		slog.Warn("handover_knowledge_cut", "bytes", len(text), "most", most)
		for name, l := range k.Learned {
			less(&l)
			k.Learned[name] = l
		}
		text, err = json.Marshal(k)
	}
	return text, err
}

// hasNewer shares the gateway's limits with a newer process, as long as that lives.
func (g *gateway) hasNewer(lives bool) {
	slog.Info("newer_process", "lives", lives)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newer = lives
	g.shareLocked()
}

// superseded leaves the clients that come from now on to a newer process that serves.
func (g *gateway) superseded() {
	slog.Info("superseded")
	for _, f := range g.lists {
		f.front.Retire()
	}
	g.mu.Lock()
	own := g.receiver
	g.mu.Unlock()
	sender, err := fdpass.Dial(g.folder, own)
	if err != nil {
		slog.Warn("passing_off", "error", err)
	}
	g.mu.Lock()
	g.sender = sender
	g.mu.Unlock()
	g.room.Handover()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passed = true
	g.shareLocked()
}

// restored takes clients again, as the newer process that took them is gone. Those wait in the queue of the socket, which is
// nobody's else then.
func (g *gateway) restored() {
	slog.Info("restored")
	g.mu.Lock()
	sender := g.sender
	g.passed, g.sender = false, nil
	g.shareLocked()
	g.mu.Unlock()
	if sender != nil {
		sender.Close()
	}
	g.ducks.Lock()
	g.room.CancelHandover()
	g.lameduck(g.hand.State()) // nothing that was said meanwhile held in a room that was left
	g.ducks.Unlock()
	for _, f := range g.lists {
		if err := f.front.Resume(); err != nil {
			slog.Warn("listening_failed", "error", err)
		}
	}
}

// pass hands a client's connection to the newer process.
func (g *gateway) pass(front string) func(c net.Conn, started, asked bool) bool {
	return func(c net.Conn, started, asked bool) bool {
		g.mu.Lock()
		s := g.sender
		g.mu.Unlock()
		return s != nil && s.Send(fdpass.Conn{Conn: c, Protocol: front, Started: started, Answered: asked}) == nil
	}
}

// alone takes the whole of the limits again.
func (g *gateway) alone() {
	slog.Info("older_process_gone")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.older = false
	g.shareLocked()
}

func (g *gateway) share() { g.mu.Lock(); defer g.mu.Unlock(); g.shareLocked() }

// shareLocked takes the part of the limits that is this process's. Clients go over from the older process to the newer
// once that serves, and so do their places; what each may keep open to hosts, and its memory, is a half. Nobody idle is let
// go meanwhile: a client that asks just then is turned back, and there are two processes to take it.
func (g *gateway) shareLocked() {
	places, half := g.places, g.older || g.newer
	switch {
	case g.newer && g.passed:
		places = g.places / 4
	case g.newer || g.older && !g.serves:
		places = g.places / 2
	}
	g.room.SetEvictIdle(!half)
	memory, spared := int64(g.limits.MemoryMB)<<20*3/4, 0
	if half {
		memory, spared = memory/2, g.servers/2
	}
	g.room.Resize(places)
	debug.SetMemoryLimit(memory)
	for _, f := range g.lists {
		f.pool.ReserveDescriptors(spared)
	}
	if bytes := g.limits.MemoryMB << 20 / 8; half && g.left == 0 && g.budget.Reserve(bytes) {
		g.left = bytes
	} else if !half && g.left > 0 {
		g.budget.Release(g.left)
		g.left = 0
	}
}
