package lease

import (
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// Stats are a Registry's counts since its start.
type Stats struct {
	Members               int    // registered now
	Announcements         uint64 // taken
	ReplayedAnnouncements uint64 // refused as older than one already taken
	InvalidAnnouncements  uint64 // refused for a missing field
	ExpiredLeases         uint64 // leases that ended
	SkippedEjections      uint64 // exclusions not made because of Options.MaxEjected
	PublishedViews        uint64 // published
}

// Registry keeps the members of services and publishes their views. It is not
// safe for concurrent use. Times are durations since any fixed start; equal
// inputs give equal views.
type Registry struct {
	options  Options
	members  map[string]*member
	services map[view.ServiceID]*service
	order    []view.ServiceID // keys of services, sorted
	drained  map[string]bool
	epoch    uint64
	number   uint64
	collects time.Duration // the end of the time for collecting announcements
	partial  time.Duration // the end of the time in which views are partial
	leading  bool
	stats    Stats
	seats    *seats // nil where the durable state keeps none
	// weigh returns the weight of a member at full strength; nil stands for
	// view.FullWeight.
	weigh func(a *view.Announcement) uint32
}

// service is the membership of one service.
type service struct {
	id        view.ServiceID
	members   map[string]*member
	dirty     bool
	due       time.Duration // no member changes by itself before
	published time.Duration
	current   *view.View
	history   []placement // the newest first
}

// placement is the weights of a published version.
type placement struct {
	version view.Version
	until   time.Duration // when the version was superseded
	weights map[string]uint32
}

// NewRegistry returns a registry without members that publishes nothing before
// StartEpoch.
func NewRegistry(o Options) *Registry {
	o.setDefaults()
	return &Registry{
		options:  o,
		members:  make(map[string]*member),
		services: make(map[view.ServiceID]*service),
		drained:  make(map[string]bool),
	}
}

// partialLeases is the number of lease times in which all members have
// announced themselves to a new leader.
const partialLeases = 2

// StartEpoch starts an epoch. The registry collects announcements for Options.Collect
// before it publishes the epoch's first views. Views of an earlier epoch, where
// known, keep the weights of members that announce themselves again.
func (r *Registry) StartEpoch(now time.Duration, epoch uint64, earlier []*view.View) {
	r.epoch, r.number, r.leading = epoch, 0, true
	r.collects = now + r.options.CollectionPeriod
	r.partial = now + partialLeases*r.options.LeaseDuration
	for _, v := range earlier {
		r.restore(now, v)
	}
	for _, s := range r.services {
		s.dirty = true
	}
}

// restore takes the members of an earlier epoch's view as heard just now.
func (r *Registry) restore(now time.Duration, v *view.View) {
	s := r.service(v.Service)
	for i := range v.Members {
		b := &v.Members[i]
		if r.members[b.ID] != nil || b.State == view.Gone {
			continue
		}
		m := &member{
			id: b.ID, service: v.Service, heard: now, phase: b.State, since: now,
			joinedAt: v.Version, drained: r.drained[b.ID],
		}
		m.announcement = view.Announcement{
			ID: b.ID, Zone: b.Zone, Incarnation: b.Incarnation, Healthy: true,
			Packets: b.Packets, Requests: b.Requests, Slots: b.Slots,
		}
		if b.State == view.Draining {
			m.phase = view.Ready
		}
		s.members[b.ID], r.members[b.ID] = m, m
	}
	if s.current == nil || v.Version.Newer(s.current.Version) {
		s.remember(now, s.current, &r.options)
		s.current = v
	}
}

// EndEpoch stops publishing, for a registry that no longer leads.
func (r *Registry) EndEpoch() { r.leading = false }

// Announce takes an agent's announcement for a service. Errors are of type
// ErrInvalid and ErrReplayed.
func (r *Registry) Announce(now time.Duration, id view.ServiceID, a view.Announcement) error {
	if a.ID == "" || a.Incarnation == 0 || !a.Packets.IsValid() {
		r.stats.InvalidAnnouncements++
		return ErrInvalid.New("announcement of %q for service %d has no ID, incarnation or packet address", a.ID, id)
	}
	m := r.members[a.ID]
	if m != nil && !follows(&a, &m.announcement) {
		r.stats.ReplayedAnnouncements++
		return ErrReplayed.New("announcement %d of run %d of %q is not newer than %d of run %d",
			a.Sequence, a.Incarnation, a.ID, m.announcement.Sequence, m.announcement.Incarnation)
	}
	r.stats.Announcements++
	switch {
	case m == nil:
		m = r.join(now, id, a)
	case m.service != id:
		r.remove(m)
		m = r.join(now, id, a)
	case m.announcement.Incarnation != a.Incarnation:
		r.restarted(now, m, &a)
	}
	if m.phase == view.Joining && a.BackendTracksFlows {
		m.phase = view.Warming
	}
	r.renew(now, m, a)
	r.arrived(a.Packets)
	return nil
}

// follows reports whether a is newer than known.
func follows(a, known *view.Announcement) bool {
	if a.Incarnation != known.Incarnation {
		return a.Incarnation > known.Incarnation
	}
	return a.Sequence > known.Sequence
}

func (r *Registry) join(now time.Duration, id view.ServiceID, a view.Announcement) *member {
	m := &member{id: a.ID, service: id, phase: view.Joining, since: now, drained: r.drained[a.ID]}
	if r.collecting(now) && a.AdoptedVersion != (view.Version{}) {
		m.phase = view.Ready // a member of the earlier epoch
	}
	r.members[a.ID] = m
	s := r.service(id)
	s.members[a.ID] = m
	for _, other := range s.members {
		if other != m && other.announcement.Packets == a.Packets {
			other.replaced = true
		}
	}
	return m
}

// collecting reports whether the first views of the epoch still wait for
// announcements. Where the seats are known, they wait no longer than for these.
func (r *Registry) collecting(now time.Duration) bool {
	return !r.leading || now < r.collects && !r.allHeard()
}

// restarted begins the membership of a new run of a known backend server.
func (r *Registry) restarted(now time.Duration, m *member, a *view.Announcement) {
	m.flapped(now, r.options.FlapWindow)
	m.phase, m.since, m.joinedAt = view.Joining, now, view.Version{}
	if r.collecting(now) && a.AdoptedVersion != (view.Version{}) {
		m.phase = view.Ready
	}
}

func (r *Registry) renew(now time.Duration, m *member, a view.Announcement) {
	old := &m.announcement
	s := r.services[m.service]
	if old.Packets != a.Packets || old.Requests != a.Requests || old.Incarnation != a.Incarnation ||
		old.Draining != a.Draining || old.Healthy != a.Healthy || old.Slots != a.Slots || old.Zone != a.Zone {
		s.dirty = true
	}
	if m.phase == view.Gone { // the same run is heard again
		m.phase, m.since = view.Ready, now
		s.dirty = true
	}
	if m.phase == view.Joining && m.joinedAt != (view.Version{}) && !m.joinedAt.Newer(a.AdoptedVersion) {
		m.phase, m.since = view.Warming, now
		s.dirty = true
	}
	m.announcement, m.heard, m.replaced = a, now, false
}

func (r *Registry) service(id view.ServiceID) *service {
	s := r.services[id]
	if s == nil {
		s = &service{id: id, members: make(map[string]*member), dirty: true}
		r.services[id] = s
		i, _ := slices.BinarySearch(r.order, id)
		r.order = slices.Insert(r.order, i, id)
	}
	return s
}

// SetDrained replaces the set of backend servers that operators have drained.
// It may name ones that are not registered yet.
func (r *Registry) SetDrained(ids []string) {
	clear(r.drained)
	for _, id := range ids {
		r.drained[id] = true
	}
	for id, m := range r.members {
		if m.drained != r.drained[id] {
			m.drained = r.drained[id]
			r.services[m.service].dirty = true
		}
	}
}

// SetWeightFunc sets how the weight of a member at full strength is found; nil
// gives every member view.FullWeight. Set it anew when its results change.
func (r *Registry) SetWeightFunc(weigh func(a *view.Announcement) uint32) {
	r.weigh = weigh
	r.touch()
}

// SetOptions replaces the options.
func (r *Registry) SetOptions(o Options) {
	o.setDefaults()
	r.options = o
	r.touch()
}

// fullWeight returns the weight of a ready member.
func (r *Registry) fullWeight(m *member) uint32 {
	if r.weigh == nil {
		return view.FullWeight
	}
	return r.weigh(&m.announcement)
}

// touch has every service looked at by the next Tick.
func (r *Registry) touch() {
	for _, s := range r.services {
		s.dirty = true
	}
}

// Remove forgets a backend server, for an operator who knows that it will not
// return. The error is of type ErrUnknown.
func (r *Registry) Remove(id string) error {
	m := r.members[id]
	if m == nil {
		return ErrNotRegistered.New("backend server %q is not registered", id)
	}
	r.remove(m)
	return nil
}

func (r *Registry) remove(m *member) {
	s := r.services[m.service]
	delete(s.members, m.id)
	delete(r.members, m.id)
	s.dirty = true
}

// RemoveService forgets a service with its members.
func (r *Registry) RemoveService(id view.ServiceID) {
	s := r.services[id]
	if s == nil {
		return
	}
	for member := range s.members {
		delete(r.members, member)
	}
	delete(r.services, id)
	i, _ := slices.BinarySearch(r.order, id)
	r.order = slices.Delete(r.order, i, i+1)
}

// CollectionComplete reports whether enough was heard for the first views of the epoch.
func (r *Registry) CollectionComplete(now time.Duration) bool {
	return r.leading && (!r.collecting(now) || r.mostHeard())
}

// FirstViewsDue reports whether enough was heard for the first views of the epoch
// and none was published.
func (r *Registry) FirstViewsDue(now time.Duration) bool {
	return r.number == 0 && r.CollectionComplete(now)
}

// Tick returns the views that have changed, in the order of their services.
func (r *Registry) Tick(now time.Duration) []*view.View {
	if !r.CollectionComplete(now) {
		return nil
	}
	collecting := r.collecting(now)
	var out []*view.View
	for _, id := range r.order {
		s := r.services[id]
		if collecting && !s.authoritative() || !s.dirty && now < s.due || r.tooSoon(now, s) {
			continue
		}
		if v := r.update(now, s); v != nil {
			out = append(out, v)
		}
	}
	return out
}

// tooSoon reports whether a service's newest view is too young for another one. A
// whole view follows a partial one at once.
func (r *Registry) tooSoon(now time.Duration, s *service) bool {
	if s.current == nil || s.published == 0 || s.current.Partial && !r.lacking(now) {
		return false
	}
	return now-s.published < r.options.MinPublishInterval
}

// View returns the newest view of a service, or nil.
func (r *Registry) View(id view.ServiceID) *view.View {
	if s := r.services[id]; s != nil {
		return s.current
	}
	return nil
}

// Stats returns the counts.
func (r *Registry) Stats() Stats {
	s := r.stats
	s.Members = len(r.members)
	return s
}
