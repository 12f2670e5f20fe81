package membership

import "time"

// DefaultMaxMembers is the default of Options.MaxMembers: the size of the largest fleet.
const DefaultMaxMembers = 1024

// Options are a node's settings. Zero values take the defaults.
type Options struct {
	Fleet string // messages of other fleets are ignored
	Name  string // required; at most 64 bytes, like Fleet, Zone and Addr
	Zone  string
	Addr  string // required: the address at which other members reach this one

	Join          []string // addresses to contact at the start, and whenever no live member has them
	Gateways      int      // expected number of gateways, assumed until the first settled view
	Seed          uint64
	ProbeInterval time.Duration // time between two probes by this node; default 250 ms
	MaxMembers    int           // including this one; default DefaultMaxMembers

	// PlainSWIM disables the extensions of SWIM, for comparisons in experiments: a suspect is probed once, directly and
	// through helpers, a reported failure is accepted without a check, and there is no local health awareness.
	PlainSWIM bool
}

// Bounds and timeouts of the protocol.
const (
	indirectProbes       = 3                       // helpers per attempt to reach a suspect, from different zones
	widenAfterAttempts   = 3                       // attempts after which twice as many helpers are asked, up to two per zone
	maxRelays            = 64                      // concurrent relays (pings on behalf of other members)
	relayAttempts        = 3                       // pings per relay
	maxGossipMembers     = 10                      // largest number of member states in a datagram
	memberOverheadBytes  = 48                      // encoded size of a member state without its name, zone and address
	messageOverheadBytes = 64                      // encoded size of a message without its members
	retransmitFactor     = 6                       // a state is sent this factor times log10 of the fleet's size (SWIM's lambda)
	suspectRetryInterval = 100 * time.Millisecond  // between two attempts to reach a suspect
	relayRetryInterval   = 200 * time.Millisecond  // between two pings by a relay
	minSuspicionTimeout  = 1800 * time.Millisecond // suspicion timeout with maxConfirmations
	maxSuspicionTimeout  = 2800 * time.Millisecond // suspicion timeout without a confirmation by a helper
	maxConfirmations     = 3                       // helpers whose confirmations shorten the suspicion timeout
	ageTolerance         = 300 * time.Millisecond  // allowance for the error of ages, which do not include the transit time of messages
	syncInterval         = 5 * time.Minute         // mean time between full state exchanges while views are equal
	viewMismatchDelay    = 3 * time.Second         // time without a change after which members with different views exchange full states
	minSyncInterval      = time.Second             // shortest time between two full state exchanges
	reconnectInterval    = time.Second             // between pings of failed members and of join addresses
	forgetDelay          = 10 * time.Minute        // after which a member that failed or left is removed from the table
	isolationTimeout     = 1500 * time.Millisecond // time without any message after which the node considers itself isolated
	stallThreshold       = 500 * time.Millisecond  // a longer time between two calls of Tick or Step means that the process was suspended
	minorityTimeout      = 5 * time.Second         // time on the minority side of a partition after which a node uses no share of a budget
	removalDelay         = 20 * time.Second        // longer than any deadline: what a failed member had sent has ended by then
	settleDelay          = 5 * time.Second         // time without a change after which a view is settled
	maxNameBytes         = 64                      // longest name, zone or address
	heartbeatWindow      = 64                      // a message that is older than the latest by this many counts as a replay
)
