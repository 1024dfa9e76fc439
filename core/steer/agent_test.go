package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

const (
	patience                  = 2 * time.Second
	testRun  view.Incarnation = 9
)

// newHost returns a host that serves desk at address, started at 0.
func newHost(standing BackendState, whole bool) *Agent {
	h := NewAgent(0, AgentOptions{SilenceTimeout: patience, IdleTimeout: 15 * time.Second})
	h.SetService(desk, view.Version{Epoch: 1, Number: 5}, []netip.AddrPort{address})
	h.StartIncarnation(testRun, !whole)
	if standing != BackendUnknown {
		h.SetState(standing)
	}
	return h
}

func arrival(number uint64) ForwardInfo {
	return ForwardInfo{
		Service: desk, ConfigVersion: view.Version{Epoch: 1, Number: number},
		Balancer: netip.MustParseAddrPort("10.0.1.1:7000"),
	}
}

// answer is a packet of the backend server in a flow.
func answer(n int, flags Flags, length int) *Segment {
	return &Segment{Tuple: tuple(n), Flags: flags, Length: length}
}

func TestNewFlowsAreJudgedByTheNewerConfiguration(t *testing.T) {
	other := syn(1)
	other.Tuple.Service = netip.MustParseAddrPort("198.18.0.9:80")
	foreign := arrival(5)
	foreign.Service = hall
	cases := []struct {
		name     string
		standing BackendState
		segment  *Segment
		arrival  ForwardInfo
		want     Refusal
	}{
		{"serving", BackendServing, syn(1), arrival(5), RefusalNone},
		{"draining", BackendDraining, syn(1), arrival(5), RefusalNotServing},
		{"left", BackendDeregistered, syn(1), arrival(5), RefusalNotServing},
		{"not heard yet", BackendUnknown, syn(1), arrival(5), RefusalNotServing},
		{"meant for another service", BackendServing, syn(1), foreign, RefusalWrongService},
		{"an address that was dropped here", BackendServing, other, arrival(5), RefusalNotRouted},
		{"an older balancer", BackendServing, other, arrival(4), RefusalNotRouted},
		{"an address that is new at the balancer", BackendServing, other, arrival(6), RefusalNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newHost(c.standing, true).Receive(testAge, c.segment, c.arrival)
			is.Equal(d.Refusal, c.want)
		})
	}
}

// A balancer may know of a backend server before the agent knows the configuration.
func TestNewFlowsForThisRunNeedNoConfigurationYet(t *testing.T) {
	is := is.New(t)
	h := NewAgent(0, AgentOptions{SilenceTimeout: patience, IdleTimeout: 15 * time.Second})
	h.StartIncarnation(testRun, false)
	h.SetState(BackendServing)
	chosen, earlier := arrival(5), arrival(5)
	chosen.Incarnation, earlier.Incarnation = testRun, testRun-1
	is.Equal(h.Receive(testAge, syn(1), chosen).Refusal, RefusalNone)
	is.Equal(h.Receive(testAge, syn(2), earlier).Refusal, RefusalWrongService)
	is.Equal(h.Receive(testAge, syn(3), arrival(5)).Refusal, RefusalWrongService) // of no run

	h.SetService(0, view.Version{}, nil) // it was removed
	is.Equal(h.Receive(testAge, syn(4), chosen).Refusal, RefusalWrongService)
	h.ClearService()
	is.Equal(h.Receive(testAge, syn(5), chosen).Refusal, RefusalNone)
}

func TestDrainingBackendServerKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	h := newHost(BackendServing, true)
	h.Receive(testAge, syn(1), arrival(5))
	is.Equal(h.ObserveReply(testAge, answer(1, SYN|ACK, 0)), arrival(5).Balancer)
	h.SetState(BackendDraining)
	is.Equal(h.Receive(testAge, data(1), arrival(5)).Refusal, RefusalNone)
}

func TestUnknownFlows(t *testing.T) {
	t.Run("are returned where every flow is known", func(t *testing.T) {
		is := is.New(t)
		is.Equal(newHost(BackendServing, true).Receive(testAge, data(1), arrival(5)).Refusal, RefusalUnknownFlow)
	})
	t.Run("are left to the backend server after a restart", func(t *testing.T) {
		is := is.New(t)
		h := newHost(BackendServing, false)
		d := h.Receive(testAge, data(1), arrival(5))
		is.Equal(d.Refusal, RefusalNone)
		// It holds the flow: the balancer is told once.
		is.Equal(h.ObserveReply(testAge, answer(1, ACK, 10)), arrival(5).Balancer)
		is.Equal(h.ObserveReply(testAge, answer(1, ACK, 10)), netip.AddrPort{})
		// It does not: the bounce finds its way back.
		d = h.Receive(testAge, data(2), arrival(5))
		from, ok := h.HandleBounce(data(2), d.Token)
		is.True(ok)
		is.Equal(from, arrival(5))
		_, ok = h.HandleBounce(data(2), 0)
		is.True(!ok)
	})
	t.Run("are returned once no earlier flow can live", func(t *testing.T) {
		is := is.New(t)
		is.Equal(newHost(BackendServing, false).Receive(MaxFlowLifetime+1, data(1), arrival(5)).Refusal, RefusalUnknownFlow)
	})
}

func TestSilenceEndsABackendServer(t *testing.T) {
	is := is.New(t)
	h := newHost(BackendServing, true)
	h.Receive(0, syn(1), arrival(5))
	var ended time.Duration
	for now := time.Duration(0); now < 2*patience; now += 100 * time.Millisecond {
		if h.Tick(now) {
			ended = now
		}
	}
	is.True(ended > patience && ended <= patience+200*time.Millisecond)
	is.Equal(h.Receive(2*patience, data(1), arrival(5)).Refusal, RefusalBackendDown)
	is.Equal(h.Receive(2*patience, data(2), arrival(5)).Refusal, RefusalUnknownFlow)
	h.SetState(BackendServing)
	is.True(!h.IsDown())
}

// A process that stood still itself has not heard anything, which proves nothing.
func TestTimeInWhichTheAgentStoodStillIsNoSilence(t *testing.T) {
	is := is.New(t)
	h := newHost(BackendServing, true)
	h.Tick(100 * time.Millisecond)
	is.True(!h.Tick(time.Minute))
	is.True(!h.IsDown())
}

func TestOpenedFlowThatAsksNothingIsNoRequest(t *testing.T) {
	is := is.New(t)
	h := newHost(BackendServing, true)
	h.Receive(0, syn(1), arrival(5))
	h.ObserveReply(0, answer(1, SYN|ACK, 0))
	h.Tick(openingTime)
	is.Equal(h.Load(), Load{Flows: 1, RunningRequests: 1})
	h.Tick(openingTime + 1)
	is.Equal(h.Load(), Load{Flows: 1})
}

func TestLoadFollowsRequestsAndFlows(t *testing.T) {
	is := is.New(t)
	h := newHost(BackendServing, true)
	h.Receive(0, syn(1), arrival(5))
	h.ObserveReply(0, answer(1, SYN|ACK, 0))
	is.Equal(h.Load(), Load{Flows: 1, RunningRequests: 1}) // its caller is about to ask
	request := data(1)
	h.Receive(0, request, arrival(5))
	request.Seq += uint32(request.Length)
	h.Receive(0, request, arrival(5)) // a long request is one
	is.Equal(h.Load(), Load{Flows: 1, RunningRequests: 1})
	h.ObserveReply(0, answer(1, ACK, 10))
	is.Equal(h.Load(), Load{Flows: 1})
	h.Receive(0, request, arrival(5)) // sent again, and answered already
	is.Equal(h.Load(), Load{Flows: 1})
	request.Seq += uint32(request.Length)
	h.Receive(0, request, arrival(5))
	is.Equal(h.Load(), Load{Flows: 1, RunningRequests: 1})
	h.ObserveReply(0, answer(1, RST, 0))
	is.Equal(h.Load(), Load{})
	for _, gone := range []Flags{FIN | ACK, RST} { // the caller gives up
		h.Receive(0, syn(3), arrival(5))
		h.Receive(0, data(3), arrival(5))
		h.Receive(0, answer(3, gone, 0), arrival(5))
		is.Equal(h.Load().RunningRequests, uint32(0))
		h.ObserveReply(0, answer(3, RST, 0))
	}
	h.Receive(0, syn(2), arrival(5))
	h.Receive(0, data(2), arrival(5))
	h.StartIncarnation(testRun+1, false) // a new run holds nothing
	is.Equal(h.Load(), Load{})
}
