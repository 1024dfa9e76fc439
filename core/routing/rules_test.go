package routing

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// Views and balancers together take out no more unfit members than allowed, and members
// that were removed do not count as a part of the service.
func TestEjectedMembersCountAsUnfit(t *testing.T) {
	for _, tt := range []struct {
		name    string
		members int // of which the last is ejected by the view
		removed int
		avoided bool
	}{
		{"one of eight is ejected, two may be", 8, 0, true},
		{"one of four is ejected, one may be", 4, 0, false},
		{"four that are gone", 4, 4, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := servers(1, tt.members)
			before := append(servers(1, tt.members), servers(tt.members+1, tt.members+tt.removed)...)
			list[tt.members-1].Weight = 0
			b := newBalancer(before...)
			b.SetTable(b.Table().WithView(testNow, view.New(testService, view.Version{Epoch: 1, Number: 2}, list)))
			b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: {MaxUnfitPercent: 25}})
			for n := range before {
				isUnfit := n == 0 || n == tt.members-1
				b.ReportLoad(testNow, testService, view.SeedOf(before[n].ID), Load{IsUnfit: isUnfit, RunningRequests: 1})
			}
			gauges := b.MemberGauges(testNow)
			is.Equal(gauges[0].ID, server(1).ID)
			is.Equal(gauges[0].IsAvoided, tt.avoided)
		})
	}
}
