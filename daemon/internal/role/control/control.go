// Package control runs the control role: it takes announcements of agents,
// publishes numbered views and hands configuration and views to the daemons.
package control

import (
	"context"
	"crypto/tls"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

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
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

const (
	// lease is how long an announcement holds.
	lease = 3 * time.Second
	// sweepInterval is how often expired leases are looked for.
	sweepInterval = 500 * time.Millisecond
)

// Control is one running control process.
type Control struct {
	options Options
	server  *peer.Server
	cancel  context.CancelFunc

	publisher *subscribe.Publisher

	mu       sync.Mutex
	services []proto.Service
	members  map[string]member
	views    map[view.ServiceID]*view.View
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
		members:   make(map[string]member),
		views:     make(map[view.ServiceID]*view.View),
	}
	server, err := peer.Listen(peer.ServerOptions{
		Addr: o.Listen,
		TLS:  o.TLS,
		Log:  o.Log,
		Handlers: map[string]peer.Handler{
			proto.Announce:  c.announce,
			proto.Subscribe: publisher.Handle,
		},
	})
	if err != nil {
		cancel()
		return nil, err
	}
	c.server = server
	go publisher.Run(ctx)
	go c.sweep(ctx)
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

// SetServices replaces the services.
func (c *Control) SetServices(services []proto.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		if !slices.ContainsFunc(services, func(n proto.Service) bool { return n.Name == s.Name }) {
			c.remove(s)
		}
	}
	c.services = services
	for _, s := range services {
		c.check(c.publisher.Publish(func(at view.Version) (spread.Item, error) { return proto.ServiceItem(s, at) }))
		c.publish(s)
	}
}

// remove deletes a service and its view. The caller holds the lock.
func (c *Control) remove(s proto.Service) {
	delete(c.views, s.ID)
	c.check(c.publisher.Delete(proto.ServiceKey(s.Name)))
	c.check(c.publisher.Delete(proto.ViewKey(s.Name)))
}

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
	service, ok := c.service(a.Service)
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

func (c *Control) service(name string) (proto.Service, bool) {
	for _, s := range c.services {
		if s.Name == name {
			return s, true
		}
	}
	return proto.Service{}, false
}

// publish numbers a new view of a service. The caller holds the lock.
func (c *Control) publish(s proto.Service) {
	var members []view.BackendServer
	for _, m := range c.members {
		if m.announcement.Service == s.Name {
			members = append(members, backendServer(m.announcement))
		}
	}
	c.check(c.publisher.Publish(func(at view.Version) (spread.Item, error) {
		v := view.New(s.ID, at, members)
		c.views[s.ID] = v
		return proto.ViewItem(s.Name, v)
	}))
}

func backendServer(a view.Announcement) view.BackendServer {
	b := view.BackendServer{
		ID: a.ID, Zone: a.Zone, Incarnation: a.Incarnation,
		Packets: a.Packets, Requests: a.Requests, Slots: a.Slots,
		State: view.Ready, Weight: view.FullWeight,
	}
	if a.Draining || !a.Healthy {
		b.State, b.Weight = view.Draining, 0
	}
	return b
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
		if s, ok := c.service(m.announcement.Service); ok {
			c.publish(s)
		}
	}
}
