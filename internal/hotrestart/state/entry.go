// Package state represents the state that survives a restart of the gateway: detached database hosts, and lameduck.
//
// The state is a set of last-writer-wins registers, which processes exchange and merge. The package uses no clock, file, socket or
// goroutine. UpdateSteps and JoinSteps define the orders of steps that make a detach safe; package hotrestart and the model test
// both follow them.
package state

// MaxSeq bounds sequence numbers. A snapshot with a higher one is rejected, so that a corrupt number can't exhaust them.
const MaxSeq = 1 << 53

// Stamp orders changes. Seq is one more than the highest sequence number that the process had seen, Node is the process's nonce.
type Stamp struct {
	Seq  uint64 `json:"seq" cbor:"1,keyasint"`
	Node uint64 `json:"node" cbor:"2,keyasint"`
}

// Entry is the content of one register. The zero Entry means that the register was never set.
type Entry struct {
	On    bool  `json:"on" cbor:"3,keyasint"`    // the host is detached, or lameduck is on
	Since int64 `json:"since" cbor:"4,keyasint"` // when it was set, Unix ns
	Stamp
}

// After reports whether e takes precedence over f. The higher sequence number wins. If both are equal, the calls ran concurrently, and
// the entry that is on wins, so that a host in doubt stays detached. Nonce and time only make the order total.
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

// Change is the change that an admin call requests: to detach or attach a host, or to set lameduck if Host is empty.
type Change struct {
	Host     string // at most MaxIDBytes of printable UTF-8
	Detach   bool
	Lameduck bool // only used if Host is empty
}

// Restricts reports whether the change takes a host or the gateway out of service. Such a change is written to the file before it is
// applied.
func (c Change) Restricts() bool {
	if c.Host == "" {
		return c.Lameduck
	}
	return c.Detach
}

// State is the state that the registers represent.
type State struct {
	Detached map[string]int64 // time of the detach call in Unix ns, by host id
	Lameduck bool
	Since    int64 // when lameduck was last set, Unix ns; 0: never
}
