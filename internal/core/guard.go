package core

import (
	"sync"
	"time"

	"cranegate/internal/invariant"
	"cranegate/routing"
)

// notices records, for the guard on sends alone, which hosts may get nothing new and since when. Its zero value knows of none.
type notices struct {
	mu    sync.RWMutex
	hosts map[string]notice // by member
}

// notice is what the list said of a host last.
type notice struct {
	withdrawn time.Duration // since when it drains or is off the list; 0: it is usable
	listed    bool
}

// forgottenAfter is when a host that is off the list is forgotten: nothing can be sent there then.
const forgottenAfter = time.Minute

// take notes news of the list as the module is told of it. Where only draining binds, a host that is gone may still be used.
func (n *notices) take(now time.Duration, l routing.EndpointList, onlyDraining bool) {
	if l.Kind == routing.EndpointListFailed {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = map[string]notice{}
	}
	named := map[string]bool{}
	for _, e := range l.Endpoints {
		named[e.Member] = true
		n.note(now, e.Member, e.Phase == routing.PhaseServing || e.Phase == routing.PhaseRemoved && onlyDraining, e.Phase != routing.PhaseRemoved)
	}
	for member, x := range n.hosts {
		if !named[member] && l.Kind != routing.EndpointListPatch && x.listed {
			n.note(now, member, onlyDraining && x.withdrawn == 0, false)
		} else if !x.listed && now-x.withdrawn > forgottenAfter {
			delete(n.hosts, member)
		}
	}
}

// note is one host's news. n.mu is held.
func (n *notices) note(now time.Duration, member string, usable, listed bool) {
	x := n.hosts[member]
	x.listed = listed
	if usable {
		x.withdrawn = 0
	} else if x.withdrawn == 0 {
		x.withdrawn = now
	}
	n.hosts[member] = x
}

// since is when a member was withdrawn; 0: it is usable.
func (n *notices) since(member string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.hosts[member].withdrawn
}

// guard has write take an attempt of a request out of stateWaiting, and checks what that means. False says that write did not. What
// holds is looked at before: a request whose answer was seen then has ended all its attempts, and write says no.
func (a *Attempt) guard(write func() bool) bool {
	q, c := a.Request, a.core
	now := c.clock.now()
	send, by := invariant.CheckSend(invariant.Attempt{Now: now, Deadline: q.deadline, LatestStart: a.latest, Answered: q.answered.Load(),
		DisconnectedAt: time.Duration(q.leftAt.Load()), WithdrawnAt: c.notices.since(a.Member)})
	repeat, written := q.ledger.Begin(a.number, now, invariant.Limits{Effect: q.class.Effect, IdempotencyTTL: q.class.IdempotencyTTL,
		AllowHedging: c.opt.Routing.AllowHedging, MaxAttempts: c.opt.Routing.MaxAttempts}, write)
	if !written {
		return false
	}
	c.opt.Monitor.Report(invariant.Violation{Rule: invariant.Send, Reason: send, Request: q.ID, Host: a.Member, By: by})
	c.opt.Monitor.Report(invariant.Violation{Rule: invariant.Repeat, Reason: repeat, Request: q.ID, Host: a.Member})
	return true
}

// checkStart checks what a host in slow start has been sent, the attempt in hand included.
func (c *Core) checkStart(member string) {
	if c.router.Overdrawn(member) {
		c.opt.Monitor.Report(invariant.Violation{Rule: invariant.Start, Reason: invariant.BudgetOverdraw, Host: member})
	}
}
