package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cranegate/internal/membership"
)

// convergenceTime is the time in which the members discover each other, before the scenario starts and anything is
// checked.
const convergenceTime = 20 * time.Second

func init() {
	for _, scenario := range membershipScenarios {
		Experiments = append(Experiments, Experiment{Name: scenario.name, About: scenario.About, membership: scenario})
	}
}

// membershipSim runs a membership scenario in virtual time.
type membershipSim struct {
	*membershipScenario
	timeline
	links
	plainSWIM       bool
	rng             *rand.Rand
	members         []*simMember
	byAddr          map[string]*simMember
	excuses         []excuse
	stalled         map[*membershipFault][]func() // messages delayed by a stall
	malformed       int                           // messages that could not be encoded or decoded
	falseVerdicts   int                           // verdicts on running members without an excuse
	notes           []string
	endedAt         map[membership.Incarnation]time.Duration   // when the process of an incarnation ended
	detections      map[membership.Incarnation][]time.Duration // from the end to each observer's verdict
	bytesSent       int                                        // by all members, in the last ten seconds
	messagesSent    int
	maxDatagramSize int // in bytes
}

// simMember is one member of a membershipSim.
type simMember struct {
	sim        *membershipSim
	index      int
	addr       string
	node       *membership.Node
	generation int // counts process starts
	up         bool
	paused     bool
	inbox      []membership.Message
}

const (
	tickInterval   = 100 * time.Millisecond
	maxMemberNotes = 10
	maxInbox       = 256 // messages queued for a paused process, as in a socket's buffer
)

// newMembershipSim creates a simulation of n members. The flag plainSWIM disables the extensions of SWIM.
func newMembershipSim(scenario *membershipScenario, n int, lossRate float64, plainSWIM bool, seed uint64) *membershipSim {
	sim := &membershipSim{
		membershipScenario: scenario,
		plainSWIM:          plainSWIM,
		timeline:           timeline{now: epoch},
		rng:                rand.New(rand.NewPCG(seed, 5)),
		links:              newLinks(n, lossRate, seed),
		byAddr:             map[string]*simMember{},
		stalled:            map[*membershipFault][]func(){},
		endedAt:            map[membership.Incarnation]time.Duration{},
		detections:         map[membership.Incarnation][]time.Duration{},
	}
	for i := range n {
		member := &simMember{sim: sim, index: i, addr: fmt.Sprintf("127.0.%d.%d:7946", i/250, i%250+1)}
		sim.members, sim.byAddr[member.addr] = append(sim.members, member), member
		sim.after(time.Duration(sim.rng.Int64N(int64(sec))), member.start)
	}
	for _, fault := range scenario.Faults {
		sim.after(convergenceTime+fault.at(), func() { sim.startFault(fault) })
		sim.after(convergenceTime+fault.end(scenario), func() { sim.endFault(fault) })
	}
	return sim
}

// note records a violation with its time, up to maxMemberNotes.
func (s *membershipSim) note(format string, args ...any) {
	if len(s.notes) < maxMemberNotes {
		s.notes = append(s.notes, fmt.Sprintf("%7.3fs ", (s.now-epoch-convergenceTime).Seconds())+fmt.Sprintf(format, args...))
	}
}

// startFault applies a fault to links and members.
func (s *membershipSim) startFault(fault *membershipFault) {
	if fault.Peers.matches != nil {
		s.links.startFault(fault)
	}
	for _, member := range s.members {
		switch selected := fault.Members.matches(member.index, len(s.members)); {
		case selected && fault.Kind == faultPause:
			member.paused = true
		case selected && fault.Kind == faultKill:
			member.up = false
			s.endedAt[member.node.Self().Incarnation] = s.now
		case selected && fault.Kind == faultLeave:
			member.node.Leave()
			member.flush()
			member.up = false
			s.endedAt[member.node.Self().Incarnation] = s.now
		}
	}
	s.excuses = append(s.excuses, fault.newExcuses(s.now, s.now+fault.end(s.membershipScenario)-fault.at())...)
}

// endFault reverts a fault. Members whose process has ended start again.
func (s *membershipSim) endFault(fault *membershipFault) {
	if fault.Peers.matches != nil {
		s.links.endFault(fault)
		for _, send := range s.stalled[fault] {
			send()
		}
		delete(s.stalled, fault)
	}
	for _, member := range s.members {
		switch selected := fault.Members.matches(member.index, len(s.members)); {
		case selected && fault.Kind == faultPause:
			member.paused = false
			inbox := member.inbox
			member.inbox = nil
			for _, m := range inbox {
				member.receive(m)
			}
		case selected && (fault.Kind == faultKill || fault.Kind == faultLeave):
			member.start()
		}
	}
}

// start starts a new process of the member, which is configured with the addresses of up to three members to join.
func (m *simMember) start() {
	sim := m.sim
	m.generation++
	m.up, m.inbox = true, nil
	var join []string
	for k := range min(3, len(sim.members)) {
		join = append(join, sim.members[k*len(sim.members)/3].addr)
	}
	var err error
	m.node, err = membership.New(sim.now, membership.Options{Fleet: "f", Name: fmt.Sprint("g", m.index), Zone: threeZones[m.index%3], Addr: m.addr,
		Join: join, Seed: sim.rng.Uint64(), Gateways: len(sim.members), PlainSWIM: sim.plainSWIM})
	if err != nil {
		panic(err) // the options are fixed
	}
	m.tick(m.generation)
}

// tick drives the node every tickInterval, as long as its process runs.
func (m *simMember) tick(generation int) {
	if !m.up || m.generation != generation {
		return
	}
	if !m.paused {
		m.node.Tick(m.sim.now)
		m.flush()
	}
	m.sim.after(tickInterval, func() { m.tick(generation) })
}

// receive handles a message, or queues it while the process is paused.
func (m *simMember) receive(message membership.Message) {
	switch {
	case !m.up:
	case m.paused && len(m.inbox) < maxInbox:
		m.inbox = append(m.inbox, message)
	case !m.paused:
		m.node.Step(m.sim.now, message)
		m.flush()
	}
}

// flush sends the node's pending messages and checks its verdicts.
func (m *simMember) flush() {
	sim := m.sim
	out, changes := m.node.Ready()
	for _, c := range changes {
		sim.checkVerdict(m, c)
	}
	for _, message := range out {
		sim.send(m, message)
	}
}

// send encodes a message and schedules its delivery.
func (s *membershipSim) send(from *simMember, message membership.Message) {
	encoded, err := membership.Encode(message)
	if err != nil {
		s.malformed++
		s.note("%d: %v", from.index, err)
		return
	}
	stream := message.Kind == membership.StateRequest || message.Kind == membership.StateResponse
	if s.messagesSent++; !stream {
		s.maxDatagramSize = max(s.maxDatagramSize, len(encoded))
	}
	s.bytesSent += len(encoded)
	to := s.byAddr[message.To]
	if to == nil {
		return
	}
	outcome := s.deliver(s.now, from.index, to.index, len(encoded), stream)
	if outcome.lost || outcome.corrupted { // corrupted messages fail authentication
		return
	}
	decoded, err := membership.Decode(encoded)
	if err != nil {
		s.malformed++
		s.note("%d: %v", from.index, err)
		return
	}
	for range outcome.copies {
		delay := draw(s.rng, 200*time.Microsecond, 5*time.Millisecond) + outcome.delay
		arrive := func() { s.after(delay, func() { to.receive(decoded) }) }
		if stalled := s.stalled[outcome.stalledBy]; outcome.stalledBy != nil && len(stalled) < maxInbox {
			s.stalled[outcome.stalledBy] = append(stalled, arrive)
		} else if outcome.stalledBy == nil {
			arrive()
		}
	}
}

// checkVerdict compares a verdict of failure with the actual state of the accused member.
func (s *membershipSim) checkVerdict(observer *simMember, change membership.Change) {
	if change.Member.State != membership.Failed || change.New {
		return
	}
	if at, ended := s.endedAt[change.Member.Incarnation]; ended {
		s.detections[change.Member.Incarnation] = append(s.detections[change.Member.Incarnation], s.now-at)
		return
	}
	if s.now < epoch+convergenceTime {
		return
	}
	for _, accused := range s.members {
		running := accused.up && accused.node.Self().Incarnation == change.Member.Incarnation
		if running && !isExcused(s.excuses, s.now, observer.index, accused.index, len(s.members)) {
			s.falseVerdicts++
			s.note("%d holds %d as failed, by %q (%s)", observer.index, accused.index, change.Reporter, change.Reason)
		}
	}
}

// divergedViews counts the members whose view is not exactly the set of running members.
func (s *membershipSim) divergedViews() (diverged int) {
	running := map[membership.Incarnation]bool{}
	for _, p := range s.members {
		if p.up {
			running[p.node.Self().Incarnation] = true
		}
	}
	for _, p := range s.members {
		if !p.up {
			continue
		}
		seen := 1
		wrong := false
		for _, r := range p.node.Members() {
			if r.State < membership.Failed {
				if seen++; !running[r.Incarnation] {
					wrong = true
				}
			}
		}
		if wrong || seen != len(running) {
			diverged++
		}
	}
	return diverged
}
