package replica

import (
	"context"

	"fulmarmount.org/core/quorum"
)

// proposal is a call that waits for its entry to be applied.
type proposal struct {
	ctx    context.Context
	submit func(requestID uint64) error
	done   chan outcome // has a buffer of one
}

// outcome is the result of a completed proposal.
type outcome struct {
	result []byte
	err    error
}

// complete delivers p's outcome. It must be called once.
func (p *proposal) complete(result []byte, err error) { p.done <- outcome{result, err} }

// Propose replicates a command and returns the state machine's result. A follower
// forwards the command to the leader, and waits while no leader is known. After an
// error of type ErrNotProposed or ErrStopped nothing was proposed; after one of type
// ErrOutcomeUnknown the command may still take effect.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return n.propose(ctx, func(requestID uint64) error { return n.raft.Propose(requestID, command) })
}

func (n *Node) propose(ctx context.Context, submit func(uint64) error) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	p := &proposal{ctx: ctx, submit: submit, done: make(chan outcome, 1)}
	if err := n.runInLoop(ctx, func() { n.submitProposal(p) }); err != nil {
		return nil, err
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	// Only the event loop knows whether the proposal was submitted.
	if err := n.runInLoop(context.WithoutCancel(ctx), func() { n.abandonProposal(p, ctx.Err()) }); err != nil {
		return nil, ErrOutcomeUnknown.Wrap(ctx.Err(), "replica stopped before the outcome was known")
	}
	o := <-p.done
	return o.result, o.err
}

// runInLoop runs f in the event loop and waits until it has returned.
func (n *Node) runInLoop(ctx context.Context, f func()) error {
	returned := make(chan struct{})
	select {
	case n.loopCalls <- func() { f(); close(returned) }:
	case <-n.done:
		return ErrStopped.New("replica has stopped")
	case <-ctx.Done():
		return ErrNotProposed.Wrap(ctx.Err(), "event loop did not accept the call in time")
	}
	<-returned // the loop runs every call that it has received
	return nil
}

// submitProposal submits p to core/quorum, or queues it while no leader accepts
// proposals.
func (n *Node) submitProposal(p *proposal) {
	n.lastRequestID++
	err := p.submit(n.lastRequestID)
	switch {
	case err == nil:
		n.counters.Proposals++
		n.submittedProposals[n.lastRequestID] = p
	case isOfAnyType(err, quorum.ErrNotLeader, quorum.ErrLeadershipTransfer):
		n.queuedProposals = append(n.queuedProposals, p)
	default:
		p.complete(nil, err)
	}
}

func (n *Node) retryQueuedProposals() {
	queued := n.queuedProposals
	n.queuedProposals = nil
	for _, p := range queued {
		if err := p.ctx.Err(); err != nil {
			p.complete(nil, ErrNotProposed.Wrap(err, "no leader accepted proposals in time"))
			continue
		}
		n.submitProposal(p)
	}
}

// abandonProposal completes p with an error unless it has completed already.
func (n *Node) abandonProposal(p *proposal, cause error) {
	for i := range n.queuedProposals {
		if n.queuedProposals[i] == p {
			n.queuedProposals = append(n.queuedProposals[:i], n.queuedProposals[i+1:]...)
			p.complete(nil, ErrNotProposed.Wrap(cause, "no leader accepted proposals in time"))
			return
		}
	}
	for id := range n.submittedProposals {
		if n.submittedProposals[id] == p {
			delete(n.submittedProposals, id)
			p.complete(nil, ErrOutcomeUnknown.Wrap(cause, "entry was not applied in time"))
			return
		}
	}
}

// failSubmittedProposals completes all submitted proposals with err.
func (n *Node) failSubmittedProposals(err error) {
	for id, p := range n.submittedProposals {
		delete(n.submittedProposals, id)
		p.complete(nil, err)
	}
}
