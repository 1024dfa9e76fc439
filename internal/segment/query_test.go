package segment_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/phases"
	"fulmarmount.org/fulmarmount/internal/segment"
)

// askingFleet has three backend servers and a flow on one of them, which a new balancer
// does not know. It returns a caller, the balancer and the owner's name.
func askingFleet(t *testing.T) (*fleet, *caller, *segment.Balancer, map[string]*backendServer, map[string]*segment.Agent, string) {
	t.Helper()
	is := is.New(t)
	f := newFleet(t)
	backends, agents := map[string]*backendServer{}, map[string]*segment.Agent{}
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		backends[name], agents[name] = f.startBackend(name)
		is.NoErr(agents[name].HandleReport(backends[name].report(1)))
	}
	first := f.startBalancer(3)
	c := f.newCaller()
	c.sendUntilAnswered(1000, routing.SYN, "")
	_, owner := c.sendUntilAnswered(1000, routing.ACK, "who")
	is.NoErr(first.Stop(context.Background()))
	return f, c, f.startBalancer(3), backends, agents, owner
}

func queries(b *segment.Balancer) uint64 { return b.Counters().(segment.BalancerCounters).Queries }

// Every packet of a request reaches the owner, although the balancer asks for it with
// none of them. Each is sent once.
func TestEveryPacketOfAFlowFollowsItsQuery(t *testing.T) {
	is := is.New(t)
	_, c, b, backends, _, owner := askingFleet(t)
	opened := flow.Tuple{Caller: netip.AddrPortFrom(c.addr, 1000), Service: c.f.serviceAddr}
	const packets = 8
	for n := range packets {
		_, _ = c.conn.WriteToUDPAddrPort(encode(opened, routing.ACK, string(rune('a'+n))), c.f.callerAddr)
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	buf := make([]byte, 2048)
	for range packets { // the backend server answers each
		n, err := c.conn.Read(buf)
		is.NoErr(err)
		is.Equal(string(buf[testHeaderSize:n]), owner)
	}
	is.True(queries(b) > 0)
	is.True(queries(b) <= 3) // one for each member, not for each packet
	total := 0
	for _, h := range backends {
		total += h.flowCount()
	}
	is.Equal(total, 1)
}

// An agent that has restarted cannot tell what its backend server owns, and asks for the
// packet.
func TestRestartedAgentAsksForThePacket(t *testing.T) {
	is := is.New(t)
	f, c, b, backends, agents, owner := askingFleet(t)
	is.NoErr(agents[owner].Stop(context.Background()))
	agent := f.startAgent(backends[owner])
	is.NoErr(agent.HandleReport(backends[owner].report(9)))
	is.Equal(c.sendOnce(1000, "who"), owner)
	is.True(queries(b) > 0)
}

// A flow that nobody owns is reset after questions alone.
func TestLostFlowIsResetAfterQueries(t *testing.T) {
	is := is.New(t)
	f, c, b, backends, _, _ := askingFleet(t)
	f.waitFor("complete views", func() bool {
		start := b.Counters().(segment.BalancerCounters).Start
		return slices.ContainsFunc(start, func(p phases.Phase) bool { return p.Name == "complete_views" })
	})
	flags, _ := c.sendUntilAnswered(2000, routing.ACK, "lost")
	is.Equal(flags, routing.RST)
	is.Equal(queries(b), uint64(3))
	for _, h := range backends {
		is.True(h.flowCount() <= 1)
	}
}
