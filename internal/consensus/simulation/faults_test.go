package simulation

import (
	"slices"
	"time"

	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/store"
)

// faultKind is a kind of fault that hits one gateway.
type faultKind int

// The kinds of faults, in the order of the random numbers that draw them.
const (
	partitionOneDirection faultKind = iota // of messages from the gateway to one other gateway
	isolate                                // from and to all other gateways
	pause                                  // the process executes nothing
	crashProcess
	changeClockRate
	faultKinds // the number of kinds
)

// stepsPerFault is the average number of steps between two faults.
const stepsPerFault = 20

// toleratesCrash reports whether the cluster tolerates the crash of a gateway. The vote of a voter without a disk is lost for
// good when it crashes, so a voter may crash only while all voters are running and no joint-consensus change is in progress.
// The operator of a real fleet must meet the same condition: a majority without disks must not fail at once.
func (f *fleet) toleratesCrash(gateway *gateway) bool {
	voters := f.currentVoters()
	if !slices.Contains(voters, gateway.id) {
		return true
	}
	for _, id := range voters {
		i := f.indexOf(id)
		if i < 0 || !f.gateways[i].running || f.gateways[i].voter.Status().Joint {
			return false
		}
	}
	return true
}

// crash ends a gateway's process. A gateway without a disk loses its state and gets a new identity.
func (f *fleet) crash(gateway *gateway) {
	gateway.running = false
	gateway.restartAt = f.now + time.Duration(500+f.rng.IntN(9000))*time.Millisecond
	if gateway.hasDisk {
		if f.folder != "" {
			gateway.store.Close()
			gateway.store = f.openStore(gateway, raftlog.PersistedState{})
		}
		return
	}
	gateway.store = store.NewMemory(raftlog.PersistedState{})
	if !f.reuseIdentity {
		f.retired[gateway.id] = true
		f.assignIdentity(gateway)
	}
}

// injectFaults injects faults at random times until faultTime, and then ends all of them.
func (f *fleet) injectFaults() {
	if !f.hasFaults() {
		if f.now < f.faultTime+stepInterval {
			f.endFaults()
		}
		return
	}
	if f.rng.IntN(stepsPerFault) != 0 {
		return
	}
	target := f.drawTarget()
	duration := time.Duration(200+f.rng.IntN(3000)) * time.Millisecond
	if f.rng.IntN(4) == 0 {
		duration = time.Duration(5000+f.rng.IntN(20000)) * time.Millisecond
	}
	kind := faultKind(f.rng.IntN(int(faultKinds)))
	operating := slices.IndexFunc(f.gateways, func(g *gateway) bool { return g.operation != nil })
	if operating >= 0 && (kind == isolate || kind == pause) && f.rng.IntN(2) == 0 {
		target = operating // so that the fault falls between the check of the operation and its sending
	}
	f.injectFault(kind, target, f.now+duration)
}

func (f *fleet) endFaults() {
	clear(f.partitions)
	for _, g := range f.gateways {
		g.pausedUntil, g.restartAt = 0, min(g.restartAt, f.now)
	}
}

// drawTarget draws the gateway for a fault: a voter for half of the faults, else any gateway.
func (f *fleet) drawTarget() int {
	target := f.rng.IntN(len(f.gateways))
	voters := f.currentVoters()
	if f.rng.IntN(2) == 0 {
		target = max(f.indexOf(voters[f.rng.IntN(len(voters))]), 0)
	}
	return target
}

func (f *fleet) injectFault(kind faultKind, target int, until time.Duration) {
	gateway := f.gateways[target]
	switch kind {
	case partitionOneDirection:
		f.partitions[[2]int{target, f.rng.IntN(len(f.gateways))}] = until
	case isolate:
		for other := range f.gateways {
			if other != target {
				f.partitions[[2]int{target, other}] = until
				f.partitions[[2]int{other, target}] = until
			}
		}
	case pause:
		if gateway.running {
			gateway.pausedUntil = until
		}
	case crashProcess:
		if gateway.running && f.toleratesCrash(gateway) {
			f.crash(gateway)
		}
	case changeClockRate:
		gateway.clockRate = f.drawClockRate()
	}
}
