package statemachine

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

// The values of the register "r", in the order in which they are proposed.
const (
	oldValue        = "old"
	restrictedValue = "restricted"
	relaxedValue    = "relaxed"
)

// model is a replicated log with its lease holders, at one step of one interleaving. Time is modelled only by the orders of
// events that it allows: a lease may expire at any step; the leader may find a lease expired only after its holder has
// found it expired, and only after the operations that the lease permitted have ended.
type model struct {
	commands         [][]byte // the replicated log
	state            *State
	holders          []modelHolder
	acksInFlight     []Ack // not applied yet, after any delay
	delayedAcks      []Ack
	expirations      []Ack // leases that the leader found expired, not in the log yet
	remainingCrashes int
	remainingDelays  int  // of acknowledgements
	changesProposed  bool // the Restrict and the Relax are in the log
}

// modelHolder is one lease holder. Its identity is its position in model.holders, plus one.
type modelHolder struct {
	state        *State
	round        uint64 // of its latest acknowledgement
	ackedIndex   uint64
	renewedRound uint64 // the latest round that it has seen renewed
	expiredRound uint64 // the leader found the lease of this round expired; no operation begins in this or an earlier round
	leaseValid   bool   // by its own clock
	running      bool
}

// newModel makes a model in which every holder has a lease and the register has its old value.
func newModel(holders int, faults InjectedFaults) *model {
	m := &model{state: New(), remainingCrashes: 1, remainingDelays: 1}
	m.state.InjectedFaults = faults
	m.propose(Command{Key: Key{1, 1}, Op: Set, Name: "r", Value: []byte(oldValue)})
	renew := Command{Op: Renew}
	for i := range holders {
		renew.Acks = append(renew.Acks, Ack{Holder: holderID(i), Round: 1, Index: 1})
	}
	m.propose(renew)
	for range holders {
		m.holders = append(m.holders, modelHolder{state: m.state.clone(), round: 1, renewedRound: 1, leaseValid: true, running: true, ackedIndex: 1})
	}
	return m
}

func holderID(i int) uint64 { return uint64(i + 1) }

// value returns the value that a holder acts on, "" for none.
func (h *modelHolder) value() string {
	if !h.running || !h.leaseValid {
		return ""
	}
	register, _, _ := h.state.Get("r")
	return string(register.Value)
}

func (s *State) clone() *State {
	cloned := *s
	cloned.registers = cloneMap(s.registers)
	cloned.leases = cloneMap(s.leases)
	cloned.clients = cloneMap(s.clients)
	cloned.restrictions = slices.Clone(s.restrictions)
	return &cloned
}

// cloneMap clones a map and the values that it points to.
func cloneMap[K comparable, V any](original map[K]*V) map[K]*V {
	cloned := maps.Clone(original)
	for key, value := range cloned {
		copied := *value
		cloned[key] = &copied
	}
	return cloned
}

func (m *model) clone() *model {
	cloned := *m
	cloned.commands = slices.Clone(m.commands)
	cloned.acksInFlight = slices.Clone(m.acksInFlight)
	cloned.delayedAcks = slices.Clone(m.delayedAcks)
	cloned.expirations = slices.Clone(m.expirations)
	cloned.holders = slices.Clone(m.holders)
	cloned.state = m.state.clone()
	for i := range cloned.holders {
		cloned.holders[i].state = cloned.holders[i].state.clone()
	}
	return &cloned
}

func (m *model) propose(command Command) {
	data, err := command.Encode()
	if err != nil {
		panic(err)
	}
	m.commands = append(m.commands, data)
	m.state.Apply(uint64(len(m.commands)), data)
}

// modelStep is one possible next step; apply performs it on a clone of the model.
type modelStep struct {
	name  string
	apply func(*model)
}

// nextSteps returns all possible next steps.
func (m *model) nextSteps() (steps []modelStep) {
	for i := range m.holders {
		steps = append(steps, m.holderSteps(i)...)
	}
	if len(m.expirations) > 0 {
		steps = append(steps, modelStep{"propose expirations", (*model).proposeExpirations})
	}
	if !m.changesProposed {
		steps = append(steps, modelStep{"propose changes", (*model).proposeChanges})
	}
	if len(m.acksInFlight) > 0 {
		steps = append(steps, modelStep{"renew", (*model).renew})
		if m.remainingDelays > 0 {
			steps = append(steps, modelStep{"delay an acknowledgement", (*model).delayAck})
		}
	}
	if len(m.delayedAcks) > 0 {
		steps = append(steps, modelStep{"renew by delayed acknowledgements", (*model).renewDelayed})
	}
	return steps
}

// holderSteps returns the possible steps of one holder, and the step in which the leader finds its lease expired.
func (m *model) holderSteps(i int) (steps []modelStep) {
	add := func(name string, apply func(m *model, h *modelHolder)) {
		step := modelStep{fmt.Sprint("holder ", i, ": ", name), func(m *model) { apply(m, &m.holders[i]) }}
		steps = append(steps, step)
	}
	h := &m.holders[i]
	if h.running && int(h.state.Index) < len(m.commands) {
		add("apply", func(m *model, h *modelHolder) { h.applyNext(m.commands, holderID(i)) })
	}
	if h.running && h.ackedIndex < h.state.Index {
		add("acknowledge", func(m *model, h *modelHolder) {
			h.round++
			h.ackedIndex = h.state.Index
			m.acksInFlight = append(m.acksInFlight, Ack{Holder: holderID(i), Round: h.round, Index: h.ackedIndex})
		})
	}
	if h.running && m.remainingCrashes > 0 {
		add("crash", func(m *model, h *modelHolder) {
			h.running = false
			m.remainingCrashes--
		})
	}
	if h.leaseValid {
		add("lease expires", func(_ *model, h *modelHolder) { h.leaseValid = false })
	}
	lease, ok := m.state.Lease(holderID(i))
	if ok && !h.leaseValid && lease.Round <= h.round && !slices.Contains(m.expirations, lease) {
		add("lease found expired", func(m *model, h *modelHolder) {
			m.expirations = append(m.expirations, lease)
			h.expiredRound = lease.Round
		})
	}
	return steps
}

// applyNext applies the holder's next command.
func (h *modelHolder) applyNext(commands [][]byte, id uint64) {
	h.state.Apply(h.state.Index+1, commands[h.state.Index])
	lease, ok := h.state.Lease(id)
	switch {
	case !ok:
		h.leaseValid = false
	case lease.Round > max(h.renewedRound, h.expiredRound):
		h.leaseValid = true
		h.renewedRound = lease.Round
	}
}

func (m *model) proposeChanges() {
	m.changesProposed = true
	m.propose(Command{Key: Key{1, 2}, Op: Restrict, Name: "r", Value: []byte(restrictedValue), AnyVersion: true})
	m.propose(Command{Key: Key{1, 3}, Op: Relax, Name: "r", Value: []byte(relaxedValue), AnyVersion: true})
}

func (m *model) proposeExpirations() {
	m.propose(Command{Op: Renew, ExpiredLeases: m.expirations})
	m.expirations = nil
}

func (m *model) renew() {
	m.propose(Command{Op: Renew, Acks: m.acksInFlight})
	m.acksInFlight = nil
}

func (m *model) delayAck() {
	m.delayedAcks = append(m.delayedAcks, m.acksInFlight[0])
	m.acksInFlight = m.acksInFlight[1:]
	m.remainingDelays--
}

func (m *model) renewDelayed() {
	m.propose(Command{Op: Renew, Acks: m.delayedAcks})
	m.delayedAcks = nil
}

// violation describes a violated invariant, "" if there is none. The invariants: once the restriction is complete, no holder
// acts on the old value; and no holder acts on the relaxed value while another acts on the old one.
func (m *model) violation() string {
	register, settled, _ := m.state.Get("r")
	current := string(register.Value)
	isRestricted := current == relaxedValue || current == restrictedValue && settled
	for i := range m.holders {
		if m.holders[i].value() != oldValue {
			continue
		}
		if isRestricted {
			return fmt.Sprintf("holder %d acts on %q while %q is in force", i, oldValue, current)
		}
		for j := range m.holders {
			if m.holders[j].value() == relaxedValue {
				return fmt.Sprintf("holder %d acts on the old value while holder %d acts on the relaxed value", i, j)
			}
		}
	}
	return ""
}

// fingerprint identifies the model's state.
func (m *model) fingerprint() string {
	encoded := binary.BigEndian.AppendUint64(make([]byte, 0, 256), m.state.Checksum)
	add := func(numbers ...uint64) {
		for _, number := range numbers {
			encoded = binary.AppendUvarint(encoded, number)
		}
	}
	add(uint64(m.remainingCrashes), uint64(m.remainingDelays), uint64(len(m.acksInFlight)), uint64(len(m.delayedAcks)))
	for _, ack := range slices.Concat(m.acksInFlight, m.delayedAcks, m.expirations) {
		add(ack.Holder, ack.Round, ack.Index)
	}
	for _, h := range m.holders {
		add(h.state.Checksum, h.round, h.ackedIndex, h.renewedRound, h.expiredRound)
		encoded = fmt.Append(encoded, h.leaseValid, h.running)
	}
	return string(encoded)
}
