// Package membership maintains the membership of a control group, the Raft cluster of
// the control processes, without operators: it promotes learners that have caught
// up, and removes members that are inactive or whose disk was replaced. It never
// reduces the number of voters below the target and changes one member at a time.
package membership

import (
	"cmp"
	"slices"
	"time"

	"fulmarmount.org/core/quorum"
)

// Options configures a Reconciler.
type Options struct {
	// TargetVoters is the desired number of voters. If it is 0, every replica is
	// promoted and none is removed.
	TargetVoters int
	// VoterTimeout is how long a voter must be inactive before a learner replaces
	// it. A learner that has been inactive that long is not promoted. The default
	// is 3 s.
	VoterTimeout time.Duration
	// LearnerTimeout is how long a learner must be inactive before it is removed.
	// The default is 15 s.
	LearnerTimeout time.Duration
}

// Reconciler determines membership changes on the leader. It is not safe for
// concurrent use.
type Reconciler struct {
	options    Options
	lastActive map[quorum.ReplicaID]time.Duration
}

// Defaults of Options.
const (
	defaultVoterTimeout   = 3 * time.Second
	defaultLearnerTimeout = 15 * time.Second
)

// New returns a Reconciler that treats a member as active when it first sees it.
func New(o Options) *Reconciler {
	o.VoterTimeout = cmp.Or(o.VoterTimeout, defaultVoterTimeout)
	o.LearnerTimeout = cmp.Or(o.LearnerTimeout, defaultLearnerTimeout)
	return &Reconciler{options: o, lastActive: make(map[quorum.ReplicaID]time.Duration)}
}

// State is the leader's view of the control group.
type State struct {
	Self    quorum.ReplicaID
	Members []quorum.Member
	// IsActive reports whether the leader recently received a message from a replica.
	IsActive func(quorum.ReplicaID) bool
}

// NextChange returns the change to make now, if any. It may return the promotion of
// a learner that has not caught up, which quorum.Replica.ProposeChange rejects; a
// later call returns it again.
func (r *Reconciler) NextChange(now time.Duration, s State) (quorum.ConfChange, bool) {
	r.recordActivity(now, s)
	if change, ok := r.findRemoval(now, s.Members, s.Self); ok {
		return change, true
	}
	return r.findPromotion(now, s.Members)
}

func (r *Reconciler) recordActivity(now time.Duration, s State) {
	for id := range r.lastActive {
		if !slices.ContainsFunc(s.Members, func(m quorum.Member) bool { return m.ID == id }) {
			delete(r.lastActive, id)
		}
	}
	for _, m := range s.Members {
		if _, tracked := r.lastActive[m.ID]; !tracked || m.ID == s.Self || s.IsActive(m.ID) {
			r.lastActive[m.ID] = now
		}
	}
}

func (r *Reconciler) inactivity(now time.Duration, id quorum.ReplicaID) time.Duration {
	return now - r.lastActive[id]
}

// isUnresponsive reports whether a voter or learner has been inactive for VoterTimeout.
func (r *Reconciler) isUnresponsive(now time.Duration, id quorum.ReplicaID) bool {
	return r.inactivity(now, id) >= r.options.VoterTimeout
}

// isSuperseded reports whether a replica that was active more recently runs at the
// address of m, which means that the disk of m was lost.
func (r *Reconciler) isSuperseded(now time.Duration, members []quorum.Member, m quorum.Member) bool {
	return slices.ContainsFunc(members, func(o quorum.Member) bool {
		return o.ID != m.ID && o.Address == m.Address && r.inactivity(now, o.ID) < r.inactivity(now, m.ID)
	})
}

// findRemoval returns the removal of the longest inactive member that the group
// does not need, if any.
func (r *Reconciler) findRemoval(now time.Duration, members []quorum.Member, self quorum.ReplicaID) (quorum.ConfChange, bool) {
	if r.options.TargetVoters == 0 {
		return quorum.ConfChange{}, false
	}
	voters := countVoters(members)
	var candidates []quorum.Member
	for _, m := range members {
		superseded := r.isSuperseded(now, members, m)
		switch {
		case m.ID == self:
		case m.IsLearner && (superseded || r.inactivity(now, m.ID) >= r.options.LearnerTimeout):
			candidates = append(candidates, m)
		case !m.IsLearner && voters > r.options.TargetVoters && (superseded || r.isUnresponsive(now, m.ID)):
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return quorum.ConfChange{}, false
	}
	longestInactive := slices.MaxFunc(candidates, func(a, b quorum.Member) int {
		return cmp.Compare(r.inactivity(now, a.ID), r.inactivity(now, b.ID))
	})
	return quorum.ConfChange{Op: quorum.RemoveMember, Member: longestInactive}, true
}

// findPromotion returns the promotion of an active learner, if too few of the voters
// are available.
func (r *Reconciler) findPromotion(now time.Duration, members []quorum.Member) (quorum.ConfChange, bool) {
	unavailable := 0
	for _, m := range members {
		if !m.IsLearner && (r.isUnresponsive(now, m.ID) || r.isSuperseded(now, members, m)) {
			unavailable++
		}
	}
	if r.options.TargetVoters > 0 && countVoters(members)-unavailable >= r.options.TargetVoters {
		return quorum.ConfChange{}, false
	}
	for _, m := range members {
		if m.IsLearner && !r.isUnresponsive(now, m.ID) {
			return quorum.ConfChange{Op: quorum.PromoteLearner, Member: m}, true
		}
	}
	return quorum.ConfChange{}, false
}

func countVoters(members []quorum.Member) int {
	n := 0
	for _, m := range members {
		if !m.IsLearner {
			n++
		}
	}
	return n
}
