package segment

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
)

// fixedCodec decodes every packet as one segment.
type fixedCodec struct{ segment routing.Segment }

func (c fixedCodec) Decode([]byte, Origin) (Header, error)           { return Header{Segment: c.segment}, nil }
func (fixedCodec) SetToken([]byte, uint32)                           {}
func (fixedCodec) Restore([]byte)                                    {}
func (fixedCodec) AppendReset(dst []byte, _ *routing.Segment) []byte { return append(dst, 0) }

// The configuration is confirmed after a packet was decided about and before it is
// parked: the packet must not wait for a change that has come already.
func TestPacketParkedAfterTheConfirmationIsDecidedAtOnce(t *testing.T) {
	is := is.New(t)
	s := routing.Segment{
		Flags: routing.SYN,
		Tuple: flow.Tuple{Caller: netip.MustParseAddrPort("127.0.0.2:1000"), Service: netip.MustParseAddrPort("127.0.0.3:80")},
	}
	o := CommonOptions{
		EnvelopeAddr: netip.MustParseAddrPort("127.0.0.1:0"), ReturnPort: 9, KeyRing: queryRing{},
		Codec: fixedCodec{s}, Now: time.Now, Log: zap.NewNop(),
	}
	callers, sockets, err := openSockets(o, o.EnvelopeAddr, &counters{})
	is.NoErr(err)
	defer callers.Close()
	defer sockets.conn.Close()
	b := &Balancer{
		options: BalancerOptions{CommonOptions: o}, router: routing.NewBalancer("a"), callers: callers, envelopeSocket: sockets, counters: &counters{}, started: time.Now(),
		decisionCounters: newDecisionCounters(), searchPackets: newPacketBuffer(searchPacketTime), parked: newPacketBuffer(maxParkedTime), held: newHeldPackets(), phases: newBalancerPhases(o),
	}
	d := b.router.Steer(0, &s)
	is.Equal(d.Reason, routing.ReasonConfigUnconfirmed)
	b.router.ConfirmConfig()
	b.execute(0, &s, d, []byte("SYN"))
	is.Equal(len(b.parked.takeAll()), 0)
	is.Equal(b.decisionCounters.resets.Load(), uint64(1)) // no service has the address
}
