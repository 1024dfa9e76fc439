package quorum

// SoftState is who leads, as this replica knows it. It need not be saved.
type SoftState struct {
	Role   Role
	Leader ReplicaID
	Term   uint64
}

// Ready is what the loop around a replica must do, in the order of the fields.
type Ready struct {
	// SoftState is set when it changed.
	SoftState *SoftState
	// ImmediateMessages may be sent before the rest is saved: a leader's appends
	// overlap with its own write to disk (thesis, 10.2.1).
	ImmediateMessages []Message
	// Snapshot is set when a leader's snapshot replaces the log: save it,
	// drop all entries and restore the state machine from it.
	Snapshot *Snapshot
	// Entries are to be saved; they replace any at or after the first's index.
	Entries []Entry
	// HardState is set when it changed. Save it together with Entries.
	HardState *HardState
	// MustSync is set when Messages depend on what is saved here. Without it
	// a save that is lost does no harm.
	MustSync bool
	// Messages are to be sent once all of the above is on disk.
	Messages []Message
	// CommittedEntries are to be applied in order.
	CommittedEntries []Entry
	// ReadStates answer ReadIndex.
	ReadStates []ReadState
}

// IsEmpty reports whether there is nothing to do.
func (rd *Ready) IsEmpty() bool {
	return rd.SoftState == nil && rd.HardState == nil && rd.Snapshot == nil &&
		len(rd.ImmediateMessages) == 0 && len(rd.Entries) == 0 && len(rd.Messages) == 0 &&
		len(rd.CommittedEntries) == 0 && len(rd.ReadStates) == 0
}

// Ready returns what is to be done now. Call Advance when it is done.
func (r *Replica) Ready() Ready {
	if r.role == Leader {
		r.flush()
	}
	rd := Ready{
		Snapshot:         r.newSnapshot,
		Entries:          r.log.between(r.log.stable, r.log.lastIndex()),
		CommittedEntries: r.log.between(r.log.applied, r.log.committed),
		ReadStates:       r.readStates,
	}
	if hard := r.hardState(); hard != r.saved {
		rd.HardState = &hard
		rd.MustSync = hard.Term != r.saved.Term || hard.Vote != r.saved.Vote || hard.Cluster != r.saved.Cluster
	}
	rd.MustSync = rd.MustSync || len(rd.Entries) > 0 || rd.Snapshot != nil
	if soft := r.softState(); soft != r.savedSoft {
		rd.SoftState = &soft
	}
	rd.ImmediateMessages, rd.Messages = r.splitMessages()
	r.messages = nil
	r.readStates = nil
	return rd
}

// flush turns the news since the last Ready into as few messages as possible.
func (r *Replica) flush() {
	if r.appendsDue {
		r.sendAppends()
	}
	if r.reads.due {
		r.sendReadRound()
	}
}

// splitMessages separates those that promise nothing about this disk. In a
// term that is not on disk yet none does.
func (r *Replica) splitMessages() (early, late []Message) {
	if r.saved.Term != r.term {
		return nil, r.messages
	}
	for i := range r.messages {
		if r.messages[i].Type.fromLeader() {
			early = append(early, r.messages[i])
		} else {
			late = append(late, r.messages[i])
		}
	}
	return early, late
}

// Advance tells that rd was carried out.
func (r *Replica) Advance(rd Ready) {
	if rd.HardState != nil {
		r.saved = *rd.HardState
	}
	if rd.SoftState != nil {
		r.savedSoft = *rd.SoftState
	}
	if rd.Snapshot == r.newSnapshot {
		r.newSnapshot = nil
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stable = rd.Entries[n-1].Index
	}
	if n := len(rd.CommittedEntries); n > 0 {
		r.log.applied = rd.CommittedEntries[n-1].Index
	}
	if r.role == Leader {
		r.advanceCommit()
	}
}

func (r *Replica) softState() SoftState {
	return SoftState{Role: r.role, Leader: r.leader, Term: r.term}
}

// Status is a replica's state for operators.
type Status struct {
	ID            ReplicaID
	Cluster       ClusterID
	Role          Role
	Leader        ReplicaID
	Term          uint64
	LastIndex     uint64 // last entry of the log
	CommitIndex   uint64
	AppliedIndex  uint64
	SnapshotIndex uint64 // last entry in the latest snapshot
	Membership    Membership
	// SnapshotMembership is the membership of the latest snapshot.
	SnapshotMembership Membership
	Progress           []Progress // leader only
}

// Membership returns the membership in force.
func (r *Replica) Membership() Membership { return r.log.membership() }

// Status returns a copy of the replica's state.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.id, Cluster: r.cluster, Role: r.role, Leader: r.leader, Term: r.term,
		LastIndex: r.log.lastIndex(), CommitIndex: r.log.committed, AppliedIndex: r.log.applied,
		SnapshotIndex: r.log.snapshot.Index, Membership: r.log.membership(),
		SnapshotMembership: r.log.snapshot.Membership,
	}
	for _, p := range r.progress {
		s.Progress = append(s.Progress, *p)
	}
	return s
}
