package state

// UpdateStep is one step of carrying out a Change.
type UpdateStep int

// Steps of a change.
const (
	Persist       UpdateStep = iota // merges the change into the file
	ApplyLocal                      // merges it into this process's registers, which the program then applies
	DiscoverPeers                   // searches the folder for processes that this one does not know yet
	AwaitAcks                       // waits until this process's program and every live process have applied it
)

// String returns the step's name, which tests use.
func (s UpdateStep) String() string {
	return [...]string{"persist", "apply_local", "discover_peers", "await_acks"}[s]
}

// UpdateSteps returns the steps of a change in their order. The call succeeds after the last step.
//
// In a change that restricts, Persist comes before DiscoverPeers, and in JoinSteps RegisterSocket comes before ReadFile. A starting
// process is therefore either discovered by the call, which then waits for its acknowledgement, or it reads a file that contains the
// change. There is no third case.
func UpdateSteps(restricts bool) []UpdateStep {
	if restricts {
		return []UpdateStep{Persist, ApplyLocal, DiscoverPeers, AwaitAcks}
	}
	return []UpdateStep{ApplyLocal, DiscoverPeers, AwaitAcks, Persist}
}

// JoinStep is one step of the start of a process.
type JoinStep int

// Steps of a start.
const (
	RegisterSocket JoinStep = iota // puts a socket that accepts connections into the folder
	ReadFile                       // merges the registers in the file
	QueryPeers                     // exchanges registers with all other processes in the folder; skips processes that hang
	ApplyState                     // applies the merged registers; from here on the program may send requests to hosts
)

// String returns the step's name, which tests use.
func (j JoinStep) String() string {
	return [...]string{"register_socket", "read_file", "query_peers", "apply_state"}[j]
}

// JoinSteps returns the steps of the start of a process in their order.
func JoinSteps() []JoinStep { return []JoinStep{RegisterSocket, ReadFile, QueryPeers, ApplyState} }

// Role is the role of a process among the processes of its gateway.
type Role int

// Roles of a process.
const (
	Alone Role = iota // no older process is alive and no newer one is ready: it accepts connections
	New               // an older process is still alive: it accepts connections
	Old               // a newer process is ready: it accepts no new connections
)

// RoleOf returns the role of a process. A process with both an older and a newer one is Old once the newer one is ready.
func RoleOf(older, newerReady bool) Role {
	switch {
	case newerReady:
		return Old
	case older:
		return New
	}
	return Alone
}

// String returns the role's name.
func (r Role) String() string { return [...]string{"alone", "new", "old"}[r] }
