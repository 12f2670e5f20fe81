package simulation

import (
	"errors"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cranegate/internal/consensus/quorum"
	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/store"
)

// voteHarness starts a new voter for each vote request, as after a restart.
type voteHarness struct {
	t         *testing.T
	clusterID uint64
	checker   *checker
}

// requestVote starts a voter from a store and sends it a request to vote for a candidate in term 5.
func (h *voteHarness) requestVote(gateway quorum.Gateway, to, candidate uint64, voterStore store.Store) error {
	h.t.Helper()
	persisted, _ := voterStore.Load()
	voter, err := raftlog.NewVoter(raftlog.Options{ClusterID: h.clusterID, ID: gateway.ID(), Seed: 1}, persisted)
	if err != nil {
		h.t.Fatal(err)
	}
	request := &raftpb.Message{
		Type:    raftpb.MsgVote.Enum(),
		From:    new(candidate),
		To:      new(to),
		Term:    new(uint64(5)),
		LogTerm: new(uint64(1)),
		Index:   new(uint64(1)),
	}
	encoded, err := proto.Marshal(request)
	if err != nil {
		h.t.Fatal(err)
	}
	message := raftlog.Message{ClusterID: h.clusterID, From: candidate, To: to, Kind: raftlog.RaftKind, Raft: encoded}
	if err := voter.Step(message); err != nil {
		return err
	}
	h.advance(voter, voterStore)
	return nil
}

// advance persists the voter's updates and passes its messages to the checker.
func (h *voteHarness) advance(voter *raftlog.Voter, voterStore store.Store) {
	h.t.Helper()
	for {
		update, ok := voter.Ready()
		if !ok {
			return
		}
		voterStore.Save(update)
		messages, err := voter.Advance()
		if err != nil {
			h.t.Fatal(err)
		}
		for _, message := range messages {
			h.checker.checkVotes(message)
		}
	}
}

// TestVoteOncePerTerm requests a vote in one term twice, for two candidates, with a restart between. With its disk the voter
// votes once. Restarted without its disk it has a new identity, so the request to the old identity is rejected. If it kept
// the old identity without its disk, it would vote twice; the checker detects this.
func TestVoteOncePerTerm(t *testing.T) {
	gateway := quorum.Gateway{Name: "g1", StartID: 1}
	clusterID, bootstrap, err := raftlog.Bootstrap([]uint64{gateway.ID(), 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	checker := newChecker(&fleet{})
	harness := &voteHarness{t: t, clusterID: clusterID, checker: checker}

	disk := store.NewMemory(bootstrap)
	err = errors.Join(harness.requestVote(gateway, gateway.ID(), 2, disk), harness.requestVote(gateway, gateway.ID(), 3, disk))
	if err != nil || len(checker.votes) != 1 || len(checker.failures) > 0 {
		t.Errorf("with its disk: %v, votes %v, %v", err, checker.votes, checker.failures)
	}

	restarted := gateway
	restarted.StartID = 2
	err = harness.requestVote(restarted, gateway.ID(), 3, store.NewMemory(raftlog.PersistedState{}))
	if !errors.Is(err, raftlog.ErrMisdirected) {
		t.Errorf("without its disk: %v", err)
	}

	harness.requestVote(gateway, gateway.ID(), 3, store.NewMemory(bootstrap))
	if len(checker.failures) != 1 {
		t.Errorf("under its old identity without its disk: %v", checker.failures)
	}
}
