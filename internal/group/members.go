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
			Leader: m.ID == status.Leader, Match: match(status, m.ID),
		})
	}
	return out, nil
}

// match returns the last entry that a replica is known to hold. Followers
// know of themselves only.
func match(s replica.Status, id quorum.ReplicaID) uint64 {
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

// AddReplica implements admin.Replicas. It asks the replica at addr for its
// identity first.
func (g *Group) AddReplica(ctx context.Context, name string, addr netip.AddrPort) error {
	n, err := g.leading(ctx)
	if err != nil {
		return err
	}
	identity, err := g.link.Identify(ctx, addr)
	if err != nil {
		return Waiting.Wrap(err, "no replica answers at %s", addr)
	}
	cluster := n.Status().Cluster
	switch {
	case identity.GroupName != g.options.Cluster:
		return Refused.New("replica at %s is of control group %q", addr, identity.GroupName)
	case identity.Cluster != 0 && identity.Cluster != cluster:
		return Refused.New("replica at %s is of cluster %s; this one is %s", addr, identity.Cluster, cluster)
	case identity.Member.Name != name:
		return Refused.New("replica at %s is %q", addr, identity.Member.Name)
	}
	return n.AddLearner(ctx, quorum.Member{ID: identity.Member.ID, Name: name, Address: addr.String()})
}

// RemoveReplica implements admin.Replicas.
func (g *Group) RemoveReplica(ctx context.Context, id string) error {
	number, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return Refused.New("%q is not a replica's ID", id)
	}
	n, err := g.leading(ctx)
	if err != nil {
		return err
	}
	return n.RemoveMember(ctx, quorum.ReplicaID(number))
}

// leading returns the replica if it leads, else an error that names the leader.
func (g *Group) leading(ctx context.Context) (*replica.Node, error) {
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

// Dump is the state of the replica for the process's dump.
type Dump struct {
	Replica   string           `json:"replica"`
	Cluster   string           `json:"cluster"`
	Role      string           `json:"role"`
	Leader    string           `json:"leader"`
	Term      uint64           `json:"term"`
	Last      uint64           `json:"last"`
	Committed uint64           `json:"committed"`
	Applied   uint64           `json:"applied"`
	Snapshot  uint64           `json:"snapshot"`
	Replicas  []admin.Replica  `json:"replicas"`
	Counters  replica.Counters `json:"counters"`
	// Error is why the replica has ended.
	Error string `json:"error,omitempty"`
}

// Dump returns the state of the replica.
func (g *Group) Dump() Dump {
	d := Dump{Replica: g.self.ID.String(), Role: "waiting"}
	n := g.current()
	if n == nil {
		return d
	}
	s := n.Status()
	d.Cluster, d.Role, d.Leader, d.Term = s.Cluster.String(), s.Role.String(), s.Leader.String(), s.Term
	d.Last, d.Committed, d.Applied, d.Snapshot = s.LastIndex, s.CommitIndex, s.AppliedIndex, s.SnapshotIndex
	d.Counters = s.Counters
	if err := n.Err(); err != nil {
		d.Error = err.Error()
	}
	d.Replicas, _ = g.Replicas(context.Background())
	return d
}
