package routing

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

var otherAddress = netip.MustParseAddrPort("198.18.0.2:8443")

// newContendedBalancer returns a balancer with one member of four slots behind address
// and otherAddress, and a function that reports the member's load.
func newContendedBalancer(c Contention, l Listener) (b *Balancer, report func(now time.Duration, requests int)) {
	b = newBalancer(server(1))
	route := Route{Listener: l, Services: []WeightedService{{Service: testService, Weight: 1, Contention: c}}}
	b.SetTable(b.Table().WithRoutes(Routes{address: route, otherAddress: route}))
	return b, func(now time.Duration, requests int) {
		b.ReportLoad(now, testService, view.SeedOf("host-1"), Load{RunningRequests: uint32(requests), ServiceTime: 20_000})
	}
}

func TestRefusalsOfNewFlows(t *testing.T) {
	late := Listener{Timeout: time.Second, Objective: 300 * time.Millisecond}
	limited, half := Contention{WaitLimit: 100}, Contention{WaitLimit: 50}
	for _, tt := range []struct {
		name        string
		c           Contention
		listener    Listener
		requests    int
		retransmits uint32
		isFlooded   bool
		verdict     Verdict
		reason      Reason
	}{
		{"room", limited, late, 13, 0, true, Forward, ReasonPlaced},
		{"full in a crest", limited, late, 14, 0, false, Drop, ReasonOverloaded},
		{"full in a flood", limited, late, 14, 0, true, Reset, ReasonFull},
		{"beyond the timeout", limited, late, 200, 0, false, Reset, ReasonTooLate},
		{"beyond a part of the timeout", half, late, 100, 0, false, Reset, ReasonTooLate},
		{"no wait limit", Contention{CallerShare: 10}, late, 200, 0, true, Reset, ReasonFull},
		{"a copy that meets the objective", limited, late, 8, 1, true, Forward, ReasonPlaced},
		{"a copy that misses it in a crest", limited, late, 8, 2, false, Forward, ReasonPlaced},
		{"a copy that misses it in a flood", limited, late, 8, 2, true, Drop, ReasonOverloaded},
		{"a late copy with a free slot", limited, late, 3, 2, true, Forward, ReasonPlaced},
		{"a copy to an unknown listener", limited, Listener{}, 8, 1, true, Drop, ReasonOverloaded},
		{"a copy beyond the timeout", limited, late, 100, 2, false, Reset, ReasonTooLate},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, report := newContendedBalancer(tt.c, tt.listener)
			report(testNow, 200)
			for n := range minFloodFlows + 1 {
				if tt.isFlooded {
					b.Steer(testNow, syn(10+n))
				}
			}
			report(testNow, tt.requests)
			s := syn(1)
			s.Retransmits = tt.retransmits
			d := b.Steer(testNow, s)
			is.Equal(d.Verdict, tt.verdict)
			is.Equal(d.Reason, tt.reason)
			is.Equal(d.Refused != nil, tt.verdict != Forward)
		})
	}
}

// A member that has reported a full queue has finished half of it long before its next
// report, but may also have stopped.
func TestHalfOfAnOldReportIsAssumedToHaveFinished(t *testing.T) {
	is := is.New(t)
	b, report := newContendedBalancer(Contention{WaitLimit: 100}, Listener{})
	report(testNow, 16)
	is.Equal(b.Steer(testNow, syn(1)).Reason, ReasonOverloaded)
	is.Equal(b.Steer(testNow+100*time.Millisecond, syn(1)).Reason, ReasonPlaced)
	report(testNow, 40)
	is.Equal(b.Steer(testNow+reportTTL, syn(2)).Reason, ReasonOverloaded)
}

func TestListenerBelowItsShareIsPlacedInAFlood(t *testing.T) {
	is := is.New(t)
	b, report := newContendedBalancer(Contention{ReservedShare: 100}, Listener{})
	for n := range 10 {
		report(testNow, 0)
		is.Equal(b.Steer(testNow, syn(n)).Reason, ReasonPlaced)
	}
	report(testNow, 19)
	now := testNow + placementTTL + 1
	report(now, 19)
	other := syn(20)
	is.Equal(b.Steer(now, other).Reason, ReasonOverloaded) // nobody else asks
	other.Tuple.Service = otherAddress
	is.Equal(b.Steer(now, other).Reason, ReasonPlaced)
	report(now, 20)
	other.Tuple.Caller = tuple(21).Caller
	is.Equal(b.Steer(now, other).Reason, ReasonOverloaded) // the queue is full for all
}

func TestCallerAboveItsShareGetsFreeSlotsOnly(t *testing.T) {
	is := is.New(t)
	b, report := newContendedBalancer(Contention{CallerShare: 30}, Listener{})
	open := func(caller, port, requests int) Reason {
		b.ConfirmOwner(testNow, tuple(1).ID(), testService, view.SeedOf("host-1")) // of the flow before
		report(testNow, requests)
		s := syn(port)
		s.Tuple.Caller = netip.AddrPortFrom(tuple(caller).Caller.Addr(), uint16(port))
		return b.Steer(testNow, s).Reason
	}
	for port := range minCallerFlows + 1 {
		is.Equal(open(1, port, 5), ReasonPlaced)
	}
	is.Equal(open(1, 100, 5), ReasonCallerShare)
	is.Equal(open(2, 101, 5), ReasonPlaced)
	is.Equal(open(1, 102, 3), ReasonPlaced)
}

// Searches rely on it, see possibleOwners.
func TestAdmittedFlowsAreAmongTheFirstCandidates(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 9)...)
	b.SetTable(b.Table().WithRoutes(Routes{address: {Services: []WeightedService{{Service: testService, Weight: 1, Contention: Contention{ReservedShare: 100}}}}}))
	placed := 0
	for n := range 500 {
		for m := range 9 {
			b.ReportLoad(testNow, testService, view.SeedOf(server(m+1).ID), Load{RunningRequests: uint32((n*7 + m*5) % 30)})
		}
		d := b.Steer(testNow, syn(n))
		if d.Verdict != Forward {
			continue
		}
		placed++
		isCandidate := false
		for _, m := range b.Table().placementCandidates(tuple(n).ID().Key, testService) {
			isCandidate = isCandidate || m.peer == d.To
		}
		is.True(isCandidate)
	}
	is.True(placed > 100)
}

// What is kept of listeners and callers ends with the route and with the shortage.
func TestSharesAreForgotten(t *testing.T) {
	is := is.New(t)
	b, report := newContendedBalancer(Contention{ReservedShare: 100, CallerShare: 10}, Listener{})
	report(testNow, 8)
	b.Steer(testNow, syn(1))
	is.True(b.shares.byService[testService].callers != nil)
	later := testNow + callerCountsTTL + time.Second
	report(later, 0)
	b.Steer(later, syn(2))
	is.True(b.shares.byService[testService].callers == nil)
	b.SetTable(b.Table().WithRoutes(Routes{}))
	is.Equal(len(b.shares.byService), 0)
}
