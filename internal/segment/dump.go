package segment

import (
	"net/netip"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// BalancerDump is the state of a balancer in a dump.
type BalancerDump struct {
	CallerAddr   netip.AddrPort           `json:"callers"`
	EnvelopeAddr netip.AddrPort           `json:"envelopes"`
	Ready        bool                     `json:"ready"`
	Services     map[string]proto.Service `json:"services"`
	Counters     any                      `json:"counters"`
	// Members are the backend servers that have reported their load.
	Members []routing.MemberGauge `json:"members"`
}

// Dump returns the state of the role.
func (b *Balancer) Dump() any {
	b.mu.RLock()
	defer b.mu.RUnlock()
	services := make(map[string]proto.Service, len(b.services))
	for name, s := range b.services {
		services[name] = s
	}
	return BalancerDump{
		CallerAddr: b.callers.Addr(), EnvelopeAddr: b.conn.Addr(), Ready: b.Ready(), Services: services, Counters: b.Counters(),
		Members: b.router.MemberGauges(b.elapsed()),
	}
}

// Counters returns the counts of the role.
func (b *Balancer) Counters() any {
	return BalancerCounters{
		Decisions: b.decisionCounters.countsByReason(), RefusedFlows: b.refusals.counts(), Returned: b.decisionCounters.returned.Load(), Resets: b.decisionCounters.resets.Load(),
		Notifications: b.decisionCounters.notifications.Load(), Failed: b.counters.socketErrors.Load(), Refused: b.counters.rejectedEnvelopes.Load(),
		Garbled: b.counters.malformedPackets.Load(), CachedFlows: b.router.CachedFlows(), ColdMembers: b.router.ColdMembers(b.elapsed()), PlacementLatency: b.placementLatency.Summary(),
		Queries: b.decisionCounters.queries.Load(), Start: b.phases.Ended(),
	}
}

// AgentDump is the state of an agent in a dump.
type AgentDump struct {
	Report      BackendReport  `json:"instance"`
	Service     view.ServiceID `json:"service"`
	State       string         `json:"standing"`
	BackendDown bool           `json:"ended"`
	// ZoneEvacuated is set while operators have evacuated the agent's zone.
	ZoneEvacuated bool `json:"zone_evacuated"`
	// Judgement is what the agent thinks of its backend server, and why.
	Judgement routing.Judgement `json:"judgement"`
	Counters  any               `json:"counters"`
}

// Dump returns the state of the role.
func (a *Agent) Dump() any {
	a.mu.Lock()
	d := AgentDump{Report: a.report, Service: a.service}
	a.mu.Unlock()
	d.Judgement = a.steer.Judgement()
	d.State, d.BackendDown, d.Counters = a.steer.State().String(), a.steer.IsDown(), a.Counters()
	d.ZoneEvacuated = a.steer.IsZoneEvacuated()
	return d
}

// Counters returns the counts of the role.
func (a *Agent) Counters() any {
	load, judgement := a.steer.Load(), a.steer.Judgement()
	return AgentCounters{
		Delivered: a.delivered.Load(), Replied: a.replied.Load(), Returned: a.returned.Load(), Bounced: a.bounced.Load(),
		Refusals: a.refused.counts(), ZoneEvacuated: a.steer.IsZoneEvacuated(),
		Cold: load.IsCold, NewFlowAllowance: load.NewFlowAllowance,
		Reports: a.reports.Load(), Failed: a.counters.socketErrors.Load(),
		Refused: a.counters.rejectedEnvelopes.Load(), Garbled: a.counters.malformedPackets.Load(),
		Flows: load.Flows, RunningRequests: load.RunningRequests, ResponseLatency: a.responseLatency.Summary(),
		ServiceTime: load.ServiceTime, Unfitness: uint8(judgement.Unfitness),
		Start: a.phases.Ended(),
	}
}
