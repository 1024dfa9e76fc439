package group

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/replica"
	"fulmarmount.org/fulmarmount/internal/replicalink"
)

// foundInterval is the time between looks at the other replicas.
const foundInterval = 300 * time.Millisecond

// plan is what a replica without a cluster does next.
type plan int

const (
	ask  plan = iota // some peers have not answered
	join             // a cluster exists; wait until operators add this replica
	lead             // found the cluster of founders
)

// found decides whether this replica is one of the first of a new cluster. It
// founds one only with the word of all peers that they belong to none: a
// replica that lost its disk would else found a second one.
func (g *Group) found(ctx context.Context) {
	ticker := time.NewTicker(foundInterval)
	defer ticker.Stop()
	for {
		if g.tryFound(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Group) tryFound(ctx context.Context) bool {
	next, cluster, founders := decide(g.options.Cluster, g.self, g.askPeers(ctx), len(g.options.Peers))
	switch next {
	case join:
		g.options.Log.Warn("A cluster exists. Waiting to be added to it.",
			zap.Stringer("cluster", cluster), zap.Stringer("replica", g.self.ID))
	case lead:
		if err := replica.Bootstrap(g.store, cluster, founders.Members...); err != nil {
			g.options.Log.Error("Cannot found the cluster.", zap.Error(err))
			return true
		}
		g.options.Log.Info("Founded a cluster.", zap.Stringer("cluster", cluster))
	default:
		return false
	}
	if err := g.start(); err != nil {
		g.options.Log.Error("Replica does not start.", zap.Error(err))
	}
	return true
}

// askPeers returns the identities of the other replicas that answer.
func (g *Group) askPeers(ctx context.Context) []replicalink.Identity {
	var answers []replicalink.Identity
	for _, p := range g.options.Peers {
		if p.Name == g.options.Name || p.Addr == g.options.Addr {
			continue
		}
		identity, err := g.link.Identify(ctx, p.Addr)
		if err != nil {
			g.options.Log.Debug("A peer does not answer.", zap.String("peer", p.Name), zap.Error(err))
			continue
		}
		if identity.GroupName != g.options.Cluster {
			g.options.Log.Error("A peer is of another control group.",
				zap.String("peer", p.Name), zap.String("group", identity.GroupName))
			continue
		}
		answers = append(answers, identity)
	}
	return answers
}

// decide weighs the answers of the others of a number of peers.
func decide(group string, self quorum.Member, answers []replicalink.Identity, peers int) (plan, quorum.ClusterID, quorum.Membership) {
	members := []quorum.Member{self}
	for _, a := range answers {
		if a.Cluster == 0 {
			members = append(members, a.Member)
			continue
		}
		if a.InitialMembership.IsVoter(self.ID) {
			// A peer was faster, and counted this replica's identity in.
			return lead, a.Cluster, a.InitialMembership
		}
		return join, a.Cluster, quorum.Membership{}
	}
	if len(members) < peers {
		return ask, 0, quorum.Membership{}
	}
	founders := quorum.NewMembership(members...)
	ids := make([]quorum.ReplicaID, 0, len(members))
	for _, m := range founders.Members {
		ids = append(ids, m.ID)
	}
	return lead, clusterID(group, ids...), founders
}

// clusterID is the same on all founders, and new for new disks.
func clusterID(group string, ids ...quorum.ReplicaID) quorum.ClusterID {
	slices.Sort(ids)
	h := fnv.New64a()
	_, _ = h.Write([]byte(group)) // never fails
	for _, id := range ids {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(id)))
	}
	return quorum.ClusterID(max(h.Sum64(), 1))
}

// identity tells other replicas about this one.
func (g *Group) identity() replicalink.Identity {
	id := replicalink.Identity{Member: g.self, GroupName: g.options.Cluster}
	n := g.current()
	if n == nil {
		return id
	}
	status := n.Status()
	id.Cluster = status.Cluster
	if status.SnapshotIndex == firstSnapshot {
		id.InitialMembership = status.SnapshotMembership
	}
	return id
}

// firstSnapshot is the entry of a cluster's first membership.
const firstSnapshot = 1
