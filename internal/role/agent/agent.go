// Package agent implements the agent role beside one backend server. The agent
// owns the flows that its backend server serves: no other agent or balancer
// decides where their packets go.
package agent

import (
	"context"
	"crypto/tls"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/attempt"
	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/gateway"
	"fulmarmount.org/fulmarmount/internal/guard"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// Options configure an Agent.
type Options struct {
	// ID identifies the backend server and is the same after a restart.
	ID string
	// Service is the name of the service that the backend server serves.
	Service string
	// Zone is the availability zone.
	Zone string
	// Incarnation is this run's number, greater than that of any earlier run. An
	// agent that restores a predecessor's state continues its incarnation.
	Incarnation view.Incarnation
	// Backend is the backend server's address, for UDP and TCP.
	Backend netip.AddrPort
	// Packets is the UDP address for envelopes.
	Packets netip.AddrPort
	// Requests is the UDP address for peer connections.
	Requests netip.AddrPort
	// Slots is the number of requests that the backend server runs concurrently.
	Slots uint16
	// IdleTimeout is the time without packets after which a flow ends.
	IdleTimeout time.Duration
	// MTU is the largest IP packet in bytes between balancers and agents.
	MTU int
	// ReadBuffer is the size of the envelope socket's kernel receive buffer in bytes.
	ReadBuffer int
	// Control lists the addresses of the control processes.
	Control []netip.AddrPort
	// ServerTLS verifies the certificates of balancers and agents.
	ServerTLS *tls.Config
	// ClientTLS returns the TLS configuration of a connection to control or an
	// agent.
	ClientTLS func() *tls.Config
	// Keys seal the envelopes.
	Keys packet.KeyRing
	// HandoverPath is the file through which a stopping agent of a service in
	// packet mode passes its flows to its successor; empty to disable the handover.
	HandoverPath string
	// Session is a random number that identifies this agent's envelopes.
	Session uint64
	// Now returns the current time.
	Now func() time.Time
	Log *zap.Logger
}

// maxConfirmationAge is how long an agent without contact to control still
// accepts new idempotency keys. It is shorter than the time for which control
// keeps an unresponsive agent in the views, so that no two sets of primary and
// backup run the same key.
const maxConfirmationAge = 25 * time.Second

// Agent is a running agent.
type Agent struct {
	options     Options
	sockets     flowSockets
	ownership   ownershipTable
	limits      flowLimits
	returnPaths *flow.ReturnPaths
	stats       Stats
	serviceID   atomic.Uint32
	sealer      *packet.Sealer
	opener      *packet.Opener
	envelopes   *udp.Conn
	server      *peer.Server
	pool        *peer.Pool
	requests    *gateway.Agent
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	openTunnels atomic.Int64
	isDraining  atomic.Bool
	// sequenceBase is the number after which this agent numbers its announcements,
	// 0 without a predecessor; lastSequence is the number of the last one.
	sequenceBase uint64
	lastSequence atomic.Uint64
	// serviceConfig is the service's active configuration, and isPacketMode
	// whether the service is in packet mode.
	serviceConfig  atomic.Pointer[proto.Service]
	isPacketMode   atomic.Bool
	envelopeReader sync.WaitGroup
	// drainAccepted is closed once control has accepted an announcement of draining.
	drainAccepted     chan struct{}
	drainAcceptedOnce sync.Once
}

// Start opens the sockets, announces the backend server and serves until Close.
func Start(o Options) (*Agent, error) {
	predecessorState := loadHandoverState(o)
	if predecessorState != nil {
		o.Incarnation = predecessorState.Incarnation
	}
	envelopes, err := udp.Listen(udp.Options{Addr: o.Packets, ReadBuffer: o.ReadBuffer})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		options:       o,
		limits:        flowLimits{idleTimeout: o.IdleTimeout},
		returnPaths:   flow.NewReturnPaths(),
		sealer:        packet.NewSealer(o.Keys, o.Session),
		opener:        packet.NewOpener(o.Keys, o.Now),
		envelopes:     envelopes,
		pool:          peer.NewPool(o.ClientTLS),
		cancel:        cancel,
		drainAccepted: make(chan struct{}),
	}
	a.sockets.init()
	a.requests = gateway.NewAgent(gateway.AgentOptions{
		Self:          attempt.Target{Server: o.ID, Incarnation: o.Incarnation},
		Backend:       o.Backend,
		Slots:         int(o.Slots),
		Policy:        gateway.DefaultPolicy(),
		ConfirmWithin: maxConfirmationAge,
		Pool:          a.pool,
		Now:           o.Now,
		Log:           o.Log.Named("requests"),
	})
	handlers := a.requests.Handlers()
	handlers[proto.Tunnel] = a.handleTunnel
	a.ownership = newOwnershipTable(o, envelopes.Addr())
	a.server, err = peer.Listen(peer.ServerOptions{
		Addr:     o.Requests,
		TLS:      o.ServerTLS,
		Log:      o.Log,
		Handlers: handlers,
	})
	if err != nil {
		cancel()
		a.requests.Close()
		_ = envelopes.Close()
		return nil, err
	}
	a.restore(predecessorState)
	a.envelopeReader.Go(func() { guard.Loop(a.options.Log, a.readEnvelopes) })
	a.tasks.Go(func() { a.expireFlows(ctx) })
	a.tasks.Go(func() { a.pushPointers(ctx) })
	a.tasks.Go(func() { a.announce(ctx) })
	a.tasks.Go(func() {
		subscribe.Run(ctx, subscribe.Options{
			Name:      o.ID,
			Keys:      []string{proto.ServiceKey(o.Service), proto.ViewKey(o.Service)},
			Control:   subscribe.Fixed(o.Control...),
			Pool:      a.pool,
			Adopt:     a.adopt,
			Confirmed: a.requests.Confirm,
			Now:       o.Now,
			Log:       o.Log,
		})
	})
	return a, nil
}

const (
	// activationDelay is the time in which a view becomes active at balancers and
	// agents once control has assigned its version.
	activationDelay = time.Second
	// idlePollInterval is how often a stopping agent checks for unfinished work.
	idlePollInterval = 50 * time.Millisecond
)

// Stop hands the flows over to a successor if possible. Otherwise it drains the
// agent: it announces the drain, waits until flows, tunnels and requests have
// ended or ctx is done, and closes the agent.
func (a *Agent) Stop(ctx context.Context) error {
	if a.canHandOver() {
		return a.handOver()
	}
	a.isDraining.Store(true)
	select {
	case <-ctx.Done():
	case <-a.drainAccepted:
		pace.Sleep(ctx, activationDelay)
	}
	for a.isBusy() && pace.Sleep(ctx, idlePollInterval) {
	}
	if a.isBusy() {
		a.options.Log.Warn("Stopped with flows, tunnels or requests still open.",
			zap.Int("flows", a.sockets.count()), zap.Int64("tunnels", a.openTunnels.Load()))
	}
	return a.Close()
}

// isBusy reports whether the agent has open flows, tunnels or requests.
func (a *Agent) isBusy() bool {
	return a.openTunnels.Load() > 0 || a.sockets.count() > 0 || a.requests.Busy()
}

// Close ends every flow and closes the sockets.
func (a *Agent) Close() error {
	a.cancel()
	err := a.envelopes.Close()
	a.sockets.closeAll()
	a.requests.Close()
	_ = a.server.Close()
	a.pool.Close()
	a.envelopeReader.Wait()
	a.tasks.Wait()
	return err
}

// updateDrainState applies the backend server's state in its service's view to
// the flow limits.
func (a *Agent) updateDrainState(v *view.View) {
	if i := v.IndexOf(a.options.ID); i >= 0 {
		a.limits.setState(v.Members[i].State, a.options.Now())
	}
}

// adopt activates the configuration and the view of the agent's service.
func (a *Agent) adopt(u proto.Update) {
	for _, s := range u.Services {
		if s.Name == a.options.Service {
			a.serviceConfig.Store(&s)
			a.isPacketMode.Store(s.Mode == proto.ModePacket)
			a.serviceID.Store(uint32(s.ID))
			a.requests.SetPolicy(gateway.PolicyFor(s))
			a.limits.setSettings(s.Settings, a.options.IdleTimeout)
			a.ownership.setService(s.ID, s.Addresses)
		}
	}
	if slices.Contains(u.Removed, a.options.Service) {
		a.ownership.setService(view.ServiceID(a.serviceID.Load()), nil)
	}
	for _, v := range u.Views {
		if a.ownership.setView(v) {
			a.updateDrainState(v)
			a.options.Log.Info("Adopted a view.", zap.Stringer("version", v.Version), zap.Int("members", len(v.Members)))
		}
	}
	for _, v := range u.Views {
		a.requests.SetView(v)
	}
}
