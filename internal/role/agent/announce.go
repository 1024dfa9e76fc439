package agent

import (
	"context"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/announce"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// announce renews the agent's lease until ctx is done.
func (a *Agent) announce(ctx context.Context) {
	sequence := a.sequenceBase
	announce.Run(ctx, announce.Options{
		Name:    a.options.ID,
		Control: subscribe.Fixed(a.options.Control...),
		Pool:    a.pool,
		Next: func() (view.Announcement, bool) {
			sequence++
			a.lastSequence.Store(sequence)
			return a.announcement(sequence), true
		},
		Answered: a.handleAnnounceReply,
		Silent:   func() { a.stats.UnresponsiveControl.Add(1) },
		Log:      a.options.Log,
	})
}

// handleAnnounceReply handles control's response to an announcement.
func (a *Agent) handleAnnounceReply(announcement view.Announcement, reply proto.AnnounceReply) {
	a.ownership.flows.SetLoads(reply.Loads)
	if announcement.Draining && reply.Accepted {
		a.drainAcceptedOnce.Do(func() { close(a.drainAccepted) })
	}
}

func (a *Agent) announcement(sequence uint64) view.Announcement {
	var adopted view.Version
	if v := a.ownership.flows.View(); v != nil && a.serviceID.Load() != 0 {
		adopted = v.Version
	}
	return view.Announcement{
		Service:        a.options.Service,
		ID:             a.options.ID,
		Zone:           a.options.Zone,
		Incarnation:    a.options.Incarnation,
		Packets:        a.envelopes.Addr(),
		Requests:       a.server.Addr(),
		Slots:          a.options.Slots,
		Healthy:        true,
		Draining:       a.isDraining.Load(),
		Sequence:       sequence,
		AdoptedVersion: adopted,
		Flows:          uint32(a.ownership.flows.OwnedCount()),
	}
}
