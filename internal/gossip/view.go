package gossip

import (
	"context"
	"cranegate/internal/membership"
	"time"
)

// View is this gateway's view of its fleet, as GET /members returns it. Operators' tools depend on the JSON keys.
type View struct {
	Self        Member   `json:"self"`
	Members     []Member `json:"members"`
	Isolated    bool     `json:"cut"`       // no message of another member arrives
	Unanswered  bool     `json:"unheard"`   // no other member answers this gateway
	Conflicts   []string `json:"conflicts"` // names that two or more live members share
	LiveShare   float64  `json:"share"`     // share of the last settled view that is reachable
	Size        int      `json:"size"`      // number of gateways to assume
	BudgetShare float64  `json:"part"`      // share of fleet-wide budgets that this gateway may use
	Rejected    int      `json:"refused"`   // members not added because the view is full
}

// Member is one member in a View.
type Member struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`
	Incarnation string  `json:"start"` // identifies one start of the process
	State       string  `json:"state"`
	Age         float64 `json:"age_s"` // seconds since the last sign of life; of a failed member: since the first unanswered probe
	Suspect     bool    `json:"suspect"`
	Indirect    bool    `json:"unreached"` // its last answer reached this gateway only through another member
}

// View returns this gateway's present view of its fleet. It returns ErrStopped after Run has ended, or ctx's error.
func (t *Transport) View(ctx context.Context) (v View, err error) {
	err = t.callActor(ctx, func() {
		n := t.node
		n.Tick(t.now()) // so that the view is current even if the process was suspended until now
		v = View{
			Self:        newMember(n.Self()),
			Members:     []Member{},
			Isolated:    n.Isolated(),
			Unanswered:  n.Unanswered(),
			Conflicts:   append([]string{}, n.Conflicts()...),
			LiveShare:   n.LiveShare(),
			Size:        n.Size(),
			BudgetShare: n.BudgetShare(),
			Rejected:    n.Rejected(),
		}
		suspects := incarnationSet(n.Suspects())
		indirect := incarnationSet(n.Indirect())
		for _, state := range n.Members() {
			m := newMember(state)
			m.Suspect = suspects[state.Incarnation]
			m.Indirect = indirect[state.Incarnation]
			v.Members = append(v.Members, m)
		}
	})
	return v, err
}

// incarnationSet returns the incarnations as a set.
func incarnationSet(incarnations []membership.Incarnation) map[membership.Incarnation]bool {
	set := map[membership.Incarnation]bool{}
	for _, incarnation := range incarnations {
		set[incarnation] = true
	}
	return set
}

// newMember converts a member's state for a View.
func newMember(s membership.MemberState) Member {
	return Member{
		Name:        s.Name,
		Zone:        s.Zone,
		Address:     s.Addr,
		Incarnation: formatIncarnation(s.Incarnation),
		State:       s.State.String(),
		Age:         s.Age.Round(time.Millisecond).Seconds(),
	}
}
