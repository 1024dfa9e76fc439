package replica

import (
	"context"

	"fulmarmount.org/core/quorum"
)

// pendingRead waits for its read index, and then until the state machine has applied
// the entry at that index.
type pendingRead struct {
	index    uint64 // 0 until a majority confirmed it
	ageTicks int    // ticks since the latest request
	done     chan error
}

// readRetryTicks is the age at which an unconfirmed read index is requested again.
const readRetryTicks = 5

// ReadIndex returns once the local state machine has applied every command that
// completed before the call. An error of type ErrReadUnconfirmed means that a majority
// did not confirm the read index, or that it was not applied here, in time.
func (n *Node) ReadIndex(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	r := &pendingRead{done: make(chan error, 1)}
	var id uint64
	err := n.runInLoop(ctx, func() {
		n.lastRequestID++
		id = n.lastRequestID
		n.pendingReads[id] = r
		n.requestReadIndex(id)
	})
	if err != nil {
		return ErrReadUnconfirmed.Wrap(err, "read index was not requested")
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		_ = n.runInLoop(context.WithoutCancel(ctx), func() { delete(n.pendingReads, id) })
		return ErrReadUnconfirmed.Wrap(ctx.Err(), "no majority confirmed the leader in time")
	}
}

// Barrier is ReadIndex under the name that fleetstore.Log requires.
func (n *Node) Barrier(ctx context.Context) error { return n.ReadIndex(ctx) }

// requestReadIndex requests the index of a read. It ignores the error if no leader is
// known, since the next retry repeats the request.
func (n *Node) requestReadIndex(id uint64) {
	n.pendingReads[id].ageTicks = 0
	_ = n.raft.ReadIndex(id)
}

func (n *Node) retryReads() {
	for id, r := range n.pendingReads {
		r.ageTicks++
		if r.index == 0 && r.ageTicks >= readRetryTicks {
			n.requestReadIndex(id)
		}
	}
}

func (n *Node) recordReadIndex(state quorum.ReadState) {
	if r := n.pendingReads[state.Context]; r != nil && r.index == 0 {
		r.index = state.Index
	}
}

// completeReads completes the reads whose index has been applied.
func (n *Node) completeReads() {
	for id, r := range n.pendingReads {
		if r.index != 0 && n.appliedIndex >= r.index {
			delete(n.pendingReads, id)
			n.counters.Reads++
			r.done <- nil
		}
	}
}
