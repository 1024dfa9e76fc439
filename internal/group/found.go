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

// bootstrapInterval is the time between queries of the peers' identities.
const bootstrapInterval = 300 * time.Millisecond

// bootstrapDecision is the next action of a replica without a cluster.
type bootstrapDecision int

const (
	retryBootstrap   bootstrapDecision = iota // some peers have not responded
	awaitAdmission                            // a cluster exists; wait to be added to it
	bootstrapCluster                          // create the cluster of the founding members
)

// bootstrap retries until this replica has created a cluster or has found an
// existing one. It creates a cluster only after every peer has reported that it
// belongs to none: otherwise a replica that lost its disk would create a second
// cluster.
func (g *Group) bootstrap(ctx context.Context) {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for {
		if g.tryBootstrap(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tryBootstrap reports whether bootstrap is over.
func (g *Group) tryBootstrap(ctx context.Context) bool {
	next, cluster, founders := decideBootstrap(g.options.ClusterName, g.self, g.identifyPeers(ctx), len(g.options.Peers))
	switch next {
	case awaitAdmission:
		g.options.Log.Warn("A peer belongs to a cluster. This replica waits to be added to it.",
			zap.Stringer("cluster", cluster), zap.Stringer("replica", g.self.ID))
	case bootstrapCluster:
		if err := replica.Bootstrap(g.store, cluster, founders.Members...); err != nil {
			g.options.Log.Warn("Could not bootstrap the cluster. Reopening the store and retrying.", zap.Error(err))
			return !g.replaceFailedStore(ctx)
		}
		g.options.Log.Info("Bootstrapped a cluster.", zap.Stringer("cluster", cluster))
	default:
		return false
	}
	if err := g.startNode(); err != nil {
		g.options.Log.Error("Could not start the replica.", zap.Error(err))
	}
	return true
}

// identifyPeers returns the identities of the other replicas that respond.
func (g *Group) identifyPeers(ctx context.Context) []replicalink.Identity {
	var identities []replicalink.Identity
	for _, p := range g.options.Peers {
		if p.Name == g.options.Name || p.Addr == g.options.Addr {
			continue
		}
		identity, err := g.link.Identify(ctx, p.Addr)
		if err != nil {
			g.options.Log.Debug("Could not query the identity of a peer.", zap.String("peer", p.Name), zap.Error(err))
			continue
		}
		if identity.GroupName != g.options.ClusterName {
			g.options.Log.Error("A peer belongs to another control group. Ignored its identity.",
				zap.String("peer", p.Name), zap.String("group", identity.GroupName))
			continue
		}
		identities = append(identities, identity)
	}
	return identities
}

// decideBootstrap returns the next action, given the identities of the peers that
// responded and the number of configured peers, this replica included. For
// bootstrapCluster it also returns the cluster's ID and founding members.
func decideBootstrap(group string, self quorum.Member, identities []replicalink.Identity, peerCount int) (bootstrapDecision, quorum.ClusterID, quorum.Membership) {
	members := []quorum.Member{self}
	for _, a := range identities {
		if a.Cluster == 0 {
			members = append(members, a.Member)
			continue
		}
		if a.InitialMembership.IsVoter(self.ID) {
			// A peer bootstrapped the cluster first, with this replica as a founder.
			return bootstrapCluster, a.Cluster, a.InitialMembership
		}
		return awaitAdmission, a.Cluster, quorum.Membership{}
	}
	if len(members) < peerCount {
		return retryBootstrap, 0, quorum.Membership{}
	}
	founders := quorum.NewMembership(members...)
	ids := make([]quorum.ReplicaID, 0, len(members))
	for _, m := range founders.Members {
		ids = append(ids, m.ID)
	}
	return bootstrapCluster, deriveClusterID(group, ids...), founders
}

// deriveClusterID hashes the control group's name and the founders' IDs: all
// founders derive the same ID, and replicas with new disks derive another one.
func deriveClusterID(group string, ids ...quorum.ReplicaID) quorum.ClusterID {
	slices.Sort(ids)
	h := fnv.New64a()
	_, _ = h.Write([]byte(group)) // never fails
	for _, id := range ids {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(id)))
	}
	return quorum.ClusterID(max(h.Sum64(), 1))
}

// identity returns the identity that this replica reports to others.
func (g *Group) identity() replicalink.Identity {
	id := replicalink.Identity{Member: g.self, GroupName: g.options.ClusterName}
	n := g.currentNode()
	if n == nil {
		return id
	}
	status := n.Status()
	id.Cluster = status.Cluster
	if status.SnapshotIndex == bootstrapSnapshotIndex {
		id.InitialMembership = status.SnapshotMembership
	}
	return id
}

// bootstrapSnapshotIndex is the index of the snapshot that holds a cluster's
// founding membership.
const bootstrapSnapshotIndex = 1
