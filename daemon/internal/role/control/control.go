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

// sweepInterval is how often expired leases and exceptions are looked for.
const sweepInterval = 500 * time.Millisecond

// Control is one running control process.
type Control struct {
	options Options
	server  *peer.Server
	cancel  context.CancelFunc

	publisher *subscribe.Publisher

	// current is closed once the configuration is known to be current.
	current chan struct{}

	mu            sync.Mutex
	configuration configuration
	services      map[string]proto.Service
	members       map[string]member
	views         map[view.ServiceID]*view.View
	published     []publication
}

// member is an announced backend server.
type member struct {
	announcement view.Announcement
	expires      time.Time
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
		members:   make(map[string]member),
		views:     make(map[view.ServiceID]*view.View),
	}
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
	go c.sweep(ctx)
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
	lease := c.configuration.settings(a, c.options.Now()).Lease
	if !ok {
		return proto.AnnounceReply{Reason: "no such service", Lease: lease}
	}
	known, exists := c.members[a.ID]
	if exists && older(a, known.announcement) {
		return proto.AnnounceReply{Reason: "a newer announcement is known", Lease: lease}
	}
	c.members[a.ID] = member{announcement: a, expires: c.options.Now().Add(lease)}
	if !exists || !sameMember(known.announcement, a) {
		c.options.Log.Info("Took an announcement.", zap.String("id", a.ID), zap.String("service", a.Service))
		c.publish(service)
	}
	return proto.AnnounceReply{Accepted: true, Lease: lease}
}

// older reports whether a is a replay or of an earlier run than known.
func older(a, known view.Announcement) bool {
	if a.Incarnation != known.Incarnation {
		return a.Incarnation < known.Incarnation
	}
	return a.Sequence <= known.Sequence
}

// sameMember reports whether both announcements lead to the same view.
func sameMember(a, b view.Announcement) bool {
	return a.Service == b.Service && a.Incarnation == b.Incarnation &&
		a.Packets == b.Packets && a.Requests == b.Requests &&
		a.Draining == b.Draining && a.Healthy == b.Healthy && a.Slots == b.Slots
}

// sweep removes members whose lease has ended.
func (c *Control) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.expire(c.options.Now())
			c.expireExceptions(c.options.Now())
		}
	}
}

func (c *Control) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, m := range c.members {
		if now.Before(m.expires) {
			continue
		}
		delete(c.members, id)
		c.options.Log.Warn("A lease ended.", zap.String("id", id))
		if s, ok := c.services[m.announcement.Service]; ok {
			c.publish(s)
		}
	}
}
