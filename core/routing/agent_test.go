package routing

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

const (
	silenceTimeout                   = 2 * time.Second
	testIncarnation view.Incarnation = 9
)

// newAgent returns an agent started at 0 whose backend server serves testService at
// address. Unless hasAllFlows, the backend server may own flows from before.
func newAgent(state BackendState, hasAllFlows bool) *Agent {
	a := NewAgent(0, AgentOptions{SilenceTimeout: silenceTimeout, IdleTimeout: 15 * time.Second})
	a.SetService(testService, view.Version{Epoch: 1, Number: 5}, []netip.AddrPort{address})
	earliest := StartUnknown
	if hasAllFlows {
		earliest = 0
	}
	a.StartIncarnation(testIncarnation, earliest)
	if state != BackendUnknown {
		a.SetState(state)
	}
	return a
}

// forwardInfo describes a segment from a balancer whose configuration has the given
// number. That of newAgent has number 5.
func forwardInfo(configNumber uint64) ForwardInfo {
	return ForwardInfo{
		Service: testService, ConfigVersion: view.Version{Epoch: 1, Number: configNumber}, Incarnation: testIncarnation,
		Balancer: netip.MustParseAddrPort("10.0.1.1:7000"),
	}
}

// reply returns a segment with the tuple of flow n, as the backend server sends it.
func reply(n int, flags Flags, length int) *Segment {
	return &Segment{Tuple: tuple(n), Flags: flags, Length: length}
}

func TestSYNIsCheckedAgainstNewerConfiguration(t *testing.T) {
	unrouted := syn(1)
	unrouted.Tuple.Service = netip.MustParseAddrPort("198.18.0.9:80")
	wrongService, wrongIncarnation := forwardInfo(5), forwardInfo(5)
	wrongService.Service = otherService
	wrongIncarnation.Incarnation++
	cases := []struct {
		name    string
		state   BackendState
		segment *Segment
		info    ForwardInfo
		want    Refusal
	}{
		{"serving", BackendServing, syn(1), forwardInfo(5), RefusalNone},
		{"draining", BackendDraining, syn(1), forwardInfo(5), RefusalNotServing},
		{"deregistered", BackendDeregistered, syn(1), forwardInfo(5), RefusalNotServing},
		{"no state reported yet", BackendUnknown, syn(1), forwardInfo(5), RefusalNotServing},
		{"forwarded for another service", BackendServing, syn(1), wrongService, RefusalWrongService},
		{"forwarded for another incarnation", BackendServing, syn(1), wrongIncarnation, RefusalOtherIncarnation},
		{"address unrouted, same configuration", BackendServing, unrouted, forwardInfo(5), RefusalNotRouted},
		{"address unrouted, balancer's configuration older", BackendServing, unrouted, forwardInfo(4), RefusalNotRouted},
		{"address unrouted, balancer's configuration newer", BackendServing, unrouted, forwardInfo(6), RefusalNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newAgent(c.state, true).Receive(testNow, c.segment, c.info)
			is.Equal(d.Refusal, c.want)
		})
	}
}

// A balancer may learn of a backend server from a view before the agent has received the
// service's configuration.
func TestSYNForCurrentIncarnationNeedsNoConfiguration(t *testing.T) {
	is := is.New(t)
	a := NewAgent(0, AgentOptions{SilenceTimeout: silenceTimeout, IdleTimeout: 15 * time.Second})
	a.StartIncarnation(testIncarnation, 0)
	a.SetState(BackendServing)
	current, earlier := forwardInfo(5), forwardInfo(5)
	earlier.Incarnation = testIncarnation - 1
	unknown := forwardInfo(5)
	unknown.Incarnation = 0
	is.Equal(a.Receive(testNow, syn(1), current).Refusal, RefusalNone)
	is.Equal(a.Receive(testNow, syn(2), earlier).Refusal, RefusalOtherIncarnation)
	is.Equal(a.Receive(testNow, syn(3), unknown).Refusal, RefusalOtherIncarnation)

	a.SetService(0, view.Version{}, nil) // the service was removed
	is.Equal(a.Receive(testNow, syn(4), current).Refusal, RefusalWrongService)
	a.ClearService()
	is.Equal(a.Receive(testNow, syn(5), current).Refusal, RefusalNone)
}

func TestDrainingBackendServerKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, true)
	a.Receive(testNow, syn(1), forwardInfo(5))
	is.Equal(a.ObserveReply(testNow, reply(1, SYN|ACK, 0)), forwardInfo(5).Balancer)
	a.SetState(BackendDraining)
	is.Equal(a.Receive(testNow, data(1), forwardInfo(5)).Refusal, RefusalNone)
}

func TestUnknownFlows(t *testing.T) {
	t.Run("are returned if the agent has all flows", func(t *testing.T) {
		is := is.New(t)
		is.Equal(newAgent(BackendServing, true).Receive(testNow, data(1), forwardInfo(5)).Refusal, RefusalUnknownFlow)
	})
	t.Run("are delivered to the backend server after an agent restart", func(t *testing.T) {
		is := is.New(t)
		a := newAgent(BackendServing, false)
		d := a.Receive(testNow, data(1), forwardInfo(5))
		is.Equal(d.Refusal, RefusalNone)
		// If it owns the flow, the balancer is notified once.
		is.Equal(a.ObserveReply(testNow, reply(1, ACK, 10)), forwardInfo(5).Balancer)
		is.Equal(a.ObserveReply(testNow, reply(1, ACK, 10)), netip.AddrPort{})
		// If not, the bounced segment is matched with its balancer.
		d = a.Receive(testNow, data(2), forwardInfo(5))
		info, ok := a.HandleBounce(data(2), d.Token)
		is.True(ok)
		is.Equal(info, forwardInfo(5))
		_, ok = a.HandleBounce(data(2), 0)
		is.True(!ok)
	})
	t.Run("are returned once all flows from before the restart have expired", func(t *testing.T) {
		is := is.New(t)
		is.Equal(newAgent(BackendServing, false).Receive(MaxFlowLifetime+1, data(1), forwardInfo(5)).Refusal, RefusalUnknownFlow)
	})
}

func TestSilentBackendServerIsDownAfterTimeout(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, true)
	a.Receive(0, syn(1), forwardInfo(5))
	a.ObserveReply(0, reply(1, ACK, 0)) // the flow is open here
	var downAt time.Duration
	for now := time.Duration(0); now < 2*silenceTimeout; now += 100 * time.Millisecond {
		if a.Tick(now) {
			downAt = now
		}
	}
	is.True(downAt > silenceTimeout && downAt <= silenceTimeout+200*time.Millisecond)
	is.Equal(a.Receive(2*silenceTimeout, data(1), forwardInfo(5)).Refusal, RefusalBackendDown)
	is.Equal(a.Receive(2*silenceTimeout, data(2), forwardInfo(5)).Refusal, RefusalUnknownFlow)
	a.SetState(BackendServing)
	is.True(!a.IsDown())
}

// A paused agent process receives no messages, which proves nothing about the backend
// server.
func TestPauseOfAgentIsNotCountedAsSilence(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, true)
	a.Tick(100 * time.Millisecond)
	is.True(!a.Tick(time.Minute))
	is.True(!a.IsDown())
}

func TestFlowWithoutRequestStopsCountingAsRunning(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, true)
	a.Receive(0, syn(1), forwardInfo(5))
	a.ObserveReply(0, reply(1, SYN|ACK, 0))
	a.Tick(openingTime)
	is.Equal(a.Load(), Load{Flows: 1, RunningRequests: 1})
	a.Tick(openingTime + 1)
	is.Equal(a.Load(), Load{Flows: 1})
}

func TestLoadCountsFlowsAndRunningRequests(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, true)
	a.Receive(0, syn(1), forwardInfo(5))
	a.ObserveReply(0, reply(1, SYN|ACK, 0))
	is.Equal(a.Load(), Load{Flows: 1, RunningRequests: 1}) // the request is about to arrive
	request := data(1)
	a.Receive(0, request, forwardInfo(5))
	request.Seq += uint32(request.Length)
	a.Receive(0, request, forwardInfo(5)) // a request of two segments counts once
	is.Equal(a.Load(), Load{Flows: 1, RunningRequests: 1})
	a.ObserveReply(0, reply(1, ACK, 10))
	is.Equal(a.Load(), Load{Flows: 1})
	a.Receive(0, request, forwardInfo(5)) // a retransmission of the answered request
	is.Equal(a.Load(), Load{Flows: 1})
	request.Seq += uint32(request.Length)
	a.Receive(0, request, forwardInfo(5))
	is.Equal(a.Load(), Load{Flows: 1, RunningRequests: 1})
	a.ObserveReply(0, reply(1, RST, 0))
	is.Equal(a.Load(), Load{})
	for _, closing := range []Flags{FIN | ACK, RST} { // the caller closes or aborts
		a.Receive(0, syn(3), forwardInfo(5))
		a.Receive(0, data(3), forwardInfo(5))
		a.Receive(0, reply(3, closing, 0), forwardInfo(5))
		is.Equal(a.Load().RunningRequests, uint32(0))
		a.ObserveReply(0, reply(3, RST, 0))
	}
	a.Receive(0, syn(2), forwardInfo(5))
	a.Receive(0, data(2), forwardInfo(5))
	a.StartIncarnation(testIncarnation+1, time.Second) // a new incarnation owns no flows
	is.Equal(a.Load(), Load{})
}

// Probes for flows that the backend server does not answer must not use up the record of
// probes, or no balancer would learn of owners any more.
func TestUnansweredProbesExpire(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, false)
	for n := range maxProbes {
		s := data(n)
		s.Tuple.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(n >> 8), byte(n)}), 9)
		is.Equal(a.Receive(0, s, forwardInfo(5)).Refusal, RefusalNone)
	}
	later := searchTTL + time.Second
	a.SetState(BackendServing)
	a.Tick(later)
	a.Receive(later, data(1), forwardInfo(5))
	is.Equal(a.ObserveReply(later, reply(1, ACK, 10)), forwardInfo(5).Balancer)
}

// Copies of a SYN may reach two backend servers. The flow is open at the one that the
// caller goes on with; if the other ends, that ends nothing.
func TestEndOfBackendServerWithHalfOpenFlowEndsNoFlow(t *testing.T) {
	for _, tt := range []struct {
		name    string
		replies []*Segment
		want    Refusal
	}{
		{"never answered", nil, RefusalUnknownFlow},
		{"answered the SYN", []*Segment{reply(1, SYN|ACK, 0), reply(1, SYN|ACK, 0)}, RefusalUnknownFlow},
		{"served the flow", []*Segment{reply(1, SYN|ACK, 0), reply(1, ACK, 0)}, RefusalBackendDown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent(BackendServing, true)
			a.Receive(0, syn(1), forwardInfo(5))
			for _, r := range tt.replies {
				a.ObserveReply(0, r)
			}
			a.SetState(BackendDeregistered)
			is.Equal(a.Receive(testNow, data(1), forwardInfo(5)).Refusal, tt.want)
		})
	}
}
