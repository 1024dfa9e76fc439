// Package control runs the control role: it takes announcements of agents,
// publishes numbered views and hands configuration and views to the daemons.
package control

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/lease"
	"fulmarmount.org/core/spread"
	"fulmarmount.org/core/view"
	"fulmarmount.org/daemon/internal/keys"
	"fulmarmount.org/daemon/internal/peer"
	"fulmarmount.org/daemon/internal/proto"
	"fulmarmount.org/daemon/internal/subscribe"
)

// Options configure a Control.
type Options struct {
	// Listen is the UDP address for peer connections.
	Listen netip.AddrPort
	// TLS checks the certificates of the daemons.
	TLS *tls.Config
	// Epoch is the epoch of the views this process publishes.
	Epoch uint64
	// Fleet is the replicated state, nil where SetServices is used instead.
	Fleet Fleet
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

const (
	// tickInterval is how often the registry is looked at: for ended leases,
	// rising weights and views to publish.
	tickInterval = 100 * time.Millisecond
	// maxLoads is the number of loads in the answer to one announcement.
	maxLoads = 64
)

// Control is one running control process.
type Control struct {
	options Options
	server  *peer.Server
	cancel  context.CancelFunc

	publisher *subscribe.Publisher

	// current is closed once the configuration is known to be current.
	current chan struct{}
	started time.Time

	mu            sync.Mutex
	configuration configuration
	services      map[string]proto.Service
	names         map[view.ServiceID]string
	registry      *lease.Registry
	pending       *pending
	published     []publication
}

// Start opens the socket and serves daemons until Close.
func Start(o Options) (*Control, error) {
	publisher, err := subscribe.NewPublisher(subscribe.PublisherOptions{Epoch: o.Epoch, Now: o.Now})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
		options:   o,
		cancel:    cancel,
		publisher: publisher,
		current:   make(chan struct{}),
		registry:  lease.NewRegistry(registryOptions(fleet.DefaultSettings())),
		started:   o.Now(),
	}
	c.registry.Lead(0, o.Epoch, nil)
	server, err := peer.Listen(peer.ServerOptions{
		Addr: o.Listen,
		TLS:  o.TLS,
		Log:  o.Log,
		Handlers: map[string]peer.Handler{
			proto.Announce:  c.announce,
			proto.Subscribe: c.subscribe,
		},
	})
	if err != nil {
		cancel()
		return nil, err
	}
	c.server = server
	go publisher.Run(ctx)
	go c.run(ctx)
	if o.Fleet != nil {
		go c.follow(ctx)
	}
	return c, nil
}

// Addr returns the bound address.
func (c *Control) Addr() netip.AddrPort { return c.server.Addr() }

// Close stops serving.
func (c *Control) Close() error {
	c.cancel()
	return c.server.Close()
}

// Stop stops serving. Daemons go on with what they have.
func (c *Control) Stop(context.Context) error { return c.Close() }

// check logs what could not be published.
func (c *Control) check(err error) {
	if err != nil {
		c.options.Log.Error("Cannot publish.", zap.Error(err))
	}
}

// announce serves one agent's announcements.
func (c *Control) announce(_ context.Context, from keys.Info, s *peer.Stream) {
	for {
		var a view.Announcement
		if err := s.Recv(&a); err != nil {
			return
		}
		if err := s.Send(c.renew(from, a)); err != nil {
			return
		}
	}
}

// renew takes one announcement.
func (c *Control) renew(from keys.Info, a view.Announcement) proto.AnnounceReply {
	if !from.Allows(keys.Agent) {
		return proto.AnnounceReply{Reason: "the certificate does not allow the agent role"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	service, ok := c.services[a.Service]
	leaseTime := c.configuration.defaults().Lease
	if !ok {
		return proto.AnnounceReply{Reason: "no such service", Lease: leaseTime}
	}
	now := c.elapsed()
	if err := c.registry.Announce(now, service.ID, a); err != nil {
		return proto.AnnounceReply{Reason: err.Error(), Lease: leaseTime}
	}
	return proto.AnnounceReply{Accepted: true, Lease: leaseTime, Loads: c.registry.Loads(now, service.ID, a.ID, maxLoads)}
}

func (c *Control) elapsed() time.Duration { return c.options.Now().Sub(c.started) }

// run publishes the registry's views until ctx ends.
func (c *Control) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick()
		}
	}
}

func (c *Control) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireExceptions(c.options.Now())
	for _, v := range c.registry.Tick(c.elapsed()) {
		c.publish(v)
	}
	c.notePending(c.options.Now())
}

// publish hands a view to the subscribers. The caller holds the lock.
func (c *Control) publish(v *view.View) {
	name, ok := c.names[v.Service]
	if !ok {
		return
	}
	c.options.Log.Info("Published a view.", zap.String("service", name),
		zap.Stringer("version", v.Version), zap.Int("members", len(v.Members)))
	c.check(c.publisher.Publish(func(at view.Version) (spread.Item, error) { return proto.ViewItem(name, at, v) }))
}
