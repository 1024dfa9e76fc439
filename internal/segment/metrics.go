package segment

import (
	"sync/atomic"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/histogram"
	"fulmarmount.org/fulmarmount/internal/phases"
)

// counters are the counters of both roles.
type counters struct {
	socketErrors      atomic.Uint64 // failed reads and writes of a socket
	rejectedEnvelopes atomic.Uint64 // envelopes that do not authenticate or have an unexpected kind
	malformedPackets  atomic.Uint64 // packets or messages that cannot be decoded
}

// BalancerCounters are the counters of a balancer.
type BalancerCounters struct {
	// Decisions counts segments by the reason of the decision.
	Decisions map[string]uint64 `json:"decisions"`
	// RefusedFlows counts the SYNs refused for want of room by listener and reason.
	RefusedFlows  map[string]map[string]uint64 `json:"refused_flows,omitempty"`
	Returned      uint64                       `json:"returned"`
	Resets        uint64                       `json:"resets"`
	Notifications uint64                       `json:"notes"`
	Failed        uint64                       `json:"failed"`
	Refused       uint64                       `json:"refused"`
	Garbled       uint64                       `json:"garbled"`
	CachedFlows   int                          `json:"flows"`
	// ColdMembers is the number of backend servers that have reported to be cold.
	ColdMembers int `json:"cold"`
	// Queries counts the questions to members whether they own a flow.
	Queries uint64 `json:"queries"`
	// PlacementLatency is the time from the first SYN to the notification of the
	// flow's owner.
	PlacementLatency histogram.Summary `json:"placing"`
	// Start tells when the phases of the start have ended.
	Start []phases.Phase `json:"start"`
}

// decisionCounters counts the decisions of a balancer.
type decisionCounters struct {
	byReason      []atomic.Uint64
	returned      atomic.Uint64
	queries       atomic.Uint64
	resets        atomic.Uint64
	notifications atomic.Uint64
}

func newDecisionCounters() *decisionCounters {
	return &decisionCounters{byReason: make([]atomic.Uint64, len(routing.Reasons()))}
}

func (d *decisionCounters) countsByReason() map[string]uint64 {
	out := make(map[string]uint64)
	for _, r := range routing.Reasons() {
		if n := d.byReason[r].Load(); n > 0 {
			out[r.String()] = n
		}
	}
	return out
}

// AgentCounters are the counters of an agent.
type AgentCounters struct {
	Delivered uint64 `json:"delivered"`
	Replied   uint64 `json:"replied"`
	Returned  uint64 `json:"returned"`
	// Refusals counts the returned segments by reason.
	Refusals map[string]uint64 `json:"refusals,omitempty"`
	// ZoneEvacuated is set while operators have evacuated the agent's zone.
	ZoneEvacuated bool `json:"zone_evacuated"`
	// Cold is set while the backend server warms up under a limit of new flows.
	// NewFlowAllowance is the number that it takes at the moment.
	Cold             bool   `json:"cold"`
	NewFlowAllowance uint16 `json:"new_flow_allowance"`
	Bounced          uint64 `json:"bounced"`
	Reports          uint64 `json:"reports"`
	Failed           uint64 `json:"failed"`
	Refused          uint64 `json:"refused"`
	Garbled          uint64 `json:"garbled"`
	Flows            uint32 `json:"flows"`
	RunningRequests  uint32 `json:"running"`
	// ResponseLatency is the time from the last segment of a request to the first
	// segment of its response.
	ResponseLatency histogram.Summary `json:"answering"`
	// ServiceTime is the estimated time in microseconds that a request occupies a slot;
	// 0 while it is unknown.
	ServiceTime uint32 `json:"service_time"`
	// Unfitness is the agent's judgement: 0 fit, 1 hung, 2 failing.
	Unfitness uint8 `json:"unfitness"`
	// Start tells when the phases of the start have ended.
	Start []phases.Phase `json:"start"`
}

// refusalCounters count the refused segments of an agent by reason.
type refusalCounters struct {
	byReason [routing.RefusalCount]atomic.Uint64
}

func (r *refusalCounters) count(reason routing.Refusal) { r.byReason[reason].Add(1) }

// counts returns the counts by the reasons' names.
func (r *refusalCounters) counts() map[string]uint64 {
	out := make(map[string]uint64)
	for i := range r.byReason {
		if n := r.byReason[i].Load(); n > 0 {
			out[routing.Refusal(i).String()] = n
		}
	}
	return out
}
