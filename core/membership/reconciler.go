// Package membership maintains the membership of a control group, the Raft cluster of
// the control processes, without operators: it promotes learners that have caught
// up, replaces voters that are inactive or about to stop, and removes members whose
// disk was replaced. It never reduces the number of voters below the target and changes
// one member at a time.
package membership

import (
	"cmp"
	"maps"
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
	// replaced holds the voters whose removal was returned and that shall be learners
	// afterwards, so that they follow the leader again as soon as they are back.
	replaced map[quorum.ReplicaID]quorum.Member
}

// Defaults of Options.
const (
	defaultVoterTimeout   = 3 * time.Second
	defaultLearnerTimeout = 15 * time.Second
)

// New returns a Reconciler.
func New(o Options) *Reconciler {
	o.VoterTimeout = cmp.Or(o.VoterTimeout, defaultVoterTimeout)
	o.LearnerTimeout = cmp.Or(o.LearnerTimeout, defaultLearnerTimeout)
	return &Reconciler{
		options: o, lastActive: make(map[quorum.ReplicaID]time.Duration), replaced: make(map[quorum.ReplicaID]quorum.Member),
	}
}

// State is the leader's view of the control group.
type State struct {
	Self    quorum.ReplicaID
	Members []quorum.Member
	// SilentFor returns the time since the latest message from a member.
	SilentFor func(quorum.ReplicaID) time.Duration
	// HasCaughtUp reports whether a learner has replicated the log.
	HasCaughtUp func(quorum.ReplicaID) bool
	// IsLeaving reports whether a member has announced that its process stops and
	// has not started again since.
	IsLeaving func(quorum.ReplicaID) bool
}

// pass is one call of NextChange.
type pass struct {
	State
	now time.Duration
}

// NextChange returns the change to make now, if any. It may return the promotion of
// a learner that has not caught up, which quorum.Replica.ProposeChange rejects; a
// later call returns it again.
func (r *Reconciler) NextChange(now time.Duration, s State) (quorum.ConfChange, bool) {
	p := pass{State: s, now: now}
	r.recordActivity(p)
	if change, ok := r.findReturn(p); ok {
		return change, true
	}
	if change, ok := r.findRemoval(p); ok {
		return change, true
	}
	return r.findPromotion(p)
}

func (r *Reconciler) recordActivity(p pass) {
	for id := range r.lastActive {
		if _, isMember := p.find(id); !isMember {
			delete(r.lastActive, id)
		}
	}
	for _, m := range p.Members {
		active := p.now
		if m.ID != p.Self {
			active -= p.SilentFor(m.ID)
		}
		if last, tracked := r.lastActive[m.ID]; !tracked || active > last {
			r.lastActive[m.ID] = active
		}
	}
}

func (p pass) find(id quorum.ReplicaID) (quorum.Member, bool) {
	i := slices.IndexFunc(p.Members, func(m quorum.Member) bool { return m.ID == id })
	if i < 0 {
		return quorum.Member{}, false
	}
	return p.Members[i], true
}

func (r *Reconciler) inactivity(p pass, id quorum.ReplicaID) time.Duration {
	return p.now - r.lastActive[id]
}

// isUnresponsive reports whether a voter or learner has been inactive for VoterTimeout.
func (r *Reconciler) isUnresponsive(p pass, id quorum.ReplicaID) bool {
	return r.inactivity(p, id) >= r.options.VoterTimeout
}

// isSuperseded reports whether a replica that was active more recently runs at the
// address of m, which means that the disk of m was lost.
func (r *Reconciler) isSuperseded(p pass, m quorum.Member) bool {
	return slices.ContainsFunc(p.Members, func(o quorum.Member) bool {
		return o.ID != m.ID && o.Address == m.Address && r.inactivity(p, o.ID) < r.inactivity(p, m.ID)
	})
}

// isUnavailable reports whether the vote of m must not be relied on.
func (r *Reconciler) isUnavailable(p pass, m quorum.Member) bool {
	return m.ID != p.Self && (r.isUnresponsive(p, m.ID) || p.IsLeaving(m.ID) || r.isSuperseded(p, m))
}

// findReturn returns the addition, as a learner, of a voter that was replaced, if any.
func (r *Reconciler) findReturn(p pass) (quorum.ConfChange, bool) {
	for _, id := range slices.Sorted(maps.Keys(r.replaced)) {
		m, isMember := p.find(id)
		if !isMember {
			return quorum.ConfChange{Op: quorum.AddLearner, Member: r.replaced[id]}, true
		}
		if m.IsLearner {
			delete(r.replaced, id)
		}
	}
	return quorum.ConfChange{}, false
}

// findRemoval returns the removal of the longest inactive member that the group
// does not need, if any.
func (r *Reconciler) findRemoval(p pass) (quorum.ConfChange, bool) {
	if r.options.TargetVoters == 0 {
		return quorum.ConfChange{}, false
	}
	voters := countVoters(p.Members)
	var candidates []quorum.Member
	for _, m := range p.Members {
		switch {
		case m.ID == p.Self:
		case m.IsLearner && (r.isSuperseded(p, m) || r.inactivity(p, m.ID) >= r.options.LearnerTimeout):
			candidates = append(candidates, m)
		case !m.IsLearner && voters > r.options.TargetVoters && r.isUnavailable(p, m):
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return quorum.ConfChange{}, false
	}
	longestInactive := slices.MaxFunc(candidates, func(a, b quorum.Member) int {
		return cmp.Compare(r.inactivity(p, a.ID), r.inactivity(p, b.ID))
	})
	if !longestInactive.IsLearner && !r.isSuperseded(p, longestInactive) {
		r.replaced[longestInactive.ID] = longestInactive
	}
	return quorum.ConfChange{Op: quorum.RemoveMember, Member: longestInactive}, true
}

// findPromotion returns the promotion of an available learner, if too few of the voters
// are available. It prefers learners that have caught up.
func (r *Reconciler) findPromotion(p pass) (quorum.ConfChange, bool) {
	available := 0
	var learners []quorum.Member
	for _, m := range p.Members {
		switch {
		case !m.IsLearner && !r.isUnavailable(p, m):
			available++
		case m.IsLearner && !r.isUnresponsive(p, m.ID) && !p.IsLeaving(m.ID):
			learners = append(learners, m)
		}
	}
	enough := r.options.TargetVoters > 0 && available >= r.options.TargetVoters
	if enough || len(learners) == 0 {
		return quorum.ConfChange{}, false
	}
	i := max(0, slices.IndexFunc(learners, func(m quorum.Member) bool { return p.HasCaughtUp(m.ID) }))
	return quorum.ConfChange{Op: quorum.PromoteLearner, Member: learners[i]}, true
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
