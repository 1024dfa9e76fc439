package control

import (
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// setFlowLimited tells the registry which services have a limit of new flows for cold
// backend servers. Agents of mode segment alone hold it. The caller holds the lock.
func (c *term) setFlowLimited(services []proto.Service) {
	ids := make(map[view.ServiceID]bool)
	for i := range services {
		if s := &services[i]; s.Mode == proto.ModeSegment && s.Settings.WarmupFlowLimit > 0 {
			ids[s.ID] = true
		}
	}
	c.registry.SetFlowLimited(ids)
}
