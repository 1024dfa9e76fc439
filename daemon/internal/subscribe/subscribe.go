// Package subscribe keeps a daemon's subscription to control: it follows the
// fleet's state and reconnects with jittered delays where control is lost.
package subscribe

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/daemon/internal/peer"
	"fulmarmount.org/daemon/internal/proto"
)

// Options configure a subscription.
type Options struct {
	// Control are the addresses of control processes, tried in turn.
	Control []netip.AddrPort
	// Pool connects to them.
	Pool *peer.Pool
	// Hello introduces the daemon.
	Hello proto.Hello
	// Adopt is called with each update, by one goroutine.
	Adopt func(proto.Update)
	Log   *zap.Logger
}

const (
	// firstDelay and maxDelay bound the delay before a reconnect. Each delay
	// is drawn between half and the whole of its bound.
	firstDelay = 100 * time.Millisecond
	maxDelay   = 5 * time.Second
)

// Run follows the fleet's state until ctx ends.
func Run(ctx context.Context, o Options) {
	delay := firstDelay
	for i := 0; ctx.Err() == nil; i++ {
		addr := o.Control[i%len(o.Control)]
		adopted, err := follow(ctx, o, addr)
		if ctx.Err() != nil {
			return
		}
		o.Log.Warn("Lost control. What is in force stays.", zap.Stringer("control", addr), zap.Error(err))
		if adopted {
			delay = firstDelay
		}
		if !Sleep(ctx, Jitter(delay)) {
			return
		}
		delay = min(2*delay, maxDelay)
	}
}

// follow reads updates from one control process until the stream ends.
func follow(ctx context.Context, o Options, addr netip.AddrPort) (adopted bool, err error) {
	s, err := o.Pool.Open(ctx, addr, proto.Subscribe)
	if err != nil {
		return false, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Send(o.Hello); err != nil {
		return false, err
	}
	for {
		var update proto.Update
		if err := s.Recv(&update); err != nil {
			return adopted, err
		}
		for _, v := range update.Views {
			v.Prepare()
		}
		o.Adopt(update)
		adopted = true
		if err := s.Send(proto.InForce{Revision: update.Revision}); err != nil {
			return adopted, err
		}
	}
}

// Jitter draws a delay between half of d and d.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// Sleep waits for d and reports whether ctx has not ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
