package membership

import "time"

// DefaultMaxMembers is the default of Options.MaxMembers: the size of the largest fleet.
const DefaultMaxMembers = 1024

// Options are a node's settings. Zero values take the defaults.
type Options struct {
	Fleet string // messages of other fleets are ignored
	Name  string // required, at most 64 bytes, as Zone and Addr
	Zone  string
	Addr  string // required: where other members reach this one

	Join          []string // addresses to contact at the start
	Gateways      int      // expected number of gateways, assumed until the fleet is known
	Seed          uint64
	ProbeInterval time.Duration // between two probes of this node; default 250 ms
	MaxMembers    int           // including this one; default DefaultMaxMembers

	// PlainSWIM is for comparisons in experiments: one direct and one indirect probe, verdicts on hearsay, and no local
	// health awareness.
	PlainSWIM bool
}

// Bounds and timeouts of the protocol.
const (
	indirectProbes       = 3                       // helpers per attempt at a suspect, of different zones
	widenAfterAttempts   = 3                       // attempts after which twice as many helpers are asked, two of each zone
	maxRelays            = 64                      // pings on behalf of others at a time
	relayAttempts        = 3                       // pings per relay
	maxGossipMembers     = 10                      // member states per datagram, as far as they fit
	memberOverheadBytes  = 48                      // encoded size of a member state without its name, zone and address
	messageOverheadBytes = 64                      // encoded size of a message without its members
	retransmitFactor     = 6                       // a state is sent this many times log10 of the members (SWIM's lambda)
	suspectRetryInterval = 100 * time.Millisecond  // between two attempts at a suspect
	relayRetryInterval   = 200 * time.Millisecond  // between two pings of a relay
	minSuspicionTimeout  = 1800 * time.Millisecond // until a verdict that maxConfirmations others confirm
	maxSuspicionTimeout  = 2800 * time.Millisecond // until a verdict that nobody confirms
	maxConfirmations     = 3                       // confirmations that shorten the suspicion timeout
	ageTolerance         = 300 * time.Millisecond  // error of ages, which do not include the transit time of messages
	syncInterval         = 5 * time.Minute         // mean time between full state exchanges where views are equal
	viewMismatchDelay    = 3 * time.Second         // without a change, after which differing views are exchanged
	minSyncInterval      = time.Second             // between two full state exchanges at least
	reconnectInterval    = time.Second             // between pings of failed members and of join addresses
	forgetDelay          = 10 * time.Minute        // after which a failed or gone member is removed from the table
	isolationTimeout     = 1500 * time.Millisecond // without any message, after which the node takes itself for cut off
	stallThreshold       = 500 * time.Millisecond  // between two ticks, beyond which the process was suspended
	minorityTimeout      = 5 * time.Second         // after which a minority side uses no share of a budget
	removalDelay         = 20 * time.Second        // after which everything that a failed member had sent has ended: past every deadline
	settleDelay          = 5 * time.Second         // without a change, after which a view is settled
	maxNameBytes         = 64                      // of a name, a zone or an address
	heartbeatWindow      = 64                      // messages that may arrive out of order; older ones are replays
)
