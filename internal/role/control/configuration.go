package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/lease"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// Fleet is the replicated state of the fleet.
type Fleet interface {
	// Read calls read with a state that holds every acknowledged command.
	Read(ctx context.Context, read func(*fleet.StateMachine)) error
	// Peek calls read with the state as this process has it.
	Peek(read func(*fleet.StateMachine))
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// UpdateRegisteredAgents adds and removes registered agents. It returns the
	// problems of agents that could not be registered.
	UpdateRegisteredAgents(ctx context.Context, c fleet.RegistrationChange) ([]fleet.Problem, error)
}

// followDelay bounds the pause before the state is asked for again.
const followDelay = time.Second

// configuration is what operators have put in force.
type configuration struct {
	revision uint64
	document *fleet.Document
	drains   []fleet.Drain
	// evacuations are those of availability zones, sorted by zone.
	evacuations []fleet.Evacuation
	// resolver holds the exceptions that had not ended when it was made.
	resolver *fleet.Resolver
	// previousEnd is when the first of the listeners' previous services that daemons are
	// told of ends; zero for none.
	previousEnd time.Time
}

// defaults returns the fleet-wide settings.
func (c *configuration) defaults() fleet.Settings {
	if c.document == nil {
		return fleet.DefaultSettings()
	}
	return c.document.Defaults
}

// registryOptions returns what the settings mean for membership.
func (o *Options) registryOptions(s fleet.Settings) lease.Options {
	return lease.Options{
		LeaseDuration:    s.LeaseDuration,
		CollectionPeriod: o.Collect,
		WarmUpDuration:   s.WarmupDuration,
		MaxEjectedShare:  float64(s.MaxEjectedPercent) / 100,
		MaxUnfitShare:    float64(s.MaxUnfitPercent) / 100,
	}
}

// follow adopts the replicated state. The first state is one that holds every
// acknowledged command: a process that starts behind must not publish what
// was replaced long ago.
func (c *term) follow(ctx context.Context) {
	for c.options.Fleet.Read(ctx, c.adoptFirst) != nil {
		c.options.Log.Warn("Waits for the replicas.")
		if !pace.Sleep(ctx, pace.Jitter(followDelay)) {
			return
		}
	}
	close(c.current)
	c.phases.End(phaseConfigurationRead)
	for {
		changed := c.options.Fleet.Changed()
		c.options.Fleet.Peek(c.adopt)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// adoptFirst adopts the state of m with the agents that there were before this
// process came to lead.
func (c *term) adoptFirst(m *fleet.StateMachine) {
	c.mu.Lock()
	c.registry.SetRegisteredAgents(m.RegisteredAgents())
	c.mu.Unlock()
	c.adopt(m)
}

// adopt publishes the state of m unless it is in force already.
func (c *term) adopt(m *fleet.StateMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.configuration.document != nil && m.Revision() <= c.configuration.revision {
		return
	}
	c.configuration = configuration{revision: m.Revision(), document: m.Document(), drains: m.Drains(), evacuations: m.Evacuations()}
	now := c.options.Now()
	c.configuration.resolver = fleet.NewResolver(c.configuration.document, now)
	services := c.effectiveServices(now)
	c.replaceServices(services)
	c.registry.SetOptions(c.options.registryOptions(c.configuration.document.Defaults))
	c.setWeights()
	var drained []string
	for _, d := range c.configuration.drains {
		drained = append(drained, d.BackendServer)
	}
	c.registry.SetDrained(drained)
	c.evacuateZones()
	c.pending = &pending{revision: m.Revision(), due: now.Add(settleTime)}
	c.options.Log.Info("Adopted a configuration.",
		zap.Uint64("version", m.Version()), zap.Uint64("revision", m.Revision()), zap.Int("services", len(services)),
		zap.Int("retired", len(c.configuration.document.RetiredServices)))
}

// effectiveServices returns what daemons are told of all services at time now.
func (c *term) effectiveServices(now time.Time) []proto.Service {
	document := c.configuration.document
	var previousEnd time.Time
	inbound := make(map[string][]proto.Inbound)
	for i := range document.Listeners {
		l := &document.Listeners[i]
		for _, p := range l.WeightedServices {
			inbound[p.Service] = append(inbound[p.Service], proto.Inbound{
				Addr: l.Address, Weight: p.Weight,
				Timeout: l.Timeout, Objective: l.LatencyObjective, Urgency: l.Urgency, Idempotent: l.Idempotent,
			})
		}
		for j := range l.PreviousServices {
			if p := &l.PreviousServices[j]; !p.IsOver(now) {
				inbound[p.Service] = append(inbound[p.Service], proto.Inbound{Addr: l.Address})
				previousEnd = earliest(previousEnd, p.End())
			}
		}
	}
	c.configuration.previousEnd = previousEnd
	// Retired services stay published: their backend servers may hold open flows.
	all := document.AllServices()
	services := make([]proto.Service, len(all))
	for i := range all {
		services[i] = c.service(&all[i])
		services[i].Inbound = inbound[services[i].Name]
	}
	return services
}

// service returns what daemons are told of a service, apart from its listeners.
func (c *term) service(s *fleet.Service) proto.Service {
	return proto.Service{
		ID: s.ID, Name: s.Name, Mode: proto.Mode(s.Mode), Addresses: s.Addresses,
		Share: s.Share, Classes: s.Classes, Repeatable: s.RepeatableRoutes,
		Settings: c.configuration.resolver.EffectiveSettings(fleet.Target{Service: s.Name}),
	}
}

// setWeights gives every backend server the weight in force for it. The caller
// holds the lock.
func (c *term) setWeights() {
	resolver := c.configuration.resolver
	c.registry.SetWeightFunc(func(a *view.Announcement) uint32 {
		return resolver.EffectiveSettings(fleet.Target{Service: a.Service, Zone: a.Zone, BackendServer: a.ID}).Weight
	})
}

// expireExceptions takes exceptions that have ended out of force. The caller
// holds the lock.
func (c *term) expireExceptions(now time.Time) {
	document := c.configuration.document
	if document == nil || len(document.ExpiredExceptions(now)) == c.configuration.resolver.ExpiredCount() {
		return
	}
	c.configuration.resolver = fleet.NewResolver(document, now)
	c.setWeights()
	c.replaceServices(c.effectiveServices(now))
}

// expirePreviousServices takes back what daemons are told of previous services of
// listeners once no flow is open there. The caller holds the lock.
func (c *term) expirePreviousServices(now time.Time) {
	if end := c.configuration.previousEnd; end.IsZero() || now.Before(end) {
		return
	}
	c.replaceServices(c.effectiveServices(now))
}

// earliest returns the earlier of two times, of which the zero time is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (c *term) setServices(services []proto.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaceServices(services)
	select {
	case <-c.current:
	default:
		close(c.current)
	}
}

// replaceServices publishes what differs from the services before. The caller
// holds the lock.
func (c *term) replaceServices(services []proto.Service) {
	c.setFlowLimited(services)
	old := c.services
	c.services = make(map[string]proto.Service, len(services))
	c.names = make(map[view.ServiceID]string, len(services))
	for _, s := range services {
		c.services[s.Name], c.names[s.ID] = s, s.Name
	}
	for name, s := range old {
		next, kept := c.services[name]
		if !kept {
			c.check(c.publisher.Delete(proto.ServiceKey(name)))
		}
		if !kept || next.ID != s.ID {
			c.registry.RemoveService(s.ID)
			c.check(c.publisher.Delete(proto.ViewKey(name)))
		}
	}
	for _, s := range services {
		if before, ok := old[s.Name]; !ok || !before.Equal(&s) {
			c.check(c.publisher.Publish(func(at view.Version) (dissemination.Item, error) { return proto.ServiceItem(s, at) }))
		}
	}
}
