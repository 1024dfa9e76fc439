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
	Placed       Reason = iota // a new flow, placed by load
	Remembered                 // sent where the flow went before
	Searched                   // sent where the flow may be
	NoRoute                    // no service has the address
	NoMember                   // no member takes new flows
	NotHeld                    // every member has returned the segment
	HostEnded                  // the flow's backend server has ended
	NotCurrent                 // the configuration is not known to be current
	Unanswered                 // a member has not answered
	SearchBound                // more members than a search may ask
	ViewPartial                // members that may hold the flow may be missing
	Full                       // every member has more requests waiting than it can answer in time
	PlaceBound                 // too many members have turned the flow away
	reasonsCount = iota
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
	// Informed is set where the member is remembered, not searched for.
	Informed bool
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

// Adopt puts a table in force. One goroutine calls it.
func (b *Balancer) Adopt(t *Table) {
	b.table.Store(t)
	b.loads.keep(t)
}

// Confirm notes that the configuration in force is known to have been current.
func (b *Balancer) Confirm() { b.current.Store(true) }

// Current reports whether the configuration was known to be current once.
func (b *Balancer) Current() bool { return b.current.Load() }

// Flows returns the number of flows whose member is remembered.
func (b *Balancer) Flows() int { return b.owners.count() }

// Steer decides about a segment that has come from a caller.
func (b *Balancer) Steer(now time.Duration, s *Segment) Decision {
	t := b.table.Load()
	if !t.Routed(s.Tuple.Service) {
		return b.unrouted(s)
	}
	id := s.Tuple.ID()
	if s.Opens() {
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
	return Decision{Verdict: Forward, Reason: Remembered, To: m.peer, Service: m.service, Informed: true}
}

func (b *Balancer) unrouted(s *Segment) Decision {
	switch {
	case !b.Current():
		return Decision{Verdict: Drop, Reason: NotCurrent}
	case s.Has(RST):
		return Decision{Verdict: Drop, Reason: NoRoute}
	}
	return Decision{Verdict: Reset, Reason: NoRoute}
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
	case o.confirmed || s.Copy <= o.copies:
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
		return Decision{Verdict: Reset, Reason: NoMember}
	}
	if b.loads.full(now, t.members[service], s.Copy) {
		return Decision{Verdict: Drop, Reason: Full}
	}
	m := b.loads.choose(now, t.firstTaking(id.Key, service), b.zone)
	if m == nil {
		return b.noMember(t, service)
	}
	b.owners.set(now, id, owner{service: m.service, seed: m.peer.Seed, copies: s.Copy})
	return Decision{Verdict: Forward, Reason: Placed, To: m.peer, Service: m.service, Hops: hops}
}

// noMember answers a new flow that no known member takes. Where members may be
// missing, the copies of the SYN may find one; a reset would use up the caller's
// tries within milliseconds.
func (b *Balancer) noMember(t *Table, service view.ServiceID) Decision {
	switch {
	case !b.Current():
		return Decision{Verdict: Drop, Reason: NotCurrent}
	case !t.knows(service):
		return Decision{Verdict: Drop, Reason: ViewPartial}
	}
	return Decision{Verdict: Reset, Reason: NoMember}
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
		return Decision{Verdict: Forward, Reason: Searched, To: next.member.peer, Service: next.member.service, Hops: next.hops}
	case !b.Current():
		return Decision{Verdict: Drop, Reason: NotCurrent}
	case !t.whole(id.Key, s.Tuple.Service):
		return Decision{Verdict: Drop, Reason: ViewPartial}
	case !next.complete:
		return Decision{Verdict: Drop, Reason: Unanswered}
	case bounded:
		return Decision{Verdict: Drop, Reason: SearchBound}
	case s.Has(RST):
		return Decision{Verdict: Drop, Reason: NotHeld}
	}
	return Decision{Verdict: Reset, Reason: NotHeld}
}

// Overdue returns the flows that are searched for and whose last question is not
// answered in time. Steer goes on with the search, for a segment that is repeated.
func (b *Balancer) Overdue(now time.Duration) []flow.ID { return b.searches.overdue(now) }

// Return is how a segment came back from a member.
type Return struct {
	Service view.ServiceID
	Seed    uint64
	// Hops is that of the decision that sent it there.
	Hops uint8
	// Ended is set where the flow was at a backend server that has ended.
	Ended bool
}

// Returned decides about a segment that a member has returned.
func (b *Balancer) Returned(now time.Duration, s *Segment, r Return) Decision {
	t := b.table.Load()
	if !t.Routed(s.Tuple.Service) {
		return b.unrouted(s)
	}
	id := s.Tuple.ID()
	b.loads.answered(r.Service, r.Seed)
	o, known := b.owners.get(now, id)
	switch {
	case known && o.seed == r.Seed:
		b.owners.drop(id)
	case known && !s.Opens():
		// The flow was found meanwhile.
		if m := t.find(o.service, o.seed); m != nil {
			return remembered(m)
		}
	}
	if s.Opens() {
		return b.turnedAway(now, t, s, id, r)
	}
	if r.Ended && !s.Has(RST) {
		return Decision{Verdict: Reset, Reason: HostEnded}
	}
	return b.search(now, t, s, id, r.Seed)
}

// turnedAway places a new flow that a member does not take on another one.
func (b *Balancer) turnedAway(now time.Duration, t *Table, s *Segment, id flow.ID, r Return) Decision {
	if m := t.find(r.Service, r.Seed); m != nil {
		b.loads.suspect(now, m)
	}
	if r.Hops+1 >= maxPlacements {
		return Decision{Verdict: Reset, Reason: PlaceBound}
	}
	return b.place(now, t, s, id, r.Hops+1)
}

// Held notes that a member's host has said that it holds a flow.
func (b *Balancer) Held(now time.Duration, id flow.ID, service view.ServiceID, seed uint64) {
	b.owners.set(now, id, owner{service: service, seed: seed, confirmed: true})
	b.searches.end(id)
	b.loads.held(service, seed)
}

// Report takes a member's report of its load.
func (b *Balancer) Report(now time.Duration, service view.ServiceID, seed uint64, load Load) {
	if m := b.table.Load().find(service, seed); m != nil {
		b.loads.report(now, m, load)
	}
}
