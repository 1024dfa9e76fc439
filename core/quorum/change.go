package quorum

// maxPromoteLag is how many entries a learner may be behind when it becomes a
// voter, so that it does not hold up commits for long (thesis, 4.2.1).
const maxPromoteLag = 100

// ProposeChange asks for one membership change. Only the leader takes it, one
// at a time, and not before an entry of its term is committed (thesis, 4.1,
// and the correction of 2015 to it).
func (r *Replica) ProposeChange(number uint64, c ConfChange) error {
	if r.role != Leader {
		return r.notLeader()
	}
	if term, _ := r.log.term(r.log.committed); term != r.term {
		return ErrChangePending.New("term %d has no committed entry yet", r.term)
	}
	if r.log.configIndex() > r.log.committed {
		return ErrChangePending.New("membership change at entry %d is not committed", r.log.configIndex())
	}
	next, err := r.log.membership().Apply(c)
	if err != nil {
		return err
	}
	if err := r.checkSafe(c, next); err != nil {
		return err
	}
	e := Entry{Kind: EntryChange, Change: &c, Proposer: r.id, ProposalID: number}
	if err := r.accepts(e); err != nil {
		return err
	}
	r.syncProgress()
	return nil
}

// checkSafe refuses a change that would leave the cluster without a quorum of
// live voters.
func (r *Replica) checkSafe(c ConfChange, next Membership) error {
	if c.Op == PromoteLearner {
		p := r.find(c.Member.ID)
		if p == nil || !r.heardLately(p.ID) || p.State != StateReplicate || p.Match+maxPromoteLag < r.log.lastIndex() {
			return ErrNotCaughtUp.New("learner %s does not hold the log up to entry %d", c.Member.ID, r.log.lastIndex())
		}
	}
	if c.Op != AddLearner && !next.hasQuorum(r.heardLately) {
		return ErrUnsafeChange.New("%s of replica %s would leave %d voters without a live quorum",
			c.Op, c.Member.ID, next.VoterCount())
	}
	return nil
}

// syncProgress keeps one progress per other member of the membership in force.
func (r *Replica) syncProgress() {
	var next []*Progress
	for _, member := range r.log.membership().Members {
		if member.ID == r.id {
			continue
		}
		p := r.find(member.ID)
		if p == nil {
			p = &Progress{ID: member.ID, Next: r.log.lastIndex() + 1, RecentlyActive: true}
		}
		next = append(next, p)
	}
	r.progress = next
}
