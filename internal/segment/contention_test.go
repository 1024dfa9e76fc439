package segment_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	corefleet "fulmarmount.org/core/fleet"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/segment"
)

// Callers of one listener flood a backend server with requests that it does not answer.
// They are refused before it sees them, and the callers of the other listener are served.
func TestFloodOfOneListenerLeavesTheOther(t *testing.T) {
	const rounds, floodPerRound = 10, 30
	is := is.New(t)
	f := newFleetWithStore(t, nil)
	others := *f
	others.serviceAddr = netip.MustParseAddrPort("198.18.0.2:443")
	f.control.SetServices([]proto.Service{{
		ID: 1, Name: "desk", Mode: proto.ModeSegment, Settings: corefleet.Settings{ReservedSharePercent: 100},
		Inbound: []proto.Inbound{{Addr: f.serviceAddr, Weight: 1}, {Addr: others.serviceAddr, Weight: 1}},
	}})
	h, agent := f.startBackend("host-1")
	h.hold(f.serviceAddr)
	is.NoErr(agent.HandleReport(h.report(1)))
	balancer := f.startBalancer(1)
	flood := f.newCaller()
	refused := uint64(0)
	other := &caller{f: &others, addr: flood.addr, conn: flood.conn, onOther: func(h segment.Header) {
		switch {
		case h.HasFlags(routing.RST):
			refused++
		case h.HasFlags(routing.SYN):
			flood.send(int(h.Tuple.Caller.Port()), routing.ACK, "who")
		}
	}}
	for round := range rounds {
		for n := range floodPerRound {
			flood.send(1000+round*floodPerRound+n, routing.SYN, "")
		}
		flags, _ := other.sendUntilAnswered(1000+round, routing.SYN, "")
		is.Equal(flags, routing.SYN|routing.ACK)
		_, name := other.sendUntilAnswered(1000+round, routing.ACK, "who")
		is.Equal(name, h.name)
	}
	is.True(refused > rounds*floodPerRound/2)
	is.True(h.flowCount()+int(refused) <= rounds*floodPerRound+rounds) // no refused flow has reached the backend server
	counters := balancer.Counters().(segment.BalancerCounters)
	is.True(counters.RefusedFlows[f.serviceAddr.String()]["no_room"] >= refused)
	is.Equal(len(counters.RefusedFlows), 1) // no caller of the other listener was refused
}

// hold leaves requests to an address without a response.
func (h *backendServer) hold(addr netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = addr
}
