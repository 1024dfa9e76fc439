package agent

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
)

const (
	// renewInterval is the time between announcements until control has told
	// the lease.
	renewInterval = 1 * time.Second
	// renewals is the number of announcements in one lease, so that two may be
	// lost.
	renewals = 3
	// answerLimit bounds the wait for the answer to an announcement. A fresh
	// connection tried after it still renews the lease in time.
	answerLimit = 1 * time.Second
)

// announce renews the agent's lease until ctx ends. A connection that goes
// silent says nothing about control: a fresh one, from a new port, is tried at
// once before another control process is.
func (a *Agent) announce(ctx context.Context) {
	sequence := a.sequence
	for i := 0; ctx.Err() == nil; i++ {
		control := a.options.Control[i%len(a.options.Control)]
		err := a.renew(ctx, control, a.pool.Open, &sequence)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			a.stats.Silent.Add(1)
			err = a.renew(ctx, control, a.pool.OpenFresh, &sequence)
		}
		if err != nil && ctx.Err() == nil {
			a.options.Log.Warn("Lost the lease's connection.", zap.Stringer("control", control), zap.Error(err))
		}
		pace.Sleep(ctx, pace.Jitter(renewInterval))
	}
}

// opener opens a stream to a control process.
type opener func(ctx context.Context, addr netip.AddrPort, kind string) (*peer.Stream, error)

// renew announces on one stream until it fails.
func (a *Agent) renew(ctx context.Context, control netip.AddrPort, open opener, sequence *uint64) error {
	s, err := open(ctx, control, proto.Announce)
	if err != nil {
		return err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	for {
		*sequence++
		a.announced.Store(*sequence)
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
		if !pace.Sleep(ctx, pace.Jitter(interval(reply.Lease))) {
			return nil
		}
	}
}

// interval returns the time between the announcements of a lease.
func interval(lease time.Duration) time.Duration {
	if lease <= 0 {
		return renewInterval
	}
	return lease / renewals
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
