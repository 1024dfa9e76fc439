package quorum

// sendSnapshot sends the latest snapshot in place of entries that are gone.
func (r *Replica) sendSnapshot(p *Progress) {
	if !p.RecentlyActive {
		p.becomeProbe()
		p.probeSent = true // until it answers a heartbeat
		return
	}
	snapshot := r.log.snapshot
	r.send(Message{Type: MsgSnapshot, To: p.ID, Index: snapshot.Index, LogTerm: snapshot.Term, Snapshot: &snapshot})
	p.becomeSnapshot(snapshot.Index, r.config.ElectionTicks)
}

// tickSnapshots sends a snapshot again whose answer did not come.
func (r *Replica) tickSnapshots() {
	for _, p := range r.progress {
		if p.State != StateSnapshot {
			continue
		}
		p.snapshotWait--
		if p.snapshotWait <= 0 {
			p.becomeProbe()
			r.sendAppend(p, true)
		}
	}
}

// stepSnapshot installs a leader's snapshot unless the log holds as much
// (paper, figure 13).
func (r *Replica) stepSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	switch {
	case s.Index <= r.log.committed:
		// Old news; the answer below says how far this log is.
	case r.log.matches(s.Index, s.Term):
		r.commitTo(s.Index)
	default:
		r.log.reset(*s)
		r.newSnapshot = s
	}
	r.send(Message{Type: MsgAppendResp, To: m.From, Index: r.log.committed})
}

// Snapshot returns the snapshot of state after the applied entry index. Save
// it, then call Compact.
func (r *Replica) Snapshot(index uint64, state []byte) (Snapshot, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.log.applied || index < r.log.snapshot.Index {
		return Snapshot{}, ErrInvalidState.New("snapshot at entry %d: applied is %d, the last snapshot is at %d",
			index, r.log.applied, r.log.snapshot.Index)
	}
	return Snapshot{Index: index, Term: term, Membership: r.log.membershipAt(index), Data: state}, nil
}

// Compact adopts a snapshot that is on disk and drops the entries it replaces,
// but for the last keep, which spare followers a little behind the snapshot.
// It returns the index of the first entry still held.
func (r *Replica) Compact(s Snapshot, keep uint64) uint64 {
	if s.Index >= r.log.snapshot.Index {
		r.log.compact(s, keep)
	}
	return r.log.offset + 1
}
