package lease

import (
	"net/netip"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// Stats holds the counters of a Registry since its creation.
type Stats struct {
	Members               int    // current members of all services
	Announcements         uint64 // accepted announcements
	ReplayedAnnouncements uint64 // rejected with ErrReplayed
	InvalidAnnouncements  uint64 // rejected with ErrInvalid
	ExpiredLeases         uint64
	SkippedEjections      uint64 // ejections prevented by Options.MaxEjectedShare
	PublishedViews        uint64
}

// Registry maintains the members of services and publishes their views. It is not
// safe for concurrent use. Times are durations since an arbitrary fixed start. The
// views are a deterministic function of the inputs.
type Registry struct {
	options    Options
	members    map[string]*member
	holders    addressHolders
	services   map[view.ServiceID]*service
	serviceIDs []view.ServiceID // keys of services, sorted
	drainedIDs map[string]bool
	evacuated  map[string]bool // zones
	// flowLimited are the services whose agents limit the new flows of cold backend servers.
	flowLimited  map[view.ServiceID]bool
	epoch        uint64
	viewNumber   uint64
	collectUntil time.Duration // end of the collection period
	partialUntil time.Duration // end of the period in which views are partial
	isLeading    bool
	stats        Stats
	registered   *registeredAgents // nil without durable registrations
	// hasSurvivors is set once a member is known that views of an earlier epoch may have
	// listed. One that has started with its agent is none.
	hasSurvivors bool
	// announced holds the packet addresses of the agents that have announced themselves in
	// this epoch.
	announced map[netip.AddrPort]bool
	// weightFunc returns the full weight of a member. Nil means view.FullWeight.
	weightFunc func(a *view.Announcement) uint32
}

// service is the membership of one service.
type service struct {
	id          view.ServiceID
	members     map[string]*member
	dirty       bool
	nextUpdate  time.Duration // time of the next time-based change of a member
	publishedAt time.Duration
	currentView *view.View
	history     []placement // newest first
}

// placement holds the weights of a superseded view by member ID.
type placement struct {
	version      view.Version
	supersededAt time.Duration
	weights      map[string]uint32
}

// NewRegistry returns a Registry without members. It publishes no views before
// StartEpoch is called.
func NewRegistry(o Options) *Registry {
	o.setDefaults()
	return &Registry{
		options:    o,
		members:    make(map[string]*member),
		holders:    make(addressHolders),
		services:   make(map[view.ServiceID]*service),
		drainedIDs: make(map[string]bool),
		evacuated:  make(map[string]bool),
		announced:  make(map[netip.AddrPort]bool),
	}
}

// partialPeriodLeases is the length, in lease durations, of the partial period:
// after it, all members are assumed to have announced themselves to a new leader.
const partialPeriodLeases = 2

// StartEpoch starts an epoch. The registry collects announcements for
// Options.CollectionPeriod before it publishes the first views of the epoch.
// Members of earlierViews that announce themselves again keep their weights.
func (r *Registry) StartEpoch(now time.Duration, epoch uint64, earlierViews []*view.View) {
	r.epoch, r.viewNumber, r.isLeading = epoch, 0, true
	r.collectUntil = now + r.options.CollectionPeriod
	r.partialUntil = now + partialPeriodLeases*r.options.LeaseDuration
	r.hasSurvivors = len(r.members) > 0
	clear(r.announced)
	for _, m := range r.members {
		m.wasListed, m.startedWithAgent = true, false
		m.firstPlaced, m.firstAccepting, m.acceptingSince = 0, 0, 0
	}
	for _, v := range earlierViews {
		r.restoreView(now, v)
	}
	for _, s := range r.services {
		s.dirty = true
	}
}

// restoreView adds the members of a view of an earlier epoch, each with a lease
// that starts now.
func (r *Registry) restoreView(now time.Duration, v *view.View) {
	s := r.ensureService(v.Service)
	for i := range v.Members {
		b := &v.Members[i]
		if r.members[b.ID] != nil || b.State == view.Gone {
			continue
		}
		m := &member{
			id: b.ID, service: v.Service, announcedAt: now, phase: b.State, phaseStart: now,
			joinedAt: v.Version, drainedByOperator: r.drainedIDs[b.ID], inEvacuatedZone: r.evacuated[b.Zone], wasListed: true,
		}
		m.announcement = view.Announcement{
			ID: b.ID, Zone: b.Zone, Incarnation: b.Incarnation, Healthy: true,
			Packets: b.Packets, Requests: b.Requests, Slots: b.Slots,
		}
		if b.State == view.Draining {
			m.phase = view.Ready
		}
		s.members[b.ID], r.members[b.ID] = m, m
		r.holders[b.Packets] = m
		r.hasSurvivors = true
	}
	if s.currentView == nil || v.Version.Newer(s.currentView.Version) {
		s.recordPlacement(now, s.currentView, &r.options)
		s.currentView = v
	}
}

// EndEpoch stops publishing views. Call it when this process loses leadership.
func (r *Registry) EndEpoch() { r.isLeading = false }

// Announce processes an agent's announcement for a service and renews its lease.
// It returns an error of type ErrInvalid or ErrReplayed if the announcement is
// rejected.
func (r *Registry) Announce(now time.Duration, id view.ServiceID, a view.Announcement) error {
	if a.ID == "" || a.Incarnation == 0 || !a.Packets.IsValid() {
		r.stats.InvalidAnnouncements++
		return ErrInvalid.New("announcement of %q for service %d has no ID, incarnation or packet address", a.ID, id)
	}
	m := r.members[a.ID]
	if m != nil && !isNewer(&a, &m.announcement) {
		r.stats.ReplayedAnnouncements++
		// The reply to the agent contains this text; "run" is the incarnation there.
		return ErrReplayed.New("announcement %d of run %d of %q is not newer than %d of run %d",
			a.Sequence, a.Incarnation, a.ID, m.announcement.Sequence, m.announcement.Incarnation)
	}
	r.stats.Announcements++
	switch {
	case m == nil:
		m = r.addMember(now, id, a)
	case m.service != id:
		r.removeMember(m)
		m = r.addMember(now, id, a)
	case m.announcement.Incarnation != a.Incarnation:
		r.restartMember(now, m, &a)
	}
	if m.phase == view.Joining && a.BackendTracksFlows {
		m.phase = view.Warming
	}
	r.claimAddress(now, m, &a)
	r.renewLease(now, m, a)
	r.hasSurvivors = r.hasSurvivors || m.wasListed && !m.startedWithAgent
	r.announced[a.Packets] = true
	r.recordAnnounced(a.Packets)
	return nil
}

// isNewer reports whether a is newer than the latest accepted announcement.
func isNewer(a, latest *view.Announcement) bool {
	if a.Incarnation != latest.Incarnation {
		return a.Incarnation > latest.Incarnation
	}
	return a.Sequence > latest.Sequence
}

// IncarnationAt returns the latest incarnation of a member, if it was announced from the VM
// with an address; else 0.
func (r *Registry) IncarnationAt(id string, addr netip.Addr) view.Incarnation {
	m := r.members[id]
	if m == nil || m.announcement.Packets.Addr() != addr {
		return 0
	}
	return m.announcement.Incarnation
}

func (r *Registry) addMember(now time.Duration, id view.ServiceID, a view.Announcement) *member {
	m := &member{id: a.ID, service: id, phase: view.Joining, phaseStart: now, drainedByOperator: r.drainedIDs[a.ID]}
	r.recordPastUse(m, &a)
	if r.isCollecting(now) && a.AdoptedVersion != (view.Version{}) {
		m.phase = view.Ready // it was a member in the previous epoch
	}
	r.members[a.ID] = m
	r.ensureService(id).members[a.ID] = m
	return m
}

// recordPastUse records what the first announcement of an incarnation tells of flows that
// were placed on it before.
func (r *Registry) recordPastUse(m *member, a *view.Announcement) {
	m.wasListed = !a.Unlisted
	m.startedWithAgent = a.StartedWithAgent && !r.announced[a.Packets]
	m.firstPlaced, m.firstAccepting = 0, 0
}

// isCollecting reports whether the first views of the epoch still wait for
// announcements. If the registered agents are set, the wait ends once all of them
// have announced themselves.
func (r *Registry) isCollecting(now time.Duration) bool {
	return !r.isLeading || now < r.collectUntil && !r.allAnnounced()
}

// restartMember resets the phase of a member for a new incarnation.
func (r *Registry) restartMember(now time.Duration, m *member, a *view.Announcement) {
	m.recordFlap(now, r.options.FlapWindow)
	m.phase, m.phaseStart, m.joinedAt = view.Joining, now, view.Version{}
	r.recordPastUse(m, a)
	if r.isCollecting(now) && a.AdoptedVersion != (view.Version{}) {
		m.phase = view.Ready
	}
}

func (r *Registry) renewLease(now time.Duration, m *member, a view.Announcement) {
	old := &m.announcement
	s := r.services[m.service]
	if old.Packets != a.Packets || old.Requests != a.Requests || old.Incarnation != a.Incarnation ||
		old.Draining != a.Draining || old.Healthy != a.Healthy || old.Slots != a.Slots || old.Zone != a.Zone {
		s.dirty = true
	}
	if m.phase == view.Gone { // the incarnation that left the views is back
		m.phase, m.phaseStart = view.Ready, now
		s.dirty = true
	}
	if m.phase == view.Joining && m.joinedAt != (view.Version{}) && !m.joinedAt.Newer(a.AdoptedVersion) {
		m.phase, m.phaseStart = view.Warming, now
		s.dirty = true
	}
	m.announcement, m.announcedAt, m.inEvacuatedZone = a, now, r.evacuated[a.Zone]
}

func (r *Registry) ensureService(id view.ServiceID) *service {
	s := r.services[id]
	if s == nil {
		s = &service{id: id, members: make(map[string]*member), dirty: true}
		r.services[id] = s
		i, _ := slices.BinarySearch(r.serviceIDs, id)
		r.serviceIDs = slices.Insert(r.serviceIDs, i, id)
	}
	return s
}

// SetDrained replaces the set of backend servers that operators have drained. IDs
// of backend servers that are no members yet are allowed.
func (r *Registry) SetDrained(ids []string) {
	clear(r.drainedIDs)
	for _, id := range ids {
		r.drainedIDs[id] = true
	}
	for id, m := range r.members {
		if m.drainedByOperator != r.drainedIDs[id] {
			m.drainedByOperator = r.drainedIDs[id]
			r.services[m.service].dirty = true
		}
	}
}

// SetWeightFunc sets the function that returns the full weight of a member. Nil
// gives every member view.FullWeight. Call it again when the function's results
// change.
func (r *Registry) SetWeightFunc(weightFunc func(a *view.Announcement) uint32) {
	r.weightFunc = weightFunc
	r.markAllDirty()
}

// SetFlowLimited replaces the set of services whose agents limit the new flows of cold
// backend servers themselves. Their members have their full weight while they warm up: a
// lower one would multiply with the limit.
func (r *Registry) SetFlowLimited(ids map[view.ServiceID]bool) {
	r.flowLimited = ids
	r.markAllDirty()
}

// SetOptions replaces the options.
func (r *Registry) SetOptions(o Options) {
	o.setDefaults()
	r.options = o
	r.markAllDirty()
}

// fullWeight returns the weight of a member after its warm-up.
func (r *Registry) fullWeight(m *member) uint32 {
	if r.weightFunc == nil {
		return view.FullWeight
	}
	return r.weightFunc(&m.announcement)
}

// markAllDirty makes the next Tick check every service for changes.
func (r *Registry) markAllDirty() {
	for _, s := range r.services {
		s.dirty = true
	}
}

// Remove removes a backend server that, as an operator knows, will not return. It
// returns an error of type ErrNotMember if no member has the ID.
func (r *Registry) Remove(id string) error {
	m := r.members[id]
	if m == nil {
		return ErrNotMember.New("backend server %q is not a member of any service", id)
	}
	r.removeMember(m)
	return nil
}

func (r *Registry) removeMember(m *member) {
	s := r.services[m.service]
	delete(s.members, m.id)
	delete(r.members, m.id)
	r.holders.release(m)
	s.dirty = true
}

// RemoveService removes a service with its members.
func (r *Registry) RemoveService(id view.ServiceID) {
	s := r.services[id]
	if s == nil {
		return
	}
	for id, m := range s.members {
		delete(r.members, id)
		r.holders.release(m)
	}
	delete(r.services, id)
	i, _ := slices.BinarySearch(r.serviceIDs, id)
	r.serviceIDs = slices.Delete(r.serviceIDs, i, i+1)
}

// CollectionComplete reports whether enough agents have announced themselves for
// the first views of the epoch, or the collection period has ended.
func (r *Registry) CollectionComplete(now time.Duration) bool {
	return r.isLeading && (!r.isCollecting(now) || r.mostAnnounced())
}

// FirstViewsDue reports whether collection is complete and no view of the epoch was
// published yet.
func (r *Registry) FirstViewsDue(now time.Duration) bool {
	return r.viewNumber == 0 && r.CollectionComplete(now)
}

// Tick returns the views that have changed, in the order of their services.
func (r *Registry) Tick(now time.Duration) []*view.View {
	if !r.CollectionComplete(now) {
		return nil
	}
	collecting := r.isCollecting(now)
	var out []*view.View
	for _, id := range r.serviceIDs {
		s := r.services[id]
		if collecting && !s.isAuthoritative() || !s.dirty && now < s.nextUpdate || r.inPublishInterval(now, s) {
			continue
		}
		if v := r.updateView(now, s); v != nil {
			out = append(out, v)
		}
	}
	return out
}

// inPublishInterval reports whether Options.MinPublishInterval delays the next view
// of a service. A complete view follows a partial one without delay.
func (r *Registry) inPublishInterval(now time.Duration, s *service) bool {
	if s.currentView == nil || s.publishedAt == 0 || s.currentView.Partial && !r.viewsPartial(now) {
		return false
	}
	return now-s.publishedAt < r.options.MinPublishInterval
}

// View returns the current view of a service, or nil.
func (r *Registry) View(id view.ServiceID) *view.View {
	if s := r.services[id]; s != nil {
		return s.currentView
	}
	return nil
}

// Stats returns the current counters.
func (r *Registry) Stats() Stats {
	s := r.stats
	s.Members = len(r.members)
	return s
}

// ViewsComplete reports whether views lack no member that may own flows.
func (r *Registry) ViewsComplete(now time.Duration) bool { return !r.viewsPartial(now) }
