package agent

import (
	"net/netip"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/gateway"
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
	// RequestState is what the agent holds of requests in request mode.
	RequestState gateway.AgentState `json:"requested"`
	// Flows is the number of sockets to the backend server.
	Flows int `json:"flows"`
	// View is the newest view adopted, Draining whether the agent asks to leave.
	View     view.Version `json:"view"`
	Draining bool         `json:"draining"`
	// FlowsByOwner are the flows known here by owner: those owned here first, then
	// those known to be owned by others.
	FlowsByOwner []OwnerFlows `json:"holdings"`
	// UnacknowledgedPointers is the number of pointers to flows owned here whose
	// receipt is not known yet.
	UnacknowledgedPointers int `json:"unacknowledged_pointers"`
	// FlowStats count what the flow table decided, Dropped the packets it
	// refused by reason, Pushes what was pushed.
	FlowStats    flow.Stats        `json:"decisions"`
	Dropped      map[string]uint64 `json:"dropped"`
	PointerStats locator.Stats     `json:"pushes"`
	Counters     Counters          `json:"counters"`
}

// OwnerFlows is the number of flows of one owner.
type OwnerFlows struct {
	// Owner is the backend server's ID, or the agent's address where the view
	// in force does not hold it.
	Owner string `json:"owner"`
	Flows int    `json:"flows"`
}

// Counters are the values of Stats and the open tunnels at one time.
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

// Dump returns the agent's state.
func (a *Agent) Dump() any {
	d := Dump{
		ID:           a.options.ID,
		Service:      a.options.Service,
		ServiceID:    view.ServiceID(a.service.Load()),
		Incarnation:  a.options.Incarnation,
		Packets:      a.envelopes.Addr(),
		Requests:     a.server.Addr(),
		Backend:      a.options.Backend,
		Flows:        a.flows.count(),
		Counters:     a.counters(),
		RequestState: a.requests.State(),

		Draining:               a.draining.Load(),
		FlowsByOwner:           a.owner.holdings(a.options.ID),
		UnacknowledgedPointers: a.owner.pusher.UnacknowledgedPointers(),
		FlowStats:              a.owner.flows.Stats(),
		Dropped:                a.owner.flows.Stats().Dropped.ByName(),
		PointerStats:           a.owner.pusher.Stats(),
	}
	if v := a.owner.flows.View(); v != nil {
		d.View = v.Version
	}
	return d
}

// holdings names the owners of the flows known here.
func (o *owner) holdings(self string) []OwnerFlows {
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

// OwnedFlowCount returns the number of flows owned.
func (a *Agent) OwnedFlowCount() int { return a.owner.flows.OwnedCount() }

// Counters returns the packet counters.
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

		Tunnels: a.tunnels.Load(),
	}
}
