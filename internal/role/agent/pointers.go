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

// pushInterval is the interval at which due pointers are sent.
const pushInterval = 50 * time.Millisecond

// ownershipMessage is the payload of a packet.Ownership envelope between agents.
// Exactly one field is set.
type ownershipMessage struct {
	Batch *locator.Batch `cbor:"1,keyasint,omitempty"`
	Ack   *locator.Ack   `cbor:"2,keyasint,omitempty"`
}

// pushPointers sends due pointers, and expires idle entries of the flow table, until
// ctx is done.
func (a *Agent) pushPointers(ctx context.Context) {
	tick := 0
	pace.Every(ctx, pushInterval, func() {
		for _, m := range a.ownership.pusher.Tick(a.ownership.elapsed()) {
			a.sendOwnershipMessage(m.To, ownershipMessage{Batch: &m.Batch})
		}
		a.ownership.flows.Sweep(a.ownership.elapsed(), tick)
		tick++
	})
}

func (a *Agent) sendOwnershipMessage(to flow.Peer, o ownershipMessage) {
	payload, err := cbor.Marshal(o)
	if err != nil {
		a.stats.Failed.Add(1)
		return
	}
	header := packet.Header{Kind: packet.Ownership, Flow: flow.Packet{
		Service:           view.ServiceID(a.serviceID.Load()),
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

// handleOwnershipMessage handles a message of another agent of the service.
func (a *Agent) handleOwnershipMessage(h *packet.Header, payload []byte) {
	var o ownershipMessage
	if !a.isAddressedHere(h) || cbor.Unmarshal(payload, &o) != nil {
		a.stats.Rejected.Add(1)
		return
	}
	switch {
	case o.Batch != nil:
		b := o.Batch
		a.ownership.flows.StorePointers(a.ownership.elapsed(), b.From, b.Owner, b.Flows)
		if b.Sequence != 0 {
			a.sendOwnershipMessage(b.From, ownershipMessage{Ack: &locator.Ack{Sequence: b.Sequence, From: a.ownership.self}})
		}
	case o.Ack != nil:
		a.ownership.flows.MarkResponsive(o.Ack.From)
		a.ownership.pusher.HandleAck(*o.Ack)
	}
}
