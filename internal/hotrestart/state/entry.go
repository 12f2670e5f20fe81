// Package state holds what outlives one process of the gateway: detached database hosts, and lameduck.
//
// It is a set of last-writer-wins registers that processes copy to each other and merge. The package has no clock, file, socket or
// goroutine of its own. UpdateSteps and JoinSteps define the orders of steps that make a detach safe; package hotrestart and the
// model test both follow them.
package state

// MaxSeq bounds sequence numbers, so that a corrupt one can't use them up.
const MaxSeq = 1 << 53

// Stamp orders the changes: Seq is one more than any that the process had seen, Node is the process's nonce.
type Stamp struct {
	Seq  uint64 `json:"seq" cbor:"1,keyasint"`
	Node uint64 `json:"node" cbor:"2,keyasint"`
}

// Entry is the content of one register. The zero Entry stands for one that was never set.
type Entry struct {
	On    bool  `json:"on" cbor:"3,keyasint"`    // the host is detached, or lameduck is on
	Since int64 `json:"since" cbor:"4,keyasint"` // when it was set, Unix ns
	Stamp
}

// After reports whether e takes precedence over f. Sequence numbers count first; of equal ones the one that is on wins, as both calls ran
// concurrently and a host in doubt stays detached. Nonce and time only make the order total.
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

// Change is what an admin call asks for: to detach or attach a host, or to set lameduck where Host is empty.
type Change struct {
	Host     string // at most MaxIDBytes of printable UTF-8
	Detach   bool
	Lameduck bool // only used where Host is empty
}

// Restricts reports whether the change takes something out of service. Such a change is written to the file first.
func (c Change) Restricts() bool {
	if c.Host == "" {
		return c.Lameduck
	}
	return c.Detach
}

// State is the meaning of the registers.
type State struct {
	Detached map[string]int64 // hosts, with the time of the call, Unix ns
	Lameduck bool
	Since    int64 // when lameduck was last set, Unix ns; 0: never
}
