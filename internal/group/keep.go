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
	// keepInterval is the time between looks at the membership.
	keepInterval = 250 * time.Millisecond
	// joinInterval is the time between requests to be added.
	joinInterval = 500 * time.Millisecond
	// leaderless is how long a replica hears of no leader before it asks whether
	// it is still a member.
	leaderless = 2 * time.Second
	// changeTimeout bounds one change of the membership.
	changeTimeout = 5 * time.Second
)

// keepMembers maintains the membership while this replica leads.
func (g *Group) keepMembers(ctx context.Context) {
	began := g.options.Now()
	var keeper *membership.Reconciler
	pace.Every(ctx, keepInterval, func() {
		n := g.current()
		if n == nil {
			return
		}
		status := n.Status()
		if status.Role != quorum.Leader {
			keeper = nil
			return
		}
		if keeper == nil {
			keeper = membership.New(g.options.Keep)
		}
		now := g.options.Now().Sub(began)
		if change, ok := keeper.NextChange(now, stateOf(status)); ok {
			g.change(ctx, n, change)
		}
	})
}

func stateOf(s replica.Status) membership.State {
	active := make(map[quorum.ReplicaID]bool, len(s.Progress))
	for _, p := range s.Progress {
		active[p.ID] = p.ActiveSinceCheck
	}
	return membership.State{
		Self: s.ID, Members: s.Membership.Members,
		IsActive: func(id quorum.ReplicaID) bool { return active[id] },
	}
}

// change makes one change of the membership.
func (g *Group) change(ctx context.Context, n *replica.Node, c quorum.ConfChange) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var err error
	if c.Op == quorum.PromoteLearner {
		err = n.PromoteLearner(ctx, c.Member.ID)
	} else {
		err = n.RemoveMember(ctx, c.Member.ID)
	}
	fields := []zap.Field{
		zap.Stringer("change", c.Op), zap.Stringer("replica", c.Member.ID),
		zap.String("name", c.Member.Name), zap.String("addr", c.Member.Address),
	}
	switch {
	case err == nil:
		g.options.Log.Info("Changed the membership.", fields...)
	case !errorx.IsOfType(err, quorum.ErrNotCaughtUp):
		g.options.Log.Warn("Could not change the membership.", append(fields, zap.Error(err))...)
	}
}

// joinCluster asks to be added whenever this replica has no leader for a while:
// it belongs to no cluster, or was removed from it.
func (g *Group) joinCluster(ctx context.Context) {
	var alone time.Time
	pace.Every(ctx, joinInterval, func() {
		n := g.current()
		if n == nil {
			return // founding
		}
		now := g.options.Now()
		status := n.Status()
		if status.Leader != 0 {
			alone = time.Time{}
			return
		}
		if alone.IsZero() {
			alone = now
		}
		if status.Cluster == 0 || now.Sub(alone) >= leaderless {
			g.askToJoin(ctx)
		}
	})
}

// askToJoin asks the seeds, and the leader that they name.
func (g *Group) askToJoin(ctx context.Context) {
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
		g.options.Log.Debug("Could not ask to be added.", zap.Stringer("seed", seed), zap.Error(err))
	}
}

// admit adds a replica that asks for it, or names the leader that can.
func (g *Group) admit(ctx context.Context, who quorum.Member) replicalink.JoinResponse {
	n := g.current()
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
	if _, known := status.Membership.Find(who.ID); known {
		return replicalink.JoinResponse{LeaderAddress: g.options.Addr.String(), Accepted: true}
	}
	addr, err := netip.ParseAddrPort(who.Address)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		err = g.AddReplica(ctx, who.Name, addr)
	}
	if err != nil {
		g.options.Log.Warn("Could not add a replica that asks for it.", zap.String("name", who.Name),
			zap.String("addr", who.Address), zap.Error(err))
		return replicalink.JoinResponse{Reason: err.Error()}
	}
	g.options.Log.Info("Added a replica that asked for it.", zap.Stringer("replica", who.ID),
		zap.String("name", who.Name), zap.String("addr", who.Address))
	return replicalink.JoinResponse{LeaderAddress: g.options.Addr.String(), Accepted: true}
}
