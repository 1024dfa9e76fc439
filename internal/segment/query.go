package segment

import (
	"bytes"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/packet"
)

// answerQuery tells a balancer whether the backend server owns a flow.
func (a *Agent) answerQuery(h *packet.Header) {
	now := a.elapsed()
	a.loadReporter.recordPacket(now, h.ReplyTo)
	switch ownership := a.steer.Query(now, h.Flow.Tuple.ID(), h.Flow.TargetIncarnation); ownership {
	case routing.Owned:
		a.notifyOwner(h.ReplyTo, h.Flow.Tuple)
	case routing.OwnershipUnknown:
		n := a.newNotification(false)
		n.NeedsPacket = true
		a.sendNotification(h.ReplyTo, h.Flow.Tuple, n)
	default:
		a.returned.Add(1)
		a.send(h.ReplyTo, &packet.Header{
			Kind: packet.Return, ReplyTo: a.conn.Addr(),
			Flow: flow.Packet{
				Service: h.Flow.Service, Tuple: h.Flow.Tuple, Hops: h.Flow.Hops, PointerRequested: ownership == routing.OwnedByDown,
				NonOwners: [flow.MaxNonOwners]uint64{a.seed()}, NonOwnerCount: 1,
			},
		}, nil)
	}
}

// query asks a member whether it owns the flow of a packet, which is held meanwhile. A
// packet that comes while the answer is awaited is held with the others. One that cannot
// be held is sent to the member: a search that sent nothing would take the member for one
// that does not answer.
func (b *Balancer) query(now time.Duration, s *routing.Segment, d routing.Decision, payload []byte) {
	switch b.held.hold(now, s.Tuple.ID(), d.To.Seed, payload) {
	case notHeld:
		b.forward(s, d, payload)
		return
	case heldAsked:
		return
	}
	b.decisionCounters.queries.Add(1)
	b.send(d.To.Addr, &packet.Header{
		Kind: packet.Query, ReplyTo: b.conn.Addr(),
		Flow: flow.Packet{Service: d.Service, TargetIncarnation: d.To.Incarnation, Tuple: s.Tuple, Hops: d.Hops},
	}, nil)
}

// handleQueryReturn continues the search for a flow that a member does not own, with the
// first packet that is held for it.
func (b *Balancer) handleQueryReturn(h *packet.Header) {
	payload := b.held.first(h.Flow.Tuple.ID())
	if payload == nil {
		return // found, or held for too long
	}
	b.continueAfterReturn(h, payload)
}

// release forwards the packets that are held for a flow to the member that owns it, or
// that has asked for them.
func (b *Balancer) release(id flow.ID, n *notification) {
	packets := b.held.take(id)
	if len(packets) == 0 {
		return
	}
	to, ok := b.router.Table().Peer(n.Service, n.Seed)
	if !ok {
		return
	}
	for _, p := range packets {
		h, err := b.options.Codec.Decode(p, FromCaller)
		if err != nil {
			continue // it could be read when it arrived
		}
		b.forward(&h.Segment, routing.Decision{To: to, Service: n.Service, OwnerKnown: n.OwnsFlow}, p)
	}
}

// probe forwards a packet to the member of a decision, or asks the member first. Where a
// search goes from members that are asked to one that gets the packets, those that were
// held go with it.
func (b *Balancer) probe(now time.Duration, s *routing.Segment, d routing.Decision, payload []byte) {
	if d.Query {
		b.query(now, s, d, payload)
		return
	}
	if d.Reason == routing.ReasonSearched {
		for _, p := range b.held.take(s.Tuple.ID()) {
			if h, err := b.options.Codec.Decode(p, FromCaller); err == nil && !bytes.Equal(p, payload) {
				b.forward(&h.Segment, d, p)
			}
		}
	}
	b.forward(s, d, payload)
}
