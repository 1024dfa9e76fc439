package quorum

// A learner may lag behind the leader by this much when it is promoted, so that commits
// do not wait long for it (thesis, 4.2.1). A single entry may exceed the bytes.
const (
	maxPromotionLagEntries = 100     // entries
	maxPromotionLagBytes   = 1 << 20 // bytes
)

// maxPromotionIdleHeartbeats is the number of heartbeats that a learner may have left
// without a response when it is promoted. A promotion counts from the moment it is
// appended, so that of a learner that has just failed costs the group a vote.
const maxPromotionIdleHeartbeats = 3

// ProposeChange proposes one membership change. Only the leader accepts it, one
// at a time, and only after an entry of its term is committed (thesis, 4.1, and
// its correction of 2015). The resulting entry carries this replica's ID and
// proposalID.
func (r *Replica) ProposeChange(proposalID uint64, c ConfChange) error {
	if r.role != Leader {
		return r.notLeader()
	}
	if term, _ := r.log.term(r.log.committed); term != r.term {
		return ErrChangePending.New("term %d has no committed entry yet", r.term)
	}
	if r.log.membershipIndex() > r.log.committed {
		return ErrChangePending.New("membership change at entry %d is not committed", r.log.membershipIndex())
	}
	next, err := r.log.membership().Apply(c)
	if err != nil {
		return err
	}
	if err := r.validateChange(c, next); err != nil {
		return err
	}
	e := Entry{Kind: EntryChange, Change: &c, Proposer: r.id, ProposalID: proposalID}
	if err := r.appendProposal(e); err != nil {
		return err
	}
	r.syncProgress()
	return nil
}

// validateChange rejects change c if the resulting membership would lack a
// quorum of live voters, or if c promotes a learner that lags behind.
func (r *Replica) validateChange(c ConfChange, next Membership) error {
	if c.Op == PromoteLearner {
		p := r.progressOf(c.Member.ID)
		if p == nil || !r.hasCaughtUp(p) {
			return ErrNotCaughtUp.New("learner %s has not replicated the log up to entry %d", c.Member.ID, r.log.lastIndex())
		}
		if p.IdleTicks > maxPromotionIdleHeartbeats*r.config.HeartbeatTicks {
			return ErrNotCaughtUp.New("learner %s has sent nothing for %d ticks", c.Member.ID, p.IdleTicks)
		}
	}
	if c.Op != AddLearner && !next.hasQuorum(r.isRecentlyActive) {
		return ErrUnsafeChange.New("%s of replica %s would leave %d voters without a live quorum",
			c.Op, c.Member.ID, next.VoterCount())
	}
	return nil
}

// hasCaughtUp reports whether p lacks so little of the log that it may be promoted.
func (r *Replica) hasCaughtUp(p *Progress) bool {
	if p.State != StateReplicate || p.Match < r.log.offset {
		return false
	}
	lag := r.log.lastIndex() - p.Match
	return lag <= maxPromotionLagEntries && lag == uint64(len(r.log.entriesFrom(p.Match+1, maxPromotionLagBytes)))
}

// syncProgress matches the progress list to the other members of the active
// membership.
func (r *Replica) syncProgress() {
	var next []*Progress
	for _, member := range r.log.membership().Members {
		if member.ID == r.id {
			continue
		}
		p := r.progressOf(member.ID)
		if p == nil {
			p = &Progress{ID: member.ID, Next: r.log.lastIndex() + 1, ActiveSinceCheck: true}
		}
		next = append(next, p)
	}
	r.progress = next
}
