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

// TestVotes asks a voter for its vote in one term twice, for two candidates, with a restart between: with its disk it gives
// one; without it, it is another voter, whom the question does not reach; under its old identity without the disk it would give two,
// and the judge finds that.
func TestVotes(t *testing.T) {
	g := quorum.Gateway{Name: "g1", Start: 1}
	council, founded, err := raftlog.Bootstrap([]uint64{g.ID(), 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	j := newJudge(&fleet{})
	ask := func(g quorum.Gateway, to, candidate uint64, kept store.Store) error {
		img, _ := kept.Load()
		v, err := raftlog.NewVoter(raftlog.Options{ClusterID: council, ID: g.ID(), Seed: 1}, img)
		if err != nil {
			t.Fatal(err)
		}
		x := &raftpb.Message{Type: raftpb.MsgVote.Enum(), From: new(candidate), To: new(to), Term: new(uint64(5)), LogTerm: new(uint64(1)), Index: new(uint64(1))}
		b, err := proto.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		if err := v.Step(raftlog.Message{ClusterID: council, From: candidate, To: to, Kind: raftlog.RaftKind, Raft: b}); err != nil {
			return err
		}
		for {
			s, ok := v.Ready()
			if !ok {
				return nil
			}
			kept.Save(s)
			out, err := v.Advance()
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range out {
				j.sent(m)
			}
		}
	}
	disk := store.NewMemory(founded)
	if err := errors.Join(ask(g, g.ID(), 2, disk), ask(g, g.ID(), 3, disk)); err != nil || len(j.votes) != 1 || len(j.failures) > 0 {
		t.Errorf("with its disk: %v, votes %v, %v", err, j.votes, j.failures)
	}
	anew := g
	anew.Start = 2
	if err := ask(anew, g.ID(), 3, store.NewMemory(raftlog.PersistedState{})); !errors.Is(err, raftlog.ErrMisdirected) {
		t.Errorf("without: %v", err)
	}
	if ask(g, g.ID(), 3, store.NewMemory(founded)); len(j.failures) != 1 {
		t.Errorf("under its old identity without its disk: %v", j.failures)
	}
}
