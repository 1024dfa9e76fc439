package routing

import (
	"sync/atomic"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

// Verdict is a balancer's action on a segment.
type Verdict uint8

// The verdicts of a Balancer.
const (
	// Forward sends the segment to Decision.To.
	Forward Verdict = iota
	// Reset answers the caller with an RST.
	Reset
	// Drop discards the segment without a reply; its sender retransmits it.
	Drop
)

// Reason explains a Decision: how the member was selected, or why the segment was
// reset or dropped.
type Reason uint8

// The reasons.
const (
	ReasonPlaced            Reason = iota // new flow, placed by load
	ReasonCachedOwner                     // forwarded to the cached owner of the flow
	ReasonSearched                        // forwarded to probe for the owner of the flow
	ReasonNoRoute                         // no service has the address
	ReasonNoMember                        // no member accepts new flows
	ReasonFlowNotFound                    // every member has returned the segment
	ReasonBackendDown                     // the flow's backend server is down
	ReasonConfigUnconfirmed               // the configuration has not been confirmed as current
	ReasonProbeTimeout                    // a member did not answer its probe in time
	ReasonSearchLimit                     // more members of a service than a search may probe
	ReasonPartialView                     // the view may lack members that own the flow
	ReasonOverloaded                      // no member can answer another request in time
	ReasonPlacementLimit                  // too many members have refused the flow
	ReasonColdLimit                       // every candidate is cold and has as many new flows as its limit allows now
	ReasonTooLate                         // no candidate can answer the caller in time
	ReasonFull                            // no candidate has room for a first SYN
	ReasonCallerShare                     // the caller uses more than its share, and no slot is free
	reasonCount             = iota
)

var reasonNames = [reasonCount]string{
	"placed", "remembered", "searched", "no_route", "no_member", "not_held", "host_ended", "not_current",
	"unanswered", "search_bound", "view_partial", "full", "place_bound", "cold_limit", "too_late", "no_room", "caller_share",
}

// String returns the reason's name in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns every reason.
func Reasons() []Reason {
	out := make([]Reason, reasonCount)
	for i := range out {
		out[i] = Reason(i)
	}
	return out
}

const (
	// maxPlacementCandidates is the number of members whose loads are compared for a
	// new flow. They are the first in rendezvous order that accept new flows, so that a
	// search usually finds the flow within as many probes.
	maxPlacementCandidates = 3
	// maxPlacementAttempts is the number of members that may refuse a new flow before
	// it is reset.
	maxPlacementAttempts = 4
)

// Decision is a balancer's decision about one segment.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	To      flow.Peer
	Service view.ServiceID
	// Hops is the number of members that have returned the segment.
	Hops uint8
	// OwnerKnown is set if To is the cached owner rather than the target of a probe
	// or of a placement. The owner may not have confirmed the flow yet.
	OwnerKnown bool
	// Refused is set if a new flow was refused for want of room.
	Refused *RefusedFlow
	// Query is set if the member is to be asked whether it owns the flow, and the segment
	// to be held until it does.
	Query bool
}

// Balancer decides about the segments of callers. It is safe for concurrent use.
type Balancer struct {
	zone            string
	table           atomic.Pointer[Table]
	configConfirmed atomic.Bool
	owners          *ownerCache
	loads           *loadTracker
	searches        *searchTable
	shares          *shareTable
}

// NewBalancer returns a Balancer in an availability zone, with an empty table.
func NewBalancer(zone string) *Balancer {
	b := &Balancer{zone: zone, owners: newOwnerCache(), loads: newLoadTracker(), searches: newSearchTable(), shares: newShareTable()}
	b.table.Store(NewTable())
	return b
}

// Table returns the active table.
func (b *Balancer) Table() *Table { return b.table.Load() }

// SetTable activates a table. Calls must not be concurrent.
func (b *Balancer) SetTable(t *Table) {
	b.table.Store(t)
	b.loads.setTable(t)
	b.shares.prune(t)
}

// ConfirmConfig records that the active configuration has been confirmed as current.
func (b *Balancer) ConfirmConfig() { b.configConfirmed.Store(true) }

// IsConfigConfirmed reports whether the configuration has ever been confirmed as
// current.
func (b *Balancer) IsConfigConfirmed() bool { return b.configConfirmed.Load() }

// CachedFlows returns the number of flows whose owner is cached.
func (b *Balancer) CachedFlows() int { return b.owners.count() }

// Steer decides about a segment received from a caller.
func (b *Balancer) Steer(now time.Duration, s *Segment) Decision {
	t := b.table.Load()
	if !t.HasRoute(s.Tuple.Service) {
		return b.rejectUnrouted(s)
	}
	id := s.Tuple.ID()
	if s.OpensFlow() {
		return b.steerSYN(now, t, s, id)
	}
	if o, ok := b.owners.get(now, id); ok {
		if m := t.findMember(o.service, o.seed); m != nil {
			return forwardToOwner(m)
		}
		b.owners.remove(id)
	}
	return b.continueSearch(now, t, s, id, 0)
}

func forwardToOwner(m *member) Decision {
	return Decision{Verdict: Forward, Reason: ReasonCachedOwner, To: m.peer, Service: m.service, OwnerKnown: true}
}

func (b *Balancer) rejectUnrouted(s *Segment) Decision {
	switch {
	case !b.IsConfigConfirmed():
		return Decision{Verdict: Drop, Reason: ReasonConfigUnconfirmed}
	case s.HasFlags(RST):
		return Decision{Verdict: Drop, Reason: ReasonNoRoute}
	}
	return Decision{Verdict: Reset, Reason: ReasonNoRoute}
}

// steerSYN places a new flow. If the flow was placed before, the SYN is forwarded to the
// same member if that has confirmed the flow, or if the SYN is not a later
// retransmission than the one that placed it. Otherwise the member becomes suspect and
// the flow is placed again.
func (b *Balancer) steerSYN(now time.Duration, t *Table, s *Segment, id flow.ID) Decision {
	o, cached := b.owners.get(now, id)
	if !cached {
		return b.placeFlow(now, t, s, id, 0)
	}
	m := t.findMember(o.service, o.seed)
	switch {
	case m == nil:
		return b.placeFlow(now, t, s, id, 0)
	case o.confirmed || s.Retransmits <= o.retransmits:
		return forwardToOwner(m)
	}
	b.loads.suspect(now, m)
	d := b.placeFlow(now, t, s, id, 0)
	if d.Refused != nil {
		d.Verdict = Drop // the member may be answering: a reset would tell that nothing ran
	}
	return d
}

// placeFlow selects the member for a new flow, or decides about its SYN if no member that
// accepts new flows has room for it.
func (b *Balancer) placeFlow(now time.Duration, t *Table, s *Segment, id flow.ID, hops uint8) Decision {
	ws, ok := selectService(id.Key, t.routes[s.Tuple.Service].Services)
	if !ok {
		return Decision{Verdict: Reset, Reason: ReasonNoMember}
	}
	service, candidates := ws.Service, t.placementCandidates(id.Key, ws.Service)
	if len(candidates) == 0 {
		return b.rejectUnplaced(t, service)
	}
	candidates, refused := b.candidatesWithRoom(now, t, s, ws, candidates)
	if len(candidates) == 0 {
		return refused
	}
	m := b.loads.selectLeastLoaded(now, candidates, b.zone)
	if (ws.Contention != Contention{}) {
		b.shares.recordPlaced(now, service, s.Tuple)
	}
	b.owners.set(now, id, owner{service: m.service, seed: m.peer.Seed, retransmits: s.Retransmits})
	return Decision{Verdict: Forward, Reason: ReasonPlaced, To: m.peer, Service: m.service, Hops: hops}
}

// candidatesWithRoom returns the candidates that may take a new flow now, or none and the
// decision about its SYN. Services with settings for contention have admit. For the others
// SYNs are dropped while every member is overloaded, and wait for their retransmission or
// the caller's next attempt: a reset would use up the caller's attempts at once, and a
// place in a full queue would delay requests that can still be answered in time. These
// limits answer the surge after an outage, when waiting callers and new ones arrive
// together: callers that retransmit are late already and get the capacity that first SYNs
// leave.
func (b *Balancer) candidatesWithRoom(now time.Duration, t *Table, s *Segment, ws WeightedService, candidates []*member) ([]*member, Decision) {
	accepting := b.loads.withColdRoom(now, candidates)
	switch {
	case len(accepting) == 0:
		return nil, Decision{Verdict: Drop, Reason: ReasonColdLimit}
	case ws.Contention != Contention{}:
		admitted, refused := b.admit(now, t, s, ws, accepting)
		if refused.Reason == ReasonTooLate && len(accepting) < len(candidates) {
			// A cold member may take the next copy of the SYN.
			refused.Verdict, refused.Reason = Drop, ReasonColdLimit
		}
		return admitted, refused
	case b.loads.allOverloaded(now, t.members[ws.Service], s.Retransmits):
		return nil, Decision{Verdict: Drop, Reason: ReasonOverloaded}
	}
	return accepting, Decision{}
}

// rejectUnplaced decides about a SYN that no listed member accepts. While the view may
// lack members the SYN is dropped, as one may be listed before the retransmission; a
// reset would use up the caller's attempts within milliseconds.
func (b *Balancer) rejectUnplaced(t *Table, service view.ServiceID) Decision {
	switch {
	case !b.IsConfigConfirmed():
		return Decision{Verdict: Drop, Reason: ReasonConfigUnconfirmed}
	case !t.hasCompleteView(service):
		return Decision{Verdict: Drop, Reason: ReasonPartialView}
	}
	return Decision{Verdict: Reset, Reason: ReasonNoMember}
}

// continueSearch forwards a segment to the member to probe next. returnedBy is the seed
// of the member that has returned the segment, or 0.
func (b *Balancer) continueSearch(now time.Duration, t *Table, s *Segment, id flow.ID, returnedBy uint64) Decision {
	members, isTruncated := t.searchOrder(id.Key, s.Tuple.Service)
	b.loads.sortUnresponsiveLast(members)
	next := b.searches.nextStep(now, id, members, returnedBy)
	if next.unresponsive != nil {
		b.loads.markUnresponsive(next.unresponsive)
	}
	switch {
	case next.member != nil:
		return Decision{
			Verdict: Forward, Reason: ReasonSearched, To: next.member.peer, Service: next.member.service, Hops: next.hops,
			Query: next.member.expectsLostFlows(),
		}
	case !b.IsConfigConfirmed():
		return Decision{Verdict: Drop, Reason: ReasonConfigUnconfirmed}
	case !t.hasCompleteViews(id.Key, s.Tuple.Service):
		return Decision{Verdict: Drop, Reason: ReasonPartialView}
	case !next.allAnswered:
		return Decision{Verdict: Drop, Reason: ReasonProbeTimeout}
	case isTruncated:
		return Decision{Verdict: Drop, Reason: ReasonSearchLimit}
	case s.HasFlags(RST):
		return Decision{Verdict: Drop, Reason: ReasonFlowNotFound}
	}
	return Decision{Verdict: Reset, Reason: ReasonFlowNotFound}
}

// OverdueSearches returns the flows whose pending probe has timed out. To continue their
// searches, pass a stored segment of each flow to Steer.
func (b *Balancer) OverdueSearches(now time.Duration) []flow.ID { return b.searches.overdue(now) }

// ReturnInfo describes the return of a segment by a member.
type ReturnInfo struct {
	Service view.ServiceID
	// Seed is the hash seed of the member that has returned the segment.
	Seed uint64
	// Hops is copied from the decision that forwarded the segment.
	Hops uint8
	// BackendDown is set if the flow's backend server is down.
	BackendDown bool
}

// HandleReturn decides about a segment that a member has returned.
func (b *Balancer) HandleReturn(now time.Duration, s *Segment, r ReturnInfo) Decision {
	t := b.table.Load()
	if !t.HasRoute(s.Tuple.Service) {
		return b.rejectUnrouted(s)
	}
	id := s.Tuple.ID()
	b.loads.markResponsive(r.Service, r.Seed)
	o, cached := b.owners.get(now, id)
	switch {
	case cached && o.seed == r.Seed:
		b.owners.remove(id)
	case cached && !s.OpensFlow():
		// The owner was found after this probe was sent.
		if m := t.findMember(o.service, o.seed); m != nil {
			return forwardToOwner(m)
		}
	}
	if s.OpensFlow() {
		return b.retryPlacement(now, t, s, id, r)
	}
	if r.BackendDown && !s.HasFlags(RST) {
		return Decision{Verdict: Reset, Reason: ReasonBackendDown}
	}
	return b.continueSearch(now, t, s, id, r.Seed)
}

// retryPlacement places a new flow again after a member has refused it.
func (b *Balancer) retryPlacement(now time.Duration, t *Table, s *Segment, id flow.ID, r ReturnInfo) Decision {
	m := t.findMember(r.Service, r.Seed)
	atColdLimit := m != nil && b.loads.isAtColdLimit(now, m)
	if m != nil && !atColdLimit {
		b.loads.suspect(now, m)
	}
	switch {
	case r.Hops+1 < maxPlacementAttempts:
	case atColdLimit:
		return Decision{Verdict: Drop, Reason: ReasonColdLimit}
	default:
		return Decision{Verdict: Reset, Reason: ReasonPlacementLimit}
	}
	return b.placeFlow(now, t, s, id, r.Hops+1)
}

// ConfirmOwner records that a member's agent has reported that its backend server owns
// a flow.
func (b *Balancer) ConfirmOwner(now time.Duration, id flow.ID, service view.ServiceID, seed uint64) {
	b.owners.set(now, id, owner{service: service, seed: seed, confirmed: true})
	b.searches.remove(id)
	b.loads.confirmPlacement(service, seed)
}

// ReportLoad records the load that a member has reported.
func (b *Balancer) ReportLoad(now time.Duration, service view.ServiceID, seed uint64, load Load) {
	if m := b.table.Load().findMember(service, seed); m != nil {
		b.loads.report(now, m, load)
	}
}
