package quorum

// SoftState is the replica's role and its knowledge of the current leader. It need
// not be saved.
type SoftState struct {
	Role   Role
	Leader ReplicaID
	Term   uint64
}

// Ready lists the work for the caller's loop, in the order of the fields.
type Ready struct {
	// SoftState is set when it changed.
	SoftState *SoftState
	// ImmediateMessages may be sent before the state below is saved: a leader sends
	// appends in parallel with its own write to disk (thesis, 10.2.1).
	ImmediateMessages []Message
	// Snapshot is set when a leader's snapshot replaces the log: save it, delete
	// all entries and restore the state machine from it.
	Snapshot *Snapshot
	// Entries must be saved. They replace any entries at or after the index of the
	// first one.
	Entries []Entry
	// HardState is set when it changed. Save it together with Entries.
	HardState *HardState
	// MustSync is set when Messages depend on the saved state being durable. If
	// it is false, losing the save is harmless.
	MustSync bool
	// Messages must be sent only after all of the above is on disk.
	Messages []Message
	// CommittedEntries must be applied to the state machine in order.
	CommittedEntries []Entry
	// ReadStates are the results of ReadIndex calls.
	ReadStates []ReadState
}

// IsEmpty reports whether the Ready contains no work.
func (rd *Ready) IsEmpty() bool {
	return rd.SoftState == nil && rd.HardState == nil && rd.Snapshot == nil &&
		len(rd.ImmediateMessages) == 0 && len(rd.Entries) == 0 && len(rd.Messages) == 0 &&
		len(rd.CommittedEntries) == 0 && len(rd.ReadStates) == 0
}

// Ready returns the outstanding work. Call Advance after completing it.
func (r *Replica) Ready() Ready {
	if r.role == Leader {
		r.queueDueMessages()
	}
	rd := Ready{
		Snapshot:         r.unsavedSnapshot,
		Entries:          r.log.entriesBetween(r.log.stable, r.log.lastIndex()),
		CommittedEntries: r.log.entriesBetween(r.log.applied, r.log.committed),
		ReadStates:       r.readStates,
	}
	if hard := r.hardState(); hard != r.savedHardState {
		rd.HardState = &hard
		rd.MustSync = hard.Term != r.savedHardState.Term || hard.Vote != r.savedHardState.Vote || hard.Cluster != r.savedHardState.Cluster
	}
	rd.MustSync = rd.MustSync || len(rd.Entries) > 0 || rd.Snapshot != nil
	if soft := r.softState(); soft != r.reportedSoftState {
		rd.SoftState = &soft
	}
	rd.ImmediateMessages, rd.Messages = r.splitMessages()
	r.messages = nil
	r.readStates = nil
	return rd
}

// queueDueMessages queues the appends and read heartbeats that became due since
// the last Ready, batched into as few messages as possible.
func (r *Replica) queueDueMessages() {
	if r.appendsDue {
		r.sendAppends()
	}
	if r.reads.roundDue {
		r.startReadRound()
	}
}

// splitMessages separates the messages that do not depend on the state to be
// saved. While the current term is not on disk, all messages depend on it.
func (r *Replica) splitMessages() (immediate, afterSave []Message) {
	if r.savedHardState.Term != r.term {
		return nil, r.messages
	}
	for i := range r.messages {
		if r.messages[i].Type.isLeaderOnly() {
			immediate = append(immediate, r.messages[i])
		} else {
			afterSave = append(afterSave, r.messages[i])
		}
	}
	return immediate, afterSave
}

// Advance reports that the caller has completed the work in rd.
func (r *Replica) Advance(rd Ready) {
	if rd.HardState != nil {
		r.savedHardState = *rd.HardState
	}
	if rd.SoftState != nil {
		r.reportedSoftState = *rd.SoftState
	}
	if rd.Snapshot == r.unsavedSnapshot {
		r.unsavedSnapshot = nil
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
	LastIndex     uint64 // index of the last log entry
	CommitIndex   uint64
	AppliedIndex  uint64
	SnapshotIndex uint64 // index of the last entry in the latest snapshot
	SnapshotBytes int    // size of the state in the latest snapshot
	LogBytes      int    // size of the entries in the log
	Membership    Membership
	// SnapshotMembership is the membership in the latest snapshot.
	SnapshotMembership Membership
	Progress           []Progress // leader only
}

// Membership returns the active membership.
func (r *Replica) Membership() Membership { return r.log.membership() }

// Status returns a copy of the replica's state.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.id, Cluster: r.cluster, Role: r.role, Leader: r.leader, Term: r.term,
		LastIndex: r.log.lastIndex(), CommitIndex: r.log.committed, AppliedIndex: r.log.applied,
		SnapshotIndex: r.log.snapshot.Index, Membership: r.log.membership(),
		SnapshotMembership: r.log.snapshot.Membership,
		SnapshotBytes:      len(r.log.snapshot.Data), LogBytes: r.log.bytesAfter(r.log.offset),
	}
	for _, p := range r.progress {
		status := *p
		status.LagBytes = r.log.bytesAfter(p.Match)
		status.HasCaughtUp = r.hasCaughtUp(p)
		s.Progress = append(s.Progress, status)
	}
	return s
}
