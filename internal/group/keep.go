package group

import (
	"context"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/core/membership"
	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/replica"
	"fulmarmount.org/fulmarmount/internal/replicalink"
)

const (
	// reconcileInterval is the time between reconciliations of the membership.
	reconcileInterval = 250 * time.Millisecond
	// joinRequestInterval is the time between checks for a leader, and so between
	// join requests.
	joinRequestInterval = 500 * time.Millisecond
	// leaderlessTimeout is the time without a known leader after which a replica
	// of a cluster sends join requests, as it may have been removed.
	leaderlessTimeout = 2 * time.Second
	// membershipChangeTimeout limits the duration of one membership change.
	membershipChangeTimeout = 5 * time.Second
	// maxChangesAtOnce is the number of changes that one reconciliation makes. To replace
	// a voter takes three.
	maxChangesAtOnce = 8
	// lagLogInterval is the time between log lines about a learner that lags.
	lagLogInterval = time.Second
)

// reconcileMembership reconciles the membership in intervals while this replica leads.
func (g *Group) reconcileMembership(ctx context.Context) {
	pace.Every(ctx, reconcileInterval, func() { g.reconcile(ctx) })
}

// reconcile applies the changes that are due, if this replica is the leader. It reports
// whether none is left.
func (g *Group) reconcile(ctx context.Context) bool {
	g.reconcileMu.Lock()
	defer g.reconcileMu.Unlock()
	n := g.currentNode()
	if n == nil {
		return true
	}
	for range maxChangesAtOnce {
		status := n.Status()
		if status.Role != quorum.Leader {
			return true
		}
		if g.reconciler == nil || g.reconcilerTerm != status.Term {
			g.reconciler, g.reconcilerTerm = membership.New(g.options.Membership), status.Term
		}
		change, ok := g.reconciler.NextChange(g.options.Now().Sub(g.began), g.membershipState(status))
		if !ok {
			return true
		}
		if !g.changeMembership(ctx, n, change) {
			return false
		}
	}
	return false
}

func (g *Group) membershipState(s replica.Status) membership.State {
	progress := make(map[quorum.ReplicaID]quorum.Progress, len(s.Progress))
	for _, p := range s.Progress {
		progress[p.ID] = p
	}
	return membership.State{
		Self: s.ID, Members: s.Membership.Members, IsLeaving: g.isLeaving,
		SilentFor: func(id quorum.ReplicaID) time.Duration {
			return time.Duration(progress[id].IdleTicks) * g.options.TickInterval
		},
		HasCaughtUp: func(id quorum.ReplicaID) bool { return progress[id].HasCaughtUp },
	}
}

// changeMembership makes one membership change and logs its outcome. It reports whether
// the change is committed.
func (g *Group) changeMembership(ctx context.Context, n *replica.Node, c quorum.ConfChange) bool {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	err := n.ChangeMembership(ctx, c)
	fields := []zap.Field{
		zap.Stringer("change", c.Op), zap.Stringer("replica", c.Member.ID),
		zap.String("name", c.Member.Name), zap.String("addr", c.Member.Address),
	}
	switch {
	case err == nil:
		g.options.Log.Info("Changed the control group's membership.", fields...)
	case errorx.IsOfType(err, quorum.ErrNotCaughtUp):
		g.logLag(n.Status(), c.Member)
	case errorx.IsOfType(err, quorum.ErrChangePending):
		g.options.Log.Debug("Waits for the change before.", append(fields, zap.Error(err))...)
	default:
		g.options.Log.Warn("Could not change the control group's membership.", append(fields, zap.Error(err))...)
	}
	return err == nil
}

// logLag logs how far a learner has caught up, at most every lagLogInterval.
func (g *Group) logLag(s replica.Status, learner quorum.Member) {
	now := g.options.Now()
	if now.Sub(g.lagLoggedAt) < lagLogInterval {
		return
	}
	g.lagLoggedAt = now
	for i := range s.Progress {
		if p := &s.Progress[i]; p.ID == learner.ID {
			g.options.Log.Info("A learner has not caught up yet.", zap.Stringer("replica", learner.ID), zap.String("name", learner.Name),
				zap.Uint64("match", p.Match), zap.Uint64("last", s.LastIndex), zap.Int("lag_bytes", p.LagBytes), zap.Stringer("state", p.State), zap.Int("idle_ticks", p.IdleTicks),
				zap.Int("snapshot_bytes", s.SnapshotBytes), zap.Int("log_bytes", s.LogBytes))
		}
	}
}

// joinWhileLeaderless sends join requests while this replica belongs to no cluster,
// or has known no leader for leaderlessTimeout: it may have been removed.
func (g *Group) joinWhileLeaderless(ctx context.Context) {
	var leaderlessSince time.Time
	pace.Every(ctx, joinRequestInterval, func() {
		n := g.currentNode()
		if n == nil {
			return // the cluster is being bootstrapped
		}
		now := g.options.Now()
		status := n.Status()
		if status.Leader != 0 {
			leaderlessSince = time.Time{}
			return
		}
		if leaderlessSince.IsZero() {
			leaderlessSince = now
		}
		if status.Cluster == 0 || now.Sub(leaderlessSince) >= leaderlessTimeout {
			g.requestJoin(ctx)
		}
	})
}

// requestJoin sends a join request to one seed after another, and to the leader
// that the seed reports, until one accepts.
func (g *Group) requestJoin(ctx context.Context) {
	for _, seed := range g.options.Seeds() {
		if seed == g.options.Addr {
			continue
		}
		leader, err := g.link.Join(ctx, seed)
		if err == nil && leader.IsValid() && leader != seed && leader != g.options.Addr {
			_, err = g.link.Join(ctx, leader)
		}
		if err == nil {
			return
		}
		g.options.Log.Debug("Join request failed.", zap.Stringer("seed", seed), zap.Error(err))
	}
}

// confirmMember answers a join request of a member. One whose address has changed, for
// example as its disk was moved, would never be reached, so it is told.
func (g *Group) confirmMember(member, candidate quorum.Member) replicalink.JoinResponse {
	if member.Address != candidate.Address {
		err := ErrRejected.New("replica %s is a member at %s and cannot join from %s; remove it first", member.ID, member.Address, candidate.Address)
		g.options.Log.Warn("Refused a replica whose address has changed.", zap.Error(err))
		return replicalink.JoinResponse{Reason: err.Error()}
	}
	return replicalink.JoinResponse{LeaderAddress: g.options.Addr.String(), Accepted: true}
}

// admit answers a join request: the leader adds the candidate, a follower returns
// the leader's address.
func (g *Group) admit(ctx context.Context, candidate quorum.Member) replicalink.JoinResponse {
	n := g.currentNode()
	if n == nil {
		return replicalink.JoinResponse{Reason: "this replica belongs to no cluster yet"}
	}
	status := n.Status()
	if leader, ok := status.Membership.Find(status.Leader); ok && status.Role != quorum.Leader {
		return replicalink.JoinResponse{LeaderAddress: leader.Address}
	}
	if status.Role != quorum.Leader {
		return replicalink.JoinResponse{Reason: "no leader is known"}
	}
	if member, isMember := status.Membership.Find(candidate.ID); isMember {
		return g.confirmMember(member, candidate)
	}
	addr, err := netip.ParseAddrPort(candidate.Address)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
		defer cancel()
		err = g.AddReplica(ctx, candidate.Name, addr)
	}
	if err != nil {
		g.options.Log.Warn("Could not add the replica that requested to join.", zap.String("name", candidate.Name),
			zap.String("addr", candidate.Address), zap.Error(err))
		return replicalink.JoinResponse{Reason: err.Error()}
	}
	g.options.Log.Info("Added the replica that requested to join.", zap.Stringer("replica", candidate.ID),
		zap.String("name", candidate.Name), zap.String("addr", candidate.Address))
	return replicalink.JoinResponse{LeaderAddress: g.options.Addr.String(), Accepted: true}
}
