package quorum

import "fmt"

// ProgressState is how the leader sends to one replica.
type ProgressState uint8

// The states of a replica's progress.
const (
	// StateProbe sends one append at a time to find where the logs match.
	StateProbe ProgressState = iota
	// StateReplicate sends appends ahead of their answers (thesis, 10.2.1).
	StateReplicate
	// StateSnapshot waits until the replica has installed a snapshot.
	StateSnapshot
)

var progressNames = [...]string{"probe", "replicate", "snapshot"}

// String returns the state's lower-case name.
func (s ProgressState) String() string {
	if int(s) < len(progressNames) {
		return progressNames[s]
	}
	return fmt.Sprintf("progress(%d)", uint8(s))
}

// Progress is the leader's view of one replica (paper, figure 2: volatile
// state on leaders).
type Progress struct {
	ID    ReplicaID
	Match uint64 // last entry known to be on the replica's disk
	Next  uint64 // next entry to send
	State ProgressState
	// RecentlyActive is set by any message from the replica and cleared by each
	// check of the quorum.
	RecentlyActive bool

	wasActive bool     // Active as of the last check of the quorum
	probeSent bool     // an unanswered probe is out
	inflight  []uint64 // last index of each unanswered append, in order
	readAck   uint64   // newest heartbeat context answered

	snapshotIndex uint64
	snapshotWait  int // ticks until the snapshot is sent again
	snapshotTries int
}

func (p *Progress) becomeProbe() {
	p.State = StateProbe
	p.Next = p.Match + 1
	p.probeSent = false
	p.inflight = p.inflight[:0]
}

func (p *Progress) becomeReplicate() {
	p.State = StateReplicate
	p.Next = p.Match + 1
	p.inflight = p.inflight[:0]
	p.snapshotTries = 0
}

// becomeSnapshot backs off exponentially, since a snapshot may be large and
// the link slow.
func (p *Progress) becomeSnapshot(index uint64, waitTicks int) {
	p.State = StateSnapshot
	p.snapshotIndex = index
	p.snapshotWait = waitTicks << min(p.snapshotTries, maxSnapshotBackoff)
	p.snapshotTries++
	p.inflight = p.inflight[:0]
}

const maxSnapshotBackoff = 5

// acknowledge notes that the replica holds index; it reports news.
func (p *Progress) acknowledge(index uint64) bool {
	if index <= p.Match {
		return false
	}
	p.Match = index
	p.Next = max(p.Next, index+1)
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
	return true
}

// paused reports whether nothing may be sent before the replica answers.
func (p *Progress) paused(window int) bool {
	switch p.State {
	case StateProbe:
		return p.probeSent
	case StateReplicate:
		return len(p.inflight) >= window
	default:
		return true
	}
}
