package state

// UpdateStep is one step of an admin call's change.
type UpdateStep int

// Steps of a change.
const (
	Persist       UpdateStep = iota // merges the change into the file
	ApplyLocal                      // merges it into this process's registers, which the program then applies
	DiscoverPeers                   // searches the folder for processes that this one has not met
	AwaitAcks                       // waits until this process's program and every live process have applied it
)

// String is the step's name in tests.
func (s UpdateStep) String() string {
	return [...]string{"persist", "apply_local", "discover_peers", "await_acks"}[s]
}

// UpdateSteps is the order of a change's steps. The call succeeds after the last.
//
// In a change that restricts, Persist comes before DiscoverPeers, and in JoinSteps RegisterSocket comes before ReadFile. So a
// newcomer is either discovered by the call, which then waits for it, or it reads a file that holds the change. There is no third case.
func UpdateSteps(restricts bool) []UpdateStep {
	if restricts {
		return []UpdateStep{Persist, ApplyLocal, DiscoverPeers, AwaitAcks}
	}
	return []UpdateStep{ApplyLocal, DiscoverPeers, AwaitAcks, Persist}
}

// JoinStep is one step of a process that starts.
type JoinStep int

// Steps of a start.
const (
	RegisterSocket JoinStep = iota // puts a socket that accepts connections into the folder
	ReadFile                       // takes what the file holds
	QueryPeers                     // exchanges registers with all others in the folder; those that hang are skipped
	ApplyState                     // applies what was learned; from here on the program may send
)

// String is the step's name in tests.
func (j JoinStep) String() string {
	return [...]string{"register_socket", "read_file", "query_peers", "apply_state"}[j]
}

// JoinSteps is the order of a starting process's steps.
func JoinSteps() []JoinStep { return []JoinStep{RegisterSocket, ReadFile, QueryPeers, ApplyState} }

// Role is which of the gateway's processes this one is.
type Role int

// Roles of a process.
const (
	Alone Role = iota // no other process matters to it: it accepts connections
	New               // an older process still lives: it accepts connections
	Old               // a newer one is ready: it accepts no new connections
)

// RoleOf returns the role. A process between two others is Old once the newer one is ready.
func RoleOf(older, newerReady bool) Role {
	switch {
	case newerReady:
		return Old
	case older:
		return New
	}
	return Alone
}

// String is the role's name.
func (r Role) String() string { return [...]string{"alone", "new", "old"}[r] }
