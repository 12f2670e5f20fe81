package simulation

import (
	"bytes"
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/statemachine"
)

// Limits that hold after the recovery.
const (
	maxAgeAtEnd            = 10 * time.Second // of the state that a replica reads
	maxRestrictionAgeAtEnd = 30 * time.Second // since an incomplete restriction was proposed
)

// checker sees every message, every applied entry and the true time, and records violated invariants.
type checker struct {
	fleet        *fleet
	failures     []string
	state        *statemachine.State         // after log, with the fleet's injected faults: the fleet's actual state, not the correct one
	log          [][]byte                    // by log index
	checksums    map[uint64]uint64           // by log index
	appliedAt    map[statemachine.Key]uint64 // the log index at which a request changed a register
	restrictions []restriction
	votes        map[voteKey]uint64 // the identity of the candidate

	operations            int
	rejectedOperations    int // Begin returned an error
	stalledOperations     int // End returned ErrStalled
	settledReads          int
	completedRestrictions int
	longestRestriction    time.Duration // from proposal to completion
	commands              int
	renewals              int
}

// restriction is a Restrict in the log; completedAt is 0 while it is incomplete.
type restriction struct {
	index       uint64
	proposedAt  time.Duration
	completedAt time.Duration
}

type voteKey struct{ voter, term uint64 }

func newChecker(f *fleet) *checker {
	c := &checker{
		fleet:     f,
		state:     statemachine.New(),
		log:       [][]byte{nil, nil}, // index 0 is unused, index 1 is the entry of the bootstrap
		checksums: map[uint64]uint64{},
		appliedAt: map[statemachine.Key]uint64{},
		votes:     map[voteKey]uint64{},
	}
	c.state.InjectedFaults = f.injectedFaults
	c.state.Apply(1, nil)
	return c
}

func (c *checker) fail(format string, arguments ...any) {
	c.failures = append(c.failures, fmt.Sprintf("%v: ", c.fleet.now)+fmt.Sprintf(format, arguments...))
}

// checkApplied compares the entry that a voter applies with the entry that other voters applied at the same index. It
// applies an entry at a new index to the checker's state.
func (c *checker) checkApplied(id, index uint64, data []byte) {
	next := uint64(len(c.log))
	if index > next {
		c.fail("voter %x applies %d where the log ends at %d", id, index, next-1)
		return
	}
	if index < next {
		if !bytes.Equal(c.log[index], data) {
			c.fail("two entries at %d", index)
		}
		return
	}
	c.log = append(c.log, data)
	c.commands++
	command, err := statemachine.Decode(data)
	before, _, _ := c.state.Get(command.Name)
	c.state.Apply(index, data)
	c.checksums[index] = c.state.Checksum
	if err != nil {
		return
	}
	after, _, _ := c.state.Get(command.Name)
	if command.Op == statemachine.Renew {
		c.renewals++
	} else if after.Version != before.Version {
		c.recordChange(command, index)
	}
	c.recordCompletions()
}

// recordChange records that a request changed its register. A request must do so only once.
func (c *checker) recordChange(command statemachine.Command, index uint64) {
	if earlier, ok := c.appliedAt[command.Key]; ok {
		c.fail("%v was applied at %d and at %d", command.Key, earlier, index)
	}
	c.appliedAt[command.Key] = index
	if command.Op == statemachine.Restrict {
		c.restrictions = append(c.restrictions, restriction{index: index, proposedAt: c.fleet.now})
	}
}

// recordCompletions records the restrictions that are complete now.
func (c *checker) recordCompletions() {
	for i := range c.restrictions {
		r := &c.restrictions[i]
		if r.completedAt != 0 || c.state.HasIncompleteRestriction(r.index) {
			continue
		}
		r.completedAt = c.fleet.now
		c.completedRestrictions++
		c.longestRestriction = max(c.longestRestriction, r.completedAt-r.proposedAt)
	}
}

// checkVotes checks that no identity votes twice in one term.
func (c *checker) checkVotes(message raftlog.Message) {
	if message.Kind != raftlog.RaftKind || !isVote(raftpb.MessageType(message.Raft[1])) { // the type is the first field
		return
	}
	vote := &raftpb.Message{}
	if err := proto.Unmarshal(message.Raft, vote); err != nil {
		c.fail("%v", err)
		return
	}
	var candidate uint64
	switch {
	case vote.GetType() == raftpb.MsgVote:
		candidate = vote.GetFrom()
	case vote.GetType() == raftpb.MsgVoteResp && !vote.GetReject():
		candidate = vote.GetTo()
	default:
		return
	}
	key := voteKey{voter: vote.GetFrom(), term: vote.GetTerm()}
	if earlier, ok := c.votes[key]; ok && earlier != candidate {
		c.fail("%x voted twice in term %d", key.voter, key.term)
	}
	c.votes[key] = candidate
}

func isVote(messageType raftpb.MessageType) bool {
	return messageType == raftpb.MsgVote || messageType == raftpb.MsgVoteResp
}

// checkReplica compares the state of a gateway's replica with the state after the same entry of the log, and once a second
// the state of its voter too.
func (c *checker) checkReplica(gateway *gateway) {
	state := gateway.replica.State()
	if want, ok := c.checksums[state.Index]; ok && want != state.Checksum {
		c.fail("the replica of %s has diverged at %d", gateway.Name, state.Index)
	}
	if c.fleet.now%time.Second == 0 {
		if status := gateway.voter.Status(); status.Applied > 1 && c.checksums[status.Applied] != status.Checksum {
			c.fail("the voter of %s has diverged at %d", gateway.Name, status.Applied)
		}
	}
	if reading := gateway.replica.Read(gateway.clock, ownerRegister); reading.Settled && reading.Found {
		c.settledReads++
	}
}

// checkOperation checks an operation when it is sent: no restriction that is later than the value that permitted the operation
// may be complete. err is the error of End. A stalled operation is not checked, because its receiver rejects it by its log
// index.
func (c *checker) checkOperation(gateway *gateway, sent *operation, err error) {
	if err != nil {
		c.stalledOperations++
		return
	}
	c.operations++
	for _, r := range c.restrictions {
		isComplete := r.completedAt != 0 && r.completedAt < c.fleet.now
		if r.index > sent.registerIndex && isComplete {
			c.fail("%s acts on %d, restricted at %d, complete at %v", gateway.Name, sent.registerIndex, r.index, r.completedAt)
		}
	}
}

// checkRecovery checks at the end that the fleet has recovered: all gateways have leases and read a fresh state, the
// restrictions are complete, and the history is linearizable.
func (c *checker) checkRecovery() {
	for _, g := range c.fleet.gateways {
		if _, ok := g.replica.Lease().Valid(g.clock); !ok {
			c.fail("%s has no lease at the end; at %d of %d, %+v", g.Name, g.replica.State().Index, len(c.log), g.voter.Status())
		}
		if reading := g.replica.Read(g.clock, ownerRegister); reading.Age > maxAgeAtEnd {
			c.fail("%s reads a state of age %v at the end", g.Name, reading.Age)
		}
	}
	for _, r := range c.restrictions {
		age := c.fleet.now - r.proposedAt
		if r.completedAt == 0 && age > maxRestrictionAgeAtEnd && c.fleet.recoveryTime >= maxRestrictionAgeAtEnd {
			c.fail("the restriction at %d, of %v, is incomplete", r.index, r.proposedAt)
		}
	}
	if count := len(c.restrictions); count == 0 || count-c.completedRestrictions > 1 {
		c.fail("%d restrictions, %d complete, %d operations", count, c.completedRestrictions, c.operations)
	}
	c.checkLinearizable()
}
