package segment

import (
	"sync/atomic"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/histogram"
)

// counters count what both roles do.
type counters struct {
	failed  atomic.Uint64 // a socket did not take the packet
	refused atomic.Uint64 // envelopes that do not open
	garbled atomic.Uint64 // packets whose header cannot be read
}

// BalancerCounters are the counts of a balancer.
type BalancerCounters struct {
	// Decisions counts segments by the reason of the decision.
	Decisions map[string]uint64 `json:"decisions"`
	Returned  uint64            `json:"returned"`
	Resets    uint64            `json:"resets"`
	Notes     uint64            `json:"notes"`
	Failed    uint64            `json:"failed"`
	Refused   uint64            `json:"refused"`
	Garbled   uint64            `json:"garbled"`
	Flows     int               `json:"flows"`
	// Placing is the time from the first SYN to the word that the flow is held.
	Placing histogram.Summary `json:"placing"`
}

// decisions counts the decisions of a balancer by reason.
type decisions struct {
	byReason []atomic.Uint64
	returned atomic.Uint64
	resets   atomic.Uint64
	notes    atomic.Uint64
}

func newDecisions() *decisions {
	return &decisions{byReason: make([]atomic.Uint64, len(routing.Reasons()))}
}

func (d *decisions) byName() map[string]uint64 {
	out := make(map[string]uint64)
	for _, r := range routing.Reasons() {
		if n := d.byReason[r].Load(); n > 0 {
			out[r.String()] = n
		}
	}
	return out
}

// AgentCounters are the counts of an agent.
type AgentCounters struct {
	Delivered uint64 `json:"delivered"`
	Replied   uint64 `json:"replied"`
	Returned  uint64 `json:"returned"`
	Bounced   uint64 `json:"bounced"`
	Reports   uint64 `json:"reports"`
	Failed    uint64 `json:"failed"`
	Refused   uint64 `json:"refused"`
	Garbled   uint64 `json:"garbled"`
	Flows     uint32 `json:"flows"`
	Running   uint32 `json:"running"`
	// Answering is the time from a request's bytes to the first of its answer.
	Answering histogram.Summary `json:"answering"`
}
