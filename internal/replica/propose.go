package replica

import (
	"context"

	"fulmarmount.org/core/quorum"
)

// proposal waits for its entry to be applied.
type proposal struct {
	ctx    context.Context
	submit func(number uint64) error
	done   chan outcome // holds one
}

// outcome is how a proposal ended.
type outcome struct {
	result []byte
	err    error
}

// finish ends p. A proposal is finished once.
func (p *proposal) finish(result []byte, err error) { p.done <- outcome{result, err} }

// Propose replicates a command and returns what the state machine answered to
// it. A follower passes it on to the leader; while none is known it waits. An
// error of type NotRun or Stopped says that nothing was proposed, one of type
// OutcomeUnknown that the command may take effect.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return n.propose(ctx, func(number uint64) error { return n.core.Propose(number, command) })
}

func (n *Node) propose(ctx context.Context, submit func(uint64) error) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	p := &proposal{ctx: ctx, submit: submit, done: make(chan outcome, 1)}
	if err := n.call(ctx, func() { n.submit(p) }); err != nil {
		return nil, err
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	// The loop tells whether the proposal had been sent.
	if err := n.call(context.WithoutCancel(ctx), func() { n.giveUp(p, ctx.Err()) }); err != nil {
		return nil, ErrOutcomeUnknown.Wrap(ctx.Err(), "no answer in time")
	}
	o := <-p.done
	return o.result, o.err
}

// call runs f in the loop and waits until it has run.
func (n *Node) call(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case n.calls <- func() { f(); close(ran) }:
	case <-n.done:
		return ErrStopped.New("the replica ended")
	case <-ctx.Done():
		return ErrNotProposed.Wrap(ctx.Err(), "the replica did not take the call in time")
	}
	<-ran // the loop runs what it has taken
	return nil
}

// submit hands p to the core, or keeps it until a leader is known.
func (n *Node) submit(p *proposal) {
	n.number++
	err := p.submit(n.number)
	switch {
	case err == nil:
		n.counters.Proposals++
		n.proposals[n.number] = p
	case isOneOf(err, quorum.ErrNotLeader, quorum.ErrLeadershipTransfer):
		n.waiting = append(n.waiting, p)
	default:
		p.finish(nil, err)
	}
}

func (n *Node) retryWaiting() {
	waiting := n.waiting
	n.waiting = nil
	for _, p := range waiting {
		if err := p.ctx.Err(); err != nil {
			p.finish(nil, ErrNotProposed.Wrap(err, "no leader in time"))
			continue
		}
		n.submit(p)
	}
}

// giveUp ends p unless it has ended already.
func (n *Node) giveUp(p *proposal, cause error) {
	for i := range n.waiting {
		if n.waiting[i] == p {
			n.waiting = append(n.waiting[:i], n.waiting[i+1:]...)
			p.finish(nil, ErrNotProposed.Wrap(cause, "no leader in time"))
			return
		}
	}
	for number := range n.proposals {
		if n.proposals[number] == p {
			delete(n.proposals, number)
			p.finish(nil, ErrOutcomeUnknown.Wrap(cause, "no answer in time"))
			return
		}
	}
}

// failProposals ends those that were sent.
func (n *Node) failProposals(err error) {
	for number, p := range n.proposals {
		delete(n.proposals, number)
		p.finish(nil, err)
	}
}
