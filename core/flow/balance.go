package flow

import (
	"sync/atomic"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// divertThreshold is the relative excess over the fair share of flows above
// which an agent places new flows on other agents.
const divertThreshold = 0.01

// rebalancePlan is the number of new flows that one load report allows this
// agent to place elsewhere, and the agents that may receive them.
type rebalancePlan struct {
	quota       atomic.Int64  // new flows still to be placed elsewhere
	underloaded []view.Target // agents below their fair share; the weights are the deficits
	view        *view.View    // the view that Target.Index refers to
}

// SetLoads applies a report of the loads of a service's agents, all measured at
// about the same time. An agent whose load exceeds its fair share by weight
// places as many new flows as it has in excess on agents below their share,
// until the next report.
func (a *Agent) SetLoads(loads []view.Load) {
	c := a.current.Load()
	if c == nil || c.selfIndex < 0 || c.view.IsDrainOnly() {
		return
	}
	flows := make(map[uint64]float64, len(loads))
	for _, l := range loads {
		flows[l.Seed] = float64(l.Flows)
	}
	a.rebalance.Store(newRebalancePlan(c, flows, a.options.Self.Seed))
}

func newRebalancePlan(c *adoptedView, flows map[uint64]float64, self uint64) *rebalancePlan {
	plan := &rebalancePlan{view: c.view}
	totalFlows, totalWeight := 0.0, 0.0
	for _, t := range c.view.Targets() {
		if n, ok := flows[t.Seed]; ok {
			totalFlows += n
			totalWeight += float64(t.Weight)
		}
	}
	if totalWeight == 0 {
		return plan
	}
	for _, t := range c.view.Targets() {
		n, ok := flows[t.Seed]
		fairShare := totalFlows * float64(t.Weight) / totalWeight
		switch {
		case !ok:
		case t.Seed == self && n > fairShare*(1+divertThreshold):
			plan.quota.Store(int64(n - fairShare))
		case t.Seed != self && fairShare-n >= 1:
			plan.underloaded = append(plan.underloaded, view.Target{Seed: t.Seed, Weight: uint32(fairShare - n), Index: t.Index})
		}
	}
	return plan
}

// divert returns the agent that a new flow is placed on to balance load, if
// any.
func (r *request) divert(current *adoptedView) (Peer, bool) {
	plan := r.agent.rebalance.Load()
	if plan == nil || current == nil || r.packet.Ballot != (Ballot{Version: current.view.Version}) || plan.view != current.view || plan.quota.Load() <= 0 {
		return Peer{}, false
	}
	i := placement.PickTarget(r.id.Key, plan.underloaded)
	if i == placement.None {
		return Peer{}, false
	}
	peer := PeerOf(plan.view, i)
	if !r.canQuery(peer) {
		return Peer{}, false
	}
	plan.quota.Add(-1)
	return peer, true
}
