package segment

import (
	"net/netip"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// BalancerDump is the state of a balancer.
type BalancerDump struct {
	Callers   netip.AddrPort           `json:"callers"`
	Envelopes netip.AddrPort           `json:"envelopes"`
	Ready     bool                     `json:"ready"`
	Services  map[string]proto.Service `json:"services"`
	Counters  any                      `json:"counters"`
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
		Callers: b.callers.Addr(), Envelopes: b.conn.Addr(), Ready: b.Ready(), Services: services, Counters: b.Counters(),
	}
}

// Counters returns the counts of the role.
func (b *Balancer) Counters() any {
	return BalancerCounters{
		Decisions: b.decisions.byName(), Returned: b.decisions.returned.Load(), Resets: b.decisions.resets.Load(),
		Notes: b.decisions.notes.Load(), Failed: b.counts.failed.Load(), Refused: b.counts.refused.Load(),
		Garbled: b.counts.garbled.Load(), Flows: b.router.CachedFlows(), Placing: b.placing.Summary(),
	}
}

// AgentDump is the state of an agent.
type AgentDump struct {
	Instance Instance       `json:"instance"`
	Service  view.ServiceID `json:"service"`
	Standing string         `json:"standing"`
	Ended    bool           `json:"ended"`
	Counters any            `json:"counters"`
}

// Dump returns the state of the role.
func (a *Agent) Dump() any {
	a.mu.Lock()
	d := AgentDump{Instance: a.instance, Service: a.service}
	a.mu.Unlock()
	d.Standing, d.Ended, d.Counters = a.host.State().String(), a.host.IsDown(), a.Counters()
	return d
}

// Counters returns the counts of the role.
func (a *Agent) Counters() any {
	load := a.host.Load()
	return AgentCounters{
		Delivered: a.delivered.Load(), Replied: a.replied.Load(), Returned: a.sentBack.Load(), Bounced: a.bounced.Load(),
		Reports: a.reports.Load(), Failed: a.counts.failed.Load(),
		Refused: a.counts.refused.Load(), Garbled: a.counts.garbled.Load(),
		Flows: load.Flows, Running: load.RunningRequests, Answering: a.answering.Summary(),
	}
}
