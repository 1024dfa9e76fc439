package segment

import (
	"slices"
	"sync/atomic"

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

// refusalCounters count the refused segments of an agent by reason.
type refusalCounters struct {
	byReason [routing.RefusalCount]atomic.Uint64
}

func (r *refusalCounters) count(reason routing.Refusal) { r.byReason[reason].Add(1) }

// counts returns the counts by the reasons' names.
func (r *refusalCounters) counts() map[string]uint64 {
	out := make(map[string]uint64)
	for i := range r.byReason {
		if n := r.byReason[i].Load(); n > 0 {
			out[routing.Refusal(i).String()] = n
		}
	}
	return out
}
