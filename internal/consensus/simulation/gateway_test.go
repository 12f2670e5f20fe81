package simulation

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"cranegate/internal/consensus/lease"
	"cranegate/internal/consensus/quorum"
	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/store"
)

const (
	compactionEntries = 40   // small, so that voters and replicas need snapshots
	maxUpdatesPerStep = 50   // updates that a gateway persists in one step
	maxInbox          = 256  // messages that wait at a gateway
	updatesPerCrash   = 4000 // average number of updates per crash between persisting and sending
)

// gateway is one simulated process with its own clock, and the state that the simulation keeps about it. Every gateway runs a
// replica, and a voter that does nothing until it becomes a learner.
type gateway struct {
	quorum.Gateway
	id          uint64
	hasDisk     bool
	store       store.Store
	voter       *raftlog.Voter
	replica     *raftlog.Replica
	clock       time.Duration
	clockRate   float64       // clock time per true time
	tickedAt    time.Duration // reading of its clock at the latest tick of the voter
	running     bool
	restartAt   time.Duration // true time; used while it is not running
	pausedUntil time.Duration
	inbox       []raftlog.Message
	operation   *operation
}

// operation is a write of a gateway. A check permits it, and it is sent later.
type operation struct {
	lease.Operation
	registerIndex uint64        // the log index of the value that permitted it
	sendAt        time.Duration // by the gateway's clock
}

// openStore opens the store of a gateway. If initial is not empty, the store is new and gets this state.
func (f *fleet) openStore(gateway *gateway, initial raftlog.PersistedState) store.Store {
	if f.folder == "" || !gateway.hasDisk {
		return store.NewMemory(initial)
	}
	folder := filepath.Join(f.folder, gateway.Name)
	os.MkdirAll(folder, 0o700)
	file, err := store.Open(folder, store.Owner{Name: gateway.Name, ClusterID: f.clusterID, StartID: gateway.StartID})
	if err == nil && initial.Snapshot != nil {
		err = file.Save(raftlog.Update{HardState: initial.HardState, Snapshot: initial.Snapshot, MustSync: true})
	}
	if err != nil {
		panic(err)
	}
	return file
}

// startGateway starts the process of a gateway.
func (f *fleet) startGateway(gateway *gateway) {
	persisted, err := gateway.store.Load()
	if err != nil {
		f.checker.fail("%s loads: %v", gateway.Name, err)
	}
	id := gateway.id
	voter, err := raftlog.NewVoter(raftlog.Options{
		ClusterID:         f.clusterID,
		ID:                id,
		Seed:              f.rng.Uint64(),
		CompactionEntries: compactionEntries,
		InjectedFaults:    f.injectedFaults,
		OnApply:           func(index uint64, data []byte) { f.checker.checkApplied(id, index, data) },
	}, persisted)
	if err != nil {
		f.checker.fail("%s starts: %v", gateway.Name, err)
		return
	}
	gateway.voter, gateway.running, gateway.inbox, gateway.operation = voter, true, nil, nil
	gateway.clockRate = f.drawClockRate()
	gateway.clock = time.Duration(f.rng.Int64N(int64(time.Hour)))
	gateway.tickedAt = gateway.clock
	f.lastStartID++ // the lease holder gets a new identity at every start
	holder := quorum.Gateway{Name: gateway.Name + " holds", StartID: f.lastStartID}
	gateway.replica = raftlog.NewReplica(f.clusterID, holder.ID(), f.rng.Uint64(), f.currentVoters())
	gateway.replica.State().InjectedFaults = f.injectedFaults
}

// drawClockRate draws the rate of a clock: one of the two limits, or a rate between them.
func (f *fleet) drawClockRate() float64 {
	const minRate, maxRate = 2.0 / 3, 4.0 / 3
	between := minRate + f.rng.Float64()*2/3
	return []float64{minRate, maxRate, between}[f.rng.IntN(3)]
}

// stepGateway runs a gateway for one step.
func (f *fleet) stepGateway(gateway *gateway) {
	if !gateway.running {
		if f.now >= gateway.restartAt {
			f.startGateway(gateway)
		}
		return
	}
	gateway.clock += time.Duration(float64(stepInterval) * gateway.clockRate)
	if f.now < gateway.pausedUntil {
		return
	}
	f.handleInbox(gateway)
	gateway.tickVoter()
	if !f.persistAndSend(gateway) {
		return
	}
	for _, message := range gateway.replica.Tick(gateway.clock) {
		f.sendMessage(message)
	}
	f.checker.checkReplica(gateway)
	f.operate(gateway)
}

func (f *fleet) handleInbox(gateway *gateway) {
	inbox := gateway.inbox
	gateway.inbox = nil
	for _, message := range inbox {
		if message.To != gateway.id {
			gateway.replica.Step(gateway.clock, message)
			continue
		}
		if err := gateway.voter.Step(message); errors.Is(err, raftlog.ErrInconsistentLog) {
			f.checker.fail("%s: %v", gateway.Name, err)
		}
	}
}

// tickVoter ticks the voter for the time since its latest tick. After a pause the missed ticks are lost.
func (g *gateway) tickVoter() {
	if g.clock-g.tickedAt > time.Second {
		g.tickedAt = g.clock - raftlog.TickInterval
	}
	for g.clock-g.tickedAt >= raftlog.TickInterval {
		g.tickedAt += raftlog.TickInterval
		g.voter.Tick()
	}
}

// persistAndSend persists the voter's updates and sends its messages. It returns false if the gateway crashed between the
// two.
func (f *fleet) persistAndSend(gateway *gateway) bool {
	for range maxUpdatesPerStep {
		update, ok := gateway.voter.Ready()
		if !ok {
			break
		}
		if err := gateway.store.Save(update); err != nil {
			f.checker.fail("%s saves: %v", gateway.Name, err)
		}
		if f.hasFaults() && f.rng.IntN(updatesPerCrash) == 0 && f.toleratesCrash(gateway) {
			f.crash(gateway)
			return false
		}
		messages, err := gateway.voter.Advance()
		if err != nil {
			f.checker.fail("%s: %v", gateway.Name, err)
		}
		for _, message := range messages {
			f.sendMessage(message)
		}
	}
	return true
}

// operate runs the operations of a gateway while its local state names it as the owner. For each operation the gateway checks
// the lease, waits and sends.
func (f *fleet) operate(gateway *gateway) {
	if gateway.operation != nil {
		if gateway.clock < gateway.operation.sendAt {
			return
		}
		err := gateway.replica.Lease().End(gateway.clock, gateway.operation.Operation)
		f.checker.checkOperation(gateway, gateway.operation, err)
		gateway.operation = nil
	}
	register, _, ok := gateway.replica.State().Get(ownerRegister)
	if !ok || string(register.Value) != gateway.Name {
		return
	}
	permitted, err := gateway.replica.Begin(gateway.clock)
	if err != nil {
		f.checker.rejectedOperations++
		return
	}
	wait := time.Duration(0)
	if f.rng.IntN(3) == 0 {
		wait = time.Duration(f.rng.Int64N(int64(lease.MaxStall - stepInterval*2)))
	}
	gateway.operation = &operation{Operation: permitted, registerIndex: register.Index, sendAt: gateway.clock + wait}
}
