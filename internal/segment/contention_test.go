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
	const rounds, floodPerRound = 10, 6
	is := is.New(t)
	f := newFleetWithStore(t, nil)
	others := *f
	others.serviceAddr = netip.MustParseAddrPort("198.18.0.2:443")
	f.control.SetServices([]proto.Service{{
		ID: 1, Name: "desk", Mode: proto.ModeSegment, Settings: corefleet.Settings{ReservedSharePercent: 100},
		Inbound: []proto.Inbound{{Addr: f.serviceAddr, Weight: 1}, {Addr: others.serviceAddr, Weight: 1}},
	}})
	h, agent := f.startBackend("host-1")
	h.held = f.serviceAddr
	is.NoErr(agent.HandleReport(h.report(1)))
	balancer := f.startBalancer(1)
	flood := f.newCaller()
	other := &caller{f: &others, addr: flood.addr, conn: flood.conn}
	refused := 0
	for port := 1000; port < 1000+rounds*floodPerRound; port++ {
		if flags, _ := flood.sendUntilAnswered(port, routing.SYN, ""); flags == routing.RST {
			refused++
		}
		flood.send(port, routing.ACK, "who")
		if port%floodPerRound > 0 {
			continue
		}
		flags, _ := other.sendUntilAnswered(port, routing.SYN, "")
		is.Equal(flags, routing.SYN|routing.ACK)
		_, name := other.sendUntilAnswered(port, routing.ACK, "who")
		is.Equal(name, h.name)
	}
	is.True(refused > rounds)
	is.Equal(h.flowCount()+refused, rounds*floodPerRound+rounds) // no refused flow has reached the backend server
	counters := balancer.Counters().(segment.BalancerCounters)
	is.Equal(counters.RefusedFlows, map[string]map[string]uint64{f.serviceAddr.String(): {"no_room": uint64(refused)}})
}
