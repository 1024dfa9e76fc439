package quorum

// Propose proposes data as the next command. A follower forwards it to its current
// leader. The resulting entry carries this replica's ID and proposalID. A nil error
// only means that the proposal was sent: it may be lost or, if the transport
// duplicates messages, applied twice.
func (r *Replica) Propose(proposalID uint64, data []byte) error {
	e := Entry{Kind: EntryCommand, Data: data, Proposer: r.id, ProposalID: proposalID}
	if r.role == Leader {
		return r.appendProposal(e)
	}
	if r.leader == 0 {
		return r.notLeader()
	}
	r.send(Message{Type: MsgPropose, To: r.leader, Entries: []Entry{e}})
	return nil
}

func (r *Replica) stepPropose(m Message) error {
	if r.role != Leader {
		return r.notLeader()
	}
	for i := range m.Entries {
		if m.Entries[i].Kind != EntryCommand {
			continue
		}
		if err := r.appendProposal(m.Entries[i]); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) appendProposal(e Entry) error {
	if r.transferTarget != 0 {
		return ErrLeadershipTransfer.New("leadership is being transferred to replica %s", r.transferTarget)
	}
	r.appendToLog(e)
	return nil
}

// appendToLog appends e to the leader's log. The next Ready sends it to followers.
func (r *Replica) appendToLog(e Entry) {
	e.Term = r.term
	e.Index = r.log.lastIndex() + 1
	r.log.appendEntry(e)
	r.appendsDue = true
}

// sendAppends sends an append to each replica and fills its in-flight window.
func (r *Replica) sendAppends() {
	r.appendsDue = false
	for _, p := range r.progress {
		r.sendAppend(p, true)
		r.fillWindow(p)
	}
}

// fillWindow sends entries to p until its in-flight window is full.
func (r *Replica) fillWindow(p *Progress) {
	for p.State == StateReplicate && p.Next <= r.log.lastIndex() && !p.isPaused(r.config.MaxInflight) {
		r.sendAppend(p, false)
	}
}

// sendAppend sends the entries from p.Next on, or a snapshot if they were
// compacted. It sends an append without entries only if allowEmpty is set.
func (r *Replica) sendAppend(p *Progress, allowEmpty bool) {
	if p.isPaused(r.config.MaxInflight) {
		return
	}
	term, ok := r.log.term(p.Next - 1)
	if !ok || p.Next <= r.log.offset {
		r.sendSnapshot(p)
		return
	}
	entries := r.log.entriesFrom(p.Next, r.config.MaxAppendBytes)
	if len(entries) == 0 && !allowEmpty {
		return
	}
	r.send(Message{
		Type: MsgAppend, To: p.ID, Index: p.Next - 1, LogTerm: term,
		Commit: r.log.committed, Entries: entries,
	})
	if p.State == StateProbe {
		p.probeSent = true
		return
	}
	if len(entries) > 0 {
		last := entries[len(entries)-1].Index
		p.inflightIndexes = append(p.inflightIndexes, last)
		p.Next = last + 1
	}
}

// stepAppend appends entries from the leader (paper, figure 2: AppendEntries).
func (r *Replica) stepAppend(m Message) {
	if !hasContiguousEntries(m) {
		return
	}
	response := Message{Type: MsgAppendResp, To: m.From}
	if m.Index < r.log.committed {
		response.Index = r.log.committed
		r.send(response)
		return
	}
	if !r.log.hasEntry(m.Index, m.LogTerm) {
		response.Reject = true
		response.Index = m.Index
		response.RejectHint, response.RejectHintTerm = r.log.findConflictByTerm(m.Index, m.LogTerm)
		r.send(response)
		return
	}
	r.log.merge(m.Entries)
	response.Index = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, response.Index))
	r.send(response)
}

// hasContiguousEntries reports whether the entries of m have consecutive indexes
// that start after m.Index.
func hasContiguousEntries(m Message) bool {
	for i := range m.Entries {
		if m.Entries[i].Index != m.Index+uint64(i)+1 {
			return false
		}
	}
	return true
}

// commitTo advances the commit index and never decreases it. index must not exceed
// the last entry known to match the leader's log.
func (r *Replica) commitTo(index uint64) {
	r.log.committed = max(r.log.committed, index)
}

func (r *Replica) stepAppendResp(m Message) {
	p := r.progressOf(m.From)
	if r.role != Leader || p == nil {
		return
	}
	if m.Reject {
		r.backtrack(p, m)
		return
	}
	advanced := p.advanceMatch(m.Index)
	if p.State == StateProbe || p.State == StateSnapshot && p.Match >= p.snapshotIndex {
		p.becomeReplicate()
	}
	if !advanced {
		return
	}
	r.advanceCommit()
	if r.role != Leader {
		return
	}
	r.fillWindow(p)
	r.tryCompleteTransfer(p)
}

// backtrack moves p.Next back to the entry after the last one at which the logs may
// match. The follower's hint skips a whole term per round trip (paper, section 5.3).
func (r *Replica) backtrack(p *Progress, m Message) {
	stale := m.Index <= p.Match || p.State == StateSnapshot ||
		p.State == StateProbe && m.Index != p.Next-1
	if stale {
		return
	}
	next, _ := r.log.findConflictByTerm(m.RejectHint, m.RejectHintTerm)
	p.becomeProbe()
	p.Next = max(min(next, m.Index-1), p.Match) + 1
	r.sendAppend(p, true)
}

// advanceCommit advances the commit index to the last entry that a majority has on
// disk, if that entry is of the leader's term (paper, section 5.4.2).
func (r *Replica) advanceCommit() {
	index := r.log.membership().quorumIndex(r.persistedIndex)
	term, ok := r.log.term(index)
	if index <= r.log.committed || !ok || term != r.term {
		return
	}
	r.commitTo(index)
	r.appendsDue = true
	r.admitDeferredReads()
	if _, member := r.log.membership().Find(r.id); !member && r.log.membershipIndex() <= index {
		// Thesis, 4.2.2: a leader that removes itself leads until the change is
		// committed.
		r.sendAppends()
		r.becomeFollower(r.term, 0)
	}
}

func (r *Replica) persistedIndex(id ReplicaID) uint64 {
	if id == r.id {
		return r.log.stable
	}
	if p := r.progressOf(id); p != nil {
		return p.Match
	}
	return 0
}

// sendHeartbeats sends a heartbeat with the latest read round to each replica.
func (r *Replica) sendHeartbeats() {
	for _, p := range r.progress {
		r.send(Message{
			Type: MsgHeartbeat, To: p.ID, Context: r.reads.round,
			Commit: min(r.log.committed, p.Match),
		})
	}
}

func (r *Replica) stepHeartbeat(m Message) {
	r.commitTo(m.Commit)
	r.send(Message{Type: MsgHeartbeatResp, To: m.From, Context: m.Context})
}

// stepHeartbeatResp resends entries that may have been lost. Probes are sent only
// to replicas that respond to heartbeats; an unresponsive replica costs no more
// than its heartbeats.
func (r *Replica) stepHeartbeatResp(m Message) {
	p := r.progressOf(m.From)
	if r.role != Leader || p == nil {
		return
	}
	p.ackedReadRound = max(p.ackedReadRound, m.Context)
	r.completeConfirmedReads()
	if p.Match >= r.log.lastIndex() {
		return
	}
	p.probeSent = false
	if p.State == StateReplicate && p.isPaused(r.config.MaxInflight) {
		// The window is full of appends whose responses may have been lost.
		p.inflightIndexes = p.inflightIndexes[1:]
	}
	r.sendAppend(p, true)
}
