// Package roster keeps the membership of a control group whole without
// operators: it lets replicas vote that have caught up, and removes those that
// another one has replaced. It never shrinks the voters below the wanted number
// and changes one member at a time.
package roster

import (
	"cmp"
	"slices"
	"time"

	"fulmarmount.org/core/quorum"
)

// Options configure a Keeper.
type Options struct {
	// TargetVoters is the wanted number of voters; 0 lets every replica vote and
	// removes none.
	TargetVoters int
	// VoterTimeout, 3 s by default, is how long a voter is unheard before a waiting replica takes
	// its place.
	VoterTimeout time.Duration
	// LearnerTimeout, 15 s by default, is how long a replica that does not vote is unheard before it
	// is removed.
	LearnerTimeout time.Duration
}

// Reconciler decides about the membership on the leader. It is not safe for
// concurrent use.
type Reconciler struct {
	options Options
	heard   map[quorum.ReplicaID]time.Duration
}

// Defaults of Options.
const (
	defaultAbsentAfter = 3 * time.Second
	defaultForgetAfter = 15 * time.Second
)

// New returns a Keeper that takes every member as heard when it sees it first.
func New(o Options) *Reconciler {
	o.VoterTimeout = cmp.Or(o.VoterTimeout, defaultAbsentAfter)
	o.LearnerTimeout = cmp.Or(o.LearnerTimeout, defaultForgetAfter)
	return &Reconciler{options: o, heard: make(map[quorum.ReplicaID]time.Duration)}
}

// State is what the leader sees.
type State struct {
	Self    quorum.ReplicaID
	Members []quorum.Member
	// IsActive reports whether a replica was heard since it was last asked.
	IsActive func(quorum.ReplicaID) bool
}

// NextChange returns the change to make now, if any. A learner that has not caught up
// is refused by the log, and offered again later.
func (k *Reconciler) NextChange(now time.Duration, s State) (quorum.ConfChange, bool) {
	k.listen(now, s)
	if change, ok := k.removable(now, s.Members, s.Self); ok {
		return change, true
	}
	return k.promotable(now, s.Members)
}

// UnresponsiveVoters returns the voters that are missed.
func (k *Reconciler) UnresponsiveVoters(now time.Duration, s State) []quorum.Member {
	return slices.DeleteFunc(slices.Clone(s.Members), func(m quorum.Member) bool {
		return m.IsLearner || !k.absent(now, m.ID)
	})
}

func (k *Reconciler) listen(now time.Duration, s State) {
	for id := range k.heard {
		if !slices.ContainsFunc(s.Members, func(m quorum.Member) bool { return m.ID == id }) {
			delete(k.heard, id)
		}
	}
	for _, m := range s.Members {
		if _, known := k.heard[m.ID]; !known || m.ID == s.Self || s.IsActive(m.ID) {
			k.heard[m.ID] = now
		}
	}
}

func (k *Reconciler) unheard(now time.Duration, id quorum.ReplicaID) time.Duration {
	return now - k.heard[id]
}

func (k *Reconciler) absent(now time.Duration, id quorum.ReplicaID) bool {
	return k.unheard(now, id) >= k.options.VoterTimeout
}

// superseded reports whether another replica that is heard runs at the address
// of m: the disk that m lived on is gone.
func (k *Reconciler) superseded(now time.Duration, members []quorum.Member, m quorum.Member) bool {
	return slices.ContainsFunc(members, func(o quorum.Member) bool {
		return o.ID != m.ID && o.Address == m.Address && k.unheard(now, o.ID) < k.unheard(now, m.ID)
	})
}

// removable finds a member that the group can do without.
func (k *Reconciler) removable(now time.Duration, members []quorum.Member, self quorum.ReplicaID) (quorum.ConfChange, bool) {
	if k.options.TargetVoters == 0 {
		return quorum.ConfChange{}, false
	}
	voters := count(members)
	var out []quorum.Member
	for _, m := range members {
		gone := k.superseded(now, members, m)
		switch {
		case m.ID == self:
		case m.IsLearner && (gone || k.unheard(now, m.ID) >= k.options.LearnerTimeout):
			out = append(out, m)
		case !m.IsLearner && voters > k.options.TargetVoters && (gone || k.absent(now, m.ID)):
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
func (k *Reconciler) promotable(now time.Duration, members []quorum.Member) (quorum.ConfChange, bool) {
	lost := 0
	for _, m := range members {
		if !m.IsLearner && (k.absent(now, m.ID) || k.superseded(now, members, m)) {
			lost++
		}
	}
	if k.options.TargetVoters > 0 && count(members)-lost >= k.options.TargetVoters {
		return quorum.ConfChange{}, false
	}
	for _, m := range members {
		if m.IsLearner && !k.absent(now, m.ID) {
			return quorum.ConfChange{Op: quorum.PromoteLearner, Member: m}, true
		}
	}
	return quorum.ConfChange{}, false
}

func count(members []quorum.Member) int {
	n := 0
	for _, m := range members {
		if !m.IsLearner {
			n++
		}
	}
	return n
}
