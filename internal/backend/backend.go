// Package backend runs attempts at the database hosts. Each host is an actor that owns its connections; each
// connection has a goroutine of its own that waits for an attempt and for the peer's close at once.
package backend

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/metrics"
	"cranegate/internal/poolsize"
	"cranegate/routing"
)

// Conn is one connection to a host, in the host's protocol. One goroutine calls it, but for Wake and Close.
type Conn interface {
	// Park waits until Wake is called, the peer sends anything (both nil) or closes, or the time passes.
	Park(until time.Time, woken func() bool) error
	// Wake ends a Park.
	Wake()
	// Alive says whether the peer has neither closed nor sent anything.
	Alive() bool
	// Exchange runs an attempt and reads what comes back. Right before the first byte that may have an effect it looks
	// whether the connection is Alive, and then calls Begin: what has come to a resting connection must not be taken for an
	// answer, nor its end for one of a request that may have run. Where the look failed, it returns NotSent and the
	// attempt goes by another connection. The second result says whether the connection is in step for another attempt. When
	// the attempt is given up Exchange ends soon.
	Exchange(a *core.Attempt) (core.Outcome, bool)
	Close() error
}

// Starter makes a fresh connection ready for an attempt. It need not watch the context: when that ends the
// connection is closed.
type Starter func(raw net.Conn) (Conn, error)

// NotSent is the outcome of an attempt of which no byte was written and that still may be.
var NotSent = core.Outcome{Result: routing.ResultNotSent}

// AnswerTimeout is how long an answer may take from its first byte to its last: hosts write answers whole.
const AnswerTimeout = 400 * time.Millisecond

// Spoilt tells an answer that can't be read, or does not end, from a connection that broke under it. Malformed is
// what the protocol's parser says of the first.
func IsMalformed(err, malformed error) bool {
	return errors.Is(err, malformed) || errors.Is(err, framebuf.ErrTooLarge) || errors.Is(err, os.ErrDeadlineExceeded)
}

// ErrRejected is what a Starter returns where the host itself turned the connection away.
var ErrRejected = errors.New("turned away by the database host")

// Options are the pool's settings.
type Options struct {
	Connect        func(ctx context.Context, address string) (net.Conn, error) // nil for TCP
	Start          Starter
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // an idle connection is closed after this, well before the host would
	MaxOpen        int           // connections to all hosts together
	Gateways       int           // in the fleet, this one included; what each may keep follows from it
	Counters       *metrics.Counters
}

// The bounds on how long a connection may stand idle, whatever the settings say: one that has come up is handed to its
// attempt within the first, and no clock overflows with the second.
const (
	leastIdle = 50 * time.Millisecond
	mostIdle  = time.Hour
)

// Pool holds the hosts. It implements core.Servers; the module's actor alone calls those methods.
type Pool struct {
	opt   Options
	mu    sync.Mutex
	hosts map[string]*host
	slots chan struct{} // one for each open connection, and for each that is spared
	spare spare
	stale staleness
	keep  sharedKeeper
	group *errgroup.Group
	ctx   context.Context
}

// New makes a pool whose actors live until the context ends.
func New(ctx context.Context, opt Options) *Pool {
	if opt.Connect == nil {
		opt.Connect = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	opt.IdleTimeout = min(max(opt.IdleTimeout, leastIdle), mostIdle)
	g, ctx := errgroup.WithContext(ctx)
	return &Pool{opt: opt, hosts: map[string]*host{}, slots: make(chan struct{}, opt.MaxOpen), group: g, ctx: ctx,
		keep: sharedKeeper{keeper: poolsize.New(opt.Gateways, opt.IdleTimeout, time.Now())}}
}

// Wait returns once the actors have ended, after the context.
func (p *Pool) Wait() error { return p.group.Wait() }

// Gateways takes the number of gateways in the fleet, which has changed. It never blocks.
func (p *Pool) SetGateways(n int) {
	if p.keep.fleet(n) {
		p.tell(trim{})
	}
}

// Update takes news of the list: a new address means new connections, and a host that is gone is let go.
func (p *Pool) Update(l core.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, x := range l.Hosts {
		name := x.Endpoint.Member
		old := p.hosts[name]
		if x.Endpoint.Phase == routing.PhaseRemoved || old != nil && old.address != x.Address {
			p.drop(name)
		}
		if x.Endpoint.Phase != routing.PhaseRemoved {
			listed[name] = true
			if p.hosts[name] == nil {
				p.add(name, x.Address, max(len(l.Hosts), len(p.hosts)+1))
			}
		}
	}
	if l.Kind == routing.EndpointListComplete || l.Kind == routing.EndpointListStale {
		for name := range p.hosts {
			if !listed[name] {
				p.drop(name)
			}
		}
	}
	p.keep.sized(len(p.hosts))
}

// add lists a host, one of so many.
func (p *Pool) add(name, address string, hosts int) {
	h := &host{pool: p, name: name, address: address, mailbox: make(chan any, mailboxOf(hosts))}
	h.ctx, h.retire = context.WithCancel(p.ctx)
	p.hosts[name] = h
	p.group.Go(h.run)
}

func (p *Pool) drop(name string) {
	if h := p.hosts[name]; h != nil {
		h.retire()
		delete(p.hosts, name)
	}
}

// host finds a host that is listed.
func (p *Pool) host(name string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[name]
}

// full says whether there is no descriptor left for another connection.
func (p *Pool) full() bool { return len(p.slots) == cap(p.slots) }

// relieve has each host close the connection that has been idle longest: idle ones to some hosts must not keep
// requests from others.
func (p *Pool) relieve() { p.tell(relieve{}) }

// tell puts a message into all hosts' mailboxes.
func (p *Pool) tell(m any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.tell(m)
	}
}

// Start hands an attempt to a host's actor.
func (p *Pool) Start(a *core.Attempt) bool {
	h := p.host(a.Member)
	return h != nil && h.tell(a)
}

// CloseIdle shuts idle connections to a host.
func (p *Pool) CloseIdle(member string) {
	if h := p.host(member); h != nil {
		h.tell(closeIdle{})
	}
}
