package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// contendedBalancer returns a balancer of a service with settings for contention, whose
// members report the given loads.
func contendedBalancer(rules PlacementRules, loads ...Load) *Balancer {
	b := newBalancer(servers(1, len(loads))...)
	service := WeightedService{Service: testService, Weight: 1, Contention: Contention{WaitLimit: 100}}
	b.SetTable(b.Table().WithRoutes(Routes{address: {Listener: Listener{Timeout: time.Second}, Services: []WeightedService{service}}}))
	b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: rules})
	for n, load := range loads {
		b.ReportLoad(testNow, testService, view.SeedOf(server(n+1).ID), load)
	}
	return b
}

// An unfit member looks idle once its callers have given up, and gets no flows because
// others are full.
func TestNoFlowOverflowsToAnUnfitMember(t *testing.T) {
	is := is.New(t)
	full := Load{RunningRequests: 40, ServiceTime: 20_000}
	b := contendedBalancer(PlacementRules{MaxUnfitPercent: 50}, Load{IsUnfit: true, RunningRequests: 1}, full, full)
	d := b.Steer(testNow, syn(1))
	is.Equal(d.Verdict, Drop)
	is.Equal(d.Reason, ReasonOverloaded)
}

// A trial is placed also while settings for contention are on.
func TestUnfitMemberIsTriedInContention(t *testing.T) {
	is := is.New(t)
	full := Load{RunningRequests: 40, ServiceTime: 20_000}
	b := contendedBalancer(PlacementRules{MaxUnfitPercent: 50}, Load{IsUnfit: true}, full, full)
	b.loads.loadOf(b.Table().findMember(testService, view.SeedOf(server(1).ID))).triedAt = testNow - trialInterval
	is.Equal(b.Steer(testNow, syn(1)).To.Seed, view.SeedOf(server(1).ID))
	is.Equal(b.Steer(testNow, syn(2)).Reason, ReasonOverloaded)
}

// A cold member that still takes flows is better than one that is unfit or suspect.
func TestColdMemberIsPreferredToAvoidedOnes(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: {MaxUnfitPercent: 50}})
	seed := func(n int) uint64 { return view.SeedOf(server(n).ID) }
	b.ReportLoad(testNow, testService, seed(1), Load{IsUnfit: true, RunningRequests: 1})
	b.ReportLoad(testNow, testService, seed(2), Load{IsCold: true, NewFlowAllowance: 5, RunningRequests: 4})
	b.loads.suspect(testNow, b.Table().findMember(testService, seed(3)))
	for n := range 5 {
		is.Equal(b.Steer(testNow, syn(n)).To.Seed, seed(2))
	}
}

// A flow that members may take in a moment is not reset as too late.
func TestColdMembersAreWorthWaitingFor(t *testing.T) {
	is := is.New(t)
	full, cold := Load{RunningRequests: 400, ServiceTime: 20_000}, Load{IsCold: true}
	is.Equal(contendedBalancer(PlacementRules{}, full, full, full).Steer(testNow, syn(1)).Reason, ReasonTooLate)
	d := contendedBalancer(PlacementRules{}, full, cold, full).Steer(testNow, syn(1))
	is.Equal(d.Verdict, Drop)
	is.Equal(d.Reason, ReasonColdLimit)
}

// A flow that was placed before may have its answer under way: its copies are not reset.
func TestCopiesOfPlacedFlowsAreNotReset(t *testing.T) {
	is := is.New(t)
	b := contendedBalancer(PlacementRules{}, Load{})
	is.Equal(b.Steer(testNow, syn(1)).Verdict, Forward)
	b.ReportLoad(testNow, testService, view.SeedOf(server(1).ID), Load{RunningRequests: 400, ServiceTime: 20_000})
	again := syn(1)
	again.Retransmits = 1
	d := b.Steer(testNow, again)
	is.Equal(d.Reason, ReasonTooLate)
	is.Equal(d.Verdict, Drop)
}
