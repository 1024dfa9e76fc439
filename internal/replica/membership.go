package replica

import (
	"cmp"
	"context"
	"slices"
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

// Counters counts events since the replica started.
type Counters struct {
	Proposals        uint64 `json:"proposals"`
	Applied          uint64 `json:"applied"`
	Reads            uint64 `json:"reads"`
	Snapshots        uint64 `json:"snapshots"`
	RejectedMessages uint64 `json:"refused_messages"`
}

// Status returns the replica's state, or its final state if it has stopped.
func (n *Node) Status() Status {
	var s Status
	if err := n.runInLoop(context.Background(), func() { s = n.status() }); err != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.finalStatus
	}
	return s
}

func (n *Node) status() Status { return Status{Status: n.raft.Status(), Counters: n.counters} }

// Leader returns the current leader, term and role, and a channel that is closed when
// they or the membership change.
func (n *Node) Leader() (quorum.SoftState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.softState, n.changed
}

func (n *Node) updateSoftState(soft quorum.SoftState) {
	n.mu.Lock()
	previous := n.softState
	n.softState = soft
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	if soft.Leader == previous.Leader && soft.Term == previous.Term {
		return
	}
	n.log.Info("Leader changed.", zap.Stringer("leader", soft.Leader), zap.Uint64("term", soft.Term))
	if previous.Leader != 0 {
		n.failSubmittedProposals(ErrOutcomeUnknown.New("the leader of term %d was lost before the entry was applied", previous.Term))
	}
	for id, r := range n.pendingReads {
		if r.index == 0 {
			n.requestReadIndex(id)
		}
	}
}

// NotifyReplaced closes the channel that Leader returned, after another Node has
// replaced this stopped one, so that its observers switch to the new Node.
func (n *Node) NotifyReplaced() { n.notifyWaiters() }

// notifyWaiters closes the channel that Leader returned. It is called when the
// membership changes, which contains the leader's address.
func (n *Node) notifyWaiters() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// AddLearner adds a replica that receives the log and does not vote. Like all
// membership changes, it succeeds on the leader only.
func (n *Node) AddLearner(ctx context.Context, member quorum.Member) error {
	return n.proposeChange(ctx, quorum.ConfChange{Op: quorum.AddLearner, Member: member})
}

// PromoteLearner makes a learner that has caught up a voter.
func (n *Node) PromoteLearner(ctx context.Context, id quorum.ReplicaID) error {
	return n.proposeChange(ctx, quorum.ConfChange{Op: quorum.PromoteLearner, Member: quorum.Member{ID: id}})
}

// RemoveMember removes a replica permanently.
func (n *Node) RemoveMember(ctx context.Context, id quorum.ReplicaID) error {
	return n.proposeChange(ctx, quorum.ConfChange{Op: quorum.RemoveMember, Member: quorum.Member{ID: id}})
}

// ChangeMembership makes one membership change.
func (n *Node) ChangeMembership(ctx context.Context, c quorum.ConfChange) error {
	return n.proposeChange(ctx, c)
}

func (n *Node) proposeChange(ctx context.Context, c quorum.ConfChange) error {
	_, err := n.propose(ctx, func(requestID uint64) error {
		err := n.raft.ProposeChange(requestID, c)
		if errorx.IsOfType(err, quorum.ErrNotLeader) {
			return ErrNotLeader.Wrap(err, "cannot propose the membership change %s", c.Op)
		}
		return err
	})
	return err
}

// TransferLeadership transfers leadership to another voter. It returns once this
// replica is no longer the leader.
func (n *Node) TransferLeadership(ctx context.Context, to quorum.ReplicaID) error {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	var err error
	if callErr := n.runInLoop(ctx, func() { err = n.raft.TransferLeadership(to) }); callErr != nil {
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
			return ErrStopped.New("replica stopped during the leadership transfer")
		case <-ctx.Done():
			return ErrOutcomeUnknown.Wrap(ctx.Err(), "leadership transfer did not complete in time")
		}
	}
}

// transferOnStopTimeout bounds the leadership transfer during Stop.
const transferOnStopTimeout = 2 * time.Second

// transferOnStop transfers leadership, if this replica is the leader.
func (n *Node) transferOnStop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferOnStopTimeout)
	defer cancel()
	err := n.HandOver(ctx, func(quorum.ReplicaID) bool { return false })
	if err != nil && !errorx.IsOfType(err, ErrNoSuccessor) {
		n.log.Warn("Leadership transfer at the stop failed; the other voters hold an election.", zap.Error(err))
	}
}

// HandOver transfers leadership to the best other voter that is not excluded, and does
// nothing if this replica is not the leader.
func (n *Node) HandOver(ctx context.Context, excluded func(quorum.ReplicaID) bool) error {
	status := n.Status()
	if status.Role != quorum.Leader {
		return nil
	}
	best, ok := bestSuccessor(status, excluded)
	if !ok {
		return ErrNoSuccessor.New("no other voter can lead")
	}
	return n.TransferLeadership(ctx, best)
}

// maxSuccessorIdleTicks is the silence after which another voter is preferred.
const maxSuccessorIdleTicks = 3

// bestSuccessor returns the most up-to-date voter. One that has just failed may hold as much
// of the log as the others, so those heard of late come first.
func bestSuccessor(s Status, excluded func(quorum.ReplicaID) bool) (quorum.ReplicaID, bool) {
	var voters []quorum.Progress
	for _, p := range s.Progress {
		if s.Membership.IsVoter(p.ID) && p.State == quorum.StateReplicate && !excluded(p.ID) {
			voters = append(voters, p)
		}
	}
	if len(voters) == 0 {
		return 0, false
	}
	best := slices.MaxFunc(voters, func(a, b quorum.Progress) int {
		aSilent, bSilent := max(a.IdleTicks, maxSuccessorIdleTicks), max(b.IdleTicks, maxSuccessorIdleTicks)
		return cmp.Or(cmp.Compare(bSilent, aSilent), cmp.Compare(a.Match, b.Match))
	})
	return best.ID, true
}

// handleStepError counts a message that core/quorum rejected. If the message shows
// that this replica's disk lost acknowledged entries, the replica must stop.
func (n *Node) handleStepError(m quorum.Message, err error) {
	n.counters.RejectedMessages++
	if errorx.IsOfType(err, quorum.ErrLogRolledBack) {
		n.fatalErr = err
		return
	}
	n.log.Debug("Rejected a message from a replica.", zap.Stringer("type", m.Type), zap.Stringer("from", m.From), zap.Error(err))
}

func isOfAnyType(err error, types ...*errorx.Type) bool {
	for _, t := range types {
		if errorx.IsOfType(err, t) {
			return true
		}
	}
	return false
}

// LeaderGone reports that the process of the leader of a term has ended, see
// quorum.Replica.LeaderGone.
func (n *Node) LeaderGone(ctx context.Context, leader quorum.ReplicaID, term uint64) error {
	return n.runInLoop(ctx, func() { n.raft.LeaderGone(leader, term) })
}
