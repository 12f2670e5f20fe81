// Package state is what outlives one process of the gateway: database hosts taken out by hand, and lameduck.
//
// It is a set of registers that processes copy to each other and merge. It knows no time, file, socket or goroutine;
// Steps and Joining hold the orders of steps that make a ban safe, which the shell and the model test both follow.
package state

// MaxSeq bounds sequence numbers, so that a number from a foreign hand can't use them up.
const MaxSeq = 1 << 53

// Stamp orders the changes: Seq is one more than any that the process had seen, Node is the process's nonce.
type Stamp struct {
	Seq  uint64 `json:"seq" cbor:"1,keyasint"`
	Node uint64 `json:"node" cbor:"2,keyasint"`
}

// Entry is one register. The zero Entry stands for one that was never set.
type Entry struct {
	On    bool  `json:"on" cbor:"3,keyasint"`    // the host is out, or lameduck is on
	Since int64 `json:"since" cbor:"4,keyasint"` // when it was set, Unix ns
	Stamp
}

// After says whether e wins over f. Sequence numbers count first; of equal ones the one that is on wins, as both
// calls ran at once and a host in doubt stays out. Nonce and time only make the order total.
func (e Entry) After(f Entry) bool {
	switch {
	case e.Seq != f.Seq:
		return e.Seq > f.Seq
	case e.On != f.On:
		return e.On
	case e.Node != f.Node:
		return e.Node > f.Node
	}
	return e.Since > f.Since
}

// Change is what a call asks for: a host out or back, or lameduck where Host is empty.
type Change struct {
	Host     string // at most MaxID bytes of printable UTF-8
	Out      bool
	Lameduck bool // counts where Host is empty
}

// Narrows says whether the change takes something out of service. Such a change is written to the file first.
func (c Change) Narrows() bool { return c.Host != "" && c.Out || c.Host == "" && c.Lameduck }

// State is what the registers say.
type State struct {
	Out      map[string]int64 // hosts taken out by hand, with the time of the call, Unix ns
	Lameduck bool
	Since    int64 // when lameduck was set to what it is, Unix ns; 0: never
}
