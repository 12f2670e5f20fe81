package state

import (
	"maps"
	"slices"
)

// The model explores the interleavings of processes that start, receive admin calls and are killed, with messages that arrive in any
// order, late or never. It uses the same registers and orders of steps as package hotrestart.

// modelHost is the only host of the model.
const modelHost = "db1"

// maxModelAttempts bounds the attempts of a call that concurrent calls overrule.
const maxModelAttempts = 4

// modelProcess is the state of one process.
type modelProcess struct {
	alive           bool
	joinStepsDone   int  // number of steps of its start that are done
	sendsRequests   bool // it may send requests to hosts
	registers       Registers
	applied         Registers
	connected       []bool      // by index of the other process
	undetectedExits []bool      // exits, of processes that it is connected to, that it has not detected yet
	peerApplied     []Registers // registers that each other process has acknowledged as applied
}

// modelMessage identifies a message in flight. A newer message of the same kind replaces an unsent one, as on links.
type modelMessage struct {
	from, to int
	ack      bool // an acknowledgement; otherwise an update
}

// modelCall is an admin call.
type modelCall struct {
	process          int // index of the process that is called
	detach           bool
	afterPrevious    bool // starts after the previous call has ended
	started          bool
	step, attempt    int
	delta            Registers
	ended, succeeded bool
}

// modelWorld is one state of the model: processes, calls, messages in flight and the file.
type modelWorld struct {
	processes []modelProcess
	calls     []modelCall
	messages  map[modelMessage]Registers
	file      Registers
	kills     int // number of processes that may still be killed
}

// newModelWorld returns a world with a total number of processes. The first of them, as many as running says, have started and are
// connected to each other.
func newModelWorld(running, total, kills int, calls ...modelCall) *modelWorld {
	w := &modelWorld{calls: calls, messages: map[modelMessage]Registers{}, kills: kills}
	for i := range total {
		p := modelProcess{connected: make([]bool, total), undetectedExits: make([]bool, total), peerApplied: make([]Registers, total)}
		if i < running {
			p.alive, p.joinStepsDone, p.sendsRequests = true, len(JoinSteps()), true
			for j := range running {
				p.connected[j] = i != j
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
		p.connected, p.undetectedExits, p.peerApplied = slices.Clone(p.connected), slices.Clone(p.undetectedExits), slices.Clone(p.peerApplied)
	}
	return c
}

// key returns a string that identifies the world, to recognize worlds that were already explored.
func (w *modelWorld) key() string {
	b := make([]byte, 0, 256)
	for i := range w.processes {
		b = w.appendProcess(b, i)
	}
	for _, c := range w.calls {
		b = append(b, bit(c.started), byte(c.step), byte(c.attempt), bit(c.ended), bit(c.succeeded))
		b = appendRegisters(b, c.delta)
	}
	b = appendRegisters(b, w.file)
	return string(append(b, byte(w.kills)))
}

// appendProcess appends a process, with the messages that it has in flight, to a key.
func (w *modelWorld) appendProcess(b []byte, i int) []byte {
	p := w.processes[i]
	b = append(b, bit(p.alive), byte(p.joinStepsDone), bit(p.sendsRequests))
	b = appendRegisters(b, p.registers)
	b = appendRegisters(b, p.applied)
	for j := range w.processes {
		b = append(b, bit(p.connected[j]), bit(p.undetectedExits[j]))
		b = appendRegisters(b, p.peerApplied[j])
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

// sendAll queues a message to every process that the sender is connected to.
func (w *modelWorld) sendAll(from int, ack bool) {
	for to, connected := range w.processes[from].connected {
		if connected {
			w.send(from, to, ack)
		}
	}
}

// connect connects process i to process j if j is alive.
func (w *modelWorld) connect(i, j int) {
	if p := &w.processes[i]; i != j && !p.connected[j] && w.processes[j].alive {
		p.connected[j] = true
		w.send(i, j, false)
	}
}

// discover connects a process to all others whose sockets are registered.
func (w *modelWorld) discover(i int, joinSteps []JoinStep) {
	for j, other := range w.processes {
		if other.joinStepsDone > slices.Index(joinSteps, RegisterSocket) {
			w.connect(i, j)
		}
	}
}

// merge merges registers into the registers of a process, and sends an update to its peers if any of them changed.
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
	if !p.sendsRequests {
		p.applied = merged
	}
	w.sendAll(i, false)
}

// apply makes the program of a process apply its registers.
func (w *modelWorld) apply(i int) {
	p := &w.processes[i]
	p.applied = p.registers
	w.sendAll(i, true)
}
