// Package agent runs the agent role beside one backend server. The agent owns
// the flows that its backend server serves; no other process decides about them.
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
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// Options configure an Agent.
type Options struct {
	// ID names the backend server and survives restarts.
	ID string
	// Service is the name of the service that the backend server serves.
	Service string
	// Zone is the availability zone.
	Zone string
	// Incarnation numbers this run; it must be greater than any earlier run's.
	Incarnation view.Incarnation
	// Backend is the backend server's address, for UDP and TCP.
	Backend netip.AddrPort
	// Packets is the UDP address for envelopes.
	Packets netip.AddrPort
	// Requests is the UDP address for peer connections.
	Requests netip.AddrPort
	// Slots is the number of requests the backend server runs at once.
	Slots uint16
	// IdleTimeout ends a flow that has carried nothing for that long.
	IdleTimeout time.Duration
	// MTU is the largest IP packet in bytes between balancers and agents.
	MTU int
	// ReadBuffer is the kernel's receive buffer of the envelope socket in bytes.
	ReadBuffer int
	// Control are the addresses of control processes.
	Control []netip.AddrPort
	// ServerTLS checks the certificates of balancers and agents.
	ServerTLS *tls.Config
	// ClientTLS returns the settings of a connection to control.
	ClientTLS func() *tls.Config
	// Keys seal the envelopes.
	Keys packet.Keys
	// HandoverPath is the file in which a stopping agent of a service of mode packet
	// leaves its flows to its successor; empty for none.
	HandoverPath string
	// Session is a random number for this run's envelopes.
	Session uint64
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

// confirmWithin is how long an agent without control still takes new
// idempotency keys. It is shorter than control keeps a silent host in the views,
// so that no two groups of holders let one key run.
const confirmWithin = 25 * time.Second

// Agent is one running agent.
type Agent struct {
	options   Options
	flows     flows
	owner     owner
	limits    limits
	paths     *flow.ReturnPaths
	stats     Stats
	service   atomic.Uint32
	sealer    *packet.Sealer
	opener    *packet.Opener
	envelopes *udp.Conn
	server    *peer.Server
	pool      *peer.Pool
	requests  *gateway.Agent
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	tunnels   atomic.Int64
	draining  atomic.Bool
	// sequence is the number of the last announcement of a predecessor,
	// announced that of this process.
	sequence  uint64
	announced atomic.Uint64
	// own is the service's configuration, packetMode whether it is of mode packet.
	own           atomic.Pointer[proto.Service]
	packetMode    atomic.Bool
	envelopesRead sync.WaitGroup
	// left is closed once control has taken an announcement of draining.
	left     chan struct{}
	leftOnce sync.Once
}

// Start opens the sockets, announces the backend server and serves until Close.
func Start(o Options) (*Agent, error) {
	inherited := takeSuccession(o)
	if inherited != nil {
		o.Incarnation = inherited.Incarnation
	}
	envelopes, err := udp.Listen(udp.Options{Addr: o.Packets, ReadBuffer: o.ReadBuffer})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		options:   o,
		limits:    limits{idle: o.IdleTimeout},
		paths:     flow.NewReturnPaths(),
		sealer:    packet.NewSealer(o.Keys, o.Session),
		opener:    packet.NewOpener(o.Keys, o.Now),
		envelopes: envelopes,
		pool:      peer.NewPool(o.ClientTLS),
		cancel:    cancel,
		left:      make(chan struct{}),
	}
	a.flows.init()
	a.requests = gateway.NewAgent(gateway.AgentOptions{
		Self:          attempt.Target{Server: o.ID, Incarnation: o.Incarnation},
		Backend:       o.Backend,
		Slots:         int(o.Slots),
		Policy:        gateway.DefaultPolicy(),
		ConfirmWithin: confirmWithin,
		Pool:          a.pool,
		Now:           o.Now,
		Log:           o.Log.Named("requests"),
	})
	handlers := a.requests.Handlers()
	handlers[proto.Tunnel] = a.tunnel
	a.owner = newOwner(o, envelopes.Addr())
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
	a.inherit(inherited)
	a.envelopesRead.Go(a.readEnvelopes)
	a.tasks.Go(func() { a.sweep(ctx) })
	a.tasks.Go(func() { a.push(ctx) })
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
	// settleTime is how long views take to be in force once control has
	// numbered them.
	settleTime = time.Second
	// idleCheck is how often a stopping agent looks whether its work is done.
	idleCheck = 50 * time.Millisecond
)

// Stop leaves the flows to a successor where it can. Else it leaves the service: it takes no new work, finishes what it has and
// closes, at the latest when ctx ends.
func (a *Agent) Stop(ctx context.Context) error {
	if a.canBequeath() {
		return a.bequeath()
	}
	a.draining.Store(true)
	select {
	case <-ctx.Done():
	case <-a.left:
		pace.Sleep(ctx, settleTime)
	}
	for a.busy() && pace.Sleep(ctx, idleCheck) {
	}
	if a.busy() {
		a.options.Log.Warn("Stopped before all work was done.",
			zap.Int("flows", a.flows.count()), zap.Int64("tunnels", a.tunnels.Load()))
	}
	return a.Close()
}

// busy reports whether the agent holds flows, tunnels or requests.
func (a *Agent) busy() bool {
	return a.tunnels.Load() > 0 || a.flows.count() > 0 || a.requests.Busy()
}

// Close ends every flow and closes the sockets.
func (a *Agent) Close() error {
	a.cancel()
	err := a.envelopes.Close()
	a.flows.closeAll()
	a.requests.Close()
	_ = a.server.Close()
	a.pool.Close()
	a.envelopesRead.Wait()
	a.tasks.Wait()
	return err
}

// noteState reads the backend server's own state from its service's view.
func (a *Agent) noteState(v *view.View) {
	if i := v.IndexOf(a.options.ID); i >= 0 {
		a.limits.setState(v.Members[i].State, a.options.Now())
	}
}

// adopt puts the agent's own service and its view in force.
func (a *Agent) adopt(u proto.Update) {
	for _, s := range u.Services {
		if s.Name == a.options.Service {
			a.own.Store(&s)
			a.packetMode.Store(s.Mode == proto.ModePacket)
			a.service.Store(uint32(s.ID))
			a.requests.SetPolicy(gateway.PolicyFor(s))
			a.limits.setService(s.Settings, a.options.IdleTimeout)
			a.owner.setService(s.ID, s.Addresses)
		}
	}
	if slices.Contains(u.Removed, a.options.Service) {
		a.owner.setService(view.ServiceID(a.service.Load()), nil)
	}
	for _, v := range u.Views {
		if a.owner.setView(v) {
			a.noteState(v)
			a.options.Log.Info("Adopted a view.", zap.Stringer("version", v.Version), zap.Int("members", len(v.Members)))
		}
	}
	for _, v := range u.Views {
		a.requests.SetView(v)
	}
}
