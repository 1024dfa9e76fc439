package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/lease"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/phases"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

const (
	// tickInterval is how often the registry is looked at: for ended leases,
	// rising weights and views to publish.
	tickInterval = 50 * time.Millisecond
	// maxLoads is the number of loads in the answer to one announcement.
	maxLoads = 64
)

// term is what a process holds while it leads: membership and publications of
// one epoch. The next leader learns them anew from the daemons.
type term struct {
	options Options
	epoch   uint64
	ctx     context.Context
	cancel  context.CancelFunc

	publisher *subscribe.Publisher

	// current is closed once the configuration is known to be current.
	current chan struct{}
	started time.Time
	phases  *phases.Tracker

	mu            sync.Mutex
	configuration configuration
	services      map[string]proto.Service
	names         map[view.ServiceID]string
	registry      *lease.Registry
	pending       *pending
	published     []publication
	// seating is set while a change of seats is being replicated.
	seating bool
}

// startTerm begins to publish with an epoch.
func startTerm(ctx context.Context, o Options, epoch uint64) (*term, error) {
	c := &term{
		options:  o,
		epoch:    epoch,
		current:  make(chan struct{}),
		registry: lease.NewRegistry(o.registryOptions(fleet.DefaultSettings())),
		started:  o.Now(),
		phases:   phases.New(o.Now, o.Log, phaseConfigurationRead, phaseFirstViews, phaseAllAnnounced),
	}
	options := subscribe.PublisherOptions{Epoch: epoch, Now: o.Now}
	if o.Group != nil {
		options.Confirm = c.confirm
	}
	var err error
	if c.publisher, err = subscribe.NewPublisher(options); err != nil {
		return nil, err
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.registry.StartEpoch(0, epoch, nil)
	go c.publisher.Run(c.ctx)
	go c.run(c.ctx)
	if o.Fleet != nil {
		go c.follow(c.ctx)
	}
	return c, nil
}

// confirm returns nil if a majority confirmed after the call began that this
// process leads in the term.
func (c *term) confirm(ctx context.Context) error {
	if err := c.options.Group.Barrier(ctx); err != nil {
		return err
	}
	if l, _ := c.options.Group.Leadership(); !l.IsLeader || l.Term != c.epoch {
		return NotLeading.New("term %d is over", c.epoch)
	}
	return nil
}

// check logs what could not be published.
func (c *term) check(err error) {
	if err != nil {
		c.options.Log.Error("Cannot publish.", zap.Error(err))
	}
}

// announce serves one agent's announcements, once the services are known.
func (c *term) announce(ctx context.Context, from keys.Info, s *peer.Stream) {
	select {
	case <-ctx.Done():
		return
	case <-c.ctx.Done():
		return
	case <-c.current:
	}
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
func (c *term) renew(from keys.Info, a view.Announcement) proto.AnnounceReply {
	// Another control process has checked the agent whose stream it passes on.
	if !from.Allows(keys.Agent, keys.Control) {
		return proto.AnnounceReply{Reason: "the certificate does not allow the agent role"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	service, ok := c.services[a.Service]
	leaseTime := c.configuration.defaults().LeaseDuration
	if !ok {
		return proto.AnnounceReply{Reason: "no such service", Lease: leaseTime}
	}
	now := c.elapsed()
	if err := c.registry.Announce(now, service.ID, a); err != nil {
		return proto.AnnounceReply{Reason: err.Error(), Lease: leaseTime, KnownIncarnation: c.registry.IncarnationAt(a.ID, a.Packets.Addr())}
	}
	if c.registry.FirstViewsDue(now) {
		c.publishViews() // callers may wait for the first views
	}
	return proto.AnnounceReply{Accepted: true, Lease: leaseTime, Loads: c.registry.Loads(now, service.ID, a.ID, maxLoads)}
}

func (c *term) elapsed() time.Duration { return c.options.Now().Sub(c.started) }

// run publishes the registry's views until ctx ends.
func (c *term) run(ctx context.Context) {
	pace.Every(ctx, tickInterval, c.tick)
}

func (c *term) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireExceptions(c.options.Now())
	c.expirePreviousServices(c.options.Now())
	c.changeSeats()
	c.publishViews()
	c.notePending(c.options.Now())
}

// publishViews publishes the views that have changed. The caller holds the lock.
func (c *term) publishViews() {
	for _, v := range c.registry.Tick(c.elapsed()) {
		c.publish(v)
	}
	c.endViewPhases()
}

// publish hands a view to the subscribers. The caller holds the lock.
func (c *term) publish(v *view.View) {
	name, ok := c.names[v.Service]
	if !ok {
		return
	}
	c.options.Log.Info("Published a view.", zap.String("service", name),
		zap.Stringer("version", v.Version), zap.Int("members", len(v.Members)))
	c.check(c.publisher.Publish(func(at view.Version) (dissemination.Item, error) { return proto.ViewItem(name, at, v) }))
}
