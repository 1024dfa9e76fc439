package agent

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/packet"
)

// pushInterval is how often pointers that are due are sent.
const pushInterval = 50 * time.Millisecond

// ownership is the payload of a packet.Control envelope between agents. One
// field is set.
type ownership struct {
	Batch *locator.Batch `cbor:"1,keyasint,omitempty"`
	Ack   *locator.Ack   `cbor:"2,keyasint,omitempty"`
}

// push sends pointers that are due until ctx ends.
func (a *Agent) push(ctx context.Context) {
	turn := 0
	pace.Every(ctx, pushInterval, func() {
		for _, m := range a.owner.pusher.Tick(a.owner.elapsed()) {
			a.sendOwnership(m.To, ownership{Batch: &m.Batch})
		}
		a.owner.flows.Sweep(a.owner.elapsed(), turn)
		turn++
	})
}

func (a *Agent) sendOwnership(to flow.Peer, o ownership) {
	payload, err := cbor.Marshal(o)
	if err != nil {
		a.stats.Failed.Add(1)
		return
	}
	header := packet.Header{Kind: packet.Control, Flow: flow.Packet{
		Service:           view.ServiceID(a.service.Load()),
		TargetIncarnation: to.Incarnation,
	}}
	sealed, err := a.sealer.Seal(nil, &header, payload)
	if err == nil {
		err = a.envelopes.Write(sealed, to.Addr)
	}
	if err != nil {
		a.stats.Failed.Add(1)
		return
	}
	a.stats.ControlSent.Add(1)
	a.stats.ControlBytes.Add(uint64(len(sealed)))
}

// receiveOwnership takes a message of another agent of the service.
func (a *Agent) receiveOwnership(h *packet.Header, payload []byte) {
	var o ownership
	if !a.accepts(h) || cbor.Unmarshal(payload, &o) != nil {
		a.stats.Rejected.Add(1)
		return
	}
	switch {
	case o.Batch != nil:
		b := o.Batch
		a.owner.flows.StorePointers(a.owner.elapsed(), b.From, b.Owner, b.Flows)
		if b.Sequence != 0 {
			a.sendOwnership(b.From, ownership{Ack: &locator.Ack{Sequence: b.Sequence, From: a.owner.self}})
		}
	case o.Ack != nil:
		a.owner.flows.MarkResponsive(o.Ack.From)
		a.owner.pusher.HandleAck(*o.Ack)
	}
}
