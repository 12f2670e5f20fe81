package backend

import (
	"context"
	"fmt"
	"time"

	"cranegate/internal/core"
	"cranegate/routing"
)

// open opens one connection and serves it. It belongs to the host, not to an attempt.
func (h *host) open() {
	ctx, cancel := context.WithTimeout(h.ctx, h.pool.opt.ConnectTimeout)
	defer cancel()
	if h.pool.full() {
		h.pool.relieve()
	}
	select {
	case h.pool.slots <- struct{}{}:
	case <-ctx.Done():
		h.mailbox <- notOpened{errNoDescriptor}
		return
	}
	defer func() { <-h.pool.slots }()
	conn, err := h.pool.connect(ctx, h.address)
	if err != nil {
		h.mailbox <- notOpened{err}
		return
	}
	h.pool.opt.Counters.Add("server_connects", 1)
	l := &link{conn: conn, jobs: make(chan *core.Attempt, 1), openedAt: time.Now()}
	h.mailbox <- opened{l}
	l.run(h)
	conn.Close()
	h.mailbox <- lost{l}
}

// connect opens a connection and makes it ready, all within the context.
func (p *Pool) connect(ctx context.Context, address string) (Conn, error) {
	raw, err := p.opt.Connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	conn, err := p.opt.Start(raw)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("starting up: %w", err)
	}
	return conn, nil
}

// link is one open connection.
type link struct {
	conn     Conn
	jobs     chan *core.Attempt // holds one; the host gives the next only to an idle link
	freedAt  time.Time          // when it last came free; owned by the host
	openedAt time.Time
	untried  bool // its attempt is the first that it was given, as it came up; owned by the host
}

func (l *link) give(a *core.Attempt) {
	l.jobs <- a
	l.conn.Wake()
}

// run takes attempts until the connection ends, is given up, or has stood idle for too long. An attempt that is left in
// jobs then goes by another connection.
func (l *link) run(h *host) {
	stale := &h.pool.stale
	uses := 0
	var unwelcome time.Time // when its only attempt so far was turned away
	defer func() {
		if time.Since(unwelcome) < restFor {
			h.noRoom()
		}
	}()
	for {
		since := time.Now()
		err := l.conn.Park(since.Add(stale.trusted(h.pool.opt.IdleTimeout)), func() bool { return len(l.jobs) > 0 })
		if err != nil || len(l.jobs) == 0 && !l.conn.Alive() {
			return
		}
		var a *core.Attempt
		select {
		case a = <-l.jobs:
		default:
			continue
		}
		if !a.Waiting() {
			h.mailbox <- freed{l}
			continue
		}
		began := time.Now()
		out, inStep := l.conn.Exchange(a)
		if !inStep && out.Result == routing.ResultNotSent {
			if a.Waiting() {
				l.jobs <- a // there is room: the host gives none to a link that is not idle
			}
			return
		}
		out.Opened = l.openedAt
		if uses++; uses == 1 && out.Result == routing.ResultOverCapacity {
			unwelcome = time.Now()
		} else if unwelcome = (time.Time{}); uses == 1 {
			h.pool.keep.found()
		}
		stale.saw(began.Sub(since), out.Result == routing.ResultReset && time.Since(began) < staleAtOnce && a.Context().Err() == nil)
		if !inStep {
			a.Done(out)
			return
		}
		h.mailbox <- freed{l} // first, so that the core finds it free
		a.Done(out)
	}
}
