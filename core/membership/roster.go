// Package membership maintains the membership of a control group without operators:
// it promotes learners that have caught up, and removes replicas that were
// replaced. It never reduces the number of voters below the target and changes
// one member at a time.
package membership

import (
	"cmp"
	"slices"
	"time"

	"fulmarmount.org/core/quorum"
)

// Options configure a Keeper.
type Options struct {
	// Voters is the wanted number of voters; 0 lets every replica vote and
	// removes none.
	Voters int
	// AbsentAfter, 3 s by default, is how long a voter is unheard before a waiting replica takes
	// its place.
	AbsentAfter time.Duration
	// ForgetAfter, 15 s by default, is how long a replica that does not vote is unheard before it
	// is removed.
	ForgetAfter time.Duration
}

// Keeper decides about the membership on the leader. It is not safe for
// concurrent use.
type Keeper struct {
	options Options
	heard   map[quorum.ReplicaID]time.Duration
}

// Defaults of Options.
const (
	defaultAbsentAfter = 3 * time.Second
	defaultForgetAfter = 15 * time.Second
)

// New returns a Keeper that takes every member as heard when it sees it first.
func New(o Options) *Keeper {
	o.AbsentAfter = cmp.Or(o.AbsentAfter, defaultAbsentAfter)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, defaultForgetAfter)
	return &Keeper{options: o, heard: make(map[quorum.ReplicaID]time.Duration)}
}

// State is what the leader sees.
type State struct {
	Self    quorum.ReplicaID
	Members []quorum.Member
	// Active reports whether a replica was heard since it was last asked.
	Active func(quorum.ReplicaID) bool
}

// Next returns the change to make now, if any. A learner that has not caught up
// is refused by the log, and offered again later.
func (k *Keeper) Next(now time.Duration, s State) (quorum.ConfChange, bool) {
	k.listen(now, s)
	if change, ok := k.removable(now, s.Members, s.Self); ok {
		return change, true
	}
	return k.promotable(now, s.Members)
}

// Absent returns the voters that are missed.
func (k *Keeper) Absent(now time.Duration, s State) []quorum.Member {
	return slices.DeleteFunc(slices.Clone(s.Members), func(m quorum.Member) bool {
		return m.Learner || !k.absent(now, m.ID)
	})
}

func (k *Keeper) listen(now time.Duration, s State) {
	for id := range k.heard {
		if !slices.ContainsFunc(s.Members, func(m quorum.Member) bool { return m.ID == id }) {
			delete(k.heard, id)
		}
	}
	for _, m := range s.Members {
		if _, known := k.heard[m.ID]; !known || m.ID == s.Self || s.Active(m.ID) {
			k.heard[m.ID] = now
		}
	}
}

func (k *Keeper) unheard(now time.Duration, id quorum.ReplicaID) time.Duration {
	return now - k.heard[id]
}

func (k *Keeper) absent(now time.Duration, id quorum.ReplicaID) bool {
	return k.unheard(now, id) >= k.options.AbsentAfter
}

// superseded reports whether another replica that is heard runs at the address
// of m: the disk that m lived on is gone.
func (k *Keeper) superseded(now time.Duration, members []quorum.Member, m quorum.Member) bool {
	return slices.ContainsFunc(members, func(o quorum.Member) bool {
		return o.ID != m.ID && o.Address == m.Address && k.unheard(now, o.ID) < k.unheard(now, m.ID)
	})
}

// removable finds a member that the group can do without.
func (k *Keeper) removable(now time.Duration, members []quorum.Member, self quorum.ReplicaID) (quorum.ConfChange, bool) {
	if k.options.Voters == 0 {
		return quorum.ConfChange{}, false
	}
	voters := count(members)
	var out []quorum.Member
	for _, m := range members {
		gone := k.superseded(now, members, m)
		switch {
		case m.ID == self:
		case m.Learner && (gone || k.unheard(now, m.ID) >= k.options.ForgetAfter):
			out = append(out, m)
		case !m.Learner && voters > k.options.Voters && (gone || k.absent(now, m.ID)):
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return quorum.ConfChange{}, false
	}
	longest := slices.MaxFunc(out, func(a, b quorum.Member) int {
		return cmp.Compare(k.unheard(now, a.ID), k.unheard(now, b.ID))
	})
	return quorum.ConfChange{Op: quorum.RemoveMember, Member: longest}, true
}

// promotable finds a learner that is to vote: where voters are too few, or one
// of them is missed.
func (k *Keeper) promotable(now time.Duration, members []quorum.Member) (quorum.ConfChange, bool) {
	lost := 0
	for _, m := range members {
		if !m.Learner && (k.absent(now, m.ID) || k.superseded(now, members, m)) {
			lost++
		}
	}
	if k.options.Voters > 0 && count(members)-lost >= k.options.Voters {
		return quorum.ConfChange{}, false
	}
	for _, m := range members {
		if m.Learner && !k.absent(now, m.ID) {
			return quorum.ConfChange{Op: quorum.Promote, Member: m}, true
		}
	}
	return quorum.ConfChange{}, false
}

func count(members []quorum.Member) int {
	n := 0
	for _, m := range members {
		if !m.Learner {
			n++
		}
	}
	return n
}
