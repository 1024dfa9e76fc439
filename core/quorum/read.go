package quorum

import "slices"

// ReadState answers a ReadIndex: a read that sees state applied up to Index
// sees every command answered before the read began.
type ReadState struct {
	Context uint64
	Index   uint64
}

// pendingRead waits for a majority to confirm the leader.
type pendingRead struct {
	from     ReplicaID
	context  uint64
	index    uint64
	sequence uint64
}

// readQueue is a leader's unanswered reads (thesis, 6.4).
type readQueue struct {
	// waiting are reads before the first commit of the term.
	waiting []pendingRead
	// pending are reads in the order of their sequence.
	pending  []pendingRead
	sequence uint64 // of the newest heartbeat round that confirms reads
	due      bool   // a round must be sent for the newest reads
}

// ReadIndex asks for a ReadState with the given context in a later Ready. A
// follower asks the leader it knows. Requests may be lost; ask again then.
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

// addRead records the commit index, which is current only once an entry of
// this term is committed.
func (r *Replica) addRead(read pendingRead) {
	if term, _ := r.log.term(r.log.committed); term != r.term {
		r.reads.waiting = append(r.reads.waiting, read)
		return
	}
	if !r.reads.due {
		r.reads.due = true
		r.reads.sequence++
	}
	read.index = r.log.committed
	read.sequence = r.reads.sequence
	r.reads.pending = append(r.reads.pending, read)
}

func (r *Replica) releaseWaitingReads() {
	waiting := r.reads.waiting
	r.reads.waiting = nil
	for _, read := range waiting {
		r.addRead(read)
	}
}

// sendReadRound confirms the leader for all reads since the last round.
func (r *Replica) sendReadRound() {
	r.reads.due = false
	r.sendHeartbeats()
	r.releaseReads()
}

// releaseReads answers the reads whose round a majority has answered.
func (r *Replica) releaseReads() {
	if len(r.reads.pending) == 0 {
		return
	}
	confirmed := r.log.membership().quorumIndex(r.readAck)
	n := 0
	for n < len(r.reads.pending) && r.reads.pending[n].sequence <= confirmed {
		r.answerRead(r.reads.pending[n])
		n++
	}
	r.reads.pending = slices.Clone(r.reads.pending[n:])
}

func (r *Replica) readAck(id ReplicaID) uint64 {
	if id == r.id {
		return r.reads.sequence
	}
	if p := r.find(id); p != nil {
		return p.readAck
	}
	return 0
}

func (r *Replica) answerRead(read pendingRead) {
	if read.from == r.id {
		r.readStates = append(r.readStates, ReadState{Context: read.context, Index: read.index})
		return
	}
	r.send(Message{Type: MsgReadIndexResp, To: read.from, Index: read.index, Context: read.context})
}
