package control

import (
	"maps"
	"net/netip"
	"slices"

	"fulmarmount.org/core/view"
	"fulmarmount.org/daemon/internal/proto"
)

// Dump is the state of a control process.
type Dump struct {
	Listen   netip.AddrPort  `json:"listen"`
	Version  view.Version    `json:"version"`
	Revision uint64          `json:"revision"`
	Services []proto.Service `json:"services"`
	Views    []*view.View    `json:"views"`
}

// Dump returns the state of the process.
func (c *Control) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Dump{
		Listen:   c.server.Addr(),
		Version:  c.publisher.Position(),
		Revision: c.configuration.revision,
		Services: slices.Collect(maps.Values(c.services)),
		Views:    slices.Collect(maps.Values(c.views)),
	}
}

// Counters are the sizes of what a control process holds.
type Counters struct {
	Members int `json:"members"`
	Views   int `json:"views"`
}

// Counters returns the sizes of what the process holds.
func (c *Control) Counters() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counters{Members: len(c.members), Views: len(c.views)}
}
