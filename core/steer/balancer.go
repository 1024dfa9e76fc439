package steer

import (
	"sync/atomic"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

// Verdict is what a balancer does with a segment.
type Verdict uint8

// The verdicts of a Balancer.
const (
	// Forward sends the segment to Decision.To.
	Forward Verdict = iota
	// Reset answers the caller with a reset.
	Reset
	// Drop leaves the segment without an answer; its sender repeats it.
	Drop
)

// Reason tells why a segment was reset or dropped, or how its member was found.
type Reason uint8

// The reasons.
const (
	ReasonPlaced            Reason = iota // a new flow, placed by load
	ReasonCachedOwner                     // sent where the flow went before
	ReasonSearched                        // sent where the flow may be
	ReasonNoRoute                         // no service has the address
	ReasonNoMember                        // no member takes new flows
	ReasonFlowNotFound                    // every member has returned the segment
	ReasonBackendDown                     // the flow's backend server has ended
	ReasonConfigUnconfirmed               // the configuration is not known to be current
	ReasonProbeTimeout                    // a member has not answered
	ReasonSearchLimit                     // more members than a search may ask
	ReasonPartialView                     // members that may hold the flow may be missing
	ReasonOverloaded                      // every member has more requests waiting than it can answer in time
	ReasonPlacementLimit                  // too many members have turned the flow away
	reasonsCount            = iota
)

var reasonNames = [reasonsCount]string{
	"placed", "remembered", "searched", "no_route", "no_member", "not_held", "host_ended", "not_current",
	"unanswered", "search_bound", "view_partial", "full", "place_bound",
}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Reasons lists every reason.
func Reasons() []Reason {
	out := make([]Reason, reasonsCount)
	for i := range out {
		out[i] = Reason(i)
	}
	return out
}

const (
	// choices is the number of members that a new flow is weighed between. The
	// flow is found again among the first of its order.
	choices = 3
	// maxSearch is the number of members that are asked for a flow.
	maxSearch = 64
	// maxPlacements is the number of members that may turn a new flow away.
	maxPlacements = 4
)

// Decision is what to do with one segment.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	To      flow.Peer
	Service view.ServiceID
	// Hops is the number of members that have returned the segment.
	Hops uint8
	// OwnerKnown is set where the member is remembered, not searched for.
	OwnerKnown bool
}

// Balancer decides about the segments of callers. It is safe for concurrent use.
type Balancer struct {
	zone     string
	table    atomic.Pointer[Table]
	current  atomic.Bool
	owners   *owners
	loads    *loads
	searches *searches
}

// NewBalancer returns a Balancer in an availability zone that knows no service.
func NewBalancer(zone string) *Balancer {
	b := &Balancer{zone: zone, owners: newOwners(), loads: newLoads(), searches: newSearches()}
	b.table.Store(NewTable())
	return b
}

// Table returns what is in force.
func (b *Balancer) Table() *Table { return b.table.Load() }

// SetTable puts a table in force. One goroutine calls it.
func (b *Balancer) SetTable(t *Table) {
	b.table.Store(t)
	b.loads.keep(t)
}

// ConfirmConfig notes that the configuration in force is known to have been current.
func (b *Balancer) ConfirmConfig() { b.current.Store(true) }

// IsConfigConfirmed reports whether the configuration was known to be current once.
func (b *Balancer) IsConfigConfirmed() bool { return b.current.Load() }

// CachedFlows returns the number of flows whose member is remembered.
func (b *Balancer) CachedFlows() int { return b.owners.count() }

// Steer decides about a segment that has come from a caller.
func (b *Balancer) Steer(now time.Duration, s *Segment) Decision {
	t := b.table.Load()
	if !t.HasRoute(s.Tuple.Service) {
		return b.unrouted(s)
	}
	id := s.Tuple.ID()
	if s.OpensFlow() {
		return b.open(now, t, s, id)
	}
	if o, ok := b.owners.get(now, id); ok {
		if m := t.find(o.service, o.seed); m != nil {
			return remembered(m)
		}
		b.owners.drop(id)
	}
	return b.search(now, t, s, id, 0)
}

// remembered sends a segment where its flow is known to be.
func remembered(m *member) Decision {
	return Decision{Verdict: Forward, Reason: ReasonCachedOwner, To: m.peer, Service: m.service, OwnerKnown: true}
}

func (b *Balancer) unrouted(s *Segment) Decision {
	switch {
	case !b.IsConfigConfirmed():
		return Decision{Verdict: Drop, Reason: ReasonConfigUnconfirmed}
	case s.HasFlags(RST):
		return Decision{Verdict: Drop, Reason: ReasonNoRoute}
	}
	return Decision{Verdict: Reset, Reason: ReasonNoRoute}
}

// open places a new flow. A copy of a SYN goes where the first went if that
// member has answered; else the member is suspected and another is chosen.
func (b *Balancer) open(now time.Duration, t *Table, s *Segment, id flow.ID) Decision {
	o, known := b.owners.get(now, id)
	if !known {
		return b.place(now, t, s, id, 0)
	}
	m := t.find(o.service, o.seed)
	switch {
	case m == nil:
		return b.place(now, t, s, id, 0)
	case o.confirmed || s.Retransmits <= o.copies:
		return remembered(m)
	}
	b.loads.suspect(now, m)
	return b.place(now, t, s, id, 0)
}

// place chooses the member of a new flow. While every member is full, a SYN is left
// to its next copy or to the caller's next try: a reset would have the caller use up
// its tries at once, and a place in a full queue would make those late that could be
// answered in time. The load that this answers is that of callers who waited through
// an outage and come at once, beside new ones: those who send a copy are late
// already, and get what the first SYNs leave.
func (b *Balancer) place(now time.Duration, t *Table, s *Segment, id flow.ID, hops uint8) Decision {
	service, ok := choosePortion(id.Key, t.routes[s.Tuple.Service])
	if !ok {
		return Decision{Verdict: Reset, Reason: ReasonNoMember}
	}
	if b.loads.full(now, t.members[service], s.Retransmits) {
		return Decision{Verdict: Drop, Reason: ReasonOverloaded}
	}
	m := b.loads.choose(now, t.firstTaking(id.Key, service), b.zone)
	if m == nil {
		return b.noMember(t, service)
	}
	b.owners.set(now, id, owner{service: m.service, seed: m.peer.Seed, copies: s.Retransmits})
	return Decision{Verdict: Forward, Reason: ReasonPlaced, To: m.peer, Service: m.service, Hops: hops}
}

// noMember answers a new flow that no known member takes. Where members may be
// missing, the copies of the SYN may find one; a reset would use up the caller's
// tries within milliseconds.
func (b *Balancer) noMember(t *Table, service view.ServiceID) Decision {
	switch {
	case !b.IsConfigConfirmed():
		return Decision{Verdict: Drop, Reason: ReasonConfigUnconfirmed}
	case !t.knows(service):
		return Decision{Verdict: Drop, Reason: ReasonPartialView}
	}
	return Decision{Verdict: Reset, Reason: ReasonNoMember}
}

// search sends a segment to the member that is asked next. denied is the seed of
// the member that has returned it, 0 for none.
func (b *Balancer) search(now time.Duration, t *Table, s *Segment, id flow.ID, denied uint64) Decision {
	holders := t.holders(id.Key, s.Tuple.Service)
	bounded := len(holders) > maxSearch
	b.loads.silentLast(holders)
	next := b.searches.next(now, id, holders[:min(len(holders), maxSearch)], denied)
	if next.silent != nil {
		b.loads.unanswered(next.silent)
	}
	switch {
	case next.member != nil:
		return Decision{Verdict: Forward, Reason: ReasonSearched, To: next.member.peer, Service: next.member.service, Hops: next.hops}
	case !b.IsConfigConfirmed():
		return Decision{Verdict: Drop, Reason: ReasonConfigUnconfirmed}
	case !t.whole(id.Key, s.Tuple.Service):
		return Decision{Verdict: Drop, Reason: ReasonPartialView}
	case !next.complete:
		return Decision{Verdict: Drop, Reason: ReasonProbeTimeout}
	case bounded:
		return Decision{Verdict: Drop, Reason: ReasonSearchLimit}
	case s.HasFlags(RST):
		return Decision{Verdict: Drop, Reason: ReasonFlowNotFound}
	}
	return Decision{Verdict: Reset, Reason: ReasonFlowNotFound}
}

// OverdueSearches returns the flows that are searched for and whose last question is not
// answered in time. Steer goes on with the search, for a segment that is repeated.
func (b *Balancer) OverdueSearches(now time.Duration) []flow.ID { return b.searches.overdue(now) }

// ReturnInfo is how a segment came back from a member.
type ReturnInfo struct {
	Service view.ServiceID
	Seed    uint64
	// Hops is that of the decision that sent it there.
	Hops uint8
	// BackendDown is set where the flow was at a backend server that has ended.
	BackendDown bool
}

// HandleReturn decides about a segment that a member has returned.
func (b *Balancer) HandleReturn(now time.Duration, s *Segment, r ReturnInfo) Decision {
	t := b.table.Load()
	if !t.HasRoute(s.Tuple.Service) {
		return b.unrouted(s)
	}
	id := s.Tuple.ID()
	b.loads.answered(r.Service, r.Seed)
	o, known := b.owners.get(now, id)
	switch {
	case known && o.seed == r.Seed:
		b.owners.drop(id)
	case known && !s.OpensFlow():
		// The flow was found meanwhile.
		if m := t.find(o.service, o.seed); m != nil {
			return remembered(m)
		}
	}
	if s.OpensFlow() {
		return b.turnedAway(now, t, s, id, r)
	}
	if r.BackendDown && !s.HasFlags(RST) {
		return Decision{Verdict: Reset, Reason: ReasonBackendDown}
	}
	return b.search(now, t, s, id, r.Seed)
}

// turnedAway places a new flow that a member does not take on another one.
func (b *Balancer) turnedAway(now time.Duration, t *Table, s *Segment, id flow.ID, r ReturnInfo) Decision {
	if m := t.find(r.Service, r.Seed); m != nil {
		b.loads.suspect(now, m)
	}
	if r.Hops+1 >= maxPlacements {
		return Decision{Verdict: Reset, Reason: ReasonPlacementLimit}
	}
	return b.place(now, t, s, id, r.Hops+1)
}

// ConfirmOwner notes that a member's host has said that it holds a flow.
func (b *Balancer) ConfirmOwner(now time.Duration, id flow.ID, service view.ServiceID, seed uint64) {
	b.owners.set(now, id, owner{service: service, seed: seed, confirmed: true})
	b.searches.end(id)
	b.loads.held(service, seed)
}

// ReportLoad takes a member's report of its load.
func (b *Balancer) ReportLoad(now time.Duration, service view.ServiceID, seed uint64, load Load) {
	if m := b.table.Load().find(service, seed); m != nil {
		b.loads.report(now, m, load)
	}
}
