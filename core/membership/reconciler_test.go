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
	inactive map[quorum.ReplicaID]bool // since time 0
	leaving  map[quorum.ReplicaID]bool
	lagging  map[quorum.ReplicaID]bool
}

func (g *group) state(now time.Duration) State {
	return State{
		Self: 1, Members: g.members,
		SilentFor: func(id quorum.ReplicaID) time.Duration {
			if g.inactive[id] {
				return now
			}
			return 0
		},
		HasCaughtUp: func(id quorum.ReplicaID) bool { return !g.lagging[id] },
		IsLeaving:   func(id quorum.ReplicaID) bool { return g.leaving[id] },
	}
}

// converge applies the Reconciler's changes in the given period and returns them.
func (g *group) converge(t *testing.T, r *Reconciler, from, to time.Duration) []quorum.ConfChange {
	t.Helper()
	var changes []quorum.ConfChange
	for now := from; now <= to; now += 250 * time.Millisecond {
		change, ok := r.NextChange(now, g.state(now))
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
			"a learner replaces an inactive voter, which is a learner afterwards and is removed later",
			append([]quorum.Member{member(4, "d", true)}, three...),
			[]quorum.ReplicaID{3},
			[]step{{quorum.PromoteLearner, 4}, {quorum.RemoveMember, 3}, {quorum.AddLearner, 3}, {quorum.RemoveMember, 3}},
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
			r.NextChange(0, g.state(0))
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

// Guards against a group that tolerates one loss less after a planned departure: the
// vote of a process that has announced its stop passes to a waiting learner at once.
func TestLeavingVoterIsReplacedAtOnce(t *testing.T) {
	three := []quorum.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false)}
	with := func(learners ...quorum.Member) []quorum.Member { return append(learners, three...) }
	type ids = map[quorum.ReplicaID]bool
	cases := []struct {
		name    string
		members []quorum.Member
		leaving ids
		lagging ids
		want    []quorum.ConfChange
	}{
		{"a learner waits", with(member(4, "d", true)), ids{3: true}, nil, []quorum.ConfChange{
			{Op: quorum.PromoteLearner, Member: member(4, "d", true)},
			{Op: quorum.RemoveMember, Member: member(3, "c", false)},
			{Op: quorum.AddLearner, Member: member(3, "c", false)},
		}},
		{"no learner waits", three, ids{3: true}, nil, nil},
		{"the learner leaves too", with(member(4, "d", true)), ids{3: true, 4: true}, nil, nil},
		{"two leave and one learner waits", with(member(4, "d", true)), ids{2: true, 3: true}, nil, []quorum.ConfChange{
			{Op: quorum.PromoteLearner, Member: member(4, "d", true)},
			{Op: quorum.RemoveMember, Member: member(2, "b", false)},
			{Op: quorum.AddLearner, Member: member(2, "b", false)},
		}},
		{"the first of two learners lags", with(member(4, "d", true), member(5, "e", true)), ids{3: true}, ids{4: true}, []quorum.ConfChange{
			{Op: quorum.PromoteLearner, Member: member(5, "e", true)},
			{Op: quorum.RemoveMember, Member: member(3, "c", false)},
			{Op: quorum.AddLearner, Member: member(3, "c", false)},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := &group{members: c.members, leaving: c.leaving, lagging: c.lagging}
			r := New(testOptions())
			var got []quorum.ConfChange
			for range 10 {
				got = append(got, g.converge(t, r, 0, 0)...)
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against a new leader that measures the silence of the former one anew, so that
// the group waits longest for a replacement when the leader itself departs.
func TestSilenceBeforeFirstCallCounts(t *testing.T) {
	is := is.New(t)
	g := &group{members: []quorum.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false), member(4, "d", true)}}
	g.inactive = map[quorum.ReplicaID]bool{3: true}
	changes := g.converge(t, New(testOptions()), 3*time.Second, 3*time.Second)
	is.Equal(changes, []quorum.ConfChange{{Op: quorum.PromoteLearner, Member: member(4, "d", true)}})
}
