package segment

import (
	"time"

	"fulmarmount.org/core/routing"
)

// maxParkedTime is how long a packet of a caller is parked. A caller that opens a flow
// gives up that long after the last copy of its SYN.
const maxParkedTime = 800 * time.Millisecond

// park keeps the latest packet of a flow that came early. Its number of retransmissions
// tells how long the caller has waited.
//
// It answers the load after a loss of power: callers retransmit 200 ms or more after the
// packet that came a moment too soon, and are late by that.
func (b *Balancer) park(now time.Duration, s *routing.Segment, d routing.Decision, payload []byte) {
	if d.IsEarly(s) {
		b.parked.remove(s.Tuple.ID())
		b.parked.put(now, s.Tuple.ID(), payload)
	}
	if d.Reason == routing.ReasonConfigUnconfirmed {
		b.unpark() // the confirmation may have come between the decision and here
	}
}

// unpark decides anew about the parked packets, after what this balancer knows has
// changed. Those that are still early stay for the rest of their time.
func (b *Balancer) unpark() {
	if !b.router.IsConfigConfirmed() {
		return
	}
	now := b.elapsed()
	b.parked.removeExpired(now)
	for _, p := range b.parked.takeAll() {
		h, err := b.options.Codec.Decode(p.data, FromCaller)
		if err != nil {
			continue // it could be read when it arrived
		}
		d := b.router.Steer(now, &h.Segment)
		if d.IsEarly(&h.Segment) {
			b.parked.put(p.bufferedAt, h.Tuple.ID(), p.data)
			continue
		}
		b.execute(now, &h.Segment, d, p.data)
	}
}
