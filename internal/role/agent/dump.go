package agent

import (
	"net/netip"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/gateway"
)

// Dump is the state of an agent for the admin interface.
type Dump struct {
	ID          string           `json:"id"`
	Service     string           `json:"service"`
	ServiceID   view.ServiceID   `json:"service_id"`
	Incarnation view.Incarnation `json:"incarnation"`
	Packets     netip.AddrPort   `json:"packets"`
	Requests    netip.AddrPort   `json:"requests"`
	Backend     netip.AddrPort   `json:"backend"`
	// RequestState is the state of requests of a service in request mode.
	RequestState gateway.AgentState `json:"requested"`
	// Flows is the number of open flow sockets to the backend server.
	Flows int `json:"flows"`
	// View is the version of the active view, and Draining whether the agent
	// announces that it drains.
	View     view.Version `json:"view"`
	Draining bool         `json:"draining"`
	// FlowsByOwner counts the flows in this agent's table by owner: first those
	// that it owns, then those with a pointer to another owner.
	FlowsByOwner []OwnerFlows `json:"holdings"`
	// UnacknowledgedPointers is the number of pointers to this agent's flows whose
	// recipients have not acknowledged them yet.
	UnacknowledgedPointers int `json:"unacknowledged_pointers"`
	// FlowStats counts the flow table's decisions, Dropped the packets that it
	// dropped by reason, and PointerStats the pointers pushed.
	FlowStats    flow.Stats        `json:"decisions"`
	Dropped      map[string]uint64 `json:"dropped"`
	PointerStats locator.Stats     `json:"pushes"`
	Counters     Counters          `json:"counters"`
}

// OwnerFlows is the number of flows of an owner.
type OwnerFlows struct {
	// Owner is the backend server's ID, or the agent's address if the active view
	// does not contain it.
	Owner string `json:"owner"`
	Flows int    `json:"flows"`
}

// Counters is a snapshot of Stats and the number of open tunnels.
type Counters struct {
	Delivered           uint64 `json:"delivered"`
	Replied             uint64 `json:"replied"`
	Rejected            uint64 `json:"refused"`
	Failed              uint64 `json:"failed"`
	Oversize            uint64 `json:"oversize"`
	Relayed             uint64 `json:"relayed"`
	UnresponsiveControl uint64 `json:"silent"`

	ControlSent  uint64 `json:"control_sent"`
	ControlBytes uint64 `json:"control_bytes"`
	Tunnels      int64  `json:"tunnels"`
}

// Dump returns the agent's state, a Dump.
func (a *Agent) Dump() any {
	d := Dump{
		ID:           a.options.ID,
		Service:      a.options.Service,
		ServiceID:    view.ServiceID(a.serviceID.Load()),
		Incarnation:  a.options.Incarnation,
		Packets:      a.envelopes.Addr(),
		Requests:     a.server.Addr(),
		Backend:      a.options.Backend,
		Flows:        a.sockets.count(),
		Counters:     a.counters(),
		RequestState: a.requests.State(),

		Draining:               a.isDraining.Load(),
		FlowsByOwner:           a.ownership.flowsByOwner(a.options.ID),
		UnacknowledgedPointers: a.ownership.pusher.UnacknowledgedPointers(),
		FlowStats:              a.ownership.flows.Stats(),
		Dropped:                a.ownership.flows.Stats().Dropped.ByName(),
		PointerStats:           a.ownership.pusher.Stats(),
	}
	if v := a.ownership.flows.View(); v != nil {
		d.View = v.Version
	}
	return d
}

// flowsByOwner returns the number of flows of each owner in the table.
func (o *ownershipTable) flowsByOwner(self string) []OwnerFlows {
	v := o.flows.View()
	var out []OwnerFlows
	for _, h := range o.flows.FlowsByOwner() {
		name := h.Owner.Addr.String()
		if h.Owner.Seed == o.self.Seed {
			name = self
		} else if v != nil {
			if i := v.IndexOfSeed(h.Owner.Seed); i >= 0 {
				name = v.Members[i].ID
			}
		}
		out = append(out, OwnerFlows{Owner: name, Flows: h.Flows})
	}
	return out
}

// OwnedFlowCount returns the number of flows that the agent owns.
func (a *Agent) OwnedFlowCount() int { return a.ownership.flows.OwnedCount() }

// Counters returns the packet counters, a Counters.
func (a *Agent) Counters() any { return a.counters() }

func (a *Agent) counters() Counters {
	return Counters{
		Delivered:           a.stats.Delivered.Load(),
		Replied:             a.stats.Replied.Load(),
		Rejected:            a.stats.Rejected.Load(),
		Failed:              a.stats.Failed.Load(),
		Oversize:            a.stats.Oversize.Load(),
		Relayed:             a.stats.Relayed.Load(),
		UnresponsiveControl: a.stats.UnresponsiveControl.Load(),

		ControlSent:  a.stats.ControlSent.Load(),
		ControlBytes: a.stats.ControlBytes.Load(),

		Tunnels: a.openTunnels.Load(),
	}
}
