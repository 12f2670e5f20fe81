package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/core"
	"cranegate/internal/metrics"
	"cranegate/internal/poolsize"
	"cranegate/routing"
)

// Options are the pool's settings.
type Options struct {
	Connect        func(ctx context.Context, address string) (net.Conn, error) // nil for TCP
	Start          Starter
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // an idle connection is closed after this time, well before the host would close it
	MaxOpen        int           // connections to all hosts together
	Gateways       int           // in the fleet, this one included; determines how many idle connections to keep
	Counters       *metrics.Counters
}

// The bounds of Options.IdleTimeout. The minimum gives a new connection the time to get its attempt before it is closed. The
// maximum keeps computed times from overflowing.
const (
	minIdleTimeout = 50 * time.Millisecond
	maxIdleTimeout = time.Hour
)

// Pool holds the listed hosts and the connection slots that they share. It implements core.Backend, whose methods only the
// core's actor calls.
type Pool struct {
	options     Options
	mu          sync.Mutex
	hosts       map[string]*host // by member
	slots       chan struct{}    // holds one element for each open connection and each reserved descriptor
	reserve     descriptorReserve
	idleTimeout idleTimeoutEstimator
	sizer       sharedSizer
	group       *errgroup.Group
	ctx         context.Context
}

// New returns a pool that runs until the context ends.
func New(ctx context.Context, options Options) *Pool {
	if options.Connect == nil {
		options.Connect = func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	options.IdleTimeout = min(max(options.IdleTimeout, minIdleTimeout), maxIdleTimeout)
	group, ctx := errgroup.WithContext(ctx)
	return &Pool{
		options: options,
		hosts:   map[string]*host{},
		slots:   make(chan struct{}, options.MaxOpen),
		sizer:   sharedSizer{sizer: poolsize.New(options.Gateways, options.IdleTimeout, time.Now())},
		group:   group,
		ctx:     ctx,
	}
}

// Wait returns once all goroutines of the pool have ended, which they do after the context has ended.
func (p *Pool) Wait() error { return p.group.Wait() }

// SetGateways sets the number of gateways in the fleet, this one included. It never blocks.
func (p *Pool) SetGateways(n int) {
	if p.sizer.setGateways(n) {
		p.broadcast(trimIdle{})
	}
}

// Update applies an endpoint list. It retires each host that was removed. A host with a new address is retired as well, and
// replaced by one with new connections.
func (p *Pool) Update(list core.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, update := range list.Hosts {
		member := update.Endpoint.Member
		removed := update.Endpoint.Phase == routing.PhaseRemoved
		known := p.hosts[member]
		if removed || known != nil && known.address != update.Address {
			p.remove(member)
		}
		if removed {
			continue
		}
		listed[member] = true
		if p.hosts[member] == nil {
			p.add(member, update.Address, max(len(list.Hosts), len(p.hosts)+1))
		}
	}
	if list.Kind == routing.EndpointListComplete || list.Kind == routing.EndpointListStale {
		for member := range p.hosts {
			if !listed[member] {
				p.remove(member)
			}
		}
	}
	p.sizer.setHosts(len(p.hosts))
}

// add starts a host's actor; hosts is the number of hosts in the list. The caller holds p.mu.
func (p *Pool) add(member, address string, hosts int) {
	h := &host{pool: p, member: member, address: address, mailbox: make(chan any, mailboxSize(hosts))}
	h.ctx, h.retire = context.WithCancel(p.ctx)
	p.hosts[member] = h
	p.group.Go(h.run)
}

// remove retires a host. The caller holds p.mu.
func (p *Pool) remove(member string) {
	if h := p.hosts[member]; h != nil {
		h.retire()
		delete(p.hosts, member)
	}
}

// host returns the listed host of a member, or nil.
func (p *Pool) host(member string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[member]
}

// full reports whether there is no slot for another connection.
func (p *Pool) full() bool { return len(p.slots) == cap(p.slots) }

// evictIdle has each host close the connection that has been idle longest, so that idle connections to some hosts do not
// block connects to other hosts.
func (p *Pool) evictIdle() { p.broadcast(evictOldest{}) }

// broadcast puts a message into the mailbox of each host, except where the mailbox is full.
func (p *Pool) broadcast(message any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.post(message)
	}
}

// Start gives an attempt to its host's actor. It returns false if the host is not listed or its mailbox is full.
func (p *Pool) Start(a *core.Attempt) bool {
	h := p.host(a.Member)
	return h != nil && h.post(a)
}

// CloseIdle closes the idle connections to a host. It does nothing if the host's mailbox is full.
func (p *Pool) CloseIdle(member string) {
	if h := p.host(member); h != nil {
		h.post(closeIdle{})
	}
}
