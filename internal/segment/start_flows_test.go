package segment_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/segment"
)

// restart starts the backend server again at its address, without its flows.
func (h *backendServer) restart(t *testing.T) *backendServer {
	t.Helper()
	addr := h.addr()
	_ = h.conn.Close()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	next := &backendServer{name: h.name, service: h.service, conn: conn, outbound: h.outbound, flows: make(map[flow.Tuple]bool)}
	go next.run()
	return next
}

// startedReport returns a report of a start of the backend server.
func (h *backendServer) startedReport(startedAt time.Time, sequence uint64) segment.BackendReport {
	r := h.report(sequence)
	r.StartedAt, r.Incarnation = startedAt, uint64(startedAt.UnixMilli())
	return r
}

// openFlowsFrom opens flows from the given port on, and returns their number.
func openFlowsFrom(c *caller, firstPort int) int {
	const flows = 5
	c.f.t.Helper()
	for port := firstPort; port < firstPort+flows; port++ {
		if flags, _ := c.sendUntilAnswered(port, routing.SYN, ""); flags != routing.SYN|routing.ACK {
			c.f.t.Fatalf("flow %d was not opened", port)
		}
		c.sendUntilAnswered(port, routing.ACK, "who")
	}
	return flows
}

// checkFlows checks that the flows from the given port on are open at a backend server,
// also for a balancer that has just started.
func checkFlows(c *caller, balancer *segment.Balancer, firstPort, flows int, owner string) {
	c.f.t.Helper()
	check := func() {
		for port := firstPort; port < firstPort+flows; port++ {
			if flags, got := c.sendUntilAnswered(port, routing.ACK, "who"); flags != routing.ACK || got != owner {
				c.f.t.Fatalf("flow %d of %s: flags %d from %q", port, owner, flags, got)
			}
		}
	}
	check()
	_ = balancer.Stop(c.f.t.Context())
	c.f.startBalancer(1)
	check()
}

// Guards against resets of flows that a restarted backend server has accepted before its
// first report.
func TestFlowsFromBeforeTheFirstReportOfARestartAreNotReset(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	h, agent := f.startBackend("host-1")
	is.NoErr(agent.HandleReport(h.startedReport(time.Now(), 1)))
	balancer := f.startBalancer(1)
	c := f.newCaller()
	lost := openFlowsFrom(c, 2000)

	time.Sleep(2 * time.Millisecond) // starts are counted in milliseconds
	startedAt := time.Now()
	h = h.restart(t)
	flows := openFlowsFrom(c, 1000)
	is.NoErr(agent.HandleReport(h.startedReport(startedAt, 1)))
	checkFlows(c, balancer, 1000, flows, "host-1")
	for port := 2000; port < 2000+lost; port++ {
		flags, _ := c.sendUntilAnswered(port, routing.ACK, "who")
		is.Equal(flags, routing.RST) // lost with the backend server's earlier start
	}
}

// Guards against resets of open flows after the agent beside a living backend server was
// restarted, by what the agent hears first: a late report of an earlier start, or a
// report with a low number.
func TestAgentRestartResetsNoFlowWhateverReportComesFirst(t *testing.T) {
	for _, tt := range []struct {
		name           string
		sequence       uint64 // of the backend server's first report to the restarted agent
		hasLateReport  bool
		isEarlierKnown bool
	}{
		{"a late report of an earlier start", 7, true, true},
		{"the second report, counted from 0", 1, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			h, agent := f.startBackend("host-1")
			startedAt := time.Now()
			earlier := h.startedReport(startedAt.Add(-time.Minute), 4)
			if tt.isEarlierKnown {
				is.NoErr(agent.HandleReport(earlier))
			}
			is.NoErr(agent.HandleReport(h.startedReport(startedAt, 0)))
			balancer := f.startBalancer(1)
			c := f.newCaller()
			flows := openFlowsFrom(c, 1000)
			is.NoErr(agent.Stop(t.Context()))
			time.Sleep(2 * time.Millisecond) // starts are counted in milliseconds
			agent = f.startAgent(h)
			if tt.hasLateReport {
				is.NoErr(agent.HandleReport(earlier))
			}
			is.NoErr(agent.HandleReport(h.startedReport(startedAt, tt.sequence)))
			checkFlows(c, balancer, 1000, flows, "host-1")
		})
	}
}

// Guards against resets of the flows of a backend server's present start by a late
// deregistration of the one before.
func TestLateDeregistrationResetsNoFlow(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	h, agent := f.startBackend("host-1")
	leaving := h.startedReport(time.Now(), 7)
	leaving.Draining = true
	is.NoErr(agent.HandleReport(leaving))
	h = h.restart(t)
	startedAt := leaving.StartedAt.Add(time.Second)
	is.NoErr(agent.HandleReport(h.startedReport(startedAt, 1)))
	balancer := f.startBalancer(1)
	c := f.newCaller()
	flows := openFlowsFrom(c, 1000)
	agent.Deregister("host-1")
	for port := 1000; port < 1000+flows; port++ {
		flags, _ := c.sendUntilAnswered(port, routing.ACK, "who")
		is.Equal(flags, routing.ACK)
	}
	is.NoErr(agent.HandleReport(h.startedReport(startedAt, 2)))
	checkFlows(c, balancer, 1000, flows, "host-1")
}
