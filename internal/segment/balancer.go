package segment

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/histogram"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// Common are the options that both roles share.
type Common struct {
	// Name is the VM's name.
	Name string
	// Zone is the availability zone.
	Zone string
	// Control returns the addresses of control processes.
	Control func() []netip.AddrPort
	Retry   subscribe.Retry
	// Silence is how long a connection to control may be silent.
	Silence time.Duration
	// Packets is the UDP address for envelopes.
	Packets netip.AddrPort
	// ReturnPort is the port at which callers take packets.
	ReturnPort uint16
	// TLS returns the settings of a connection to control.
	TLS func() *tls.Config
	// Keys seal the envelopes.
	Keys packet.Keys
	// Session is a random number for this run's envelopes.
	Session uint64
	Codec   Codec
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

// BalancerOptions configure a Balancer.
type BalancerOptions struct {
	Common
	// Callers is the UDP address at which callers' packets arrive.
	Callers netip.AddrPort
	// LeaveTime is how long a stopping balancer goes on for the callers that
	// the fabric still sends to it.
	LeaveTime time.Duration
}

// Balancer is the running balancer role.
type Balancer struct {
	options BalancerOptions
	router  *routing.Balancer
	callers *udp.Conn
	*envelopes
	counts    *counters
	decisions *decisions
	placing   histogram.Histogram
	pool      *peer.Pool
	started   time.Time
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	leaving   atomic.Bool
	// placed holds when flows were first sent to a member.
	placed times
	kept   kept

	mu        sync.RWMutex
	positions map[view.ServiceID]view.Version
	services  map[string]proto.Service // used by the subscription alone
}

// StartBalancer opens the sockets and follows control until Stop.
func StartBalancer(o BalancerOptions) (*Balancer, error) {
	counts := &counters{}
	callers, sockets, err := openSockets(o.Common, o.Callers, counts)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		options: o, router: routing.NewBalancer(o.Zone), callers: callers, envelopes: sockets, counts: counts, started: o.Now(), cancel: cancel,
		pool: newPool(o.Common), decisions: newDecisions(), placed: newTimes(), kept: newKept(),
		positions: make(map[view.ServiceID]view.Version), services: make(map[string]proto.Service),
	}
	b.tasks.Go(func() { b.readFrom(b.callers, b.receiveCaller) })
	b.tasks.Go(func() { pace.Every(ctx, searchInterval, b.resume) })
	b.tasks.Go(func() { b.read(b.receive) })
	b.tasks.Go(func() {
		subscribe.Run(ctx, subscribe.Options{
			Name: o.Name, Control: o.Control, Retry: o.Retry, Pool: b.pool,
			Adopt: b.adopt, Confirmed: b.confirmed, Now: o.Now, Log: o.Log,
		})
	})
	return b, nil
}

// readBuffer is the kernel's receive buffer that is asked for, in bytes.
const readBuffer = 4 << 20

func newPool(o Common) *peer.Pool {
	p := peer.NewPool(o.TLS)
	p.SetSilence(o.Silence)
	return p
}

func (b *Balancer) elapsed() time.Duration { return b.options.Now().Sub(b.started) }

// Ready reports whether callers may be sent here.
func (b *Balancer) Ready() bool { return b.router.IsConfigConfirmed() && !b.leaving.Load() }

// Stop goes on for LeaveTime while it is not ready, then closes the sockets.
func (b *Balancer) Stop(ctx context.Context) error {
	b.leaving.Store(true)
	leave, cancel := context.WithTimeout(ctx, b.options.LeaveTime)
	defer cancel()
	<-leave.Done()
	b.cancel()
	_ = b.callers.Close()
	err := b.conn.Close()
	b.pool.Close()
	b.tasks.Wait()
	return err
}

func (b *Balancer) confirmed(asOf time.Time) {
	if !b.router.IsConfigConfirmed() {
		b.options.Log.Info("Configuration is current.", zap.Time("as_of", asOf))
	}
	b.router.ConfirmConfig()
}

// adopt puts an update in force.
func (b *Balancer) adopt(u proto.Update) {
	now, t := b.elapsed(), b.router.Table()
	if len(u.Services) > 0 || len(u.Removed) > 0 {
		b.setServices(u)
		t = t.WithRoutes(b.routes())
		b.options.Log.Info("Adopted a configuration.", zap.Int("addresses", t.RouteCount()))
	}
	for _, v := range u.Views {
		t = t.WithView(now, v)
		b.options.Log.Info("Adopted a view.", zap.Uint32("service", uint32(v.Service)),
			zap.Stringer("version", v.Version), zap.Int("members", len(v.Members)), zap.Int("targets", len(v.Targets())))
	}
	b.router.SetTable(t)
}

func (b *Balancer) setServices(u proto.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range u.Removed {
		delete(b.services, name)
	}
	for _, s := range u.Services {
		b.services[s.Name] = s
		b.positions[s.ID] = s.Version
	}
}

// routes returns the addresses of all services of mode segment.
func (b *Balancer) routes() routing.Routes {
	routes := make(routing.Routes)
	for _, s := range b.services {
		for _, in := range s.Inbound {
			routes[in.Addr] = insertPortion(routes[in.Addr], routing.WeightedService{Service: s.ID, Weight: in.Weight})
		}
	}
	return routes
}

// insertPortion keeps portions in the order of their services, so that all
// balancers choose alike.
func insertPortion(list []routing.WeightedService, p routing.WeightedService) []routing.WeightedService {
	i := len(list)
	for i > 0 && list[i-1].Service > p.Service {
		i--
	}
	list = append(list, routing.WeightedService{})
	copy(list[i+1:], list[i:])
	list[i] = p
	return list
}

func (b *Balancer) position(id view.ServiceID) view.Version {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.positions[id]
}

// receiveCaller steers a packet of a caller.
func (b *Balancer) receiveCaller(payload []byte, from netip.AddrPort) {
	h, err := b.options.Codec.Decode(payload, FromCaller)
	if err != nil {
		b.counts.garbled.Add(1)
		b.options.Log.Debug("Dropped a packet that cannot be read.", zap.Stringer("from", from), zap.Error(err))
		return
	}
	now := b.elapsed()
	b.carryOut(now, &h.Segment, b.router.Steer(now, &h.Segment), payload)
}

// resume sends the packets on whose last question nobody has answered.
func (b *Balancer) resume() {
	now := b.elapsed()
	b.kept.sweep(now)
	for _, id := range b.router.OverdueSearches(now) {
		packet := b.kept.get(id)
		if packet == nil {
			continue
		}
		h, err := b.options.Codec.Decode(packet, FromCaller)
		if err != nil {
			b.options.Log.Error("Kept a packet that cannot be read.", zap.Error(err))
			b.kept.drop(id)
			continue
		}
		b.carryOut(now, &h.Segment, b.router.Steer(now, &h.Segment), packet)
	}
}

// receive takes the envelopes of agents.
func (b *Balancer) receive(h *packet.Header, payload []byte) {
	switch h.Kind {
	case packet.Returned:
		b.returned(h, payload)
	case packet.Note:
		b.noted(h, payload)
	default:
		b.counts.refused.Add(1)
	}
}

func (b *Balancer) returned(h *packet.Header, payload []byte) {
	segment, err := b.options.Codec.Decode(payload, FromCaller)
	if err != nil || h.Flow.NonOwnerCount == 0 {
		b.counts.garbled.Add(1)
		return
	}
	b.decisions.returned.Add(1)
	now := b.elapsed()
	decision := b.router.HandleReturn(now, &segment.Segment, routing.ReturnInfo{
		Service: h.Flow.Service, Seed: h.Flow.NonOwners[0], Hops: h.Flow.Hops, BackendDown: h.Flow.PointerRequested,
	})
	b.carryOut(now, &segment.Segment, decision, payload)
}

func (b *Balancer) noted(h *packet.Header, payload []byte) {
	var n note
	if err := cbor.Unmarshal(payload, &n); err != nil {
		b.counts.garbled.Add(1)
		b.options.Log.Warn("Could not read a note.", zap.Stringer("from", h.ReplyTo), zap.Error(err))
		return
	}
	b.decisions.notes.Add(1)
	now := b.elapsed()
	b.router.ReportLoad(now, n.Service, n.Seed, n.Load)
	if !n.Held {
		return
	}
	id := h.Flow.Tuple.ID()
	b.router.ConfirmOwner(now, id, n.Service, n.Seed)
	b.kept.drop(id)
	if at, ok := b.placed.take(id); ok {
		b.placing.Add(now - at)
	}
}

// carryOut does what was decided about a segment.
func (b *Balancer) carryOut(now time.Duration, s *routing.Segment, d routing.Decision, payload []byte) {
	b.decisions.byReason[d.Reason].Add(1)
	switch d.Verdict {
	case routing.Forward:
		switch {
		case d.Reason == routing.ReasonPlaced && s.Retransmits == 0:
			b.placed.put(now, s.Tuple.ID())
		case d.Reason == routing.ReasonSearched:
			b.kept.put(now, s.Tuple.ID(), payload)
		}
		b.forward(s, d, payload)
	case routing.Reset:
		b.reset(s)
	}
	if d.Verdict != routing.Forward {
		b.kept.drop(s.Tuple.ID())
	}
	b.logDecision(s, d)
}

func (b *Balancer) forward(s *routing.Segment, d routing.Decision, payload []byte) {
	b.send(d.To.Addr, &packet.Header{
		Kind: packet.Forward, ReplyTo: b.conn.Addr(),
		Flow: flow.Packet{
			Service: d.Service, Ballot: flow.Ballot{Version: b.position(d.Service)}, TargetIncarnation: d.To.Incarnation,
			Tuple: s.Tuple, Hops: d.Hops, EarlierPicksComplete: d.OwnerKnown,
		},
	}, payload)
}

func (b *Balancer) reset(s *routing.Segment) {
	b.decisions.resets.Add(1)
	to := netip.AddrPortFrom(s.Tuple.Caller.Addr(), b.options.ReturnPort)
	if err := b.callers.Write(b.options.Codec.AppendReset(nil, s), to); err != nil {
		b.counts.failed.Add(1)
		b.options.Log.Warn("Could not send a reset.", zap.Stringer("to", to), zap.Error(err))
	}
}

// logDecision writes one line for each decision that is not a repetition.
func (b *Balancer) logDecision(s *routing.Segment, d routing.Decision) {
	if d.Reason == routing.ReasonCachedOwner {
		return
	}
	to := zap.Skip()
	if d.Verdict == routing.Forward {
		to = zap.Stringer("to", d.To.Addr)
	}
	b.options.Log.Info(decisionText[d.Verdict],
		zap.Stringer("caller", s.Tuple.Caller), zap.Stringer("address", s.Tuple.Service),
		zap.Bool("opens", s.OpensFlow()), zap.Uint32("seq", s.Seq), zap.Uint32("copy", s.Retransmits), zap.Stringer("reason", d.Reason),
		to, zap.Uint8("hops", d.Hops))
}

var decisionText = map[routing.Verdict]string{
	routing.Forward: "Sent a segment to a member.",
	routing.Reset:   "Reset a flow.",
	routing.Drop:    "Dropped a segment.",
}

// Available returns how many backend servers take new flows of an address.
func (b *Balancer) Available(addr netip.AddrPort) int { return b.router.Table().AvailableMembers(addr) }
