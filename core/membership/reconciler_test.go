package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
)

func member(id quorum.ReplicaID, address string, learner bool) quorum.Member {
	return quorum.Member{ID: id, Address: address, IsLearner: learner}
}

// group is a membership with a set of inactive members.
type group struct {
	members  []quorum.Member
	inactive map[quorum.ReplicaID]bool
}

func (g *group) state() State {
	return State{Self: 1, Members: g.members, IsActive: func(id quorum.ReplicaID) bool { return !g.inactive[id] }}
}

// converge applies the Reconciler's changes in the given period and returns them.
func (g *group) converge(t *testing.T, r *Reconciler, from, to time.Duration) []quorum.ConfChange {
	t.Helper()
	var changes []quorum.ConfChange
	for now := from; now <= to; now += 250 * time.Millisecond {
		change, ok := r.NextChange(now, g.state())
		if !ok {
			continue
		}
		changes = append(changes, change)
		next, err := quorum.NewMembership(g.members...).Apply(change)
		if err != nil {
			t.Fatal(err)
		}
		g.members = next.Members
	}
	return changes
}

func testOptions() Options {
	return Options{TargetVoters: 3, VoterTimeout: 3 * time.Second, LearnerTimeout: 10 * time.Second}
}

func TestChanges(t *testing.T) {
	three := []quorum.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false)}
	type step struct {
		op quorum.ChangeOp
		id quorum.ReplicaID
	}
	cases := []struct {
		name     string
		members  []quorum.Member
		inactive []quorum.ReplicaID
		want     []step
	}{
		{"all members active", three, nil, nil},
		{"an inactive voter without a learner to replace it", three, []quorum.ReplicaID{3}, nil},
		{"a learner that is not needed", append([]quorum.Member{member(4, "d", true)}, three...), nil, nil},
		{
			"a learner replaces an inactive voter, which is removed afterwards",
			append([]quorum.Member{member(4, "d", true)}, three...),
			[]quorum.ReplicaID{3},
			[]step{{quorum.PromoteLearner, 4}, {quorum.RemoveMember, 3}},
		},
		{
			"a replica with a replaced disk rejoins at its address",
			append([]quorum.Member{member(4, "c", true)}, three...),
			[]quorum.ReplicaID{3},
			[]step{{quorum.PromoteLearner, 4}, {quorum.RemoveMember, 3}},
		},
		{
			"too few voters",
			[]quorum.Member{member(1, "a", false), member(2, "b", true), member(3, "c", true)},
			nil,
			[]step{{quorum.PromoteLearner, 2}, {quorum.PromoteLearner, 3}},
		},
		{
			"an inactive learner does not replace a voter",
			append([]quorum.Member{member(4, "d", true)}, three...),
			[]quorum.ReplicaID{3, 4},
			[]step{{quorum.RemoveMember, 4}},
		},
		{
			"a learner that stays inactive is removed",
			append([]quorum.Member{member(4, "d", true)}, three...),
			[]quorum.ReplicaID{4},
			[]step{{quorum.RemoveMember, 4}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := &group{members: c.members, inactive: make(map[quorum.ReplicaID]bool)}
			r := New(testOptions())
			r.NextChange(0, State{Self: 1, Members: c.members, IsActive: func(quorum.ReplicaID) bool { return true }})
			for _, id := range c.inactive {
				g.inactive[id] = true
			}
			var got []step
			for _, change := range g.converge(t, r, 250*time.Millisecond, 30*time.Second) {
				got = append(got, step{change.Op, change.Member.ID})
			}
			is.Equal(got, c.want)
		})
	}
}

func TestVotersAreNeverReducedBelowTarget(t *testing.T) {
	is := is.New(t)
	g := &group{
		members:  []quorum.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false)},
		inactive: map[quorum.ReplicaID]bool{2: true, 3: true},
	}
	is.Equal(len(g.converge(t, New(testOptions()), 0, time.Minute)), 0)
}
