package segment_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	corefleet "fulmarmount.org/core/fleet"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/segment"
	"fulmarmount.org/fulmarmount/internal/standin"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// evacuate replaces the evacuated zones.
func (f *fleet) evacuate(zones ...string) {
	var all []corefleet.Evacuation
	for _, zone := range zones {
		all = append(all, corefleet.Evacuation{Zone: zone, Reason: "test"})
	}
	f.control.SetEvacuations(all)
}

// agentOptions returns the options of an agent beside a backend server.
func (f *fleet) agentOptions(h *backendServer) segment.AgentOptions {
	return segment.AgentOptions{
		CommonOptions: f.commonOptions("agent-" + h.name), Service: h.service, BackendAddr: h.addr(), OutboundAddr: h.outbound,
		BackendSilenceTimeout: waitTimeout, IdleTimeout: time.Minute,
	}
}

// openFlows opens the flows of a range of ports, and fails unless every one is accepted.
func openFlows(c *caller, from, to int) {
	c.f.t.Helper()
	for port := from; port < to; port++ {
		if flags, _ := c.sendUntilAnswered(port, routing.SYN, ""); flags != routing.SYN|routing.ACK {
			c.f.t.Fatalf("flow %d: not accepted", port)
		}
	}
}

func refusals(a *segment.Agent) uint64 {
	return a.Counters().(segment.AgentCounters).Refusals[routing.RefusalZoneEvacuated.String()]
}

func isEvacuated(a *segment.Agent) func() bool {
	return func() bool { return a.Counters().(segment.AgentCounters).ZoneEvacuated }
}

// A balancer that is cut off from control knows nothing of an evacuation. The agents of
// the zone refuse its new flows, also after a restart, and it places them elsewhere
// without waiting for the caller.
func TestEvacuationHoldsAgainstCutOffBalancer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	evacuated, agent := f.startBackend("host-1")
	is.NoErr(agent.Stop(context.Background()))
	options := f.agentOptions(evacuated)
	agent, err := segment.StartAgent(options)
	is.NoErr(err)
	is.NoErr(agent.HandleReport(evacuated.report(1)))
	f.zone = "b"
	serving, other := f.startBackend("host-2")
	is.NoErr(other.HandleReport(serving.report(1)))

	path, err := standin.StartPath(standin.PathOptions{Target: f.control.Addr()})
	is.NoErr(err)
	common := f.commonOptions("balancer")
	common.ControlAddrs = subscribe.Fixed(path.Addr())
	b, err := segment.StartBalancer(segment.BalancerOptions{CommonOptions: common, CallerAddr: f.callerAddr})
	is.NoErr(err)
	t.Cleanup(func() { _ = b.Stop(context.Background()) })
	f.waitFor("the balancer has both", func() bool { return b.Ready() && b.AvailableBackends(f.serviceAddr) == 2 })
	c := f.newCaller()
	openFlows(c, 1000, 1030)
	before := evacuated.flowCount()
	is.True(before > 0)

	is.NoErr(path.Close())
	f.evacuate("a")
	f.waitFor("the agent refuses new flows", isEvacuated(agent))
	openFlows(c, 2000, 2030)
	is.Equal(evacuated.flowCount(), before)
	is.True(refusals(agent) > 0)
	is.Equal(b.AvailableBackends(f.serviceAddr), 2) // by the balancer's view
	_, owner := c.sendUntilAnswered(ownedPort(c, evacuated), routing.ACK, "who")
	is.Equal(owner, evacuated.name) // its open flows go on

	is.NoErr(agent.Stop(context.Background()))
	options.SessionID += 1000
	restarted, err := segment.StartAgent(options)
	is.NoErr(err)
	t.Cleanup(func() { _ = restarted.Stop(context.Background()) })
	f.waitFor("the restarted agent refuses new flows", isEvacuated(restarted))
	is.NoErr(restarted.HandleReport(evacuated.report(2)))
	port := 3000
	f.waitFor("the balancer tries the restarted agent", func() bool {
		openFlows(c, port, port+1)
		port++
		return refusals(restarted) > 0
	})
	is.Equal(evacuated.flowCount(), before)
}

// ownedPort returns the port of a flow that a backend server owns.
func ownedPort(c *caller, h *backendServer) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for tuple := range h.flows {
		if tuple.Caller.Addr() == c.addr {
			return int(tuple.Caller.Port())
		}
	}
	return 0
}

func TestEvacuationAndItsEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	first, agent := f.startBackend("host-1")
	is.NoErr(agent.HandleReport(first.report(1)))
	f.zone = "b"
	second, other := f.startBackend("host-2")
	is.NoErr(other.HandleReport(second.report(1)))
	b := f.startBalancer(2)
	available := func(n int) func() bool {
		return func() bool { return b.AvailableBackends(f.serviceAddr) == n }
	}
	c := f.newCaller()

	f.evacuate("a")
	f.waitFor("the view lists one", available(1))
	openFlows(c, 1000, 1020)
	is.Equal(first.flowCount(), 0)

	f.evacuate("a", "b")
	f.waitFor("the view lists none", available(0))
	flags, _ := c.sendUntilAnswered(2000, routing.SYN, "")
	is.Equal(flags, routing.RST) // callers are refused at once

	f.evacuate()
	f.waitFor("the view lists both", available(2))
	f.waitFor("the agents accept again", func() bool { return !isEvacuated(agent)() && !isEvacuated(other)() })
	openFlows(c, 3000, 3040)
	is.True(first.flowCount() > 0)
	is.Equal(first.flowCount()+second.flowCount(), 60)
}

// A leader that knows no evacuation, since it was ended while an agent had no connection,
// takes it out of force, also where the agent has subscribed anew meanwhile. Only an agent
// whose settings name no service does that.
func TestEndOfEvacuationReachesAgentsOfFormerLeader(t *testing.T) {
	for _, service := range []string{"desk", "hall"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.nextLeader = freeAddr(t)
			h, agent := f.startBackend("host-1")
			is.NoErr(agent.Stop(context.Background()))
			options := f.agentOptions(h)
			options.Service = ""
			agent, err := segment.StartAgent(options)
			is.NoErr(err)
			t.Cleanup(func() { _ = agent.Stop(context.Background()) })
			is.NoErr(agent.HandleReport(h.report(1)))
			f.evacuate("a")
			f.waitFor("the agent refuses new flows", isEvacuated(agent))
			is.NoErr(f.control.Close())
			next := h.report(2)
			next.Incarnation, next.Service = 2, service
			is.NoErr(agent.HandleReport(next))
			is.True(isEvacuated(agent)()) // until control says otherwise
			f.startControl(f.nextLeader, 2, nil)
			hall := proto.Service{ID: 2, Name: "hall", Mode: proto.ModeSegment}
			f.control.SetServices([]proto.Service{f.desk(), hall})
			f.waitFor("the agent accepts new flows", func() bool { return agent.Ready() && !isEvacuated(agent)() })
		})
	}
}
