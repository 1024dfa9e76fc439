package routing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

const (
	testService  view.ServiceID = 1
	otherService view.ServiceID = 2
	testNow                     = time.Second
)

var address = netip.MustParseAddrPort("198.18.0.1:8443")

// server returns backend server n.
func server(n int) view.BackendServer {
	return view.BackendServer{
		ID: fmt.Sprint("host-", n), Zone: "a", Incarnation: view.Incarnation(n), State: view.Ready,
		Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000), Weight: view.FullWeight, Slots: 4,
	}
}

func servers(from, to int) []view.BackendServer {
	var out []view.BackendServer
	for n := from; n <= to; n++ {
		out = append(out, server(n))
	}
	return out
}

// newBalancer returns a balancer that routes address to testService with members.
func newBalancer(members ...view.BackendServer) *Balancer {
	b := NewBalancer("a")
	b.SetTable(b.Table().WithRoutes(Routes{address: {Services: []WeightedService{{Service: testService, Weight: 1}}}}).
		WithView(0, view.New(testService, view.Version{Epoch: 1, Number: 1}, members)))
	b.ConfirmConfig()
	return b
}

func tuple(n int) flow.Tuple {
	return flow.Tuple{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(1000+n)),
		Service: address,
	}
}

func syn(n int) *Segment  { return &Segment{Tuple: tuple(n), Flags: SYN} }
func data(n int) *Segment { return &Segment{Tuple: tuple(n), Flags: ACK, Length: 100} }

// returnFromAll returns a segment from every member that it is forwarded to, until the
// balancer resets or drops it. probed counts the forwards to each member.
func returnFromAll(b *Balancer, s *Segment) (probed map[flow.Peer]int, last Decision) {
	probed = make(map[flow.Peer]int)
	last = b.Steer(testNow, s)
	for last.Verdict == Forward {
		probed[last.To]++
		last = b.HandleReturn(testNow, s, ReturnInfo{
			Service: last.Service, Seed: last.To.Seed, Hops: last.Hops,
		})
	}
	return probed, last
}

func TestSearchFindsPlacedFlowWithinMaxPlacementCandidates(t *testing.T) {
	is := is.New(t)
	placing, searching := newBalancer(servers(1, 9)...), newBalancer(servers(1, 9)...)
	for n := range 500 {
		// Placements expire before the next flow, so that no member is overloaded.
		placed := placing.Steer(testNow+time.Duration(n)*2*placementTTL, syn(n))
		is.Equal(placed.Verdict, Forward)
		probe := searching.Steer(testNow, data(n))
		probes := 1
		for probe.To != placed.To {
			probes++
			probe = searching.HandleReturn(testNow, data(n), ReturnInfo{Service: testService, Seed: probe.To.Seed, Hops: probe.Hops})
		}
		is.True(probes <= maxPlacementCandidates)
	}
}

func TestFlowIsResetOnlyAfterEveryMemberHasReturnedIt(t *testing.T) {
	is := is.New(t)
	probed, last := returnFromAll(newBalancer(servers(1, 7)...), data(1))
	is.Equal(len(probed), 7)
	is.Equal(last, Decision{Verdict: Reset, Reason: ReasonFlowNotFound})
}

func TestPartialViewPreventsReset(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	v := view.New(testService, view.Version{Epoch: 2, Number: 1}, servers(1, 2))
	v.Partial = true
	b.SetTable(b.Table().WithView(testNow, v))
	_, last := returnFromAll(b, data(1))
	is.Equal(last, Decision{Verdict: Drop, Reason: ReasonPartialView})
	complete := view.New(testService, view.Version{Epoch: 2, Number: 2}, servers(1, 2))
	b.SetTable(b.Table().WithView(testNow, complete))
	_, last = returnFromAll(b, data(1))
	is.Equal(last.Verdict, Reset)
}

func TestGoneAndRemovedMembersAreProbed(t *testing.T) {
	is := is.New(t)
	gone := server(3)
	gone.State, gone.Weight = view.Gone, 0
	probed, _ := returnFromAll(newBalancer(server(1), server(2), gone), data(1))
	is.Equal(len(probed), 3)
	b := newBalancer(servers(1, 3)...)
	b.SetTable(b.Table().WithView(testNow, view.New(testService, view.Version{Epoch: 1, Number: 2}, servers(1, 2))))
	probed, _ = returnFromAll(b, data(1))
	is.Equal(len(probed), 3)
}

func TestMemberWithReusedAddressIsNotProbed(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	successor := server(9)
	successor.Packets = server(3).Packets
	b.SetTable(b.Table().WithView(testNow, view.New(otherService, view.Version{Epoch: 1, Number: 2}, []view.BackendServer{successor})))
	probed, _ := returnFromAll(b, data(1))
	is.Equal(len(probed), 2)
}

func TestServiceOfWeightZeroIsProbed(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 2)...)
	b.SetTable(b.Table().WithView(0, view.New(otherService, view.Version{Epoch: 1, Number: 2}, servers(5, 6))).
		WithRoutes(Routes{address: {Services: []WeightedService{{Service: testService}, {Service: otherService, Weight: 1}}}}))
	probed, last := returnFromAll(b, data(1))
	is.Equal(len(probed), 4)
	is.Equal(last.Verdict, Reset)
	is.Equal(b.Steer(testNow, syn(2)).Service, otherService)
}

func TestSearchSkipsUnresponsiveMembers(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 4)...)
	unresponsive := b.Steer(testNow, data(1)).To
	is.Equal(b.Steer(testNow+probeTimeout/2, data(1)).To, unresponsive) // the answer is still pending
	next := b.Steer(testNow+200*time.Millisecond, data(1))
	is.True(next.To != unresponsive)
	for n := range 50 { // other flows probe it last
		is.True(b.Steer(testNow+200*time.Millisecond, data(100+n)).To != unresponsive)
	}
	// The unresponsive member may own the flow, so it is not reset.
	probed := map[flow.Peer]bool{unresponsive: true}
	for next.Verdict == Forward {
		probed[next.To] = true
		next = b.HandleReturn(testNow+210*time.Millisecond, data(1), ReturnInfo{Service: testService, Seed: next.To.Seed})
	}
	is.Equal(len(probed), 4)
	is.Equal(next, Decision{Verdict: Drop, Reason: ReasonProbeTimeout})
	// A load report restores its place in the search order.
	b.ReportLoad(testNow+220*time.Millisecond, testService, unresponsive.Seed, Load{})
	is.Equal(b.Steer(testNow+220*time.Millisecond, data(1)).To, unresponsive)
}

func TestSegmentsOfOneFlowProbeOneMemberAtATime(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	first := b.Steer(testNow, data(1))
	is.Equal(b.Steer(testNow, data(1)).To, first.To)
	second := b.HandleReturn(testNow, data(1), ReturnInfo{Service: testService, Seed: first.To.Seed})
	is.True(second.To != first.To)
	// The first member returns the other segment too.
	is.Equal(b.HandleReturn(testNow, data(1), ReturnInfo{Service: testService, Seed: first.To.Seed}).To, second.To)
	b.ConfirmOwner(testNow, tuple(1).ID(), testService, second.To.Seed)
	late := b.HandleReturn(testNow, data(1), ReturnInfo{Service: testService, Seed: first.To.Seed})
	is.Equal(late.To, second.To)
	is.Equal(late.Reason, ReasonCachedOwner)
}

func TestRemovedMembersAreProbedLast(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 4)...)
	b.SetTable(b.Table().WithView(testNow, view.New(testService, view.Version{Epoch: 1, Number: 2}, servers(2, 4))))
	for n := range 50 {
		is.True(b.Steer(testNow, data(n)).To.Seed != view.SeedOf("host-1"))
	}
}

func TestSYNs(t *testing.T) {
	t.Run("a retransmission is placed on another member until one has confirmed the flow", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(servers(1, 4)...)
		first := b.Steer(testNow, syn(1))
		retransmitted := syn(1)
		retransmitted.Retransmits = 1
		second := b.Steer(testNow, retransmitted)
		is.True(second.To != first.To)
		b.ConfirmOwner(testNow, tuple(1).ID(), testService, second.To.Seed)
		retransmitted.Retransmits = 2
		is.Equal(b.Steer(testNow, retransmitted).To, second.To)
		is.Equal(b.Steer(testNow, data(1)).To, second.To)
	})
	t.Run("a member that refuses a flow gets no new flows while it is suspect", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(servers(1, 3)...)
		first := b.Steer(testNow, syn(1))
		next := b.HandleReturn(testNow, syn(1), ReturnInfo{Service: testService, Seed: first.To.Seed})
		is.True(next.To != first.To)
		for n := range 20 {
			is.True(b.Steer(testNow, syn(10+n)).To != first.To)
		}
	})
	t.Run("are reset without a member or a route", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer()
		is.Equal(b.Steer(testNow, syn(1)), Decision{Verdict: Reset, Reason: ReasonNoMember})
		unrouted := syn(1)
		unrouted.Tuple.Service = netip.MustParseAddrPort("198.18.0.9:80")
		is.Equal(b.Steer(testNow, unrouted), Decision{Verdict: Reset, Reason: ReasonNoRoute})
	})
	t.Run("are dropped while the view is missing or partial", func(t *testing.T) {
		is := is.New(t)
		b := NewBalancer("a")
		b.SetTable(b.Table().WithRoutes(Routes{address: {Services: []WeightedService{{Service: testService, Weight: 1}}}}))
		b.ConfirmConfig()
		is.Equal(b.Steer(testNow, syn(1)), Decision{Verdict: Drop, Reason: ReasonPartialView})
		v := view.New(testService, view.Version{Epoch: 2, Number: 1}, nil)
		v.Partial = true
		b.SetTable(b.Table().WithView(testNow, v))
		is.Equal(b.Steer(testNow, syn(1)), Decision{Verdict: Drop, Reason: ReasonPartialView})
		b.SetTable(b.Table().WithView(testNow, view.New(testService, view.Version{Epoch: 2, Number: 2}, servers(1, 1))))
		is.Equal(b.Steer(testNow, syn(1)).Verdict, Forward)
	})
	t.Run("are dropped until the configuration is confirmed", func(t *testing.T) {
		is := is.New(t)
		b := NewBalancer("a")
		is.Equal(b.Steer(testNow, syn(1)), Decision{Verdict: Drop, Reason: ReasonConfigUnconfirmed})
	})
}

func TestNewFlowsAreNotPlacedOnBusyMember(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	busy := view.SeedOf("host-2")
	b.ReportLoad(testNow, testService, busy, Load{Flows: 30, RunningRequests: 12})
	for n := range 20 {
		is.True(b.Steer(testNow, syn(n)).To.Seed != busy)
	}
}

func TestSYNsAreDroppedWhileEveryMemberIsOverloaded(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 2)...)
	overload := Load{RunningRequests: 4*firstSYNLimit/10 + 1}
	b.ReportLoad(testNow, testService, view.SeedOf("host-1"), overload)
	is.Equal(b.Steer(testNow, syn(1)).Verdict, Forward) // host-2 is not overloaded
	b.ReportLoad(testNow, testService, view.SeedOf("host-2"), overload)
	retransmitted := syn(2)
	for retransmitted.Retransmits = range uint32(3) {
		is.Equal(b.Steer(testNow, retransmitted), Decision{Verdict: Drop, Reason: ReasonOverloaded})
	}
	is.Equal(b.Steer(testNow, data(1)).Verdict, Forward) // open flows are not affected
	// Agents do not report to a balancer that sends nothing, so an overload report must
	// expire.
	is.Equal(b.Steer(testNow+reportTTL+1, syn(3)).Verdict, Forward)
}

// A caller that retransmits is late already: queue places are reserved for first SYNs.
func TestRetransmittedSYNsGetFreeSlotsOnly(t *testing.T) {
	is := is.New(t)
	b := newBalancer(server(1))
	retransmitted := syn(1)
	retransmitted.Retransmits = 1
	b.ReportLoad(testNow, testService, view.SeedOf("host-1"), Load{RunningRequests: 4})
	is.Equal(b.Steer(testNow, retransmitted), Decision{Verdict: Drop, Reason: ReasonOverloaded})
	is.Equal(b.Steer(testNow, syn(2)).Verdict, Forward)
	b.ReportLoad(testNow+placementTTL+1, testService, view.SeedOf("host-1"), Load{RunningRequests: 3})
	is.Equal(b.Steer(testNow+placementTTL+1, retransmitted).Verdict, Forward)
}

func TestServicesAreSelectedByWeight(t *testing.T) {
	is := is.New(t)
	routes := Routes{address: {Services: []WeightedService{{Service: testService, Weight: 90}, {Service: otherService, Weight: 10}}}}
	counts := make(map[view.ServiceID]int)
	for n := range 2000 {
		id := tuple(n).ID()
		service, ok := selectService(id.Key, routes[address].Services)
		is.True(ok)
		counts[service.Service]++
	}
	is.True(counts[otherService] > 150 && counts[otherService] < 250)
}

// A failed member does not answer, and the caller's next retransmission may reach another
// balancer, so a search must continue without it.
func TestSearchContinuesWithoutTheCaller(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	s := data(1)
	first := b.Steer(testNow, s)
	is.Equal(first.Reason, ReasonSearched)
	is.Equal(len(b.OverdueSearches(testNow+probeTimeout)), 0)
	late := testNow + probeTimeout + 1
	is.Equal(b.OverdueSearches(late), []flow.ID{s.Tuple.ID()})
	second := b.Steer(late, s)
	is.Equal(second.Verdict, Forward)
	is.True(second.To != first.To)
	is.Equal(len(b.OverdueSearches(late)), 0) // the second probe is pending

	b.ConfirmOwner(late, s.Tuple.ID(), testService, second.To.Seed)
	is.Equal(len(b.OverdueSearches(late+time.Second)), 0)
	is.Equal(b.Steer(late+time.Second, s).To, second.To) // the owner is cached
}

func TestSearchWithoutAnswersEndsWithoutReset(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	s := data(1)
	b.Steer(testNow, s)
	var last Decision
	now := testNow
	for range 3 {
		now += probeTimeout + 1
		is.Equal(len(b.OverdueSearches(now)), 1)
		last = b.Steer(now, s)
	}
	is.Equal(last, Decision{Verdict: Drop, Reason: ReasonProbeTimeout})
	is.Equal(len(b.OverdueSearches(now+time.Second)), 0)
}

// Members that are gone may own flows, but rarely answer.
func TestGoneMembersAreProbedLast(t *testing.T) {
	is := is.New(t)
	members := servers(1, 4)
	members[1].State = view.Gone
	b := newBalancer(members...)
	gone := view.SeedOf(members[1].ID)
	for n := range 50 {
		is.True(b.Steer(testNow, data(n)).To.Seed != gone)
	}
	probed, _ := returnFromAll(b, data(100))
	is.Equal(len(probed), 4) // including the one that is gone
}

// After a restart of all processes every flow is searched for, and answers are late under
// that load alone: resumed searches must not add much to it.
func TestResumedSearchesAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	for n := range 1000 {
		b.Steer(testNow, data(n))
	}
	is.Equal(len(b.OverdueSearches(testNow+probeTimeout+1)), maxOverdue)
}

// The load report that comes with the confirmation of a flow includes the flow.
func TestConfirmedFlowIsNotCountedTwice(t *testing.T) {
	is := is.New(t)
	b := newBalancer(server(1))
	seed := view.SeedOf("host-1")
	retransmitted := syn(50)
	retransmitted.Retransmits = 1 // is placed only if a slot is free; the member has four
	for n := range 3 {
		is.Equal(b.Steer(testNow, syn(n)).Verdict, Forward)
		b.ReportLoad(testNow, testService, seed, Load{Flows: uint32(n + 1), RunningRequests: uint32(n + 1)})
		b.ConfirmOwner(testNow, syn(n).Tuple.ID(), testService, seed)
	}
	is.Equal(b.Steer(testNow, retransmitted).Verdict, Forward)
}

// A reset in answer to an RST would be answered in turn, without an end.
func TestRSTOfCallerIsNeverReset(t *testing.T) {
	is := is.New(t)
	rst := data(1)
	rst.Flags = RST | ACK
	_, last := returnFromAll(newBalancer(servers(1, 3)...), rst)
	is.Equal(last, Decision{Verdict: Drop, Reason: ReasonFlowNotFound})
	unrouted := data(1)
	unrouted.Tuple.Service, unrouted.Flags = netip.MustParseAddrPort("198.18.0.9:80"), RST
	is.Equal(newBalancer(server(1)).Steer(testNow, unrouted), Decision{Verdict: Drop, Reason: ReasonNoRoute})
	b := newBalancer(server(1))
	owner := b.Steer(testNow, rst)
	down := b.HandleReturn(testNow, rst, ReturnInfo{Service: testService, Seed: owner.To.Seed, BackendDown: true})
	is.Equal(down.Verdict, Drop)
}

func TestNewFlowTriesMaxPlacementAttempts(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 12)...)
	d := b.Steer(testNow, syn(1))
	attempts := 0
	for d.Verdict == Forward {
		attempts++
		is.True(attempts <= maxPlacementAttempts)
		d = b.HandleReturn(testNow, syn(1), ReturnInfo{Service: testService, Seed: d.To.Seed, Hops: d.Hops})
	}
	is.Equal(attempts, maxPlacementAttempts)
	is.Equal(d, Decision{Verdict: Reset, Reason: ReasonPlacementLimit})
}

// A member that answers late has answered: the caller of a lost flow gets its reset.
func TestLateAnswersCompleteSearch(t *testing.T) {
	for _, tt := range []struct {
		name     string
		lateOnes int // members whose answers come after their probes have timed out
		all      bool
	}{{"one late", 1, true}, {"all late", 3, true}, {"one never", 1, false}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(servers(1, 3)...)
			now := testNow
			var late []Decision
			d := b.Steer(now, data(1))
			for d.Verdict == Forward {
				if len(late) < tt.lateOnes {
					late = append(late, d)
					now += probeTimeout + 1
					d = b.Steer(now, data(1))
					continue
				}
				d = b.HandleReturn(now, data(1), ReturnInfo{Service: testService, Seed: d.To.Seed, Hops: d.Hops})
			}
			is.Equal(d, Decision{Verdict: Drop, Reason: ReasonProbeTimeout})
			is.Equal(len(b.OverdueSearches(now+probeTimeout+1)), 0) // it only waits for late answers
			if !tt.all {
				late = late[1:]
			}
			for _, l := range late {
				d = b.HandleReturn(now, data(1), ReturnInfo{Service: testService, Seed: l.To.Seed, Hops: l.Hops})
			}
			is.Equal(d.Verdict == Reset, tt.all)
			is.Equal(b.Steer(now+time.Millisecond, data(1)).Verdict, Forward) // the caller's next segment starts anew
		})
	}
}

func TestCachedFlowsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	for n := range 10 {
		b.ConfirmOwner(testNow, tuple(n).ID(), testService, view.SeedOf("host-1"))
	}
	used := testNow + generationTime + 1 // copies the entry to the next generation
	is.Equal(b.Steer(used, data(1)).Reason, ReasonCachedOwner)
	is.Equal(b.CachedFlows(), 10)
}

// Every segment of a request reaches the owner, whatever the order of the returns: a
// caller sends what is missing again only after its retransmission time.
func TestEverySegmentOfRequestReachesTheOwner(t *testing.T) {
	is := is.New(t)
	for n := range 200 {
		b := newBalancer(servers(1, 9)...)
		random := rand.New(rand.NewPCG(uint64(n), 3))
		owner := view.SeedOf(fmt.Sprint("host-", 1+random.IntN(9)))
		type sent struct {
			segment *Segment
			d       Decision
		}
		var open []sent
		for i := range uint32(3) {
			s := data(n)
			s.Seq = 1000 + 100*i
			open = append(open, sent{s, b.Steer(testNow, s)})
		}
		reached := make(map[uint32]bool)
		for len(open) > 0 {
			i := random.IntN(len(open))
			s := open[i]
			open = slices.Delete(open, i, i+1)
			is.Equal(s.d.Verdict, Forward)
			if s.d.To.Seed == owner {
				reached[s.segment.Seq] = true
				continue
			}
			d := b.HandleReturn(testNow, s.segment, ReturnInfo{Service: s.d.Service, Seed: s.d.To.Seed, Hops: s.d.Hops})
			open = append(open, sent{s.segment, d})
		}
		is.Equal(len(reached), 3)
	}
}
