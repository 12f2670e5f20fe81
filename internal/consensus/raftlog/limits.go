package raftlog

import (
	"time"

	"cranegate/internal/consensus/statemachine"
)

// TickInterval is the time by which one call of Voter.Tick advances the voter. Ticks must never run faster than the
// process's clock; late or lost ticks are safe.
const TickInterval = 100 * time.Millisecond

// Limits of messages, queues and the log.
const (
	MaxMessageBytes          = statemachine.MaxSnapshotBytes + 128<<10 // of a message that may carry a snapshot
	maxSmallMessageBytes     = 160 << 10                               // of any other message
	maxEntriesBytes          = 64 << 10                                // of the entries in one response or raft message
	maxProposalsPerMessage   = 64                                      // entries that another voter may forward in one raft message
	maxPendingRequests       = 1024                                    // commands at one voter: one of every gateway of the largest fleet
	maxPendingReads          = 1024                                    // reads at one voter: one of every gateway of the largest fleet
	maxReadIndexRequests     = 64                                      // of one voter, whose results may still arrive
	maxOutgoing              = 4096                                    // messages queued for the next Advance
	maxInflightMessages      = 32                                      // raft messages to one voter without a response
	maxUncommittedBytes      = 1 << 20                                 // of the entries that are proposed and not committed
	maxVoters                = 16                                      // voters that a replica accepts in a response
	defaultCompactionEntries = 1024                                    // entries in the log before it is compacted
	compactionBytes          = 2 << 20                                 // of the entries in the log before it is compacted
	entryOverheadBytes       = 32                                      // counted for each entry in addition to its data
)

// retainedFraction sets how many entries a compaction retains for replicas that lag a little:
// CompactionEntries/retainedFraction.
const retainedFraction = 4
