package group

import (
	"net/netip"

	"fulmarmount.org/core/quorum"
)

// Leadership is a replica's view of the control group's leadership.
type Leadership struct {
	// IsLeader is set while this process is the leader.
	IsLeader bool
	// Term is the replica's current term; it increases with every election.
	Term uint64
	// LeaderAddr is the leader's address, or the zero value if it is not known.
	LeaderAddr netip.AddrPort
	// HasNoCluster is set while the replica belongs to no cluster and so cannot
	// learn of a leader soon.
	HasNoCluster bool
}

// Leadership returns the current leadership, and a channel that is closed when it
// changes.
func (g *Group) Leadership() (Leadership, <-chan struct{}) {
	select {
	case <-g.started:
	default:
		return Leadership{HasNoCluster: true}, g.started
	}
	n := g.currentNode()
	if n == nil {
		return Leadership{}, nil // the start failed and is not retried
	}
	soft, changed := n.Leader()
	status := n.Status()
	l := Leadership{IsLeader: soft.Role == quorum.Leader, Term: soft.Term, HasNoCluster: len(status.Membership.Members) == 0}
	if member, ok := status.Membership.Find(soft.Leader); ok {
		// An invalid address leaves the zero value: the member cannot be reached.
		l.LeaderAddr, _ = netip.ParseAddrPort(member.Address)
	}
	return l, changed
}
