// Package subscribe joins core/dissemination to peer streams: Run keeps a daemon's
// subscription to control, a Publisher serves the subscriptions of others.
package subscribe

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// Options configure a subscription.
type Options struct {
	// Name is the daemon's; it is unique within the fleet.
	Name string
	// Keys restrict what is followed; empty means everything.
	Keys []string
	// Control returns the addresses of control processes, at least one.
	Control func() []netip.AddrPort
	// Pool connects to them.
	Pool *peer.Pool
	// Adopt is called with what has come in force, by one goroutine.
	Adopt func(proto.Update)
	// Confirmed is called with a time at which what is in force was current,
	// by the same goroutine, each time that a later one is known; nil where
	// nobody asks.
	Confirmed func(asOf time.Time)
	// Retry bounds the delays between attempts to reach control.
	Retry Retry
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

// Retry bounds the delays between attempts to reach control. Zero values take
// the defaults, which suit a fleet whose daemons all come back at once.
type Retry struct {
	// First is the range of the first delay, Max that of later ones.
	First, Max time.Duration
	// Dial bounds one attempt.
	Dial time.Duration
}

// WithDefaults returns r with defaults in place of zero values.
func (r Retry) WithDefaults() Retry {
	return Retry{
		First: cmp.Or(r.First, firstSpread),
		Max:   cmp.Or(r.Max, maxSpread),
		Dial:  cmp.Or(r.Dial, dialLimit),
	}
}

const (
	// firstSpread is the range of the first delay before a reconnect.
	firstSpread = time.Second
	// maxSpread bounds the range of later ones.
	maxSpread = 30 * time.Second
	// dialLimit bounds an attempt to reach control.
	dialLimit = 5 * time.Second
	// tickInterval is how often timers are looked at.
	tickInterval = 50 * time.Millisecond
)

// subscription is one daemon's.
type subscription struct {
	options Options
	started time.Time
	sink    *dissemination.Sink
	session uint64
	asOf    time.Duration // of the last call of Confirmed
}

// Run follows the fleet's state until ctx ends. Where control is lost, what is
// in force stays, and other control processes are tried after a delay.
func Run(ctx context.Context, o Options) {
	o.Retry = o.Retry.WithDefaults()
	s := &subscription{options: o, started: o.Now()}
	store := dissemination.NewStore(dissemination.StoreOptions{DropBodies: true})
	s.sink = dissemination.NewSink(0, store, dissemination.SinkOptions{DaemonID: o.Name, Keys: o.Keys})
	backoff := dissemination.NewBackoff(dissemination.BackoffOptions{
		BaseDelay: o.Retry.First,
		MaxDelay:  o.Retry.Max,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	var detour Detour
	for i := 0; ctx.Err() == nil; i++ {
		order := Order(o.Name, o.Control(), i)
		addr, retryAfter, heard, err := s.follow(ctx, detour.Order(order))
		if ctx.Err() != nil {
			return
		}
		o.Log.Warn("Lost control. What is in force stays.", zap.Stringer("control", addr), zap.Error(err))
		if heard {
			backoff.Reset()
			detour.Reset()
		}
		if !heard && retryAfter == 0 && addr.IsValid() && detour.RecordRefusal(addr, order) {
			continue
		}
		detour.Reset()
		if !pace.Sleep(ctx, backoff.Next(retryAfter)) {
			return
		}
	}
}

// Order returns the order in which a daemon tries control processes. Daemons begin
// with different ones, and each with the next one at its next turn.
func Order(name string, control []netip.AddrPort, turn int) []netip.AddrPort {
	if len(control) == 0 {
		return nil // the settings name none at the moment
	}
	byName := make(map[string]netip.AddrPort, len(control))
	var names []string
	for _, addr := range control {
		byName[addr.String()] = addr
		names = append(names, addr.String())
	}
	order := make([]netip.AddrPort, 0, len(names))
	for _, n := range dissemination.RelayOrder(name, names) {
		order = append(order, byName[n])
	}
	first := turn % len(order)
	return slices.Concat(order[first:], order[:first])
}

func (s *subscription) now() time.Duration { return s.options.Now().Sub(s.started) }

// follow runs one session with the first control process that answers. It returns
// its address, the delay that a refusal asked for and
// whether anything was heard.
func (s *subscription) follow(ctx context.Context, order []netip.AddrPort) (addr netip.AddrPort, retryAfter time.Duration, heard bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dial, stopDial := context.WithTimeout(ctx, s.options.Retry.Dial)
	stream, addr, err := s.options.Pool.OpenAny(dial, order, proto.Subscribe, s.sink.SourceTimedOut(s.now()))
	stopDial()
	if err != nil {
		return addr, 0, false, err
	}
	defer s.sink.Disconnect()
	defer stream.Abort()
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()

	s.session++
	if err := s.take(stream, s.sink.Connect(s.now(), s.session)); err != nil {
		return addr, 0, false, err
	}
	received, failed := receive(ctx, stream)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var out dissemination.Output
		select {
		case err := <-failed:
			return addr, 0, heard, err
		case m := <-received:
			heard = true
			out = s.sink.Receive(s.now(), m)
		case <-ticker.C:
			out = s.sink.Tick(s.now())
		}
		if err := s.take(stream, out); err != nil {
			return addr, 0, heard, err
		}
		switch {
		case out.RetryAfter > 0:
			return addr, out.RetryAfter, false, Refused.New("%v serves enough others", addr)
		case s.sink.SourceTimedOut(s.now()):
			return addr, 0, heard, Silent.New("nothing was heard from %v", addr)
		}
	}
}

// receive reads messages until the stream fails.
func receive(ctx context.Context, stream *peer.Stream) (<-chan dissemination.DownstreamMessage, <-chan error) {
	received, failed := make(chan dissemination.DownstreamMessage), make(chan error, 1)
	go func() {
		for {
			var m dissemination.DownstreamMessage
			if err := stream.Recv(&m); err != nil {
				failed <- err
				return
			}
			select {
			case received <- m:
			case <-ctx.Done():
				failed <- ctx.Err()
				return
			}
		}
	}()
	return received, failed
}

// take puts in force what was adopted and sends what is to be sent.
func (s *subscription) take(stream *peer.Stream, out dissemination.Output) error {
	var update proto.Update
	for _, it := range out.Applied {
		if err := update.Add(it); err != nil {
			s.options.Log.Error("Cannot adopt an item.", zap.String("key", it.Key), zap.Error(err))
		}
	}
	if len(out.Applied) > 0 {
		s.options.Adopt(update)
	}
	s.confirm()
	for _, m := range out.Messages {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// confirm reports a later time at which what is in force was current.
func (s *subscription) confirm() {
	asOf, ok := s.sink.AsOf()
	if !ok || asOf <= s.asOf || s.options.Confirmed == nil {
		return
	}
	s.asOf = asOf
	s.options.Confirmed(s.started.Add(asOf))
}

// Fixed returns addresses that never change.
func Fixed(addrs ...netip.AddrPort) func() []netip.AddrPort {
	return func() []netip.AddrPort { return addrs }
}
