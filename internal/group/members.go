package group

import (
	"context"
	"net/netip"
	"strconv"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/replica"
)

// Replicas implements admin.Replicas.
func (g *Group) Replicas(ctx context.Context) ([]admin.Replica, error) {
	n, err := g.Node(ctx)
	if err != nil {
		return nil, err
	}
	status := n.Status()
	var out []admin.Replica
	for _, m := range status.Membership.Members {
		out = append(out, admin.Replica{
			ID: m.ID.String(), Name: m.Name, Addr: m.Address, Voter: !m.IsLearner,
			Leader: m.ID == status.Leader, Match: matchIndex(status, m.ID),
		})
	}
	return out, nil
}

// matchIndex returns the index of the last entry that the log of a replica is known
// to hold, or 0. A follower knows only its own.
func matchIndex(s replica.Status, id quorum.ReplicaID) uint64 {
	if id == s.ID {
		return s.LastIndex
	}
	for _, p := range s.Progress {
		if p.ID == id {
			return p.Match
		}
	}
	return 0
}

// AddReplica implements admin.Replicas. It queries the identity of the replica at
// addr, and adds it as a learner if its control group, cluster and name match.
func (g *Group) AddReplica(ctx context.Context, name string, addr netip.AddrPort) error {
	n, err := g.leaderNode(ctx)
	if err != nil {
		return err
	}
	identity, err := g.link.Identify(ctx, addr)
	if err != nil {
		return ErrNoCluster.Wrap(err, "no replica answers at %s", addr)
	}
	cluster := n.Status().Cluster
	switch {
	case identity.GroupName != g.options.ClusterName:
		return ErrRejected.New("replica at %s is of control group %q", addr, identity.GroupName)
	case identity.Cluster != 0 && identity.Cluster != cluster:
		return ErrRejected.New("replica at %s is of cluster %s; this one is %s", addr, identity.Cluster, cluster)
	case identity.Member.Name != name:
		return ErrRejected.New("replica at %s is %q", addr, identity.Member.Name)
	}
	return n.AddLearner(ctx, quorum.Member{ID: identity.Member.ID, Name: name, Address: addr.String()})
}

// RemoveReplica implements admin.Replicas.
func (g *Group) RemoveReplica(ctx context.Context, id string) error {
	number, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return ErrRejected.New("%q is not a replica's ID", id)
	}
	n, err := g.leaderNode(ctx)
	if err != nil {
		return err
	}
	return n.RemoveMember(ctx, quorum.ReplicaID(number))
}

// leaderNode returns this process's replica if it is the leader, otherwise an error
// that names the leader.
func (g *Group) leaderNode(ctx context.Context) (*replica.Node, error) {
	n, err := g.Node(ctx)
	if err != nil {
		return nil, err
	}
	status := n.Status()
	if status.Role == quorum.Leader {
		return n, nil
	}
	if leader, ok := status.Membership.Find(status.Leader); ok {
		return nil, replica.ErrNotLeader.New("the leader is %s at %s", leader.Name, leader.Address)
	}
	return nil, replica.ErrNotLeader.New("no leader is known")
}

// Dump is the replica's section of the process's state dump.
type Dump struct {
	Replica       string           `json:"replica"`
	Cluster       string           `json:"cluster"`
	Role          string           `json:"role"`
	Leader        string           `json:"leader"`
	Term          uint64           `json:"term"`
	LastIndex     uint64           `json:"last"`
	CommitIndex   uint64           `json:"committed"`
	AppliedIndex  uint64           `json:"applied"`
	SnapshotIndex uint64           `json:"snapshot"`
	SnapshotBytes int              `json:"snapshot_bytes"`
	LogBytes      int              `json:"log_bytes"`
	Replicas      []admin.Replica  `json:"replicas"`
	Counters      replica.Counters `json:"counters"`
	// Error is the error that stopped the replica.
	Error string `json:"error,omitempty"`
}

// Dump returns the state of the replica.
func (g *Group) Dump() Dump {
	d := Dump{Replica: g.self.ID.String(), Role: "waiting"}
	n := g.currentNode()
	if n == nil {
		return d
	}
	s := n.Status()
	d.Cluster, d.Role, d.Leader, d.Term = s.Cluster.String(), s.Role.String(), s.Leader.String(), s.Term
	d.LastIndex, d.CommitIndex, d.AppliedIndex, d.SnapshotIndex = s.LastIndex, s.CommitIndex, s.AppliedIndex, s.SnapshotIndex
	d.SnapshotBytes, d.LogBytes = s.SnapshotBytes, s.LogBytes
	d.Counters = s.Counters
	if err := n.Err(); err != nil {
		d.Error = err.Error()
	}
	d.Replicas, _ = g.Replicas(context.Background())
	return d
}
