package state

// Step is one step of a call.
type Step int

const (
	Persist Step = iota // merge the change into the file
	Adopt               // merge it into this process's registers; the module is given them from here on
	Look                // look into the folder for processes that this one has not met
	Tell                // wait until this process's module and every live process hold it
)

func (s Step) String() string { return [...]string{"persist", "adopt", "look", "tell"}[s] }

// Steps is the order of a call's steps. The yes comes after the last.
//
// Persist stands before Look in a change that narrows, and Show before Read in Joining: so a newcomer is either seen
// by the call, which then waits for it, or it reads a file that holds the change. No third case is left.
func Steps(narrows bool) []Step {
	if narrows {
		return []Step{Persist, Adopt, Look, Tell}
	}
	return []Step{Adopt, Look, Tell, Persist}
}

// Join is one step of a process that starts.
type Join int

const (
	Show Join = iota // its socket stands in the folder and takes connections
	Read             // it takes what the file holds
	Ask              // it asks all others that stand in the folder, and gives them what it holds; those that hang are passed over
	Hold             // the module holds what was learned: from here on it may send
)

func (j Join) String() string { return [...]string{"show", "read", "ask", "hold"}[j] }

// Joining is the order of a newcomer's steps.
func Joining() []Join { return []Join{Show, Read, Ask, Hold} }

// Role is which of the gateway's processes this one is.
type Role int

const (
	Alone Role = iota // no other process matters to it: it takes connections
	New               // an older process still lives: it takes connections
	Old               // a newer one is ready: it takes no new connections
)

// RoleOf gives the role. A process between two others is Old once the newer one is ready.
func RoleOf(older, newerReady bool) Role {
	switch {
	case newerReady:
		return Old
	case older:
		return New
	}
	return Alone
}

// Accepts says whether a process in this role takes new connections.
func (r Role) Accepts() bool { return r != Old }

func (r Role) String() string { return [...]string{"alone", "new", "old"}[r] }
