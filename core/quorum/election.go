package quorum

func (r *Replica) becomeFollower(term uint64, leader ReplicaID) {
	if term != r.term {
		r.term = term
		r.vote = 0
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.progress = nil
	r.transferTarget = 0
	r.reads = readQueue{}
	r.resetElectionTimer()
}

// resetElectionTimer restarts the election timer with a new random timeout,
// which makes split votes rare (paper, section 5.2).
func (r *Replica) resetElectionTimer() {
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.electionTimeout = r.config.ElectionTicks + r.config.Rand.IntN(r.config.ElectionTicks)
}

// shortenElectionTimeout shortens the timeout of a campaigning replica: a live
// leader sends its next heartbeat soon, and a pre-vote does not disrupt it. The
// timeout leaves at least three heartbeat intervals for the votes to arrive.
func (r *Replica) shortenElectionTimeout() {
	minTicks := 3 * r.config.HeartbeatTicks
	r.electionTimeout = minTicks + r.config.Rand.IntN(max(r.config.ElectionTicks-minTicks, 1))
}

// hasLiveLeader reports whether the leader sent a message within the minimum
// election timeout.
func (r *Replica) hasLiveLeader() bool {
	return r.leader != 0 && r.electionElapsed < r.config.ElectionTicks
}

// Campaign starts an election immediately, without waiting for the election
// timeout. Call it when there is known to be no leader.
func (r *Replica) Campaign() {
	if r.role != Leader && r.log.membership().IsVoter(r.id) {
		r.campaign(PreCandidate, false)
	}
}

// campaign requests votes from the voters, either as a PreCandidate, which
// leaves the term unchanged (thesis, 9.6), or as a Candidate.
func (r *Replica) campaign(role Role, transfer bool) {
	r.resetElectionTimer()
	r.shortenElectionTimeout()
	r.role = role
	r.leader = 0
	r.votes = map[ReplicaID]bool{r.id: true}
	request := Message{
		Type: MsgPreVote, Term: r.term + 1, LeadershipTransfer: transfer,
		Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
	}
	if role == Candidate {
		r.term++
		r.vote = r.id
		request.Type = MsgVote
	}
	if r.countVotes() {
		return
	}
	for _, member := range r.log.membership().Members {
		if member.IsLearner || member.ID == r.id {
			continue
		}
		request.To = member.ID
		r.send(request)
	}
}

// stepVote responds to a vote or pre-vote request (paper, figure 2:
// RequestVote). A replica responds even if it is not a voter in its own
// membership, which may lag behind the candidate's.
func (r *Replica) stepVote(m Message) {
	granted := r.log.isUpToDate(m.Index, m.LogTerm)
	if m.Type == MsgPreVote {
		granted = granted && m.Term > r.term && !r.outranks(m)
		response := Message{Type: MsgPreVoteResp, To: m.From, Reject: !granted}
		if granted {
			response.Term = m.Term
			r.abandonPreVote(m)
		}
		if r.outranks(m) {
			r.repeatPreVote(m.From)
		}
		r.send(response)
		return
	}
	granted = granted && (r.vote == m.From || r.vote == 0 && r.leader == 0)
	if granted {
		r.vote = m.From
		r.electionElapsed = 0
	}
	r.send(Message{Type: MsgVoteResp, To: m.From, Reject: !granted})
}

// outranks reports whether this replica started a pre-vote in the current tick
// and takes precedence, by its greater ID, over the sender of m with an equal
// log. Without this rule, replicas that start together would split the votes.
func (r *Replica) outranks(m Message) bool {
	startedThisTick := r.role == PreCandidate && r.electionElapsed == 0
	return startedThisTick && r.id > m.From && r.sameLog(m)
}

// abandonPreVote ends this replica's pre-vote if the sender of m, which is
// campaigning too, takes precedence over it.
func (r *Replica) abandonPreVote(m Message) {
	if r.role == PreCandidate && (m.From > r.id || !r.sameLog(m)) {
		r.role = Follower
		r.votes = nil
	}
}

func (r *Replica) sameLog(m Message) bool {
	return m.Index == r.log.lastIndex() && m.LogTerm == r.log.lastTerm()
}

func (r *Replica) stepVoteResp(m Message) {
	isPreVoteResponse := m.Type == MsgPreVoteResp && r.role == PreCandidate && (m.Reject || m.Term == r.term+1)
	isVoteResponse := m.Type == MsgVoteResp && r.role == Candidate
	if !isPreVoteResponse && !isVoteResponse {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes()
}

// countVotes starts the next phase when a majority has granted or rejected the
// votes. It reports whether this phase of the campaign is over.
func (r *Replica) countVotes() bool {
	members := r.log.membership()
	granted := members.hasQuorum(func(id ReplicaID) bool { return r.votes[id] })
	rejected := members.hasQuorum(func(id ReplicaID) bool {
		vote, hasResponded := r.votes[id]
		return hasResponded && !vote
	})
	switch {
	case granted && r.role == PreCandidate:
		r.campaign(Candidate, false)
	case granted:
		r.becomeLeader()
	case rejected:
		r.becomeFollower(r.term, 0)
	}
	return granted || rejected
}

// becomeLeader appends a no-op entry in the new term, without which entries of
// earlier terms cannot be committed (paper, sections 5.4.2 and 8).
func (r *Replica) becomeLeader() {
	r.resetElectionTimer()
	r.role = Leader
	r.leader = r.id
	r.votes = nil
	r.reads = readQueue{}
	r.progress = nil
	r.syncProgress()
	r.adoptIdleTicks()
	r.appendToLog(Entry{Kind: EntryNoop})
	r.sendHeartbeats()
}

// adoptIdleTicks makes the silence of the leader before count from its latest message,
// not from this replica's election.
func (r *Replica) adoptIdleTicks() {
	if p := r.progressOf(r.followedLeader); p != nil {
		p.IdleTicks = r.followedIdleTicks
	}
	r.followedLeader = 0
}

func (r *Replica) tickLeader() {
	r.heartbeatElapsed++
	for _, p := range r.progress {
		p.IdleTicks++
	}
	if r.electionElapsed >= r.config.ElectionTicks {
		r.electionElapsed = 0
		r.transferTarget = 0 // thesis, 3.10: abort a transfer that takes longer than an election timeout
		r.checkQuorum()
		if r.role != Leader {
			return
		}
	}
	r.retrySnapshots()
	if r.heartbeatElapsed >= r.config.HeartbeatTicks {
		r.heartbeatElapsed = 0
		r.sendHeartbeats()
	}
}

// checkQuorum steps down if no quorum of voters was active since the last check
// (thesis, 6.2), so that a partitioned leader soon stops acting as leader.
func (r *Replica) checkQuorum() {
	if !r.log.membership().hasQuorum(r.isActiveSinceCheck) {
		r.becomeFollower(r.term, 0)
		return
	}
	for _, p := range r.progress {
		p.activeBeforeCheck = p.ActiveSinceCheck
		p.ActiveSinceCheck = false
	}
}

func (r *Replica) isActiveSinceCheck(id ReplicaID) bool {
	if id == r.id {
		return true
	}
	p := r.progressOf(id)
	return p != nil && p.ActiveSinceCheck
}

// isRecentlyActive reports whether a message arrived from the replica since the
// quorum check before the last one. If only the time since the last check counted,
// every replica would appear inactive right after a check.
func (r *Replica) isRecentlyActive(id ReplicaID) bool {
	p := r.progressOf(id)
	return r.isActiveSinceCheck(id) || p != nil && p.activeBeforeCheck
}

// TransferLeadership transfers leadership to a voter once its log is up to date
// (thesis, 3.10). Proposals are rejected until the transfer ends.
func (r *Replica) TransferLeadership(to ReplicaID) error {
	if r.role != Leader {
		return r.notLeader()
	}
	if to == r.id {
		return nil
	}
	p := r.progressOf(to)
	if p == nil || !r.log.membership().IsVoter(to) {
		return ErrInvalidChange.New("replica %s is not a voter", to)
	}
	if !r.isRecentlyActive(to) {
		return ErrNotCaughtUp.New("no recent message from replica %s", to)
	}
	r.transferTarget = to
	r.electionElapsed = 0
	r.tryCompleteTransfer(p)
	return nil
}

// tryCompleteTransfer tells the transfer target to campaign once its log matches
// the leader's.
func (r *Replica) tryCompleteTransfer(p *Progress) {
	if r.transferTarget == p.ID && p.Match == r.log.lastIndex() {
		r.send(Message{Type: MsgTimeoutNow, To: p.ID})
	}
}

func (r *Replica) stepTimeoutNow() {
	if r.role != Leader && r.log.membership().IsVoter(r.id) {
		r.campaign(Candidate, true)
	}
}

func (r *Replica) notLeader() error {
	return ErrNotLeader.New("replica %s is %s in term %d; the leader is %s", r.id, r.role, r.term, r.leader)
}
