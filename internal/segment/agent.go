package segment

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

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
	"fulmarmount.org/fulmarmount/internal/udp"
)

// AgentOptions configure an Agent.
type AgentOptions struct {
	CommonOptions
	// ProcessStart is when this process started, as Now tells it. Every earlier process of
	// the agent had ended then. The zero value means the start of the agent.
	ProcessStart time.Time
	// Service is the service of the backend server. If it is empty, reports tell it.
	Service string
	// BackendAddr is the address of the backend server.
	BackendAddr netip.AddrPort
	// OutboundAddr is the UDP address to which the backend server sends its packets.
	OutboundAddr netip.AddrPort
	// BackendSilenceTimeout is the silence after which the backend server is
	// considered down.
	BackendSilenceTimeout time.Duration
	// IdleTimeout is the time after which an idle flow expires.
	IdleTimeout time.Duration
	// ColdLimit is the number of new flows that a cold backend server takes in any second
	// until the configuration of its service is known; 0 for no limit.
	ColdLimit uint32
}

// tickInterval is the interval at which an agent checks its timers.
const tickInterval = 100 * time.Millisecond

// Agent is the running agent role beside one backend server.
type Agent struct {
	options  AgentOptions
	steer    *routing.Agent
	outbound *udp.Conn
	*envelopeSocket
	counters        *counters
	delivered       atomic.Uint64
	replied         atomic.Uint64
	returned        atomic.Uint64
	bounced         atomic.Uint64
	refused         refusalCounters
	reports         atomic.Uint64
	responseLatency histogram.Histogram
	requestTimes    startTimes
	pool            *peer.Pool
	started         time.Time // of the process
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	loadReporter    loadReporter
	phases          *phases.Tracker
	// announceNow requests an immediate announcement.
	announceNow chan struct{}

	// envelopeService is the service of the latest envelope that was accepted. It stands
	// in for service while control cannot be reached.
	envelopeService atomic.Uint32

	mu     sync.Mutex
	clock  startClock
	report BackendReport
	starts startOrder
	// run is the incarnation that is announced for the backend server's start. It is the
	// time that the start tells, or more: it grows with each start, whatever the clock does.
	run view.Incarnation
	// startReports is the number of reports of the present start.
	startReports uint64
	// serviceName is the service that the agent subscribes to, and service its ID.
	serviceName string
	service     view.ServiceID
	// announcementCount is the number of announcements since the latest report of the
	// backend server.
	announcementCount uint64
	// isAnnounced is set once control has accepted an announcement of the backend
	// server's incarnation.
	isAnnounced bool
	fitness     fitnessLog
	// hasLeft is set once the backend server's incarnation has deregistered, at leftAt since
	// the start of the process. mayHaveLeft is set while the deregistration may have been of
	// an earlier incarnation.
	hasLeft, mayHaveLeft bool
	leftAt               time.Duration
	// unsubscribe cancels the subscription to the service's configuration.
	unsubscribe context.CancelFunc
}

// StartAgent opens the sockets and starts the agent, which runs until Stop.
func StartAgent(o AgentOptions) (*Agent, error) {
	o.Retry = o.Retry.WithDefaults()
	counts := &counters{}
	outbound, sockets, err := openSockets(o.CommonOptions, o.OutboundAddr, counts)
	if err != nil {
		return nil, err
	}
	if o.ProcessStart.IsZero() {
		o.ProcessStart = o.Now()
	}
	a := &Agent{
		options: o, outbound: outbound, envelopeSocket: sockets, counters: counts, started: o.ProcessStart, pool: newPool(o.CommonOptions), requestTimes: newStartTimes(),
		serviceName: o.Service, announceNow: make(chan struct{}, 1), loadReporter: newLoadReporter(), phases: newAgentPhases(o.CommonOptions),
	}
	a.steer = routing.NewAgent(0, routing.AgentOptions{SilenceTimeout: o.BackendSilenceTimeout, IdleTimeout: o.IdleTimeout, ColdLimit: o.ColdLimit})
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if o.Service != "" {
		a.subscribe(o.Service)
	}
	a.tasks.Go(func() { a.readEnvelopes(a.receiveEnvelope) })
	a.tasks.Go(func() { a.readDatagrams(a.outbound, a.receiveFromBackend) })
	a.tasks.Go(func() { a.runAnnouncements(a.ctx) })
	a.tasks.Go(func() { pace.Every(a.ctx, tickInterval, a.tick) })
	return a, nil
}

func (a *Agent) elapsed() time.Duration { return a.options.Now().Sub(a.started) }

// Ready reports whether the agent has the configuration of its backend server's
// service.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service != 0
}

// Stop closes the sockets immediately. The backend server owns the flows, and the
// agent's next process continues them.
func (a *Agent) Stop(context.Context) error {
	a.cancel()
	_ = a.outbound.Close()
	err := a.conn.Close()
	a.pool.Close()
	a.tasks.Wait()
	return err
}

// applyUpdate activates the service's configuration, and what operators have ordered of
// availability zones before it.
func (a *Agent) applyUpdate(u proto.Update) {
	if u.Zones != nil {
		a.setZones(u.Zones)
	}
	for _, s := range u.Services {
		var addrs []netip.AddrPort
		for _, in := range s.Inbound {
			if in.Weight > 0 {
				addrs = append(addrs, in.Addr)
			}
		}
		a.steer.SetColdLimit(s.Settings.WarmupFlowLimit)
		a.setService(s.ID, s.Version, addrs)
		a.steer.SetJudged(s.Settings.MaxUnfitPercent > 0)
	}
	for _, name := range u.Removed {
		a.options.Log.Warn("The service was removed from the configuration.", zap.String("service", name))
		a.setService(0, view.Version{}, nil)
	}
}

func (a *Agent) setService(id view.ServiceID, version view.Version, addrs []netip.AddrPort) {
	a.mu.Lock()
	a.service = id
	a.mu.Unlock()
	a.steer.SetService(id, version, addrs)
	a.phases.End(phaseConfigured)
	a.options.Log.Info("Adopted a configuration.",
		zap.Uint32("service", uint32(id)), zap.Stringer("version", version), zap.Int("addresses", len(addrs)))
	a.requestAnnouncement()
}

// requestAnnouncement triggers an immediate announcement of the backend server.
func (a *Agent) requestAnnouncement() {
	select {
	case a.announceNow <- struct{}{}:
	default:
	}
}

// receiveEnvelope handles an envelope from a balancer.
func (a *Agent) receiveEnvelope(h *packet.Header, payload []byte) {
	switch h.Kind {
	case packet.Forward:
	case packet.Query:
		a.answerQuery(h)
		return
	default:
		a.counters.rejectedEnvelopes.Add(1)
		return
	}
	header, err := a.options.Codec.Decode(payload, FromCaller)
	if err != nil {
		a.counters.malformedPackets.Add(1)
		a.options.Log.Debug("Dropped a malformed packet from a balancer.", zap.Stringer("balancer", h.ReplyTo), zap.Error(err))
		return
	}
	now := a.elapsed()
	a.loadReporter.recordPacket(now, h.ReplyTo)
	forwardInfo := routing.ForwardInfo{
		Service: h.Flow.Service, ConfigVersion: h.Flow.Ballot.Version, Incarnation: h.Flow.TargetIncarnation, Balancer: h.ReplyTo,
		Hops: h.Flow.Hops, OwnerKnown: h.Flow.EarlierPicksComplete,
	}
	decision := a.steer.Receive(now, &header.Segment, forwardInfo)
	if decision.Refusal == routing.RefusalColdLimit {
		a.reportLoad(h.ReplyTo, forwardInfo.Service) // first: it tells the balancer why
	}
	if decision.Refusal != routing.RefusalNone {
		a.returnSegment(&header.Segment, forwardInfo, decision.Refusal, payload)
		return
	}
	a.envelopeService.Store(uint32(h.Flow.Service))
	if decision.NotifyBalancer {
		a.notifyOwner(h.ReplyTo, header.Tuple)
	}
	a.deliver(now, &header.Segment, decision.Token, payload)
}

func (a *Agent) deliver(now time.Duration, s *routing.Segment, token uint32, payload []byte) {
	a.options.Codec.SetToken(payload, token)
	if err := a.outbound.Write(payload, a.options.BackendAddr); err != nil {
		a.counters.socketErrors.Add(1)
		a.options.Log.Warn("Could not deliver a packet to the backend server.", zap.Stringer("caller", s.Tuple.Caller), zap.Error(err))
		return
	}
	a.delivered.Add(1)
	a.phases.End(phaseFirstSegment)
	if s.OpensFlow() {
		a.options.Log.Info("Delivered the first segment of a flow.",
			zap.Stringer("caller", s.Tuple.Caller), zap.Stringer("address", s.Tuple.Service), zap.Uint32("seq", s.Seq),
			zap.Uint32("copy", s.Retransmits), zap.Uint32("running", a.steer.Load().RunningRequests))
	}
	if s.Length > 0 {
		a.requestTimes.record(now, s.Tuple.ID())
	}
}

// returnSegment returns a refused segment to the balancer that forwarded it.
func (a *Agent) returnSegment(s *routing.Segment, forwardInfo routing.ForwardInfo, refusal routing.Refusal, payload []byte) {
	a.returned.Add(1)
	a.refused.count(refusal)
	a.options.Log.Info("Returned a refused segment to its balancer.",
		zap.Stringer("caller", s.Tuple.Caller), zap.Stringer("address", s.Tuple.Service), zap.Bool("opens", s.OpensFlow()),
		zap.Uint32("seq", s.Seq), zap.Stringer("refusal", refusal), zap.Stringer("balancer", forwardInfo.Balancer), zap.Uint8("hops", forwardInfo.Hops))
	a.send(forwardInfo.Balancer, &packet.Header{
		Kind: packet.Return, ReplyTo: a.conn.Addr(),
		Flow: flow.Packet{
			Service: forwardInfo.Service, Tuple: s.Tuple, Hops: forwardInfo.Hops, EarlierPicksComplete: forwardInfo.OwnerKnown,
			PointerRequested: refusal == routing.RefusalBackendDown, NonOwners: [flow.MaxNonOwners]uint64{a.seed()}, NonOwnerCount: 1,
		},
	}, payload)
}

// notifyOwner notifies a balancer that this agent's backend server owns a flow.
func (a *Agent) notifyOwner(balancer netip.AddrPort, tuple flow.Tuple) {
	a.sendNotification(balancer, tuple, a.newNotification(true))
}

func (a *Agent) newNotification(ownsFlow bool) notification {
	a.mu.Lock()
	defer a.mu.Unlock()
	service := a.service
	if service == 0 {
		service = view.ServiceID(a.envelopeService.Load())
	}
	return notification{Seed: view.SeedOf(a.report.ID), Service: service, Load: a.steer.Load(), OwnsFlow: ownsFlow}
}

func (a *Agent) seed() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return view.SeedOf(a.report.ID)
}

// receiveFromBackend handles a packet from the backend server.
func (a *Agent) receiveFromBackend(payload []byte, from netip.AddrPort) {
	h, err := a.options.Codec.Decode(payload, FromBackend)
	if err != nil {
		a.counters.malformedPackets.Add(1)
		a.options.Log.Warn("Dropped a malformed packet from the backend server.", zap.Stringer("from", from), zap.Error(err))
		return
	}
	if h.Bounced {
		a.returnBounced(&h, payload)
		return
	}
	a.sendReply(&h.Segment, payload)
}

// returnBounced returns a packet that the backend server bounced to its balancer.
func (a *Agent) returnBounced(h *Header, payload []byte) {
	a.bounced.Add(1)
	forwardInfo, ok := a.steer.HandleBounce(&h.Segment, h.Token)
	if !ok {
		a.options.Log.Warn("Dropped a bounced packet: its delivery is unknown.", zap.Stringer("caller", h.Tuple.Caller))
		return
	}
	a.options.Codec.Restore(payload)
	a.returnSegment(&h.Segment, forwardInfo, routing.RefusalUnknownFlow, payload)
}

// sendReply sends a packet of the backend server to its caller.
func (a *Agent) sendReply(s *routing.Segment, payload []byte) {
	now := a.elapsed()
	if balancer := a.steer.ObserveReply(now, s); balancer.IsValid() {
		a.notifyOwner(balancer, s.Tuple)
	}
	if s.Length > 0 {
		if requestTime, ok := a.requestTimes.take(s.Tuple.ID()); ok {
			a.responseLatency.Add(now - requestTime)
		}
	}
	to := netip.AddrPortFrom(s.Tuple.Caller.Addr(), a.options.ReturnPort)
	if err := a.outbound.Write(payload, to); err != nil {
		a.counters.socketErrors.Add(1)
		a.options.Log.Warn("Could not send a packet to the caller.", zap.Stringer("caller", to), zap.Error(err))
		return
	}
	a.replied.Add(1)
	a.phases.End(phaseFirstReply)
}

// tick checks the backend server's state and reports its load to balancers.
func (a *Agent) tick() {
	now := a.elapsed()
	a.observeClock()
	if a.steer.Tick(now) {
		a.options.Log.Warn("Backend server is down: unresponsive or deregistered.", zap.Stringer("standing", a.steer.State()))
		a.requestAnnouncement()
	}
	a.watchFitness(now)
	n := a.newNotification(false)
	if n.Service == 0 {
		return
	}
	for _, balancer := range a.loadReporter.takeDue(now, n.Load) {
		a.sendNotification(balancer, zeroTuple, n)
	}
}
