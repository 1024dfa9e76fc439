package control

import (
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// evacuatedZones returns the zones that operators have evacuated, sorted.
func (c *configuration) evacuatedZones() []string {
	var zones []string
	for i := range c.evacuations {
		zones = append(zones, c.evacuations[i].Zone)
	}
	return zones
}

// evacuatedSince returns when each evacuated zone was evacuated, by the clock of the
// operator's control process.
func (c *configuration) evacuatedSince() map[string]time.Time {
	since := make(map[string]time.Time, len(c.evacuations))
	for i := range c.evacuations {
		since[c.evacuations[i].Zone] = c.evacuations[i].ProposedAt
	}
	return since
}

// evacuateZones puts the evacuations in force. The views and what agents are told go out
// at once, and in the same batch. The caller holds the lock.
func (c *term) evacuateZones() {
	zones := c.configuration.evacuatedZones()
	if !c.registry.SetEvacuatedZones(zones) {
		return
	}
	c.options.Log.Info("Changed the evacuated zones.", zap.Strings("zones", zones))
	if len(zones) == 0 {
		c.check(c.publisher.Delete(proto.ZonesKey))
	} else {
		c.check(c.publisher.Publish(func(at view.Version) (dissemination.Item, error) {
			return proto.ZonesItem(proto.Zones{Evacuated: zones}, at)
		}))
	}
	c.publishViews()
}
