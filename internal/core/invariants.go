package core

import (
	"sync"
	"time"

	"cranegate/internal/invariant"
	"cranegate/routing"
)

// withdrawals records which hosts may get no new attempts, and since when, for the invariant check on sends. The zero
// value is ready to use. It is safe for concurrent use.
type withdrawals struct {
	mu    sync.RWMutex
	hosts map[string]hostStatus // by member
}

// hostStatus is a host's status by the last endpoint list.
type hostStatus struct {
	withdrawnAt time.Duration // when it began to drain or was removed from the list; 0: it is usable
	listed      bool
}

// removedHostRetention is how long the record of a host that is off the list is kept. Nothing can be sent to the host after
// that.
const removedHostRetention = time.Minute

// update applies an endpoint list, in the form that the router gets. If useRemoved is set, a host that was removed without
// draining may still be used.
func (w *withdrawals) update(now time.Duration, list routing.EndpointList, useRemoved bool) {
	if list.Kind == routing.EndpointListFailed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hosts == nil {
		w.hosts = map[string]hostStatus{}
	}
	inList := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		inList[endpoint.Member] = true
		removed := endpoint.Phase == routing.PhaseRemoved
		usable := endpoint.Phase == routing.PhaseServing || removed && useRemoved
		w.set(now, endpoint.Member, usable, !removed)
	}
	for member, status := range w.hosts {
		if !inList[member] && list.Kind != routing.EndpointListPatch && status.listed {
			w.set(now, member, useRemoved && status.withdrawnAt == 0, false)
		} else if !status.listed && now-status.withdrawnAt > removedHostRetention {
			delete(w.hosts, member)
		}
	}
}

// set records one host's status. The caller holds w.mu.
func (w *withdrawals) set(now time.Duration, member string, usable, listed bool) {
	status := w.hosts[member]
	status.listed = listed
	if usable {
		status.withdrawnAt = 0
	} else if status.withdrawnAt == 0 {
		status.withdrawnAt = now
	}
	w.hosts[member] = status
}

// withdrawnAt returns when a member was withdrawn; 0: it is usable.
func (w *withdrawals) withdrawnAt(member string) time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.hosts[member].withdrawnAt
}

// checkedWrite calls write, which takes an attempt of a request out of stateWaiting, and checks the invariants on sends and
// on retries. It returns what write returned. The state to check is read before write is called. If the request has its
// answer by then, all its waiting attempts have been withdrawn, and write returns false.
func (a *Attempt) checkedWrite(write func() bool) bool {
	request, c := a.Request, a.core
	now := c.clock.now()
	sendReason, by := invariant.CheckSend(invariant.Attempt{
		Now:            now,
		Deadline:       request.deadline,
		LatestStart:    a.startDeadline,
		Answered:       request.answered.Load(),
		DisconnectedAt: time.Duration(request.disconnectedAt.Load()),
		WithdrawnAt:    c.withdrawals.withdrawnAt(a.Member),
	})
	repeatReason, written := request.ledger.Begin(a.number, now, invariant.Limits{
		Effect:         request.class.Effect,
		IdempotencyTTL: request.class.IdempotencyTTL,
		AllowHedging:   c.options.Routing.AllowHedging,
		MaxAttempts:    c.options.Routing.MaxAttempts,
	}, write)
	if !written {
		return false
	}
	c.options.Monitor.Report(invariant.Violation{Rule: invariant.Send, Reason: sendReason, Request: request.ID, Host: a.Member, By: by})
	c.options.Monitor.Report(invariant.Violation{Rule: invariant.Repeat, Reason: repeatReason, Request: request.ID, Host: a.Member})
	return true
}

// checkSlowStart checks that a host in slow start has not been sent more than its budget allows, the current attempt included.
func (c *Core) checkSlowStart(member string) {
	if c.router.Overdrawn(member) {
		c.options.Monitor.Report(invariant.Violation{Rule: invariant.Start, Reason: invariant.BudgetOverdraw, Host: member})
	}
}
