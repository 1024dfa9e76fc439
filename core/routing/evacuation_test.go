package routing

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

func TestAgentOfEvacuatedZoneRefusesNewFlowsAlone(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, true)
	is.Equal(a.Receive(testNow, syn(1), forwardInfo(5)).Refusal, RefusalNone)
	is.Equal(a.ObserveReply(testNow, reply(1, SYN|ACK, 0)), forwardInfo(5).Balancer)

	is.True(a.SetZoneEvacuated(true))
	is.True(!a.SetZoneEvacuated(true))
	is.Equal(a.Receive(testNow, syn(2), forwardInfo(6)).Refusal, RefusalZoneEvacuated) // whatever the balancer knows
	is.Equal(a.Receive(testNow, data(1), forwardInfo(5)).Refusal, RefusalNone)         // its open flow goes on
	a.StartIncarnation(testIncarnation+1, testNow)
	other := forwardInfo(5)
	other.Incarnation++
	is.Equal(a.Receive(testNow, syn(3), other).Refusal, RefusalZoneEvacuated) // also of a new backend server

	is.True(a.SetZoneEvacuated(false))
	is.Equal(a.Receive(testNow, syn(3), other).Refusal, RefusalNone)
}

// inZone returns a backend server in a zone, as a view lists it.
func inZone(n int, zone string, evacuated bool) view.BackendServer {
	s := server(n)
	s.Zone = zone
	if evacuated {
		s.State, s.Weight = view.Draining, 0
	}
	return s
}

// If all members of a service lie in evacuated zones, callers are refused at once, once
// the view is known to be complete.
func TestCallersAreRefusedIfAllZonesAreEvacuated(t *testing.T) {
	is := is.New(t)
	b := newBalancer(inZone(1, "a", true), inZone(2, "b", true))
	is.Equal(b.Steer(testNow, syn(1)), Decision{Verdict: Reset, Reason: ReasonNoMember})
	partial := view.New(testService, view.Version{Epoch: 2, Number: 1}, []view.BackendServer{inZone(1, "a", true)})
	partial.Partial = true
	b.SetTable(b.Table().WithView(testNow, partial))
	is.Equal(b.Steer(testNow, syn(2)), Decision{Verdict: Drop, Reason: ReasonPartialView})
}

// A balancer that has not learned of an evacuation places new flows on other members,
// after a refusal by the agent, without waiting for the caller.
func TestFlowRefusedForItsZoneIsPlacedElsewhereAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBalancer(inZone(1, "a", false), inZone(2, "b", false), inZone(3, "c", false))
	for n := range 100 {
		s := syn(n)
		d := b.Steer(testNow, s)
		for d.Verdict == Forward && d.To.Addr == server(1).Packets {
			d = b.HandleReturn(testNow, s, ReturnInfo{Service: d.Service, Seed: d.To.Seed, Hops: d.Hops})
		}
		is.True(d.Verdict != Reset)
		is.True(d.Hops <= 1)
		b.ConfirmOwner(testNow, s.Tuple.ID(), testService, d.To.Seed)
	}
}
