package agent

import (
	"net/netip"

	"fulmarmount.org/core/view"
	"fulmarmount.org/daemon/internal/gateway"
)

// Dump is the state of an agent.
type Dump struct {
	ID          string           `json:"id"`
	Service     string           `json:"service"`
	ServiceID   view.ServiceID   `json:"service_id"`
	Incarnation view.Incarnation `json:"incarnation"`
	Packets     netip.AddrPort   `json:"packets"`
	Requests    netip.AddrPort   `json:"requests"`
	Backend     netip.AddrPort   `json:"backend"`
	Flows       int              `json:"flows"`
	Counters    Counters         `json:"counters"`
	// Requested is what the agent holds of requests in request mode.
	Requested gateway.AgentState `json:"requested"`
}

// Counters are the values of Stats and the open tunnels at one time.
type Counters struct {
	Delivered uint64 `json:"delivered"`
	Replied   uint64 `json:"replied"`
	Refused   uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
	Tunnels   int64  `json:"tunnels"`
}

// Dump returns the agent's state.
func (a *Agent) Dump() any {
	return Dump{
		ID:          a.options.ID,
		Service:     a.options.Service,
		ServiceID:   view.ServiceID(a.service.Load()),
		Incarnation: a.options.Incarnation,
		Packets:     a.envelopes.Addr(),
		Requests:    a.server.Addr(),
		Backend:     a.options.Backend,
		Flows:       a.flows.count(),
		Counters:    a.counters(),
		Requested:   a.requests.State(),
	}
}

// Counters returns the packet counters.
func (a *Agent) Counters() any { return a.counters() }

func (a *Agent) counters() Counters {
	return Counters{
		Delivered: a.stats.Delivered.Load(),
		Replied:   a.stats.Replied.Load(),
		Refused:   a.stats.Refused.Load(),
		Failed:    a.stats.Failed.Load(),
		Tunnels:   a.tunnels.Load(),
	}
}
