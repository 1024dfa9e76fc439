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
	"fulmarmount.org/fulmarmount/internal/phases"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// CommonOptions are the options that both roles share.
type CommonOptions struct {
	// Name is the VM's name.
	Name string
	// Zone is the availability zone.
	Zone string
	// ControlAddrs returns the addresses of control processes.
	ControlAddrs func() []netip.AddrPort
	Retry        subscribe.Retry
	// ControlSilenceTimeout is the silence after which a connection to control is
	// considered lost.
	ControlSilenceTimeout time.Duration
	// EnvelopeAddr is the UDP address for envelopes.
	EnvelopeAddr netip.AddrPort
	// ReturnPort is the port at which callers receive packets.
	ReturnPort uint16
	// TLSConfig returns the TLS configuration for connections to control.
	TLSConfig func() *tls.Config
	// KeyRing provides the keys that seal the envelopes.
	KeyRing packet.KeyRing
	// SessionID is a random number that identifies this process's envelopes.
	SessionID uint64
	Codec     Codec
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

// BalancerOptions configure a Balancer.
type BalancerOptions struct {
	CommonOptions
	// CallerAddr is the UDP address at which callers' packets arrive.
	CallerAddr netip.AddrPort
	// ShutdownDelay is how long a stopping balancer keeps serving callers that the
	// fabric still routes to it.
	ShutdownDelay time.Duration
}

// Balancer is the running balancer role.
type Balancer struct {
	options BalancerOptions
	router  *routing.Balancer
	callers *udp.Conn
	*envelopeSocket
	counters         *counters
	decisionCounters *decisionCounters
	refusals         *refusalLog
	placementLatency histogram.Histogram
	pool             *peer.Pool
	started          time.Time
	cancel           context.CancelFunc
	tasks            sync.WaitGroup
	isStopping       atomic.Bool
	// placementTimes holds the times at which flows were first forwarded.
	placementTimes startTimes
	searchPackets  packetBuffer
	parked         packetBuffer
	held           heldPackets
	phases         *phases.Tracker

	mu             sync.RWMutex
	configVersions map[view.ServiceID]view.Version
	services       map[string]proto.Service // used by the subscription alone
}

// StartBalancer opens the sockets, subscribes to control and starts the balancer,
// which runs until Stop.
func StartBalancer(o BalancerOptions) (*Balancer, error) {
	counts := &counters{}
	callers, sockets, err := openSockets(o.CommonOptions, o.CallerAddr, counts)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		options: o, router: routing.NewBalancer(o.Zone), callers: callers, envelopeSocket: sockets,
		counters: counts, started: o.Now(), cancel: cancel, pool: newPool(o.CommonOptions),
		decisionCounters: newDecisionCounters(), refusals: newRefusalLog(), placementTimes: newStartTimes(),
		searchPackets: newPacketBuffer(searchPacketTime), parked: newPacketBuffer(maxParkedTime),
		held: newHeldPackets(), phases: newBalancerPhases(o.CommonOptions),
		configVersions: make(map[view.ServiceID]view.Version), services: make(map[string]proto.Service),
	}
	b.tasks.Go(func() { b.readDatagrams(b.callers, b.receiveFromCaller) })
	b.tasks.Go(func() { pace.Every(ctx, searchInterval, b.resumeSearches) })
	b.tasks.Go(func() { b.readEnvelopes(b.receiveEnvelope) })
	b.tasks.Go(func() {
		subscribe.Run(ctx, subscribe.Options{
			Name: o.Name, Control: o.ControlAddrs, Retry: o.Retry, Pool: b.pool,
			Adopt: b.applyUpdate, Confirmed: b.confirmConfig, Now: o.Now, Log: o.Log,
		})
	})
	return b, nil
}

// receiveBufferSize is the requested size of the kernel's receive buffer in bytes.
const receiveBufferSize = 4 << 20

func newPool(o CommonOptions) *peer.Pool {
	p := peer.NewPool(o.TLSConfig)
	p.SetSilence(o.ControlSilenceTimeout)
	return p
}

func (b *Balancer) elapsed() time.Duration { return b.options.Now().Sub(b.started) }

// Ready reports whether callers may be routed to this balancer.
func (b *Balancer) Ready() bool { return b.router.IsConfigConfirmed() && !b.isStopping.Load() }

// Stop reports the balancer as not ready, serves for ShutdownDelay, then closes the
// sockets.
func (b *Balancer) Stop(ctx context.Context) error {
	b.isStopping.Store(true)
	delay, cancel := context.WithTimeout(ctx, b.options.ShutdownDelay)
	defer cancel()
	<-delay.Done()
	b.cancel()
	_ = b.callers.Close()
	err := b.conn.Close()
	b.pool.Close()
	b.tasks.Wait()
	return err
}

func (b *Balancer) confirmConfig(asOf time.Time) {
	if !b.router.IsConfigConfirmed() {
		b.options.Log.Info("Control confirmed that the configuration is current.", zap.Time("as_of", asOf))
	}
	b.router.ConfirmConfig()
	b.phases.End(phaseConfirmed)
	b.unpark()
}

// applyUpdate activates an update.
func (b *Balancer) applyUpdate(u proto.Update) {
	now, table := b.elapsed(), b.router.Table()
	if len(u.Services) > 0 || len(u.Removed) > 0 {
		b.setServices(u)
		table = table.WithRoutes(b.routes())
		b.router.SetPlacementRules(b.placementRules())
		b.options.Log.Info("Adopted a configuration.", zap.Int("addresses", table.RouteCount()))
	}
	for _, v := range u.Views {
		table = table.WithView(now, v)
		b.options.Log.Info("Adopted a view.", zap.Uint32("service", uint32(v.Service)),
			zap.Stringer("version", v.Version), zap.Int("members", len(v.Members)), zap.Int("targets", len(v.Targets())))
	}
	b.router.SetTable(table)
	b.endViewPhases(u, table)
	b.unpark()
}

func (b *Balancer) setServices(u proto.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range u.Removed {
		delete(b.services, name)
	}
	for _, s := range u.Services {
		b.services[s.Name] = s
		b.configVersions[s.ID] = s.Version
	}
}

// placementRules returns the rules for new flows by service.
func (b *Balancer) placementRules() map[view.ServiceID]routing.PlacementRules {
	rules := make(map[view.ServiceID]routing.PlacementRules, len(b.services))
	for _, s := range b.services {
		rules[s.ID] = routing.PlacementRules{
			MeasuredCapacity: s.Settings.MeasuredCapacity > 0, MaxUnfitPercent: s.Settings.MaxUnfitPercent,
		}
	}
	return rules
}

func (b *Balancer) configVersion(id view.ServiceID) view.Version {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.configVersions[id]
}

// receiveFromCaller routes a packet from a caller.
func (b *Balancer) receiveFromCaller(payload []byte, from netip.AddrPort) {
	h, err := b.options.Codec.Decode(payload, FromCaller)
	if err != nil {
		b.counters.malformedPackets.Add(1)
		b.options.Log.Debug("Dropped a malformed packet from a caller.", zap.Stringer("from", from), zap.Error(err))
		return
	}
	now := b.elapsed()
	b.execute(now, &h.Segment, b.router.Steer(now, &h.Segment), payload)
}

// resumeSearches continues the searches whose latest probe got no response with the
// next probe.
func (b *Balancer) resumeSearches() {
	now := b.elapsed()
	b.searchPackets.removeExpired(now)
	b.parked.removeExpired(now)
	b.held.removeExpired(now)
	for _, id := range b.router.OverdueSearches(now) {
		packet := b.searchPackets.get(id)
		if packet == nil {
			continue
		}
		h, err := b.options.Codec.Decode(packet, FromCaller)
		if err != nil {
			b.options.Log.Error("Removed a malformed packet from the search buffer.", zap.Error(err))
			b.searchPackets.remove(id)
			continue
		}
		b.execute(now, &h.Segment, b.router.Steer(now, &h.Segment), packet)
	}
}

// receiveEnvelope handles an envelope from an agent.
func (b *Balancer) receiveEnvelope(h *packet.Header, payload []byte) {
	switch h.Kind {
	case packet.Return:
		b.handleReturn(h, payload)
	case packet.Notification:
		b.handleNotification(h, payload)
	default:
		b.counters.rejectedEnvelopes.Add(1)
	}
}

func (b *Balancer) handleReturn(h *packet.Header, payload []byte) {
	b.decisionCounters.returned.Add(1)
	if len(payload) == 0 {
		b.handleQueryReturn(h)
		return
	}
	b.continueAfterReturn(h, payload)
}

// continueAfterReturn decides about a packet whose flow a member does not own.
func (b *Balancer) continueAfterReturn(h *packet.Header, payload []byte) {
	header, err := b.options.Codec.Decode(payload, FromCaller)
	if err != nil || h.Flow.NonOwnerCount == 0 {
		b.counters.malformedPackets.Add(1)
		return
	}
	now := b.elapsed()
	decision := b.router.HandleReturn(now, &header.Segment, routing.ReturnInfo{
		Service: h.Flow.Service, Seed: h.Flow.NonOwners[0], Hops: h.Flow.Hops, BackendDown: h.Flow.PointerRequested,
	})
	b.execute(now, &header.Segment, decision, payload)
}

func (b *Balancer) handleNotification(h *packet.Header, payload []byte) {
	var n notification
	if err := cbor.Unmarshal(payload, &n); err != nil {
		b.counters.malformedPackets.Add(1)
		b.options.Log.Warn("Could not decode a notification.", zap.Stringer("from", h.ReplyTo), zap.Error(err))
		return
	}
	b.decisionCounters.notifications.Add(1)
	now := b.elapsed()
	b.router.ReportLoad(now, n.Service, n.Seed, n.Load)
	b.phases.End(phaseFirstLoad)
	id := h.Flow.Tuple.ID()
	if n.NeedsPacket {
		b.release(id, &n)
	}
	if !n.OwnsFlow {
		return
	}
	b.router.ConfirmOwner(now, id, n.Service, n.Seed)
	b.phases.End(phaseFirstOwned)
	b.release(id, &n)
	b.searchPackets.remove(id)
	if placementTime, ok := b.placementTimes.take(id); ok {
		b.placementLatency.Add(now - placementTime)
	}
}

// execute carries out a decision about a segment.
func (b *Balancer) execute(now time.Duration, s *routing.Segment, d routing.Decision, payload []byte) {
	b.decisionCounters.byReason[d.Reason].Add(1)
	b.endDecisionPhases(d)
	if s.OpensFlow() && s.Retransmits == 0 {
		b.forget(s.Tuple.ID())
	}
	switch d.Verdict {
	case routing.Forward:
		switch {
		case d.Reason == routing.ReasonPlaced && s.Retransmits == 0:
			b.placementTimes.record(now, s.Tuple.ID())
		case d.Reason == routing.ReasonSearched:
			b.searchPackets.put(now, s.Tuple.ID(), payload)
		}
		b.probe(now, s, d, payload)
	case routing.Reset:
		b.held.take(s.Tuple.ID()) // dropped: the flow is lost
		b.sendReset(s)
	}
	if d.Verdict != routing.Forward {
		b.searchPackets.remove(s.Tuple.ID())
	}
	b.park(now, s, d, payload)
	if d.Refused != nil {
		b.refusals.record(now, b.options.Log, s, d)
		return
	}
	b.logDecision(s, d)
}

// forget drops the packets that are kept of a flow, as its caller opens another one in its
// place.
func (b *Balancer) forget(id flow.ID) {
	b.held.take(id)
	b.searchPackets.remove(id)
	b.parked.remove(id)
}

func (b *Balancer) forward(s *routing.Segment, d routing.Decision, payload []byte) {
	b.send(d.To.Addr, &packet.Header{
		Kind: packet.Forward, ReplyTo: b.conn.Addr(),
		Flow: flow.Packet{
			Service: d.Service, Ballot: flow.Ballot{Version: b.configVersion(d.Service)}, TargetIncarnation: d.To.Incarnation,
			Tuple: s.Tuple, Hops: d.Hops, EarlierPicksComplete: d.OwnerKnown,
		},
	}, payload)
}

func (b *Balancer) sendReset(s *routing.Segment) {
	b.decisionCounters.resets.Add(1)
	to := netip.AddrPortFrom(s.Tuple.Caller.Addr(), b.options.ReturnPort)
	if err := b.callers.Write(b.options.Codec.AppendReset(nil, s), to); err != nil {
		b.counters.socketErrors.Add(1)
		b.options.Log.Warn("Could not send a reset.", zap.Stringer("to", to), zap.Error(err))
	}
}

// logDecision logs each decision except those that reuse a cached owner.
func (b *Balancer) logDecision(s *routing.Segment, d routing.Decision) {
	if d.Reason == routing.ReasonCachedOwner {
		return
	}
	to := zap.Skip()
	if d.Verdict == routing.Forward {
		to = zap.Stringer("to", d.To.Addr)
	}
	b.options.Log.Info(decisionMessages[d.Verdict],
		zap.Stringer("caller", s.Tuple.Caller), zap.Stringer("address", s.Tuple.Service),
		zap.Bool("opens", s.OpensFlow()), zap.Uint32("seq", s.Seq), zap.Uint32("copy", s.Retransmits), zap.Stringer("reason", d.Reason),
		to, zap.Uint8("hops", d.Hops))
}

var decisionMessages = map[routing.Verdict]string{
	routing.Forward: "Forwarded a segment to a backend server.",
	routing.Reset:   "Reset a flow.",
	routing.Drop:    "Dropped a segment.",
}

// AvailableBackends returns the number of backend servers that accept new flows of
// an address.
func (b *Balancer) AvailableBackends(addr netip.AddrPort) int {
	return b.router.Table().AvailableMembers(addr)
}
