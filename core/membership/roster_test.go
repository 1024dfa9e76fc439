package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
)

func member(id quorum.ReplicaID, address string, learner bool) quorum.Member {
	return quorum.Member{ID: id, Address: address, Learner: learner}
}

// group is a membership whose members are heard unless they are silent.
type group struct {
	members []quorum.Member
	silent  map[quorum.ReplicaID]bool
}

func (g *group) state() State {
	return State{Self: 1, Members: g.members, Active: func(id quorum.ReplicaID) bool { return !g.silent[id] }}
}

// settle makes the Keeper's changes until it wants none, and returns them.
func (g *group) settle(t *testing.T, k *Keeper, from, to time.Duration) []quorum.ConfChange {
	t.Helper()
	var made []quorum.ConfChange
	for now := from; now <= to; now += 250 * time.Millisecond {
		change, ok := k.Next(now, g.state())
		if !ok {
			continue
		}
		made = append(made, change)
		next, err := quorum.NewMembership(g.members...).Apply(change)
		if err != nil {
			t.Fatal(err)
		}
		g.members = next.Members
	}
	return made
}

func options() Options {
	return Options{Voters: 3, AbsentAfter: 3 * time.Second, ForgetAfter: 10 * time.Second}
}

func TestChanges(t *testing.T) {
	three := []quorum.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false)}
	type step struct {
		op quorum.ChangeOp
		id quorum.ReplicaID
	}
	cases := []struct {
		name    string
		members []quorum.Member
		silent  []quorum.ReplicaID
		want    []step
	}{
		{"all heard", three, nil, nil},
		{"a voter is missed and nobody waits", three, []quorum.ReplicaID{3}, nil},
		{"a spare waits", append([]quorum.Member{member(4, "d", true)}, three...), nil, nil},
		{
			"a spare takes the place of a lost voter, which is removed last",
			append([]quorum.Member{member(4, "d", true)}, three...),
			[]quorum.ReplicaID{3},
			[]step{{quorum.Promote, 4}, {quorum.RemoveMember, 3}},
		},
		{
			"an emptied disk comes back at its address",
			append([]quorum.Member{member(4, "c", true)}, three...),
			[]quorum.ReplicaID{3},
			[]step{{quorum.Promote, 4}, {quorum.RemoveMember, 3}},
		},
		{
			"too few voters",
			[]quorum.Member{member(1, "a", false), member(2, "b", true), member(3, "c", true)},
			nil,
			[]step{{quorum.Promote, 2}, {quorum.Promote, 3}},
		},
		{
			"a spare that is missed takes nobody's place",
			append([]quorum.Member{member(4, "d", true)}, three...),
			[]quorum.ReplicaID{3, 4},
			[]step{{quorum.RemoveMember, 4}},
		},
		{
			"a spare that never comes back is forgotten",
			append([]quorum.Member{member(4, "d", true)}, three...),
			[]quorum.ReplicaID{4},
			[]step{{quorum.RemoveMember, 4}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := &group{members: c.members, silent: make(map[quorum.ReplicaID]bool)}
			k := New(options())
			k.Next(0, State{Self: 1, Members: c.members, Active: func(quorum.ReplicaID) bool { return true }})
			for _, id := range c.silent {
				g.silent[id] = true
			}
			var got []step
			for _, change := range g.settle(t, k, 250*time.Millisecond, 30*time.Second) {
				got = append(got, step{change.Op, change.Member.ID})
			}
			is.Equal(got, c.want)
		})
	}
}

func TestVotersAreNeverFewerThanWanted(t *testing.T) {
	is := is.New(t)
	g := &group{
		members: []quorum.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false)},
		silent:  map[quorum.ReplicaID]bool{2: true, 3: true},
	}
	is.Equal(len(g.settle(t, New(options()), 0, time.Minute)), 0)
}
