package routing

import (
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

// maxFreshView is the number of views of an epoch during which most flows that a balancer
// does not know are taken for lost.
const maxFreshView = 16

// expectsLostFlows reports whether a search asks the member first and sends it segments
// only if it owns the flow. Its backend server started in this epoch, whose first views
// are current, and its agent answers queries.
//
// It answers the load after a loss of power: every caller then sends on a flow that nobody
// owns, and to send each of these segments to several members and back takes more than
// the links of the balancers have. At other times a member that is probed often owns the
// flow, and the segment is there without another round trip.
func (m *member) expectsLostFlows() bool {
	return m.answersQueries && m.firstAccepting != 0 && m.listedIn.Number <= maxFreshView
}

// Ownership is an agent's answer to a query.
type Ownership uint8

// The answers of Agent.Query.
const (
	OwnershipUnknown Ownership = iota // only the backend server can tell, by a segment
	Owned
	NotOwned
	OwnedByDown // the backend server owned the flow and is down
)

// Query reports whether the backend server owns a flow that was opened before. Balancers
// ask only about an incarnation that has no flows from before the epoch, see
// expectsLostFlows. So of one that has started with this process, the agent has all.
func (a *Agent) Query(now time.Duration, id flow.ID, incarnation view.Incarnation) Ownership {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.startedWithProcess && incarnation == a.incarnation {
		a.hasAllFlows = true
	}
	f := a.flows[id]
	switch a.checkSegment(now, f, &Segment{}, ForwardInfo{}) {
	case RefusalBackendDown:
		return OwnedByDown
	case RefusalNone:
	default:
		return NotOwned
	}
	if f == nil || !f.isEstablished { // a half-open flow may have opened elsewhere
		return OwnershipUnknown
	}
	return Owned
}
