package flow

import (
	"sync/atomic"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// divertAbove is the excess of flows over the fair share, as a part of it,
// above which an agent places new flows on others.
const divertAbove = 0.01

// balance is what one report of loads allows.
type balance struct {
	quota atomic.Int64  // flows left to place elsewhere
	under []view.Target // agents below their share; weights are the deficits
	view  *view.View    // the view that Target.Index refers to
}

// SetLoads takes a report of the loads of a service's agents, all of about one
// moment. An agent whose load exceeds its fair share by weight places as many
// new flows as it has too many on agents below theirs, until the next report.
func (a *Agent) SetLoads(loads []view.Load) {
	c := a.current.Load()
	if c == nil || c.self < 0 || c.view.IsDrainOnly() {
		return
	}
	flows := make(map[uint64]float64, len(loads))
	for _, l := range loads {
		flows[l.Seed] = float64(l.Flows)
	}
	a.balance.Store(newBalance(c, flows, a.options.Self.Seed))
}

func newBalance(c *adopted, flows map[uint64]float64, self uint64) *balance {
	b := &balance{view: c.view}
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
		case t.Seed == self && n > fair*(1+divertAbove):
			b.quota.Store(int64(n - fair))
		case t.Seed != self && fair-n >= 1:
			b.under = append(b.under, view.Target{Seed: t.Seed, Weight: uint32(fair - n), Index: t.Index})
		}
	}
	return b
}

// divert returns the agent that a new flow is placed on for balance, if any.
func (r *request) divert(current *adopted) (Peer, bool) {
	b := r.agent.balance.Load()
	if b == nil || current == nil || r.packet.Ballot != (Ballot{Version: current.view.Version}) || b.view != current.view || b.quota.Load() <= 0 {
		return Peer{}, false
	}
	i := placement.PickTarget(r.id.Key, b.under)
	if i == placement.None {
		return Peer{}, false
	}
	p := PeerOf(b.view, i)
	if !r.askable(p) {
		return Peer{}, false
	}
	b.quota.Add(-1)
	return p, true
}
