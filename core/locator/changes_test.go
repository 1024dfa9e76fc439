package locator_test

import (
	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

// changeMembership makes one random change of the membership, or starts a balancer.
func (sim *simulation) changeMembership(withFailures bool) {
	h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	switch choice := sim.rng.IntN(9); {
	case choice == 0 && withFailures && h.alive && sim.readyHosts() > 2:
		h.alive, h.failedAt = false, sim.now
	case choice == 8 && withFailures && sim.readyHosts() > 4:
		sim.failZone(h.index % zoneCount)
	case choice <= 2:
		sim.startBalancer(sim.rng.IntN(len(sim.balancers)))
		return
	case !h.alive:
		return
	case choice == 3 && h.state == view.Ready && sim.readyHosts() > 2:
		h.state, h.weight = view.Draining, 0
	case choice == 4 && h.state == view.Draining:
		h.state, h.weight = view.Ready, view.FullWeight
	case h.state == view.Ready:
		h.weight = 25 * uint32(1+sim.rng.IntN(6))
	default:
		return
	}
	sim.publish()
}

func (sim *simulation) failZone(zone int) {
	for i := zone; i < len(sim.hosts); i += zoneCount {
		if sim.hosts[i].alive {
			sim.hosts[i].alive, sim.hosts[i].failedAt = false, sim.now
		}
	}
}

// endFlow ends one flow at its owner.
func (sim *simulation) endFlow(t flow.Tuple) {
	if o, ok := sim.owners[t]; ok && sim.isAlive(o) {
		sim.hosts[o.host].agent.RemoveFlow(t.ID())
		delete(sim.owners, t)
	}
}

// reportLoads sends the loads of all agents to every agent.
func (sim *simulation) reportLoads() {
	var loads []view.Load
	for _, h := range sim.hosts {
		if h.alive {
			loads = append(loads, view.Load{Seed: view.SeedOf(h.id()), Flows: uint32(h.agent.OwnedCount())})
		}
	}
	for _, h := range sim.hosts {
		if h.alive {
			h.agent.SetLoads(loads)
		}
	}
}

// readyHosts returns the number of hosts that are alive and in state view.Ready.
func (sim *simulation) readyHosts() (n int) {
	for _, h := range sim.hosts {
		if h.alive && h.state == view.Ready {
			n++
		}
	}
	return n
}
