package agent

import (
	"context"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/announce"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// announce renews the agent's lease until ctx ends.
func (a *Agent) announce(ctx context.Context) {
	sequence := a.sequence
	announce.Run(ctx, announce.Options{
		Name:    a.options.ID,
		Control: subscribe.Fixed(a.options.Control...),
		Pool:    a.pool,
		Next: func() (view.Announcement, bool) {
			sequence++
			a.announced.Store(sequence)
			return a.announcement(sequence), true
		},
		Answered: a.answered,
		Silent:   func() { a.stats.UnresponsiveControl.Add(1) },
		Log:      a.options.Log,
	})
}

// answered takes control's answer to an announcement.
func (a *Agent) answered(announcement view.Announcement, reply proto.AnnounceReply) {
	a.owner.flows.SetLoads(reply.Loads)
	if announcement.Draining && reply.Accepted {
		a.leftOnce.Do(func() { close(a.left) })
	}
}

func (a *Agent) announcement(sequence uint64) view.Announcement {
	var holds view.Version
	if v := a.owner.flows.View(); v != nil && a.service.Load() != 0 {
		holds = v.Version
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
		Draining:       a.draining.Load(),
		Sequence:       sequence,
		AdoptedVersion: holds,
		Flows:          uint32(a.owner.flows.OwnedCount()),
	}
}
