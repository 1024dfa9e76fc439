package segment

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/packet"
)

// queryRing is a key ring with one key.
type queryRing struct{}

func (queryRing) Active() (uint8, []byte)        { return 1, make([]byte, 32) }
func (queryRing) Secret(id uint8) ([]byte, bool) { return make([]byte, 32), id == 1 }

// A packet that cannot be held goes to the member itself: if nothing was sent, the member
// would be taken for one that does not answer.
func TestPacketThatCannotBeHeldIsSent(t *testing.T) {
	is := is.New(t)
	o := CommonOptions{EnvelopeAddr: netip.MustParseAddrPort("127.0.0.1:0"), KeyRing: queryRing{}, Now: time.Now, Log: zap.NewNop()}
	outer, sockets, err := openSockets(o, o.EnvelopeAddr, &counters{})
	is.NoErr(err)
	defer outer.Close()
	defer sockets.conn.Close()
	agentOuter, agent, err := openSockets(o, o.EnvelopeAddr, &counters{})
	is.NoErr(err)
	defer agentOuter.Close()
	defer agent.conn.Close()
	b := &Balancer{envelopeSocket: sockets, decisionCounters: newDecisionCounters(), held: newHeldPackets()}
	for n := range uint64(maxHeldFlows) {
		b.held.hold(0, flow.ID{Key: n}, 7, []byte{0})
	}
	caller := netip.MustParseAddrPort("127.0.0.2:1000")
	s := routing.Segment{Tuple: flow.Tuple{Caller: caller, Service: netip.MustParseAddrPort("127.0.0.3:80")}}
	d := routing.Decision{Reason: routing.ReasonSearched, Query: true, To: flow.Peer{Seed: 7, Addr: agent.conn.Addr()}, Service: 1}
	b.probe(0, &s, d, []byte("request"))

	is.NoErr(agent.conn.SetDeadline(time.Now().Add(10 * time.Second)))
	buf := make([]byte, maxDatagramSize)
	n, _, _, err := agent.conn.Read(buf)
	is.NoErr(err)
	var h packet.Header
	payload, err := agent.opener.Open(buf[:n], &h)
	is.NoErr(err)
	is.Equal(h.Kind, packet.Forward)
	is.Equal(string(payload), "request")
}

// A caller that opens a flow anew with the same port gets no answer to packets of the
// flow before, and its new backend server does not get them.
func TestNewFlowDropsThePacketsOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	o := CommonOptions{EnvelopeAddr: netip.MustParseAddrPort("127.0.0.1:0"), KeyRing: queryRing{}, Now: time.Now, Log: zap.NewNop()}
	outer, sockets, err := openSockets(o, o.EnvelopeAddr, &counters{})
	is.NoErr(err)
	defer outer.Close()
	defer sockets.conn.Close()
	b := &Balancer{
		options: BalancerOptions{CommonOptions: o}, envelopeSocket: sockets, decisionCounters: newDecisionCounters(), held: newHeldPackets(),
		searchPackets: newPacketBuffer(searchPacketTime), parked: newPacketBuffer(maxParkedTime), placementTimes: newStartTimes(), phases: newBalancerPhases(o),
	}
	tuple := flow.Tuple{Caller: netip.MustParseAddrPort("127.0.0.2:1000"), Service: netip.MustParseAddrPort("127.0.0.3:80")}
	to := flow.Peer{Seed: 7, Addr: sockets.conn.Addr()}
	b.execute(0, &routing.Segment{Tuple: tuple}, routing.Decision{Reason: routing.ReasonSearched, Query: true, To: to, Service: 1}, []byte("old"))
	is.True(b.held.first(tuple.ID()) != nil)
	is.True(b.searchPackets.get(tuple.ID()) != nil)
	b.execute(0, &routing.Segment{Tuple: tuple, Flags: routing.SYN}, routing.Decision{Reason: routing.ReasonPlaced, To: to, Service: 1}, []byte("new"))
	is.Equal(b.held.first(tuple.ID()), nil)
	is.Equal(b.searchPackets.get(tuple.ID()), nil)
}
