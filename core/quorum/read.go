package quorum

import "slices"

// ReadState is the result of a ReadIndex call. A read of the state applied up to
// Index observes every command that completed before the read began.
type ReadState struct {
	Context uint64
	Index   uint64
}

// pendingRead is a read that awaits confirmation of the leader by a majority.
type pendingRead struct {
	from    ReplicaID
	context uint64
	index   uint64
	round   uint64
}

// readQueue holds a leader's outstanding reads (thesis, 6.4).
type readQueue struct {
	// deferred holds reads received before the first commit of the term.
	deferred []pendingRead
	// unconfirmed holds reads ordered by round.
	unconfirmed []pendingRead
	round       uint64 // number of the latest heartbeat round that confirms reads
	roundDue    bool   // the latest round has not been sent yet
}

// ReadIndex requests a ReadState with the given context, which a later Ready
// returns. A follower forwards the request to its current leader. Requests may be
// lost; the caller must retry.
func (r *Replica) ReadIndex(context uint64) error {
	if r.role == Leader {
		r.addRead(pendingRead{from: r.id, context: context})
		return nil
	}
	if r.leader == 0 {
		return r.notLeader()
	}
	r.send(Message{Type: MsgReadIndex, To: r.leader, Context: context})
	return nil
}

func (r *Replica) stepReadIndex(m Message) {
	if r.role == Leader {
		r.addRead(pendingRead{from: m.From, context: m.Context})
	}
}

// addRead queues read at the current commit index. It defers the read until an
// entry of this term is committed, since the commit index may be stale before.
func (r *Replica) addRead(read pendingRead) {
	if term, _ := r.log.term(r.log.committed); term != r.term {
		r.reads.deferred = append(r.reads.deferred, read)
		return
	}
	if !r.reads.roundDue {
		r.reads.roundDue = true
		r.reads.round++
	}
	read.index = r.log.committed
	read.round = r.reads.round
	r.reads.unconfirmed = append(r.reads.unconfirmed, read)
}

func (r *Replica) admitDeferredReads() {
	deferred := r.reads.deferred
	r.reads.deferred = nil
	for _, read := range deferred {
		r.addRead(read)
	}
}

// startReadRound sends the heartbeats that confirm the leader for all reads since
// the last round.
func (r *Replica) startReadRound() {
	r.reads.roundDue = false
	r.sendHeartbeats()
	r.completeConfirmedReads()
}

// completeConfirmedReads completes the reads whose round a majority has
// acknowledged.
func (r *Replica) completeConfirmedReads() {
	if len(r.reads.unconfirmed) == 0 {
		return
	}
	confirmed := r.log.membership().quorumIndex(r.ackedReadRound)
	n := 0
	for n < len(r.reads.unconfirmed) && r.reads.unconfirmed[n].round <= confirmed {
		r.completeRead(r.reads.unconfirmed[n])
		n++
	}
	r.reads.unconfirmed = slices.Clone(r.reads.unconfirmed[n:])
}

func (r *Replica) ackedReadRound(id ReplicaID) uint64 {
	if id == r.id {
		return r.reads.round
	}
	if p := r.progressOf(id); p != nil {
		return p.ackedReadRound
	}
	return 0
}

func (r *Replica) completeRead(read pendingRead) {
	if read.from == r.id {
		r.readStates = append(r.readStates, ReadState{Context: read.context, Index: read.index})
		return
	}
	r.send(Message{Type: MsgReadIndexResp, To: read.from, Index: read.index, Context: read.context})
}
