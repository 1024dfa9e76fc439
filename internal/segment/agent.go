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
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// AgentOptions configure an Agent.
type AgentOptions struct {
	Common
	// Service is the service that the backend server is expected to serve.
	Service string
	// Backend is the address of the backend server.
	Backend netip.AddrPort
	// Outbound is the UDP address to which the backend server sends everything.
	Outbound netip.AddrPort
	// Patience is how long the backend server may be silent.
	Patience time.Duration
	// IdleTimeout is how long a flow may be silent.
	IdleTimeout time.Duration
}

// tickInterval is how often an agent looks at its timers.
const tickInterval = 100 * time.Millisecond

// Agent is the running agent role beside one backend server.
type Agent struct {
	options  AgentOptions
	host     *routing.Agent
	outbound *udp.Conn
	*envelopes
	counts    *counters
	delivered atomic.Uint64
	replied   atomic.Uint64
	sentBack  atomic.Uint64
	bounced   atomic.Uint64
	reports   atomic.Uint64
	answering histogram.Histogram
	asked     times
	pool      *peer.Pool
	started   time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	balancers balancers
	// changed asks for an announcement at once.
	changed chan struct{}

	mu       sync.Mutex
	instance Instance
	service  view.ServiceID
	// serial numbers the announcements of one report of the backend server.
	serial uint64
	// follow ends the subscription to the service.
	follow context.CancelFunc
}

// StartAgent opens the sockets and serves until Stop.
func StartAgent(o AgentOptions) (*Agent, error) {
	o.Retry = o.Retry.WithDefaults()
	counts := &counters{}
	outbound, sockets, err := openSockets(o.Common, o.Outbound, counts)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		options: o, outbound: outbound, envelopes: sockets, counts: counts, started: o.Now(), pool: newPool(o.Common), asked: newTimes(),
		changed: make(chan struct{}, 1), balancers: newBalancers(),
	}
	a.host = routing.NewAgent(0, routing.AgentOptions{SilenceTimeout: o.Patience, IdleTimeout: o.IdleTimeout})
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if o.Service != "" {
		a.subscribe(o.Service)
	}
	a.tasks.Go(func() { a.read(a.receive) })
	a.tasks.Go(func() { a.readFrom(a.outbound, a.receiveBackend) })
	a.tasks.Go(func() { a.announce(a.ctx) })
	a.tasks.Go(func() { pace.Every(a.ctx, tickInterval, a.tick) })
	return a, nil
}

func (a *Agent) elapsed() time.Duration { return a.options.Now().Sub(a.started) }

// Ready reports whether the agent knows what leads to its backend server.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service != 0
}

// Stop closes the sockets at once: the backend server holds the flows, and the
// next run of the agent goes on with them.
func (a *Agent) Stop(context.Context) error {
	a.cancel()
	_ = a.outbound.Close()
	err := a.conn.Close()
	a.pool.Close()
	a.tasks.Wait()
	return err
}

// adopt puts the service's configuration in force.
func (a *Agent) adopt(u proto.Update) {
	for _, s := range u.Services {
		var addrs []netip.AddrPort
		for _, in := range s.Inbound {
			if in.Weight > 0 {
				addrs = append(addrs, in.Addr)
			}
		}
		a.setService(s.ID, s.Version, addrs)
	}
	for _, name := range u.Removed {
		a.options.Log.Warn("Service was removed.", zap.String("service", name))
		a.setService(0, view.Version{}, nil)
	}
}

func (a *Agent) setService(id view.ServiceID, version view.Version, addrs []netip.AddrPort) {
	a.mu.Lock()
	a.service = id
	a.mu.Unlock()
	a.host.SetService(id, version, addrs)
	a.options.Log.Info("Adopted a configuration.",
		zap.Uint32("service", uint32(id)), zap.Stringer("version", version), zap.Int("addresses", len(addrs)))
	a.kick()
}

// kick has the agent announce its backend server at once.
func (a *Agent) kick() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// receive takes the envelopes of balancers.
func (a *Agent) receive(h *packet.Header, payload []byte) {
	if h.Kind != packet.Forward {
		a.counts.refused.Add(1)
		return
	}
	segment, err := a.options.Codec.Decode(payload, FromCaller)
	if err != nil {
		a.counts.garbled.Add(1)
		a.options.Log.Debug("Dropped a packet that cannot be read.", zap.Stringer("balancer", h.ReplyTo), zap.Error(err))
		return
	}
	now := a.elapsed()
	a.balancers.heard(now, h.ReplyTo)
	arrival := routing.ForwardInfo{
		Service: h.Flow.Service, ConfigVersion: h.Flow.Ballot.Version, Incarnation: h.Flow.TargetIncarnation, Balancer: h.ReplyTo,
		Hops: h.Flow.Hops, OwnerKnown: h.Flow.EarlierPicksComplete,
	}
	decision := a.host.Receive(now, &segment.Segment, arrival)
	if decision.Refusal != routing.RefusalNone {
		a.sendBack(&segment.Segment, arrival, decision.Refusal, payload)
		return
	}
	if decision.NotifyBalancer {
		a.tell(h.ReplyTo, segment.Tuple)
	}
	a.deliver(now, &segment.Segment, decision.Token, payload)
}

func (a *Agent) deliver(now time.Duration, s *routing.Segment, token uint32, payload []byte) {
	a.options.Codec.SetToken(payload, token)
	if err := a.outbound.Write(payload, a.options.Backend); err != nil {
		a.counts.failed.Add(1)
		a.options.Log.Warn("Could not hand a packet over.", zap.Stringer("caller", s.Tuple.Caller), zap.Error(err))
		return
	}
	a.delivered.Add(1)
	if s.OpensFlow() {
		a.options.Log.Info("Handed over a new flow.",
			zap.Stringer("caller", s.Tuple.Caller), zap.Stringer("address", s.Tuple.Service), zap.Uint32("seq", s.Seq),
			zap.Uint32("copy", s.Retransmits), zap.Uint32("running", a.host.Load().RunningRequests))
	}
	if s.Length > 0 {
		a.asked.put(now, s.Tuple.ID())
	}
}

// sendBack returns a segment to the balancer that sent it.
func (a *Agent) sendBack(s *routing.Segment, arrival routing.ForwardInfo, why routing.Refusal, payload []byte) {
	a.sentBack.Add(1)
	a.options.Log.Info("Returned a segment.",
		zap.Stringer("caller", s.Tuple.Caller), zap.Stringer("address", s.Tuple.Service), zap.Bool("opens", s.OpensFlow()),
		zap.Uint32("seq", s.Seq), zap.Stringer("refusal", why), zap.Stringer("balancer", arrival.Balancer), zap.Uint8("hops", arrival.Hops))
	a.send(arrival.Balancer, &packet.Header{
		Kind: packet.Returned, ReplyTo: a.conn.Addr(),
		Flow: flow.Packet{
			Service: arrival.Service, Tuple: s.Tuple, Hops: arrival.Hops, EarlierPicksComplete: arrival.OwnerKnown,
			PointerRequested: why == routing.RefusalBackendDown, NonOwners: [flow.MaxNonOwners]uint64{a.seed()}, NonOwnerCount: 1,
		},
	}, payload)
}

// tell tells a balancer that a flow is here.
func (a *Agent) tell(balancer netip.AddrPort, tuple flow.Tuple) {
	a.sendNote(balancer, tuple, a.note(true))
}

func (a *Agent) note(held bool) note {
	a.mu.Lock()
	defer a.mu.Unlock()
	return note{Seed: view.SeedOf(a.instance.ID), Service: a.service, Load: a.host.Load(), Held: held}
}

func (a *Agent) seed() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return view.SeedOf(a.instance.ID)
}

// receiveBackend sends a packet of the backend server on.
func (a *Agent) receiveBackend(payload []byte, from netip.AddrPort) {
	h, err := a.options.Codec.Decode(payload, FromBackend)
	if err != nil {
		a.counts.garbled.Add(1)
		a.options.Log.Warn("Dropped a packet that cannot be read.", zap.Stringer("from", from), zap.Error(err))
		return
	}
	if h.Bounced {
		a.bounce(&h, payload)
		return
	}
	a.reply(&h.Segment, payload)
}

// bounce returns what the backend server does not take.
func (a *Agent) bounce(h *Header, payload []byte) {
	a.bounced.Add(1)
	arrival, ok := a.host.HandleBounce(&h.Segment, h.Token)
	if !ok {
		a.options.Log.Warn("Dropped a bounced packet of unknown arrival.", zap.Stringer("caller", h.Tuple.Caller))
		return
	}
	a.options.Codec.Restore(payload)
	a.sendBack(&h.Segment, arrival, routing.RefusalUnknownFlow, payload)
}

// reply sends a packet of the backend server to its caller.
func (a *Agent) reply(s *routing.Segment, payload []byte) {
	now := a.elapsed()
	if balancer := a.host.ObserveReply(now, s); balancer.IsValid() {
		a.tell(balancer, s.Tuple)
	}
	if s.Length > 0 {
		if at, ok := a.asked.take(s.Tuple.ID()); ok {
			a.answering.Add(now - at)
		}
	}
	to := netip.AddrPortFrom(s.Tuple.Caller.Addr(), a.options.ReturnPort)
	if err := a.outbound.Write(payload, to); err != nil {
		a.counts.failed.Add(1)
		a.options.Log.Warn("Could not send a packet to its caller.", zap.Stringer("caller", to), zap.Error(err))
		return
	}
	a.replied.Add(1)
}

// tick watches the backend server and reports its load to balancers.
func (a *Agent) tick() {
	now := a.elapsed()
	if a.host.Tick(now) {
		a.options.Log.Warn("Backend server has ended: it is silent or has left.", zap.Stringer("standing", a.host.State()))
		a.kick()
	}
	n := a.note(false)
	if n.Service == 0 {
		return
	}
	for _, balancer := range a.balancers.due(now, n.Load) {
		a.sendNote(balancer, noTuple, n)
	}
}
