package group

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/replica"
	"fulmarmount.org/fulmarmount/internal/replicalink"
)

const (
	// leaveTimeout bounds the transfer of leadership and vote during Stop.
	leaveTimeout = 2 * time.Second
	// maxLeaveFailures is the number of failed announcements after which a process stops
	// without a response.
	maxLeaveFailures = 3
	// releaseTicks is the number of ticks for which a stopping process waits for a learner
	// that has not caught up, or for the response of a leader that is silent.
	releaseTicks = quorum.DefaultElectionTicks
)

// leave announces to the leader that this process stops, and returns once the group does
// not need its vote, or cannot do without it, or ctx ends. A leader hands over first. The
// announcement costs a restart one round trip if no learner waits for the vote.
//
// Silence shows a departure too, but later, and until then the group tolerates one loss
// less.
func (g *Group) leave(ctx context.Context) {
	n := g.currentNode()
	if n == nil {
		return
	}
	leaderKnownAt := g.options.Now()
	for failures := 0; failures < maxLeaveFailures; {
		status := n.Status()
		if len(status.Membership.Members) <= 1 {
			return
		}
		leader, isKnown := status.Membership.Find(status.Leader)
		switch {
		case status.Role == quorum.Leader:
			if !g.handOver(ctx, n) {
				return
			}
		case !isKnown && g.options.Now().Sub(leaderKnownAt) >= maxElectionTicks*g.options.TickInterval:
			return
		case isKnown:
			leaderKnownAt = g.options.Now()
			response, err := g.requestRelease(ctx, leader)
			if response.Settled {
				return
			}
			if err != nil {
				failures++
				g.options.Log.Debug("Could not announce the stop.", zap.String("leader", leader.Name), zap.Error(err))
			}
		}
		if !pace.Sleep(ctx, g.options.TickInterval) {
			return
		}
	}
}

// handOver transfers leadership to a voter that does not stop too. It reports whether
// this replica can announce its stop to another leader now.
func (g *Group) handOver(ctx context.Context, n *replica.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, maxElectionTicks*g.options.TickInterval)
	defer cancel()
	err := n.HandOver(ctx, g.isLeaving)
	if errorx.IsOfType(err, replica.ErrNoSuccessor) {
		return false
	}
	if err != nil {
		g.options.Log.Warn("Leadership transfer at the stop failed; the other voters hold an election.", zap.Error(err))
		return false
	}
	return true
}

func (g *Group) requestRelease(ctx context.Context, leader quorum.Member) (replicalink.LeaveResponse, error) {
	addr, err := netip.ParseAddrPort(leader.Address)
	if err != nil {
		return replicalink.LeaveResponse{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go pace.Every(ctx, g.options.TickInterval, func() {
		if g.options.Now().Sub(g.link.LastReceived(addr)) >= releaseTicks*g.options.TickInterval {
			cancel()
		}
	})
	return g.link.Leave(ctx, addr)
}

// release handles the announcement of a replica that its process stops. The leader
// has a waiting learner take over the vote and keeps the replica as a learner, which
// follows at once if it starts again. The response comes when the replica has no vote, when
// no change is left to make, or after releaseTicks.
func (g *Group) release(ctx context.Context, d replicalink.Departure) replicalink.LeaveResponse {
	n := g.currentNode()
	if n == nil {
		return replicalink.LeaveResponse{}
	}
	status := n.Status()
	if leader, ok := status.Membership.Find(status.Leader); ok && status.Role != quorum.Leader {
		return replicalink.LeaveResponse{LeaderAddress: leader.Address}
	}
	if status.Role != quorum.Leader {
		return replicalink.LeaveResponse{}
	}
	g.recordDeparture(d, status.Membership)
	ctx, cancel := context.WithTimeout(ctx, releaseTicks*g.options.TickInterval)
	defer cancel()
	for {
		noneLeft := g.reconcile(ctx)
		status := n.Status()
		if status.Role != quorum.Leader {
			return replicalink.LeaveResponse{}
		}
		if noneLeft || !status.Membership.IsVoter(d.Member.ID) {
			return replicalink.LeaveResponse{Settled: true}
		}
		if !pace.Sleep(ctx, g.options.TickInterval) {
			return replicalink.LeaveResponse{Settled: true} // it is replaced once a learner has caught up
		}
	}
}

// recordDeparture stores d and forgets the departures of replicas that are no members.
func (g *Group) recordDeparture(d replicalink.Departure, members quorum.Membership) {
	g.options.Log.Info("A replica stops.", zap.Stringer("replica", d.Member.ID), zap.String("name", d.Member.Name))
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.departures, func(id quorum.ReplicaID, _ replicalink.Departure) bool {
		_, isMember := members.Find(id)
		return !isMember
	})
	g.departures[d.Member.ID] = d
}

// isLeaving reports whether a replica has announced that its process stops, and has not
// started again since.
func (g *Group) isLeaving(id quorum.ReplicaID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.departures[id]
	if ok && g.link.HasRestarted(d) {
		delete(g.departures, id)
		return false
	}
	return ok
}
