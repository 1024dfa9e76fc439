package group

import (
	"net/netip"

	"fulmarmount.org/core/quorum"
)

// Leadership is who leads the control group.
type Leadership struct {
	// Leading is set while this process leads.
	Leading bool
	// Term grows with every leader.
	Term uint64
	// Leader is the leader's address, the zero value while none is known.
	Leader netip.AddrPort
	// Waiting is set while the replica belongs to no cluster: it will hear of no
	// leader soon.
	Waiting bool
}

// Leadership returns who leads, and a channel that is closed when that changes.
func (g *Group) Leadership() (Leadership, <-chan struct{}) {
	select {
	case <-g.started:
	default:
		return Leadership{Waiting: true}, g.started
	}
	n := g.current()
	if n == nil {
		return Leadership{}, nil // it could not start, and never will
	}
	soft, changed := n.Leader()
	status := n.Status()
	l := Leadership{Leading: soft.Role == quorum.Leader, Term: soft.Term, Waiting: len(status.Membership.Members) == 0}
	if member, ok := status.Membership.Find(soft.Leader); ok {
		// A member whose address does not parse cannot be reached.
		l.Leader, _ = netip.ParseAddrPort(member.Address)
	}
	return l, changed
}
