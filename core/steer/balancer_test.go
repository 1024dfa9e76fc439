package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

const (
	desk    view.ServiceID = 1
	hall    view.ServiceID = 2
	testAge                = time.Second
)

var address = netip.MustParseAddrPort("198.18.0.1:8443")

// server returns the member of a number.
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

// newBalancer returns a balancer whose address leads to desk with members.
func newBalancer(members ...view.BackendServer) *Balancer {
	b := NewBalancer("a")
	b.SetTable(b.Table().WithRoutes(Routes{address: {{Service: desk, Weight: 1}}}).
		WithView(0, view.New(desk, view.Version{Epoch: 1, Number: 1}, members)))
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

// returnAll returns a segment from every member it is sent to, until the
// balancer decides otherwise.
func returnAll(b *Balancer, s *Segment) (asked map[flow.Peer]int, last Decision) {
	asked = make(map[flow.Peer]int)
	last = b.Steer(testAge, s)
	for last.Verdict == Forward {
		asked[last.To]++
		last = b.HandleReturn(testAge, s, ReturnInfo{
			Service: last.Service, Seed: last.To.Seed, Hops: last.Hops,
		})
	}
	return asked, last
}

func TestFlowIsFoundAmongTheFirstOfItsOrder(t *testing.T) {
	is := is.New(t)
	placing, finding := newBalancer(servers(1, 9)...), newBalancer(servers(1, 9)...)
	for n := range 500 {
		// One flow at a time, so that no member is full.
		placed := placing.Steer(testAge+time.Duration(n)*2*placedTime, syn(n))
		is.Equal(placed.Verdict, Forward)
		found := finding.Steer(testAge, data(n))
		questions := 1
		for found.To != placed.To {
			questions++
			found = finding.HandleReturn(testAge, data(n), ReturnInfo{Service: desk, Seed: found.To.Seed, Hops: found.Hops})
		}
		is.True(questions <= choices)
	}
}

func TestFlowIsResetOnlyWhenEveryMemberHasReturnedIt(t *testing.T) {
	is := is.New(t)
	asked, last := returnAll(newBalancer(servers(1, 7)...), data(1))
	is.Equal(len(asked), 7)
	is.Equal(last, Decision{Verdict: Reset, Reason: ReasonFlowNotFound})
}

func TestPartialViewResetsNothing(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	v := view.New(desk, view.Version{Epoch: 2, Number: 1}, servers(1, 2))
	v.Partial = true
	b.SetTable(b.Table().WithView(testAge, v))
	_, last := returnAll(b, data(1))
	is.Equal(last, Decision{Verdict: Drop, Reason: ReasonPartialView})
	whole := view.New(desk, view.Version{Epoch: 2, Number: 2}, servers(1, 2))
	b.SetTable(b.Table().WithView(testAge, whole))
	_, last = returnAll(b, data(1))
	is.Equal(last.Verdict, Reset)
}

func TestMembersThatAreGoneAreAskedForTheirFlows(t *testing.T) {
	is := is.New(t)
	gone := server(3)
	gone.State, gone.Weight = view.Gone, 0
	asked, _ := returnAll(newBalancer(server(1), server(2), gone), data(1))
	is.Equal(len(asked), 3)
	b := newBalancer(servers(1, 3)...)
	b.SetTable(b.Table().WithView(testAge, view.New(desk, view.Version{Epoch: 1, Number: 2}, servers(1, 2))))
	asked, _ = returnAll(b, data(1))
	is.Equal(len(asked), 3)
}

func TestAddressThatIsUsedAgainIsNotAskedForEarlierFlows(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	other := server(9)
	other.Packets = server(3).Packets
	b.SetTable(b.Table().WithView(testAge, view.New(hall, view.Version{Epoch: 1, Number: 2}, []view.BackendServer{other})))
	asked, _ := returnAll(b, data(1))
	is.Equal(len(asked), 2)
}

func TestFlowsOfAnEarlierRouteAreAskedForAtItsService(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 2)...)
	b.SetTable(b.Table().WithView(0, view.New(hall, view.Version{Epoch: 1, Number: 2}, servers(5, 6))).
		WithRoutes(Routes{address: {{Service: desk}, {Service: hall, Weight: 1}}}))
	asked, last := returnAll(b, data(1))
	is.Equal(len(asked), 4)
	is.Equal(last.Verdict, Reset)
	is.Equal(b.Steer(testAge, syn(2)).Service, hall)
}

func TestSearchPassesOverMembersThatDoNotAnswer(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 4)...)
	dead := b.Steer(testAge, data(1)).To
	is.Equal(b.Steer(testAge+answerTime/2, data(1)).To, dead) // its answer may be on the way
	next := b.Steer(testAge+200*time.Millisecond, data(1))
	is.True(next.To != dead)
	for n := range 50 { // other flows ask it last
		is.True(b.Steer(testAge+200*time.Millisecond, data(100+n)).To != dead)
	}
	// The flow may be at the silent member: it is not reset.
	asked := map[flow.Peer]bool{dead: true}
	for next.Verdict == Forward {
		asked[next.To] = true
		next = b.HandleReturn(testAge+210*time.Millisecond, data(1), ReturnInfo{Service: desk, Seed: next.To.Seed})
	}
	is.Equal(len(asked), 4)
	is.Equal(next, Decision{Verdict: Drop, Reason: ReasonProbeTimeout})
	// Once it is heard, it is asked in its order again.
	b.ReportLoad(testAge+220*time.Millisecond, desk, dead.Seed, Load{})
	is.Equal(b.Steer(testAge+220*time.Millisecond, data(1)).To, dead)
}

func TestSegmentsOfOneFlowAskOneMemberAtATime(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	first := b.Steer(testAge, data(1))
	is.Equal(b.Steer(testAge, data(1)).To, first.To)
	second := b.HandleReturn(testAge, data(1), ReturnInfo{Service: desk, Seed: first.To.Seed})
	is.True(second.To != first.To)
	// The other segment comes back from the first member as well.
	is.Equal(b.HandleReturn(testAge, data(1), ReturnInfo{Service: desk, Seed: first.To.Seed}).To, second.To)
	b.ConfirmOwner(testAge, tuple(1).ID(), desk, second.To.Seed)
	late := b.HandleReturn(testAge, data(1), ReturnInfo{Service: desk, Seed: first.To.Seed})
	is.Equal(late.To, second.To)
	is.Equal(late.Reason, ReasonCachedOwner)
}

func TestMembersThatHaveLeftAreAskedLast(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 4)...)
	b.SetTable(b.Table().WithView(testAge, view.New(desk, view.Version{Epoch: 1, Number: 2}, servers(2, 4))))
	for n := range 50 {
		is.True(b.Steer(testAge, data(n)).To.Seed != view.SeedOf("host-1"))
	}
}

func TestSYNs(t *testing.T) {
	t.Run("copies go to another member until one has answered", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(servers(1, 4)...)
		first := b.Steer(testAge, syn(1))
		again := syn(1)
		again.Retransmits = 1
		second := b.Steer(testAge, again)
		is.True(second.To != first.To)
		b.ConfirmOwner(testAge, tuple(1).ID(), desk, second.To.Seed)
		again.Retransmits = 2
		is.Equal(b.Steer(testAge, again).To, second.To)
		is.Equal(b.Steer(testAge, data(1)).To, second.To)
	})
	t.Run("members that turn flows away get none for a while", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(servers(1, 3)...)
		first := b.Steer(testAge, syn(1))
		next := b.HandleReturn(testAge, syn(1), ReturnInfo{Service: desk, Seed: first.To.Seed})
		is.True(next.To != first.To)
		for n := range 20 {
			is.True(b.Steer(testAge, syn(10+n)).To != first.To)
		}
	})
	t.Run("without members and routes they are reset at once", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer()
		is.Equal(b.Steer(testAge, syn(1)), Decision{Verdict: Reset, Reason: ReasonNoMember})
		stranger := syn(1)
		stranger.Tuple.Service = netip.MustParseAddrPort("198.18.0.9:80")
		is.Equal(b.Steer(testAge, stranger), Decision{Verdict: Reset, Reason: ReasonNoRoute})
	})
	t.Run("they wait for members while a view is missing or partial", func(t *testing.T) {
		is := is.New(t)
		b := NewBalancer("a")
		b.SetTable(b.Table().WithRoutes(Routes{address: {{Service: desk, Weight: 1}}}))
		b.ConfirmConfig()
		is.Equal(b.Steer(testAge, syn(1)), Decision{Verdict: Drop, Reason: ReasonPartialView})
		v := view.New(desk, view.Version{Epoch: 2, Number: 1}, nil)
		v.Partial = true
		b.SetTable(b.Table().WithView(testAge, v))
		is.Equal(b.Steer(testAge, syn(1)), Decision{Verdict: Drop, Reason: ReasonPartialView})
		b.SetTable(b.Table().WithView(testAge, view.New(desk, view.Version{Epoch: 2, Number: 2}, servers(1, 1))))
		is.Equal(b.Steer(testAge, syn(1)).Verdict, Forward)
	})
	t.Run("nothing is reset before the configuration is current", func(t *testing.T) {
		is := is.New(t)
		b := NewBalancer("a")
		is.Equal(b.Steer(testAge, syn(1)), Decision{Verdict: Drop, Reason: ReasonConfigUnconfirmed})
	})
}

func TestNewFlowsGoWhereTheLoadIsLeast(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	busy := view.SeedOf("host-2")
	b.ReportLoad(testAge, desk, busy, Load{Flows: 30, RunningRequests: 12})
	for n := range 20 {
		is.True(b.Steer(testAge, syn(n)).To.Seed != busy)
	}
}

func TestSYNsWaitForTheirNextCopyWhileEveryMemberIsFull(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 2)...)
	full := Load{RunningRequests: 4*fullAt/10 + 1}
	b.ReportLoad(testAge, desk, view.SeedOf("host-1"), full)
	is.Equal(b.Steer(testAge, syn(1)).Verdict, Forward) // the other has room
	b.ReportLoad(testAge, desk, view.SeedOf("host-2"), full)
	again := syn(2)
	for again.Retransmits = range uint32(3) {
		is.Equal(b.Steer(testAge, again), Decision{Verdict: Drop, Reason: ReasonOverloaded})
	}
	is.Equal(b.Steer(testAge, data(1)).Verdict, Forward) // open flows go on
	// Agents tell nothing to a balancer that sends nothing: what they told last
	// does not hold for ever.
	is.Equal(b.Steer(testAge+reportTime+1, syn(3)).Verdict, Forward)
}

// Whoever sends a copy is late already: places in a queue are for first SYNs.
func TestCopiesOfSYNsGetFreeSlotsAlone(t *testing.T) {
	is := is.New(t)
	b := newBalancer(server(1))
	again := syn(1)
	again.Retransmits = 1
	b.ReportLoad(testAge, desk, view.SeedOf("host-1"), Load{RunningRequests: 4})
	is.Equal(b.Steer(testAge, again), Decision{Verdict: Drop, Reason: ReasonOverloaded})
	is.Equal(b.Steer(testAge, syn(2)).Verdict, Forward)
	b.ReportLoad(testAge+placedTime+1, desk, view.SeedOf("host-1"), Load{RunningRequests: 3})
	is.Equal(b.Steer(testAge+placedTime+1, again).Verdict, Forward)
}

func TestPortionsAreKeptByAllBalancers(t *testing.T) {
	is := is.New(t)
	routes := Routes{address: {{Service: desk, Weight: 90}, {Service: hall, Weight: 10}}}
	counts := make(map[view.ServiceID]int)
	for n := range 2000 {
		id := tuple(n).ID()
		service, ok := choosePortion(id.Key, routes[address])
		is.True(ok)
		counts[service]++
	}
	is.True(counts[hall] > 150 && counts[hall] < 250)
}

// A member that is gone answers nothing, and the caller's next copy may go to
// another balancer: a search goes on by itself.
func TestSearchGoesOnWithoutTheCaller(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	s := data(1)
	first := b.Steer(testAge, s)
	is.Equal(first.Reason, ReasonSearched)
	is.Equal(len(b.OverdueSearches(testAge+answerTime)), 0)
	late := testAge + answerTime + 1
	is.Equal(b.OverdueSearches(late), []flow.ID{s.Tuple.ID()})
	second := b.Steer(late, s)
	is.Equal(second.Verdict, Forward)
	is.True(second.To != first.To)
	is.Equal(len(b.OverdueSearches(late)), 0) // it awaits the second now

	b.ConfirmOwner(late, s.Tuple.ID(), desk, second.To.Seed)
	is.Equal(len(b.OverdueSearches(late+time.Second)), 0)
	is.Equal(b.Steer(late+time.Second, s).To, second.To) // it was found meanwhile
}

func TestSearchThatNobodyAnswersEndsWithoutAReset(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	s := data(1)
	b.Steer(testAge, s)
	var last Decision
	now := testAge
	for range 3 {
		now += answerTime + 1
		is.Equal(len(b.OverdueSearches(now)), 1)
		last = b.Steer(now, s)
	}
	is.Equal(last, Decision{Verdict: Drop, Reason: ReasonProbeTimeout})
	is.Equal(len(b.OverdueSearches(now+time.Second)), 0)
}

// Members whose leases have ended may hold flows, but hardly answer.
func TestMembersThatAreGoneAreAskedLast(t *testing.T) {
	is := is.New(t)
	members := servers(1, 4)
	members[1].State = view.Gone
	b := newBalancer(members...)
	gone := view.SeedOf(members[1].ID)
	for n := range 50 {
		is.True(b.Steer(testAge, data(n)).To.Seed != gone)
	}
	asked, _ := returnAll(b, data(100))
	is.Equal(len(asked), 4) // it is asked all the same
}

// After the loss of all processes every flow is searched for, and answers are late
// under that load alone: questions that follow by themselves must not add to it.
func TestFewSearchesGoOnByThemselvesAtATime(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	for n := range 1000 {
		b.Steer(testAge, data(n))
	}
	is.Equal(len(b.OverdueSearches(testAge+answerTime+1)), maxOverdue)
}

// The report that comes with the answer to a SYN counts the flow already.
func TestPlacedFlowIsNotCountedBesideTheReportThatHasIt(t *testing.T) {
	is := is.New(t)
	b := newBalancer(server(1))
	seed := view.SeedOf("host-1")
	again := syn(50)
	again.Retransmits = 1 // finds a place where fewer requests than the four slots are counted
	for n := range 3 {
		is.Equal(b.Steer(testAge, syn(n)).Verdict, Forward)
		b.ReportLoad(testAge, desk, seed, Load{Flows: uint32(n + 1), RunningRequests: uint32(n + 1)})
		b.ConfirmOwner(testAge, syn(n).Tuple.ID(), desk, seed)
	}
	is.Equal(b.Steer(testAge, again).Verdict, Forward)
}
