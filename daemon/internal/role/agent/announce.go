package agent

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/view"
	"fulmarmount.org/daemon/internal/proto"
	"fulmarmount.org/daemon/internal/subscribe"
)

const (
	// renewInterval is the time between announcements: a third of the lease,
	// so that two may be lost.
	renewInterval = 1 * time.Second
	// answerLimit bounds the wait for the answer to an announcement.
	answerLimit = 2 * time.Second
)

// announce renews the agent's lease until ctx ends.
func (a *Agent) announce(ctx context.Context) {
	var sequence uint64
	for i := 0; ctx.Err() == nil; i++ {
		control := a.options.Control[i%len(a.options.Control)]
		if err := a.renew(ctx, control, &sequence); err != nil && ctx.Err() == nil {
			a.options.Log.Warn("Lost the lease's connection.", zap.Stringer("control", control), zap.Error(err))
		}
		subscribe.Sleep(ctx, subscribe.Jitter(renewInterval))
	}
}

// renew announces on one stream until it fails.
func (a *Agent) renew(ctx context.Context, control netip.AddrPort, sequence *uint64) error {
	s, err := a.pool.Open(ctx, control, proto.Announce)
	if err != nil {
		return err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	for {
		*sequence++
		announcement := a.announcement(*sequence)
		if err := s.Send(announcement); err != nil {
			return err
		}
		if err := s.SetReadDeadline(time.Now().Add(answerLimit)); err != nil {
			return err
		}
		var reply proto.AnnounceReply
		if err := s.Recv(&reply); err != nil {
			return err
		}
		a.owner.flows.SetLoads(reply.Loads)
		if announcement.Draining && reply.Accepted {
			a.leftOnce.Do(func() { close(a.left) })
		}
		if !reply.Accepted {
			a.options.Log.Warn("Control refused the announcement.", zap.String("reason", reply.Reason))
		}
		if !subscribe.Sleep(ctx, subscribe.Jitter(renewInterval)) {
			return nil
		}
	}
}

func (a *Agent) announcement(sequence uint64) view.Announcement {
	var holds view.Version
	if v := a.owner.flows.View(); v != nil && a.service.Load() != 0 {
		holds = v.Version
	}
	return view.Announcement{
		Service:     a.options.Service,
		ID:          a.options.ID,
		Zone:        a.options.Zone,
		Incarnation: a.options.Incarnation,
		Packets:     a.envelopes.Addr(),
		Requests:    a.server.Addr(),
		Slots:       a.options.Slots,
		Healthy:     true,
		Draining:    a.draining.Load(),
		Sequence:    sequence,
		Holds:       holds,
		Flows:       uint32(a.owner.flows.Flows()),
	}
}
