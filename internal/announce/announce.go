// Package announce renews an agent's lease at control.
package announce

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
	"fulmarmount.org/fulmarmount/internal/subscribe"
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

// Options configure Run.
type Options struct {
	// Name is the daemon's.
	Name string
	// Control returns the addresses of control processes, at least one.
	Control func() []netip.AddrPort
	// Pool connects to them.
	Pool  *peer.Pool
	Retry subscribe.Retry
	// Next returns what to announce; false while there is nothing.
	Next func() (view.Announcement, bool)
	// Answered is called with each answer; nil where nobody asks.
	Answered func(view.Announcement, proto.AnnounceReply)
	// Silent is called when a connection has gone silent; nil where nobody asks.
	Silent func()
	// Changed asks for an announcement at once; nil where nobody does.
	Changed <-chan struct{}
	Log     *zap.Logger
}

// Run renews the lease until ctx ends. A connection that goes silent says nothing
// about control: a fresh one, from a new port, is tried at once before another
// control process is.
func Run(ctx context.Context, o Options) {
	o.Retry = o.Retry.WithDefaults()
	var detour subscribe.Detour
	for i := 0; ctx.Err() == nil; i++ {
		order := detour.Order(subscribe.Order(o.Name, o.Control(), i))
		out, err := o.renew(ctx, order, false)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if o.Silent != nil {
				o.Silent()
			}
			out, err = o.renew(ctx, order, true)
		}
		if err != nil && ctx.Err() == nil {
			o.Log.Warn("Lost the lease's connection.", zap.Error(err))
		}
		if out.turnedAway() && detour.RecordRefusal(out.addr, o.Control()) {
			continue
		}
		detour.Reset()
		pace.Sleep(ctx, pace.Jitter(o.Retry.First))
	}
}

// outcome is what a stream to a control process came to.
type outcome struct {
	addr     netip.AddrPort // of the control process
	opened   bool           // it took the stream
	answered bool           // and has answered an announcement
	silent   bool           // and went silent
}

// turnedAway reports whether a control process ended the stream without an answer.
func (o outcome) turnedAway() bool { return o.opened && !o.answered && !o.silent }

// renew announces on one stream until it fails. It tries control processes in order.
func (o *Options) renew(ctx context.Context, order []netip.AddrPort, fresh bool) (out outcome, err error) {
	dial, stopDial := context.WithTimeout(ctx, o.Retry.Dial)
	s, addr, err := o.Pool.OpenAny(dial, order, proto.Announce, fresh)
	stopDial()
	if err != nil {
		return out, err
	}
	out.addr, out.opened = addr, true
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	o.Log.Info("Announces to control.", zap.Stringer("control", addr))
	for ctx.Err() == nil {
		wait := renewInterval
		if announcement, ok := o.Next(); ok {
			if wait, err = o.exchange(s, announcement); err != nil {
				out.silent = errors.Is(err, os.ErrDeadlineExceeded)
				return out, err
			}
			out.answered = true
		}
		o.await(ctx, wait)
	}
	return out, nil
}

// await waits for a time, a change or the end of ctx.
func (o *Options) await(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-o.Changed:
	}
}

// exchange announces once and returns the time until the next announcement.
func (o *Options) exchange(s *peer.Stream, announcement view.Announcement) (time.Duration, error) {
	if err := s.Send(announcement); err != nil {
		return 0, err
	}
	if err := s.SetReadDeadline(time.Now().Add(answerLimit)); err != nil {
		return 0, err
	}
	var reply proto.AnnounceReply
	if err := s.Recv(&reply); err != nil {
		return 0, err
	}
	if o.Answered != nil {
		o.Answered(announcement, reply)
	}
	switch {
	case !reply.Accepted:
		o.Log.Warn("Control refused the announcement.", zap.String("reason", reply.Reason))
		return min(renewInterval, o.Retry.First), nil
	case reply.Lease <= 0:
		return renewInterval, nil
	}
	return pace.Jitter(reply.Lease / renewals), nil
}
