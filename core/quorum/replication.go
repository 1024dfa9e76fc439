package quorum

// Propose asks that data become the next command. A follower passes it to the
// leader it knows. number names the proposal: the entry that comes of it
// carries this replica's ID and number. No error means no more than that it
// was sent; it may be lost, or, where the transport duplicates, apply twice.
func (r *Replica) Propose(number uint64, data []byte) error {
	e := Entry{Kind: EntryCommand, Data: data, Proposer: r.id, ProposalID: number}
	if r.role == Leader {
		return r.accepts(e)
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
		if err := r.accepts(m.Entries[i]); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) accepts(e Entry) error {
	if r.transfer != 0 {
		return ErrLeadershipTransfer.New("leadership moves to replica %s", r.transfer)
	}
	r.propose(e)
	return nil
}

// propose appends e to the leader's log; Ready sends it.
func (r *Replica) propose(e Entry) {
	e.Term = r.term
	e.Index = r.log.lastIndex() + 1
	r.log.push(e)
	r.appendsDue = true
}

// sendAppends fills each replica's window.
func (r *Replica) sendAppends() {
	r.appendsDue = false
	for _, p := range r.progress {
		r.sendAppend(p, true)
		r.fill(p)
	}
}

// fill sends entries until the window is full.
func (r *Replica) fill(p *Progress) {
	for p.State == StateReplicate && p.Next <= r.log.lastIndex() && !p.paused(r.config.MaxInflight) {
		r.sendAppend(p, false)
	}
}

// sendAppend sends the entries from p.Next on, or a snapshot if they are gone.
// An append without entries is sent only if empty is set.
func (r *Replica) sendAppend(p *Progress, empty bool) {
	if p.paused(r.config.MaxInflight) {
		return
	}
	term, ok := r.log.term(p.Next - 1)
	if !ok || p.Next <= r.log.offset {
		r.sendSnapshot(p)
		return
	}
	entries := r.log.from(p.Next, r.config.MaxAppendBytes)
	if len(entries) == 0 && !empty {
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
		p.inflight = append(p.inflight, last)
		p.Next = last + 1
	}
}

// stepAppend stores a leader's entries (paper, figure 2: AppendEntries).
func (r *Replica) stepAppend(m Message) {
	if !contiguous(m) {
		return
	}
	answer := Message{Type: MsgAppendResp, To: m.From}
	if m.Index < r.log.committed {
		answer.Index = r.log.committed
		r.send(answer)
		return
	}
	if !r.log.matches(m.Index, m.LogTerm) {
		answer.Reject = true
		answer.Index = m.Index
		answer.RejectHint, answer.RejectHintTerm = r.log.lastAtMost(m.Index, m.LogTerm)
		r.send(answer)
		return
	}
	r.log.merge(m.Entries)
	answer.Index = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, answer.Index))
	r.send(answer)
}

// contiguous reports whether the entries of m follow each other from m.Index.
func contiguous(m Message) bool {
	for i := range m.Entries {
		if m.Entries[i].Index != m.Index+uint64(i)+1 {
			return false
		}
	}
	return true
}

// commitTo never goes back, nor beyond what is known to match the leader.
func (r *Replica) commitTo(index uint64) {
	r.log.committed = max(r.log.committed, index)
}

func (r *Replica) stepAppendResp(m Message) {
	p := r.find(m.From)
	if r.role != Leader || p == nil {
		return
	}
	if m.Reject {
		r.stepBack(p, m)
		return
	}
	news := p.acknowledge(m.Index)
	if p.State == StateProbe || p.State == StateSnapshot && p.Match >= p.snapshotIndex {
		p.becomeReplicate()
	}
	if !news {
		return
	}
	r.advanceCommit()
	if r.role != Leader {
		return
	}
	r.fill(p)
	r.finishTransfer(p)
}

// stepBack moves p to where the logs may match (paper, section 5.3: the
// follower's hint skips a whole term per round).
func (r *Replica) stepBack(p *Progress, m Message) {
	stale := m.Index <= p.Match || p.State == StateSnapshot ||
		p.State == StateProbe && m.Index != p.Next-1
	if stale {
		return
	}
	next, _ := r.log.lastAtMost(m.RejectHint, m.RejectHintTerm)
	p.becomeProbe()
	p.Next = max(min(next, m.Index-1), p.Match) + 1
	r.sendAppend(p, true)
}

// advanceCommit commits what a majority has on disk, counting entries of the
// leader's own term only (paper, section 5.4.2).
func (r *Replica) advanceCommit() {
	index := r.log.membership().quorumIndex(r.onDisk)
	term, ok := r.log.term(index)
	if index <= r.log.committed || !ok || term != r.term {
		return
	}
	r.commitTo(index)
	r.appendsDue = true
	r.releaseWaitingReads()
	if _, member := r.log.membership().Find(r.id); !member && r.log.configIndex() <= index {
		// Thesis, 4.2.2: a leader that removed itself leads until then.
		r.sendAppends()
		r.becomeFollower(r.term, 0)
	}
}

func (r *Replica) onDisk(id ReplicaID) uint64 {
	if id == r.id {
		return r.log.stable
	}
	if p := r.find(id); p != nil {
		return p.Match
	}
	return 0
}

// sendHeartbeats also carries the newest read context.
func (r *Replica) sendHeartbeats() {
	for _, p := range r.progress {
		r.send(Message{
			Type: MsgHeartbeat, To: p.ID, Context: r.reads.sequence,
			Commit: min(r.log.committed, p.Match),
		})
	}
}

func (r *Replica) stepHeartbeat(m Message) {
	r.commitTo(m.Commit)
	r.send(Message{Type: MsgHeartbeatResp, To: m.From, Context: m.Context})
}

// stepHeartbeatResp sends again what may have been lost: a replica that
// answers heartbeats is worth a probe, one that is silent costs heartbeats only.
func (r *Replica) stepHeartbeatResp(m Message) {
	p := r.find(m.From)
	if r.role != Leader || p == nil {
		return
	}
	p.readAck = max(p.readAck, m.Context)
	r.releaseReads()
	if p.Match >= r.log.lastIndex() {
		return
	}
	p.probeSent = false
	if p.State == StateReplicate && p.paused(r.config.MaxInflight) {
		// The window is full of appends whose answers were lost.
		p.inflight = p.inflight[1:]
	}
	r.sendAppend(p, true)
}
