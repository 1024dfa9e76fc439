package control

import (
	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// SetServices replaces the services, for a process without replicated state.
func (c *Control) SetServices(services []proto.Service) {
	if t := c.current(); t != nil {
		t.setServices(services)
	}
}

// SetDrained replaces the set of backend servers that operators have drained,
// for a process without replicated state.
func (c *Control) SetDrained(ids []string) {
	t := c.current()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.SetDrained(ids)
}

// SetEvacuations replaces the evacuated availability zones, for a process without
// replicated state.
func (c *Control) SetEvacuations(evacuations []fleet.Evacuation) {
	t := c.current()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.configuration.evacuations = evacuations
	t.evacuateZones()
}

// SetWeights replaces the weights, relative to view.FullWeight, of backend
// servers whose capacity differs from the default, for a process without
// replicated state.
func (c *Control) SetWeights(weights map[string]uint32) {
	t := c.current()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.SetWeightFunc(func(a *view.Announcement) uint32 {
		if w, ok := weights[a.ID]; ok {
			return w
		}
		return view.FullWeight
	})
}
