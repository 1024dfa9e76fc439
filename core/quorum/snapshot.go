package quorum

// sendSnapshot sends the latest snapshot in place of compacted entries.
func (r *Replica) sendSnapshot(p *Progress) {
	if !p.ActiveSinceCheck {
		p.becomeProbe()
		p.probeSent = true // until it responds to a heartbeat
		return
	}
	snapshot := r.log.snapshot
	r.send(Message{Type: MsgSnapshot, To: p.ID, Index: snapshot.Index, LogTerm: snapshot.Term, Snapshot: &snapshot})
	p.becomeSnapshot(snapshot.Index, r.config.ElectionTicks)
}

// retrySnapshots retries replication to replicas that have not acknowledged a
// snapshot in time.
func (r *Replica) retrySnapshots() {
	for _, p := range r.progress {
		if p.State != StateSnapshot {
			continue
		}
		p.snapshotRetryTicks--
		if p.snapshotRetryTicks <= 0 {
			p.becomeProbe()
			r.sendAppend(p, true)
		}
	}
}

// stepSnapshot installs a snapshot from the leader unless the log already contains
// its last entry (paper, figure 13).
func (r *Replica) stepSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	switch {
	case s.Index <= r.log.committed:
		// The snapshot is outdated; the response below reports the commit index.
	case r.log.hasEntry(s.Index, s.Term):
		r.commitTo(s.Index)
	default:
		r.log.reset(*s)
		r.unsavedSnapshot = s
	}
	r.send(Message{Type: MsgAppendResp, To: m.From, Index: r.log.committed})
}

// Snapshot returns a snapshot of state, the state machine's encoded state after
// the applied entry index. The caller saves it and then calls Compact.
func (r *Replica) Snapshot(index uint64, state []byte) (Snapshot, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.log.applied || index < r.log.snapshot.Index {
		return Snapshot{}, ErrInvalidState.New("cannot create a snapshot at entry %d: last applied entry is %d, last snapshot is at entry %d",
			index, r.log.applied, r.log.snapshot.Index)
	}
	return Snapshot{Index: index, Term: term, Membership: r.log.membershipAt(index), Data: state}, nil
}

// TrailingEntries returns how many of the last entries in the log up to index fit in
// maxEntries and maxBytes.
func (r *Replica) TrailingEntries(index, maxEntries uint64, maxBytes int) uint64 {
	return r.log.trailingEntries(index, maxEntries, maxBytes)
}

// Compact installs a snapshot that is on disk and removes the entries that it
// covers, except the last keep ones: with these, a follower that is slightly
// behind needs no snapshot. It returns the index of the first remaining entry.
func (r *Replica) Compact(s Snapshot, keep uint64) uint64 {
	if s.Index >= r.log.snapshot.Index {
		r.log.compact(s, keep)
	}
	return r.log.offset + 1
}
