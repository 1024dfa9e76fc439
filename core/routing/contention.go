package routing

import (
	"slices"
	"time"
)

// Contention holds a service's settings for the time in which callers ask for more than
// its members can give. The zero value turns all of them off: first SYNs are then
// dropped while every member of the service has reached firstSYNLimit.
type Contention struct {
	// WaitLimit is the part of a listener's timeout, in percent, that a new flow may
	// take until its first response. A flow that would take longer at each of its
	// candidates is reset. 0 resets none.
	WaitLimit uint32
	// ReservedShare is the part of a service's new flows, in percent, that is reserved in
	// equal parts for the listeners in use. 0 reserves nothing.
	ReservedShare uint32
	// CallerShare is the largest part of a service's new flows, in percent, that one
	// caller's address gets while slots are short. 0 and 100 set no bound.
	CallerShare uint32
}

const (
	// sharedLimit is the number of requests per slot, in tenths, from which a member is
	// full for most new flows: its queue keeps room for listeners below their share, and
	// slots stay in use between two load reports.
	sharedLimit = 35
	// reservedLimit is the same for listeners below their share.
	reservedLimit = 50
	// idleLimit is the same for flows that get free slots only: those whose objective
	// is missed, and those of callers above their share.
	idleLimit = 10
)

// newFlow is what the admission of a new flow depends on, apart from its candidates.
type newFlow struct {
	listener   Listener
	contention Contention
	// elapsed is the time since the caller's first SYN.
	elapsed time.Duration
	claim
}

// missesObjective reports whether a response in that time would miss the objective.
// While nothing is known of the objective or the time, retransmitted SYNs miss it.
func (f *newFlow) missesObjective(response time.Duration) bool {
	if f.listener.Objective == 0 || response == 0 {
		return f.elapsed > 0
	}
	return f.elapsed+response > f.listener.Objective
}

// missesTimeout reports whether the caller would have given up before a response in that
// time.
func (f *newFlow) missesTimeout(response time.Duration) bool {
	if f.contention.WaitLimit == 0 || f.listener.Timeout == 0 || response == 0 {
		return false
	}
	return (f.elapsed+response)*100 > f.listener.Timeout*time.Duration(f.contention.WaitLimit)
}

// hasRoom reports whether a candidate has room for the flow. The less claim the flow has
// to a place, the less is assumed to have finished since the candidate's report.
func (f *newFlow) hasRoom(r room) bool {
	switch {
	case f.isAboveCallerShare:
		return r.reportedLoad < idleLimit
	case f.isBelowShare && (f.elapsed == 0 || !f.missesObjective(r.response)):
		return r.load < reservedLimit
	case f.isFlooded && f.missesObjective(r.response):
		return (r.load+r.reportedLoad)/2 < idleLimit
	}
	return (r.load+r.reportedLoad)/2 < sharedLimit
}

// admit returns the candidates that have room for a new flow, or the decision to refuse
// it. It answers the load of more callers than the members can serve, from a surge after
// an outage to a flood of one listener or of one caller.
//
// All that fit are among the first maxPlacementCandidates, so that searches find the flow.
//
// In a flood a first SYN that is refused is reset: its caller tries again at once, and on
// other candidates, as the new flow has another key. Silence would hold it until its
// objective is missed, and would bring it back among those that can still be served in
// time. In a crest, in which nearly all can be served, it is dropped: it has room with its
// next copy, while resets within milliseconds use up a caller's tries. A retransmitted SYN
// is dropped, as its caller may be served later. If no candidate can answer before the
// caller gives up, either is reset.
func (b *Balancer) admit(now time.Duration, t *Table, s *Segment, ws WeightedService, candidates []*member) ([]*member, Decision) {
	if len(candidates) == 0 {
		return candidates, Decision{}
	}
	f := newFlow{listener: t.routes[s.Tuple.Service].Listener, contention: ws.Contention, elapsed: sinceFirstSYN(s.Retransmits)}
	rooms := b.loads.rooms(now, candidates)
	isShort := !slices.ContainsFunc(rooms, func(r room) bool { return r.reportedLoad < idleLimit })
	f.claim = b.shares.ask(now, ws, s.Tuple, isShort)
	fitting, inTime := candidates[:0:0], false
	for _, r := range rooms {
		inTime = inTime || !f.missesTimeout(r.response)
		if f.hasRoom(r) && !f.missesTimeout(r.response) {
			fitting = append(fitting, r.member)
		}
	}
	if len(fitting) > 0 {
		return fitting, Decision{}
	}
	return nil, f.refuse(rooms[0], inTime)
}

// refuse returns the decision about a flow that no candidate has room for.
func (f *newFlow) refuse(first room, inTime bool) Decision {
	d := Decision{Verdict: Reset, Refused: &RefusedFlow{
		Load: first.load, Response: first.response, ReportAge: first.reportAge, Elapsed: f.elapsed, BelowShare: f.isBelowShare,
	}}
	switch {
	case !inTime:
		d.Reason = ReasonTooLate
	case f.elapsed > 0 || !f.isFlooded && !f.isAboveCallerShare:
		d.Verdict, d.Reason = Drop, ReasonOverloaded
	case f.isAboveCallerShare:
		d.Reason = ReasonCallerShare
	default:
		d.Reason = ReasonFull
	}
	return d
}

// RefusedFlow tells by what a new flow was refused. The load and the response time are
// those of the first candidate.
type RefusedFlow struct {
	// Load is the number of requests per slot in tenths.
	Load int
	// Response is the time until the first response, 0 if it is unknown.
	Response time.Duration
	// ReportAge is the age of the candidate's load report.
	ReportAge time.Duration
	// Elapsed is the time since the caller's first SYN.
	Elapsed time.Duration
	// BelowShare is set if the listener used less than its reserved share.
	BelowShare bool
}
