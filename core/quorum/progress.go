package quorum

import "fmt"

// ProgressState is the mode in which the leader replicates to one replica.
type ProgressState uint8

// The states of a replica's progress.
const (
	// StateProbe sends one append at a time to find the last matching entry.
	StateProbe ProgressState = iota
	// StateReplicate pipelines appends without waiting for responses (thesis,
	// 10.2.1).
	StateReplicate
	// StateSnapshot waits until the replica has installed a snapshot and sends no
	// appends.
	StateSnapshot
)

var progressStateNames = [...]string{"probe", "replicate", "snapshot"}

// String returns the state's lower-case name.
func (s ProgressState) String() string {
	if int(s) < len(progressStateNames) {
		return progressStateNames[s]
	}
	return fmt.Sprintf("progress(%d)", uint8(s))
}

// Progress is the leader's replication state for one replica (paper, figure 2:
// volatile state on leaders).
type Progress struct {
	ID    ReplicaID
	Match uint64 // index of the last entry known to be on the replica's disk
	Next  uint64 // index of the next entry to send
	State ProgressState
	// ActiveSinceCheck reports whether, since the last quorum check, a message arrived
	// from the replica or this Progress was created.
	ActiveSinceCheck bool
	// IdleTicks is the number of ticks since the latest message from the replica or, if
	// there was none yet, since this Progress was created. For the leader before, it
	// counts from the latest message of that leader.
	IdleTicks int
	// HasCaughtUp reports whether the replica lacks so little of the log that it may be
	// promoted. Only Status sets it.
	HasCaughtUp bool
	// LagBytes is the size of the entries in the log after Match. Only Status sets it.
	LagBytes int

	activeBeforeCheck bool     // ActiveSinceCheck as of the last quorum check
	probeSent         bool     // a probe awaits its response
	inflightIndexes   []uint64 // last index of each unacknowledged append, in order
	ackedReadRound    uint64   // latest heartbeat context acknowledged

	snapshotIndex      uint64
	snapshotRetryTicks int // ticks until the snapshot is resent
	snapshotAttempts   int
}

func (p *Progress) becomeProbe() {
	p.State = StateProbe
	p.Next = p.Match + 1
	p.probeSent = false
	p.inflightIndexes = p.inflightIndexes[:0]
}

func (p *Progress) becomeReplicate() {
	p.State = StateReplicate
	p.Next = p.Match + 1
	p.inflightIndexes = p.inflightIndexes[:0]
	p.snapshotAttempts = 0
}

// becomeSnapshot enters StateSnapshot. The retry delay doubles with each attempt,
// since a snapshot may be large and the link slow.
func (p *Progress) becomeSnapshot(index uint64, waitTicks int) {
	p.State = StateSnapshot
	p.snapshotIndex = index
	p.snapshotRetryTicks = waitTicks << min(p.snapshotAttempts, maxSnapshotBackoffShift)
	p.snapshotAttempts++
	p.inflightIndexes = p.inflightIndexes[:0]
}

const maxSnapshotBackoffShift = 5

// advanceMatch records that the replica has stored the entries up to index. It
// reports whether Match advanced.
func (p *Progress) advanceMatch(index uint64) bool {
	if index <= p.Match {
		return false
	}
	p.Match = index
	p.Next = max(p.Next, index+1)
	n := 0
	for n < len(p.inflightIndexes) && p.inflightIndexes[n] <= index {
		n++
	}
	p.inflightIndexes = p.inflightIndexes[n:]
	return true
}

// isPaused reports whether the leader must await a response before it sends more.
// window is the maximum number of unacknowledged appends.
func (p *Progress) isPaused(window int) bool {
	switch p.State {
	case StateProbe:
		return p.probeSent
	case StateReplicate:
		return len(p.inflightIndexes) >= window
	default:
		return true
	}
}
