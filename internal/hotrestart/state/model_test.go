package state

import (
	"maps"
	"slices"
)

// The model runs all interleavings of processes that start, are called and are killed, with messages that arrive in any order, late or
// never. It uses the registers and the orders of steps that package hotrestart uses.

// modelHost is the only host of the model.
const modelHost = "db1"

// maxModelAttempts is how often a call is attempted that a concurrent call overrules.
const maxModelAttempts = 4

// modelProcess is the state of one process.
type modelProcess struct {
	alive     bool
	joined    int  // steps of a start that are done
	sends     bool // requests to hosts
	registers Registers
	applied   Registers
	met       []bool      // by process
	deaths    []bool      // of processes that it has met and does not know to be dead
	peers     []Registers // what the others said they have applied
}

// modelMessage identifies a message in flight. A newer one of a kind replaces an unsent one, as on links.
type modelMessage struct {
	from, to int
	ack      bool // an acknowledgement, else an update
}

// modelCall is an admin call.
type modelCall struct {
	at            int // the process
	detach        bool
	afterPrevious bool // starts after the call before it has ended
	started       bool
	step, attempt int
	delta         Registers
	ended, ok     bool
}

// modelWorld is one state of everything.
type modelWorld struct {
	processes []modelProcess
	calls     []modelCall
	messages  map[modelMessage]Registers
	file      Registers
	kills     int // that may still happen
}

// newModelWorld returns a world of processes, of which the first live and know each other.
func newModelWorld(live, all, kills int, calls ...modelCall) *modelWorld {
	w := &modelWorld{calls: calls, messages: map[modelMessage]Registers{}, kills: kills}
	for i := range all {
		p := modelProcess{met: make([]bool, all), deaths: make([]bool, all), peers: make([]Registers, all)}
		if i < live {
			p.alive, p.joined, p.sends = true, len(JoinSteps()), true
			for j := range live {
				p.met[j] = i != j
			}
		}
		w.processes = append(w.processes, p)
	}
	return w
}

func (w *modelWorld) clone() *modelWorld {
	c := &modelWorld{
		processes: slices.Clone(w.processes),
		calls:     slices.Clone(w.calls),
		messages:  maps.Clone(w.messages),
		file:      w.file,
		kills:     w.kills,
	}
	for i := range c.processes {
		p := &c.processes[i]
		p.met, p.deaths, p.peers = slices.Clone(p.met), slices.Clone(p.deaths), slices.Clone(p.peers)
	}
	return c
}

// key identifies a world among those that were explored.
func (w *modelWorld) key() string {
	b := make([]byte, 0, 256)
	for i := range w.processes {
		b = w.appendProcess(b, i)
	}
	for _, c := range w.calls {
		b = append(b, bit(c.started), byte(c.step), byte(c.attempt), bit(c.ended), bit(c.ok))
		b = appendRegisters(b, c.delta)
	}
	b = appendRegisters(b, w.file)
	return string(append(b, byte(w.kills)))
}

// appendProcess adds a process, with its messages in flight, to a key.
func (w *modelWorld) appendProcess(b []byte, i int) []byte {
	p := w.processes[i]
	b = append(b, bit(p.alive), byte(p.joined), bit(p.sends))
	b = appendRegisters(b, p.registers)
	b = appendRegisters(b, p.applied)
	for j := range w.processes {
		b = append(b, bit(p.met[j]), bit(p.deaths[j]))
		b = appendRegisters(b, p.peers[j])
		for _, ack := range []bool{false, true} {
			r, ok := w.messages[modelMessage{i, j, ack}]
			b = append(b, bit(ok))
			b = appendRegisters(b, r)
		}
	}
	return b
}

func appendRegisters(b []byte, r Registers) []byte {
	e := r.hosts[modelHost]
	return append(b, byte(r.clock), byte(e.Seq), byte(e.Node), bit(e.On))
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// send queues a message.
func (w *modelWorld) send(from, to int, ack bool) {
	r := w.processes[from].registers
	if ack {
		r = w.processes[from].applied
	}
	w.messages[modelMessage{from, to, ack}] = r
}

// sendAll queues a message to all processes that one has met.
func (w *modelWorld) sendAll(from int, ack bool) {
	for to, met := range w.processes[from].met {
		if met {
			w.send(from, to, ack)
		}
	}
}

// meet has a process connect to another one that lives.
func (w *modelWorld) meet(i, j int) {
	if p := &w.processes[i]; i != j && !p.met[j] && w.processes[j].alive {
		p.met[j] = true
		w.send(i, j, false)
	}
}

// discover has a process meet all others whose sockets are registered.
func (w *modelWorld) discover(i int, joinSteps []JoinStep) {
	for j, other := range w.processes {
		if other.joined > slices.Index(joinSteps, RegisterSocket) {
			w.meet(i, j)
		}
	}
}

// merge merges registers into those of a process, and sends them on if they change.
func (w *modelWorld) merge(i int, r Registers) {
	p := &w.processes[i]
	merged, err := p.registers.Merge(r)
	if err != nil {
		panic(err)
	}
	if merged.Equal(p.registers) {
		return
	}
	p.registers = merged
	if !p.sends {
		p.applied = merged
	}
	w.sendAll(i, false)
}

// apply has a process's program apply its registers.
func (w *modelWorld) apply(i int) {
	p := &w.processes[i]
	p.applied = p.registers
	w.sendAll(i, true)
}
