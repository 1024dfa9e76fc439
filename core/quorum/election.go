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
	r.transfer = 0
	r.reads = readQueue{}
	r.resetElection()
}

// resetElection draws a new timeout, so that split votes are rare (paper,
// section 5.2).
func (r *Replica) resetElection() {
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.electionTimeout = r.config.ElectionTicks + r.config.Rand.IntN(r.config.ElectionTicks)
}

// hurryElection shortens the timeout of a replica that campaigns: a leader that
// lives is heard at its next heartbeat, and a pre-vote does not disturb it. The
// votes have the time of three heartbeats to arrive.
func (r *Replica) hurryElection() {
	first := 3 * r.config.HeartbeatTicks
	r.electionTimeout = first + r.config.Rand.IntN(max(r.config.ElectionTicks-first, 1))
}

// hearsLeader reports whether a leader was heard within the shortest timeout.
func (r *Replica) hearsLeader() bool {
	return r.leader != 0 && r.electionElapsed < r.config.ElectionTicks
}

// Campaign starts an election at once, for a replica that knows that there is
// no leader to wait for.
func (r *Replica) Campaign() {
	if r.role != Leader && r.log.membership().IsVoter(r.id) {
		r.campaign(PreCandidate, false)
	}
}

// campaign asks the voters for their votes as a PreCandidate, which changes no
// term (thesis, 9.6), or as a Candidate.
func (r *Replica) campaign(role Role, transfer bool) {
	r.resetElection()
	r.hurryElection()
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

// stepVote answers a request for a vote or pre-vote (paper, figure 2:
// RequestVote). A replica answers even if it believes to be no voter: its
// membership may lag behind the candidate's.
func (r *Replica) stepVote(m Message) {
	granted := r.log.upToDate(m.Index, m.LogTerm)
	if m.Type == MsgPreVote {
		granted = granted && m.Term > r.term && !r.precedes(m)
		answer := Message{Type: MsgPreVoteResp, To: m.From, Reject: !granted}
		if granted {
			answer.Term = m.Term
			r.giveWay(m)
		}
		r.send(answer)
		return
	}
	granted = granted && (r.vote == m.From || r.vote == 0 && r.leader == 0)
	if granted {
		r.vote = m.From
		r.electionElapsed = 0
	}
	r.send(Message{Type: MsgVoteResp, To: m.From, Reject: !granted})
}

// precedes reports whether this replica has just asked for votes itself and goes
// before the sender of m, whose log is the same. Otherwise replicas that start
// together would each vote for themselves.
func (r *Replica) precedes(m Message) bool {
	fresh := r.role == PreCandidate && r.electionElapsed == 0
	return fresh && r.id > m.From && r.sameLog(m)
}

// giveWay ends a pre-vote of this replica in favour of the sender of m, which has
// asked as well and goes before it.
func (r *Replica) giveWay(m Message) {
	if r.role == PreCandidate && (m.From > r.id || !r.sameLog(m)) {
		r.role = Follower
		r.votes = nil
	}
}

func (r *Replica) sameLog(m Message) bool {
	return m.Index == r.log.lastIndex() && m.LogTerm == r.log.lastTerm()
}

func (r *Replica) stepVoteResp(m Message) {
	answersPreVote := m.Type == MsgPreVoteResp && r.role == PreCandidate && (m.Reject || m.Term == r.term+1)
	answersVote := m.Type == MsgVoteResp && r.role == Candidate
	if !answersPreVote && !answersVote {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes()
}

// countVotes moves on when a majority has answered alike; it reports whether
// the campaign is over.
func (r *Replica) countVotes() bool {
	members := r.log.membership()
	granted := members.hasQuorum(func(id ReplicaID) bool { return r.votes[id] })
	refused := members.hasQuorum(func(id ReplicaID) bool {
		grant, answered := r.votes[id]
		return answered && !grant
	})
	switch {
	case granted && r.role == PreCandidate:
		r.campaign(Candidate, false)
	case granted:
		r.becomeLeader()
	case refused:
		r.becomeFollower(r.term, 0)
	}
	return granted || refused
}

// becomeLeader opens the term with an entry of its own, without which older
// entries cannot be committed (paper, sections 5.4.2 and 8).
func (r *Replica) becomeLeader() {
	r.resetElection()
	r.role = Leader
	r.leader = r.id
	r.votes = nil
	r.reads = readQueue{}
	r.progress = nil
	r.syncProgress()
	r.propose(Entry{Kind: EntryNoop})
	r.sendHeartbeats()
}

func (r *Replica) tickLeader() {
	r.heartbeatElapsed++
	if r.electionElapsed >= r.config.ElectionTicks {
		r.electionElapsed = 0
		r.transfer = 0 // thesis, 3.10: a transfer that takes too long is given up
		r.checkQuorum()
		if r.role != Leader {
			return
		}
	}
	r.tickSnapshots()
	if r.heartbeatElapsed >= r.config.HeartbeatTicks {
		r.heartbeatElapsed = 0
		r.sendHeartbeats()
	}
}

// checkQuorum steps down when no majority was heard since the last check
// (thesis, 6.2), so a leader that was cut off soon stops calling itself one.
func (r *Replica) checkQuorum() {
	if !r.log.membership().hasQuorum(r.isActive) {
		r.becomeFollower(r.term, 0)
		return
	}
	for _, p := range r.progress {
		p.wasActive = p.RecentlyActive
		p.RecentlyActive = false
	}
}

func (r *Replica) isActive(id ReplicaID) bool {
	if id == r.id {
		return true
	}
	p := r.find(id)
	return p != nil && p.RecentlyActive
}

// heardLately is true for up to two windows of the quorum check, so it does
// not turn false for all replicas right after a check.
func (r *Replica) heardLately(id ReplicaID) bool {
	p := r.find(id)
	return r.isActive(id) || p != nil && p.wasActive
}

// TransferLeadership hands the term's end to a voter whose log is complete
// (thesis, 3.10). Proposals are refused until it is over.
func (r *Replica) TransferLeadership(to ReplicaID) error {
	if r.role != Leader {
		return r.notLeader()
	}
	if to == r.id {
		return nil
	}
	p := r.find(to)
	if p == nil || !r.log.membership().IsVoter(to) {
		return ErrInvalidChange.New("replica %s is no voter", to)
	}
	if !r.heardLately(to) {
		return ErrNotCaughtUp.New("replica %s was not heard lately", to)
	}
	r.transfer = to
	r.electionElapsed = 0
	r.finishTransfer(p)
	return nil
}

// finishTransfer lets the target campaign once it holds the whole log.
func (r *Replica) finishTransfer(p *Progress) {
	if r.transfer == p.ID && p.Match == r.log.lastIndex() {
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
