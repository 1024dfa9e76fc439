package routing

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// Members that take no flow leave no room: the others' queues stay bounded.
func TestMembersThatTakeNoFlowLeaveNoRoom(t *testing.T) {
	overloaded := Load{RunningRequests: 10}
	for _, tt := range []struct {
		name string
		idle Load
		want Verdict
	}{
		{"idle", Load{}, Forward},
		{"cold at its limit", Load{IsCold: true}, Drop},
		{"unfit", Load{IsUnfit: true, RunningRequests: 1}, Drop},
		{"all overloaded", overloaded, Drop},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(servers(1, 3)...)
			b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: {MaxUnfitPercent: 50}})
			for n, load := range []Load{overloaded, overloaded, tt.idle} {
				b.ReportLoad(testNow, testService, view.SeedOf(server(n+1).ID), load)
			}
			is.Equal(b.Steer(testNow, syn(1)).Verdict, tt.want)
		})
	}
}
