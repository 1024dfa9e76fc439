package replica

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
)

// Status is a replica's state for operators.
type Status struct {
	quorum.Status
	Counters Counters
}

// Counters count since the start.
type Counters struct {
	Proposals        uint64 `json:"proposals"`
	Applied          uint64 `json:"applied"`
	Reads            uint64 `json:"reads"`
	Snapshots        uint64 `json:"snapshots"`
	RejectedMessages uint64 `json:"refused_messages"`
}

// Status returns the replica's state, the last one if it has ended.
func (n *Node) Status() Status {
	var s Status
	if err := n.call(context.Background(), func() { s = n.status() }); err != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.last
	}
	return s
}

func (n *Node) status() Status { return Status{Status: n.core.Status(), Counters: n.counters} }

// Leader returns who leads in which term, and a channel that is closed when
// that changes.
func (n *Node) Leader() (quorum.SoftState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.soft, n.changed
}

func (n *Node) leaderChanged(soft quorum.SoftState) {
	n.mu.Lock()
	before := n.soft
	n.soft = soft
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	if soft.Leader == before.Leader && soft.Term == before.Term {
		return
	}
	n.log.Info("Leader changed.", zap.Stringer("leader", soft.Leader), zap.Uint64("term", soft.Term))
	if before.Leader != 0 {
		n.failProposals(ErrOutcomeUnknown.New("the leader of term %d is no longer known to lead", before.Term))
	}
	for number, r := range n.reads {
		if r.index == 0 {
			n.ask(number)
		}
	}
}

// NotifyReplaced wakes those who wait for news of a replica that has ended, since another
// run has taken its place.
func (n *Node) NotifyReplaced() { n.membersChanged() }

// membersChanged wakes those who look for the leader's address: it stands in the
// membership.
func (n *Node) membersChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// AddLearner adds a replica that receives the log and does not vote. The
// membership changes below succeed on the leader only.
func (n *Node) AddLearner(ctx context.Context, member quorum.Member) error {
	return n.change(ctx, quorum.ConfChange{Op: quorum.AddLearner, Member: member})
}

// PromoteLearner lets a learner that has caught up vote.
func (n *Node) PromoteLearner(ctx context.Context, id quorum.ReplicaID) error {
	return n.change(ctx, quorum.ConfChange{Op: quorum.PromoteLearner, Member: quorum.Member{ID: id}})
}

// RemoveMember removes a replica for good.
func (n *Node) RemoveMember(ctx context.Context, id quorum.ReplicaID) error {
	return n.change(ctx, quorum.ConfChange{Op: quorum.RemoveMember, Member: quorum.Member{ID: id}})
}

func (n *Node) change(ctx context.Context, c quorum.ConfChange) error {
	_, err := n.propose(ctx, func(number uint64) error {
		err := n.core.ProposeChange(number, c)
		if errorx.IsOfType(err, quorum.ErrNotLeader) {
			return ErrNotLeader.Wrap(err, "cannot %s", c.Op)
		}
		return err
	})
	return err
}

// TransferLeadership hands leadership to another voter and returns once this
// replica no longer leads.
func (n *Node) TransferLeadership(ctx context.Context, to quorum.ReplicaID) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	var err error
	if callErr := n.call(ctx, func() { err = n.core.TransferLeadership(to) }); callErr != nil {
		return callErr
	}
	if err != nil {
		return err
	}
	for {
		soft, changed := n.Leader()
		if soft.Role != quorum.Leader {
			return nil
		}
		select {
		case <-changed:
		case <-n.done:
			return ErrStopped.New("the replica ended")
		case <-ctx.Done():
			return ErrOutcomeUnknown.Wrap(ctx.Err(), "leadership did not move in time")
		}
	}
}

// handOverLimit bounds the transfer at a graceful stop.
const handOverLimit = 2 * time.Second

// handOver moves leadership to the voter that is furthest.
func (n *Node) handOver(ctx context.Context) {
	status := n.Status()
	if status.Role != quorum.Leader {
		return
	}
	var best quorum.Progress
	for _, p := range status.Progress {
		if status.Membership.IsVoter(p.ID) && p.State == quorum.StateReplicate && p.Match >= best.Match {
			best = p
		}
	}
	if best.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	if err := n.TransferLeadership(ctx, best.ID); err != nil {
		n.log.Warn("Could not hand leadership over.", zap.Error(err))
	}
}

// refused counts a message that the core did not take. A replica that lost
// what it acknowledged must not go on.
func (n *Node) refused(m quorum.Message, err error) {
	n.counters.RejectedMessages++
	if errorx.IsOfType(err, quorum.ErrLogRolledBack) {
		n.broken = err
		return
	}
	n.log.Debug("Refused a message.", zap.Stringer("type", m.Type), zap.Stringer("from", m.From), zap.Error(err))
}

func isOneOf(err error, types ...*errorx.Type) bool {
	for _, t := range types {
		if errorx.IsOfType(err, t) {
			return true
		}
	}
	return false
}
