package state

import (
	"fmt"
	"slices"
)

// modelOrders holds the orders of steps that a run of the model uses.
type modelOrders struct {
	detach, attach []UpdateStep
	join           []JoinStep
}

// programOrders are the orders of steps that the program uses.
var programOrders = modelOrders{UpdateSteps(true), UpdateSteps(false), JoinSteps()}

// deliver delivers a message with its registers r.
func (w *modelWorld) deliver(m modelMessage, r Registers) {
	delete(w.messages, m)
	w.connect(m.to, m.from)
	w.merge(m.to, r)
	p := &w.processes[m.to]
	if m.ack {
		p.peerApplied[m.from], _ = p.peerApplied[m.from].Merge(r)
	} else if p.applied.Covers(p.registers) {
		w.send(m.to, m.from, true)
	}
}

// join takes the next step of the start of a process.
func (w *modelWorld) join(i int, steps []JoinStep) {
	p := &w.processes[i]
	step := steps[p.joinStepsDone]
	p.joinStepsDone++
	p.alive = true
	switch step {
	case ReadFile:
		w.merge(i, w.file)
	case QueryPeers:
		w.discover(i, steps)
	case ApplyState:
		p.sendsRequests = true
		w.apply(i)
	}
}

// kill ends a process. Messages to it are lost; messages from it may still arrive.
func (w *modelWorld) kill(i int) {
	w.kills--
	w.processes[i].alive = false
	for j := range w.processes {
		w.processes[j].undetectedExits[i] = w.processes[j].connected[i] && w.processes[j].alive
	}
	for m := range w.messages {
		if m.to == i {
			delete(w.messages, m)
		}
	}
}

// advance takes the next step of a call. It returns false if the call has to wait.
func (w *modelWorld) advance(k int, steps []UpdateStep, joinSteps []JoinStep) bool {
	c := &w.calls[k]
	p := &w.processes[c.process]
	change := Change{Host: modelHost, Detach: c.detach}
	if !c.started {
		var err error
		if c.delta, p.registers, err = p.registers.Prepare(change, uint64(c.process+1), 0); err != nil {
			panic(err)
		}
		c.started, c.step = true, 0
		return true
	}
	switch steps[c.step] {
	case Persist:
		w.file, _ = w.file.Merge(p.registers)
		w.file, _ = w.file.Merge(c.delta)
		w.merge(c.process, w.file)
	case ApplyLocal:
		w.merge(c.process, c.delta)
	case DiscoverPeers:
		w.discover(c.process, joinSteps)
	case AwaitAcks:
		if !w.acknowledged(c) {
			return false
		}
	}
	if c.step++; c.step < len(steps) {
		return true
	}
	holds := p.registers.Get(change).On == c.detach
	if !holds && c.attempt < maxModelAttempts-1 {
		c.attempt++
		c.started = false
		return true
	}
	c.ended, c.succeeded = true, holds
	return true
}

// acknowledged reports whether the process of a call, and every live process that it is connected to, have applied the call's change.
func (w *modelWorld) acknowledged(c *modelCall) bool {
	p := &w.processes[c.process]
	for j, other := range w.processes {
		if other.alive && p.connected[j] && !p.peerApplied[j].Covers(c.delta) {
			return false
		}
	}
	return p.applied.Covers(c.delta)
}

// next returns every world that one event can turn w into.
func (w *modelWorld) next(o modelOrders) []*modelWorld {
	all := w.afterProcessEvents(o)
	all = append(all, w.afterMessages()...)
	return append(all, w.afterCallEvents(o)...)
}

// after returns the world after an event, and does not change w.
func (w *modelWorld) after(event func(*modelWorld)) *modelWorld {
	c := w.clone()
	event(c)
	return c
}

// afterProcessEvents returns the worlds in which one process has taken a step of its start, applied its registers, detected the exit of
// another process, or been killed.
func (w *modelWorld) afterProcessEvents(o modelOrders) (all []*modelWorld) {
	for i, p := range w.processes {
		if p.joinStepsDone < len(o.join) && (p.alive || p.joinStepsDone == 0) {
			all = append(all, w.after(func(c *modelWorld) { c.join(i, o.join) }))
		}
		if !p.alive {
			continue
		}
		if p.sendsRequests && !p.applied.Covers(p.registers) {
			all = append(all, w.after(func(c *modelWorld) { c.apply(i) }))
		}
		for j := range p.undetectedExits {
			if p.undetectedExits[j] {
				all = append(all, w.after(func(c *modelWorld) {
					c.processes[i].undetectedExits[j] = false
					c.merge(i, c.file)
				}))
			}
		}
		if w.kills > 0 {
			all = append(all, w.after(func(c *modelWorld) { c.kill(i) }))
		}
	}
	return all
}

// afterMessages returns the worlds in which one message has arrived, or was lost because its sender was killed before it sent it.
func (w *modelWorld) afterMessages() (all []*modelWorld) {
	for m, r := range w.messages {
		if w.processes[m.to].alive {
			all = append(all, w.after(func(c *modelWorld) { c.deliver(m, r) }))
		}
		if !w.processes[m.from].alive {
			all = append(all, w.after(func(c *modelWorld) { delete(c.messages, m) }))
		}
	}
	return all
}

// afterCallEvents returns the worlds in which one call has advanced, timed out, or ended because its process was killed.
func (w *modelWorld) afterCallEvents(o modelOrders) (all []*modelWorld) {
	for k, c := range w.calls {
		p := w.processes[c.process]
		if c.ended || p.joinStepsDone <= slices.Index(o.join, QueryPeers) || c.afterPrevious && !w.calls[k-1].ended {
			continue
		}
		end := func(w *modelWorld) { w.calls[k].ended = true }
		if !p.alive {
			all = append(all, w.after(end))
			continue
		}
		steps := o.attach
		if c.detach {
			steps = o.detach
		}
		advanced := w.clone()
		if advanced.advance(k, steps, o.join) {
			all = append(all, advanced)
		}
		if c.started && steps[c.step] == AwaitAcks { // it times out
			all = append(all, w.after(end))
		}
	}
	return all
}

// violation describes the guarantee that the world violates, or returns "". Some guarantees are checked only in a last world, which no
// event can follow.
func (w *modelWorld) violation(last bool) string {
	detached, attached := false, false
	for k, c := range w.calls {
		if c.detach && c.succeeded {
			detached = true
		}
		if k > 0 && !c.detach && (c.started || c.ended) {
			detached = false
			attached = c.succeeded && c.afterPrevious
		}
	}
	firstAlive := -1
	for i, p := range w.processes {
		if !p.alive {
			continue
		}
		_, out := p.applied.State().Detached[modelHost]
		if detached && p.sendsRequests && !out {
			return fmt.Sprintf("process %d sends to the host after the detach call succeeded", i)
		}
		if last && attached && out {
			return fmt.Sprintf("in process %d the host is still detached after the attach call succeeded", i)
		}
		if last && firstAlive >= 0 && !agree(p.applied, w.processes[firstAlive].applied) {
			return "the live processes do not agree in the end"
		}
		firstAlive = i
	}
	return ""
}

func agree(a, b Registers) bool { return a.Covers(b) && b.Covers(a) }

// explore visits the worlds that can follow start, at most about maxWorlds of them. It returns the first violation and the number of
// worlds.
func explore(start *modelWorld, o modelOrders, maxWorlds int) (violation string, worlds int) {
	seen := map[string]bool{start.key(): true}
	for pending := []*modelWorld{start}; len(pending) > 0 && len(seen) < maxWorlds; {
		w := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		following := w.next(o)
		if violation := w.violation(len(following) == 0); violation != "" {
			return violation, len(seen)
		}
		for _, n := range following {
			if key := n.key(); !seen[key] {
				seen[key] = true
				pending = append(pending, n)
			}
		}
	}
	return "", len(seen)
}
