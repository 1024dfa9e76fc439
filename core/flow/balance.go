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
	if c == nil || c.selfIndex < 0 || c.view.Resting() {
		return
	}
	flows := make(map[uint64]float64, len(loads))
	for _, l := range loads {
		flows[l.Seed] = float64(l.Flows)
	}
	a.rebalance.Store(newRebalancePlan(c, flows, a.options.Self.Seed))
}

func newRebalancePlan(c *adoptedView, flows map[uint64]float64, self uint64) *rebalancePlan {
	b := &rebalancePlan{view: c.view}
	total, weights := 0.0, 0.0
	for _, t := range c.view.Targets() {
		if n, ok := flows[t.Seed]; ok {
			total += n
			weights += float64(t.Weight)
		}
	}
	if weights == 0 {
		return b
	}
	for _, t := range c.view.Targets() {
		n, ok := flows[t.Seed]
		fair := total * float64(t.Weight) / weights
		switch {
		case !ok:
		case t.Seed == self && n > fair*(1+divertThreshold):
			b.quota.Store(int64(n - fair))
		case t.Seed != self && fair-n >= 1:
			b.underloaded = append(b.underloaded, view.Target{Seed: t.Seed, Weight: uint32(fair - n), Index: t.Index})
		}
	}
	return b
}

// divert returns the agent that a new flow is placed on to balance load, if
// any.
func (r *request) divert(current *adoptedView) (Peer, bool) {
	b := r.agent.rebalance.Load()
	if b == nil || current == nil || r.packet.Ballot != (Ballot{Version: current.view.Version}) || b.view != current.view || b.quota.Load() <= 0 {
		return Peer{}, false
	}
	i := placement.PickTarget(r.id.Key, b.underloaded)
	if i == placement.None {
		return Peer{}, false
	}
	p := PeerOf(b.view, i)
	if !r.canQuery(p) {
		return Peer{}, false
	}
	b.quota.Add(-1)
	return p, true
}
