package segment

import (
	"slices"

	"go.uber.org/zap"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// setZones tells the agent whether operators have evacuated its availability zone.
func (a *Agent) setZones(zones *proto.Zones) {
	evacuated := slices.Contains(zones.Evacuated, a.options.Zone)
	if !a.steer.SetZoneEvacuated(evacuated) {
		return
	}
	message := "The zone is no longer evacuated: new flows are accepted."
	if evacuated {
		message = "The zone is evacuated: new flows are refused."
	}
	a.options.Log.Info(message, zap.String("zone", a.options.Zone), zap.Uint32("flows", a.steer.Load().Flows),
		zap.Uint64("refused", a.refused.byReason[routing.RefusalZoneEvacuated].Load()))
}
