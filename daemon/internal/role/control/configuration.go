package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/spread"
	"fulmarmount.org/core/view"
	"fulmarmount.org/daemon/internal/proto"
	"fulmarmount.org/daemon/internal/subscribe"
)

// Fleet is the replicated state of the fleet.
type Fleet interface {
	// Read calls read with a state that holds every acknowledged command.
	Read(ctx context.Context, read func(*fleet.Machine)) error
	// Peek calls read with the state as this process has it.
	Peek(read func(*fleet.Machine))
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// followDelay bounds the pause before the state is asked for again.
const followDelay = time.Second

// configuration is what operators have put in force.
type configuration struct {
	revision uint64
	document *fleet.Document
	draining map[string]bool
	// expired is the number of exceptions that had ended when views were
	// last published.
	expired int
}

// settings returns what is in force for the backend server of a at now.
func (c *configuration) settings(a view.Announcement, now time.Time) fleet.Settings {
	if c.document == nil {
		return fleet.DefaultSettings()
	}
	return c.document.Effective(fleet.Target{Service: a.Service, Zone: a.Zone, BackendServer: a.ID}, now)
}

// follow adopts the replicated state. The first state is one that holds every
// acknowledged command: a process that starts behind must not publish what
// was replaced long ago.
func (c *Control) follow(ctx context.Context) {
	for c.options.Fleet.Read(ctx, c.adopt) != nil {
		c.options.Log.Warn("Waits for the replicas.")
		if !subscribe.Sleep(ctx, subscribe.Jitter(followDelay)) {
			return
		}
	}
	close(c.current)
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

// adopt publishes the state of m unless it is in force already.
func (c *Control) adopt(m *fleet.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.configuration.document != nil && m.Revision() <= c.configuration.revision {
		return
	}
	next := configuration{revision: m.Revision(), document: m.Document(), draining: make(map[string]bool)}
	for _, d := range m.Drains() {
		next.draining[d.BackendServer] = true
	}
	c.configuration = next
	var services []proto.Service
	for i := range next.document.Services {
		services = append(services, service(&next.document.Services[i]))
	}
	c.replaceServices(services)
	c.notePosition(next.revision)
	c.options.Log.Info("Adopted a configuration.",
		zap.Uint64("version", m.Version()), zap.Uint64("revision", m.Revision()), zap.Int("services", len(services)))
}

func service(s *fleet.Service) proto.Service {
	return proto.Service{ID: s.ID, Name: s.Name, Mode: proto.Mode(s.Mode), Addresses: s.Addresses}
}

// SetServices replaces the services, for a process without replicated state.
func (c *Control) SetServices(services []proto.Service) {
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
func (c *Control) replaceServices(services []proto.Service) {
	old := c.services
	c.services = make(map[string]proto.Service, len(services))
	for _, s := range services {
		c.services[s.Name] = s
	}
	for name, s := range old {
		next, kept := c.services[name]
		if !kept {
			c.check(c.publisher.Delete(proto.ServiceKey(name)))
		}
		if !kept || next.ID != s.ID {
			delete(c.views, s.ID)
			c.check(c.publisher.Delete(proto.ViewKey(name)))
		}
	}
	for _, s := range services {
		if before, ok := old[s.Name]; !ok || !sameService(before, s) {
			c.check(c.publisher.Publish(func(at view.Version) (spread.Item, error) { return proto.ServiceItem(s, at) }))
		}
	}
	c.publishAll()
}

func sameService(a, b proto.Service) bool {
	return a.ID == b.ID && a.Name == b.Name && a.Mode == b.Mode && slices.Equal(a.Addresses, b.Addresses)
}

// expireExceptions publishes anew when an exception has ended.
func (c *Control) expireExceptions(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.configuration.document != nil && len(c.configuration.document.Expired(now)) != c.configuration.expired {
		c.publishAll()
	}
}

// publishAll publishes every view that differs from the one published before.
// The caller holds the lock.
func (c *Control) publishAll() {
	if c.configuration.document != nil {
		c.configuration.expired = len(c.configuration.document.Expired(c.options.Now()))
	}
	for _, s := range c.services {
		c.publish(s)
	}
}

// publish numbers a new view of a service where its members changed. The
// caller holds the lock.
func (c *Control) publish(s proto.Service) {
	members := c.membersOf(s.Name)
	if old := c.views[s.ID]; old != nil && sameMembers(old.Members, members) {
		return
	}
	c.check(c.publisher.Publish(func(at view.Version) (spread.Item, error) {
		v := view.New(s.ID, at, members)
		c.views[s.ID] = v
		return proto.ViewItem(s.Name, v)
	}))
}

// sameMembers compares members that were published with new ones, which it
// sorts as view.New does.
func sameMembers(published, members []view.BackendServer) bool {
	slices.SortFunc(members, func(a, b view.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Equal(published, members)
}

func (c *Control) membersOf(service string) []view.BackendServer {
	var members []view.BackendServer
	for _, m := range c.members {
		if m.announcement.Service == service {
			members = append(members, c.backendServer(m.announcement))
		}
	}
	return members
}

func (c *Control) backendServer(a view.Announcement) view.BackendServer {
	b := view.BackendServer{
		ID: a.ID, Zone: a.Zone, Incarnation: a.Incarnation,
		Packets: a.Packets, Requests: a.Requests, Slots: a.Slots,
		State: view.Ready, Weight: c.configuration.settings(a, c.options.Now()).Weight,
	}
	if a.Draining || !a.Healthy || c.configuration.draining[a.ID] {
		b.State, b.Weight = view.Draining, 0
	}
	return b
}
