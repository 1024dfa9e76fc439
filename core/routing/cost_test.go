package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// placements places flows that stay open, with a report of each after it, and returns how
// many each member got.
func placements(b *Balancer, flows int, serviceTime func(member int) uint32) map[uint64]uint32 {
	placed := make(map[uint64]uint32)
	now := time.Second
	for n := range flows {
		now += 2 * placementTTL
		for member := range 4 {
			seed := view.SeedOf(server(member + 1).ID)
			b.ReportLoad(now, testService, seed, Load{Flows: placed[seed], ServiceTime: serviceTime(member)})
		}
		placed[b.Steer(now, syn(n)).To.Seed]++
	}
	return placed
}

func TestPlacementFollowsMeasuredCapacity(t *testing.T) {
	slowSeed := view.SeedOf(server(1).ID)
	slowFirst := func(member int) uint32 {
		if member == 0 {
			return 87_000
		}
		return 40_000
	}
	for _, tt := range []struct {
		name        string
		isMeasured  bool
		serviceTime func(member int) uint32
		min, max    uint32 // of 400 flows on the first member
	}{
		{"not asked for", false, slowFirst, 95, 105},
		{"nothing known", true, func(int) uint32 { return 0 }, 95, 105},
		{"one slow", true, slowFirst, 45, 70},
		{"one slow, others unknown", true, func(member int) uint32 { return slowFirst(member) * uint32(1-min(member, 1)) }, 95, 105},
		{"one unknown", true, func(member int) uint32 { return 40_000 * uint32(min(member, 1)) }, 95, 105},
		{"equal but for chance", true, func(member int) uint32 { return 40_000 + 3_000*uint32(member) }, 95, 105},
		{"one answers at once", true, func(member int) uint32 { return []uint32{1, 40_000, 40_000, 40_000}[member] }, 95, 170},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(servers(1, 4)...)
			b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: {MeasuredCapacity: tt.isMeasured}})
			got := placements(b, 400, tt.serviceTime)[slowSeed]
			t.Log("flows on the first member", got)
			is.True(got >= tt.min && got <= tt.max)
		})
	}
}

// All of a service's flows go to its only member, however slow.
func TestSingleMemberGetsAllFlows(t *testing.T) {
	is := is.New(t)
	b := newBalancer(server(1))
	b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: {MeasuredCapacity: true}})
	got := placements(b, 50, func(int) uint32 { return 4_000_000 })
	is.Equal(got[view.SeedOf(server(1).ID)], uint32(50))
}

func TestMemberGaugesTellHowFlowsArePlaced(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 4)...)
	b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: {MeasuredCapacity: true, MaxUnfitPercent: 25}})
	is.Equal(len(b.MemberGauges(testNow)), 0) // none has reported
	for n, load := range []Load{{ServiceTime: 80_000}, {ServiceTime: 40_000, IsUnfit: true}, {ServiceTime: 40_000}, {ServiceTime: 40_000}} {
		b.ReportLoad(testNow, testService, view.SeedOf(server(n+1).ID), load)
	}
	gauges := b.MemberGauges(testNow + time.Second)
	is.Equal(len(gauges), 4)
	is.Equal(gauges[0].ID, server(1).ID)
	is.Equal(gauges[0].Age, time.Second)
	is.Equal(gauges[0].Pace, uint64(2*fullPace))
	is.True(gauges[1].IsAvoided)
	is.Equal(gauges[2].Pace, uint64(fullPace))
}
