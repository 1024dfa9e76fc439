package locator_test

import (
	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

// change makes one planned or unplanned change of the membership.
func (w *world) change(kill bool) {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch choice := w.rng.IntN(9); {
	case choice == 0 && kill && h.alive && w.serving() > 2:
		h.alive, h.diedAt = false, w.now
	case choice == 8 && kill && w.serving() > 4:
		w.loseZone(h.index % zones)
	case choice <= 2:
		w.startBalancer(w.rng.IntN(len(w.balancers)))
		return
	case !h.alive:
		return
	case choice == 3 && h.state == view.Ready && w.serving() > 2:
		h.state, h.weight = view.Draining, 0
	case choice == 4 && h.state == view.Draining:
		h.state, h.weight = view.Ready, view.FullWeight
	case h.state == view.Ready:
		h.weight = 25 * uint32(1+w.rng.IntN(6))
	default:
		return
	}
	w.publish()
}

func (w *world) loseZone(zone int) {
	for i := zone; i < len(w.hosts); i += zones {
		if w.hosts[i].alive {
			w.hosts[i].alive, w.hosts[i].diedAt = false, w.now
		}
	}
}

// end lets an owner end one flow.
func (w *world) end(t flow.Tuple) {
	if o, ok := w.owners[t]; ok && w.lives(o) {
		w.hosts[o.host].agent.RemoveFlow(t.ID())
		delete(w.owners, t)
	}
}

// report tells the agents each other's loads.
func (w *world) report() {
	var loads []view.Load
	for _, h := range w.hosts {
		if h.alive {
			loads = append(loads, view.Load{Seed: view.SeedOf(h.id()), Flows: uint32(h.agent.OwnedCount())})
		}
	}
	for _, h := range w.hosts {
		if h.alive {
			h.agent.SetLoads(loads)
		}
	}
}

func (w *world) serving() (n int) {
	for _, h := range w.hosts {
		if h.alive && h.state == view.Ready {
			n++
		}
	}
	return n
}
