package replica

import (
	"context"

	"fulmarmount.org/core/quorum"
)

// read waits for a read index, and then for the state machine to reach it.
type read struct {
	index uint64 // 0 until confirmed
	age   int    // ticks since it was asked for
	done  chan error
}

// retryReadTicks is the age at which a read is asked for again.
const retryReadTicks = 5

// ReadIndex returns once the local state machine holds every command that was
// answered before the call. An error of type Unconfirmed says that no majority
// confirmed it in time.
func (n *Node) ReadIndex(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	r := &read{done: make(chan error, 1)}
	var number uint64
	err := n.call(ctx, func() {
		n.number++
		number = n.number
		n.reads[number] = r
		n.ask(number)
	})
	if err != nil {
		return ErrReadUnconfirmed.Wrap(err, "read was not started")
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		_ = n.call(context.WithoutCancel(ctx), func() { delete(n.reads, number) })
		return ErrReadUnconfirmed.Wrap(ctx.Err(), "no majority confirmed the leader in time")
	}
}

// Barrier is ReadIndex by the name that stores of state use.
func (n *Node) Barrier(ctx context.Context) error { return n.ReadIndex(ctx) }

// ask requests a read index. Without a leader the next retry asks again.
func (n *Node) ask(number uint64) {
	n.reads[number].age = 0
	_ = n.core.ReadIndex(number)
}

func (n *Node) retryReads() {
	for number, r := range n.reads {
		r.age++
		if r.index == 0 && r.age >= retryReadTicks {
			n.ask(number)
		}
	}
}

func (n *Node) confirmRead(state quorum.ReadState) {
	if r := n.reads[state.Context]; r != nil && r.index == 0 {
		r.index = state.Index
	}
}

// finishReads answers the reads that the state machine has caught up with.
func (n *Node) finishReads() {
	for number, r := range n.reads {
		if r.index != 0 && n.applied >= r.index {
			delete(n.reads, number)
			n.counters.Reads++
			r.done <- nil
		}
	}
}
