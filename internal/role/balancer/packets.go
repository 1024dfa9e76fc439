package balancer

import (
	"net/netip"
	"sync/atomic"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// Stats are the packet counters of a balancer.
type Stats struct {
	Forwarded atomic.Uint64 // sent to an agent
	Replied   atomic.Uint64 // sent to a caller
	Unplaced  atomic.Uint64 // no service at the address, or no backend server accepts new flows
	Oversize  atomic.Uint64 // longer than an envelope of the MTU can carry
	Rejected  atomic.Uint64 // envelopes that were forged, replayed or of an unexpected kind
	Failed    atomic.Uint64 // sealing, sending or opening a tunnel failed
}

// listenPacket opens the socket for datagrams on one service address.
func (b *Balancer) listenPacket(addr netip.AddrPort) (*udp.Conn, error) {
	return udp.Listen(udp.Options{
		Addr:       addr,
		ReusePort:  b.options.Spray > 0,
		Spray:      b.options.Spray,
		ReadBuffer: b.options.ReadBuffer,
	})
}

// readCallers forwards the datagrams of one service address.
func (b *Balancer) readCallers(conn *udp.Conn) {
	// The read truncates a longer datagram to the MTU, which is still more than
	// an envelope can carry: forward counts it as oversize.
	buf := make([]byte, b.options.MTU)
	out := make([]byte, 0, b.options.MTU+packet.MaxOverhead)
	for {
		n, from, to, err := conn.Read(buf)
		if err != nil {
			return
		}
		b.forward(flow.Tuple{Caller: from, Service: to}, buf[:n], out)
	}
}

// forward sends a datagram to the agent that its flow is placed on.
func (b *Balancer) forward(tuple flow.Tuple, payload, out []byte) {
	d, err := b.forwarder.Forward(tuple)
	if err != nil {
		b.stats.Unplaced.Add(1)
		return
	}
	header := packet.Header{Kind: packet.Forward, ReplyTo: b.envelopes.Addr(), Flow: d.Packet(tuple)}
	if len(payload) > header.MaxPayload(b.options.MTU) {
		b.stats.Oversize.Add(1)
		return
	}
	sealed, err := b.sealer.Seal(out, &header, payload)
	if err != nil {
		b.stats.Failed.Add(1)
		return
	}
	if err := b.envelopes.Write(sealed, d.Target.Addr); err != nil {
		b.stats.Failed.Add(1)
		return
	}
	b.stats.Forwarded.Add(1)
}

// readEnvelopes forwards the agents' replies to the callers.
func (b *Balancer) readEnvelopes() {
	buf := make([]byte, b.options.MTU+packet.MaxOverhead)
	var header packet.Header
	for {
		n, _, _, err := b.envelopes.Read(buf)
		if err != nil {
			return
		}
		payload, err := b.opener.Open(buf[:n], &header)
		if err != nil || header.Kind != packet.Reply {
			b.stats.Rejected.Add(1)
			continue
		}
		b.reply(&header, payload)
	}
}

// reply sends a datagram to its caller from the service address.
func (b *Balancer) reply(h *packet.Header, payload []byte) {
	b.mu.Lock()
	l := b.listeners[b.listenerKeyFor(proto.ModePacket, h.Flow.Tuple.Service)]
	b.mu.Unlock()
	conn, ok := l.(*udp.Conn)
	if !ok {
		b.stats.Unplaced.Add(1)
		return
	}
	if err := conn.WriteFrom(payload, h.Flow.Tuple.Service.Addr(), h.Flow.Tuple.Caller); err != nil {
		b.stats.Failed.Add(1)
		return
	}
	b.stats.Replied.Add(1)
}
