package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// update moves the members of s on and returns a new view if it differs from
// the current one.
func (r *Registry) update(now time.Duration, s *service) *view.View {
	s.dirty = false
	s.due = now + r.options.LeaseDuration
	ids := slices.Sorted(maps.Keys(s.members))
	heard := r.anyHeard(now, s)
	for _, id := range ids {
		r.advance(now, s, s.members[id], heard)
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return s.members[id] == nil })
	excluded := r.excluded(now, s, ids)
	partial := r.lacking(now)
	if partial {
		s.due = min(s.due, r.partial)
	}
	changed := s.current == nil || len(ids) != len(s.current.Members) || s.current.Partial && !partial
	for i, id := range ids {
		m := s.members[id]
		m.state, m.weight = r.standing(now, s, m, excluded[id])
		changed = changed || differs(&s.current.Members[i], m)
	}
	if !changed {
		return nil
	}
	return r.publish(now, s, ids)
}

// anyHeard reports whether a member that takes new flows holds its lease. If
// none does, the fault is likely on the way here.
func (r *Registry) anyHeard(now time.Duration, s *service) bool {
	for _, m := range s.members {
		if m.takesPart() && !m.lapsed(now, &r.options) {
			return true
		}
	}
	return false
}

// advance moves one member through its phases as time passes. A member that is
// gone is forgotten only while others are heard, so that the share in excluded
// keeps its base.
func (r *Registry) advance(now time.Duration, s *service, m *member, othersHeard bool) {
	lapsed := m.lapsed(now, &r.options)
	switch {
	case m.phase == view.Gone && othersHeard && now-m.since > r.options.Retention:
		r.remove(m)
		s.dirty = false
	case lapsed && m.phase != view.Gone && (!m.takesPart() || m.replaced):
		r.lapse(now, m)
	case m.phase == view.Warming && now-m.since >= r.options.WarmUpDuration:
		m.phase, m.since = view.Ready, now
	}
	switch {
	case m.phase == view.Warming:
		s.due = min(s.due, now+r.options.WarmUpDuration/time.Duration(r.options.WarmUpSteps))
	case m.phase == view.Gone:
		s.due = min(s.due, max(now+r.options.LeaseDuration/2, m.since+r.options.Retention+1))
	case !lapsed:
		s.due = min(s.due, m.heard+r.options.LeaseDuration+1)
	}
}

func (r *Registry) lapse(now time.Duration, m *member) {
	m.phase, m.since = view.Gone, now
	m.flapped(now, r.options.FlapWindow)
	r.stats.ExpiredLeases++
}

// excluded returns the members that are kept from new flows for an ended lease,
// failed health or flapping, as many as the allowed share permits: those already
// kept first, then the longest unheard. Members whose lease has ended and that are excluded are gone.
func (r *Registry) excluded(now time.Duration, s *service, ids []string) map[string]bool {
	var suspects []*member
	total := 0
	for _, id := range ids {
		m := s.members[id]
		gone := m.phase == view.Gone && !m.draining() && !m.replaced
		if !m.takesPart() && !gone {
			continue
		}
		total++
		if gone || m.lapsed(now, &r.options) || !m.announcement.Healthy || m.heldDown(now, &r.options) {
			suspects = append(suspects, m)
		}
	}
	slices.SortStableFunc(suspects, func(a, b *member) int {
		if c := cmp.Compare(r.suspicion(now, b), r.suspicion(now, a)); c != 0 {
			return c
		}
		return cmp.Compare(a.heard, b.heard)
	})
	allowed := int(r.options.MaxEjectedShare * float64(total))
	out := make(map[string]bool, len(suspects))
	for i, m := range suspects {
		if i >= allowed && m.phase != view.Gone {
			r.stats.SkippedEjections++
			continue
		}
		out[m.id] = true
		if m.phase != view.Gone && m.lapsed(now, &r.options) {
			r.lapse(now, m)
		}
	}
	if len(suspects) > 0 {
		s.due = min(s.due, now+r.options.LeaseDuration/2)
	}
	return out
}

// suspicion ranks suspects: 2 for a member already kept from new flows, 1 for one
// whose lease has ended.
func (r *Registry) suspicion(now time.Duration, m *member) int {
	switch {
	case m.phase == view.Gone || m.state != view.Joining && m.weight == 0:
		return 2
	case m.lapsed(now, &r.options):
		return 1
	default:
		return 0
	}
}

// standing returns a member's state and weight in the next view.
func (r *Registry) standing(now time.Duration, s *service, m *member, excluded bool) (view.State, uint32) {
	switch {
	case m.phase == view.Gone || m.replaced:
		return view.Gone, 0
	case m.draining():
		return view.Draining, 0
	case m.phase == view.Joining || !r.seated(m):
		return view.Joining, 0
	case excluded:
		return m.phase, 0
	case m.phase == view.Warming && r.othersReady(s, m):
		return view.Warming, r.warmWeight(r.fullWeight(m), now-m.since)
	}
	return m.phase, r.fullWeight(m)
}

// othersReady reports whether the service has members at full weight, beside
// which a cold one has to be spared.
func (r *Registry) othersReady(s *service, m *member) bool {
	for _, other := range s.members {
		if other != m && other.phase == view.Ready && other.takesPart() {
			return true
		}
	}
	return false
}

// warmWeight returns the weight of a member of the given full weight that has
// been warming for d.
func (r *Registry) warmWeight(full uint32, d time.Duration) uint32 {
	steps := time.Duration(r.options.WarmUpSteps)
	step := min(d*steps/r.options.WarmUpDuration+1, steps)
	return max(min(1, full), full*uint32(step)/uint32(steps+1))
}

// differs reports whether a view's member has to be published anew.
func differs(b *view.BackendServer, m *member) bool {
	a := &m.announcement
	return b.ID != m.id || b.State != m.state || b.Weight != m.weight || b.Incarnation != a.Incarnation ||
		b.Packets != a.Packets || b.Requests != a.Requests || b.Slots != a.Slots || b.Zone != a.Zone
}

func (r *Registry) publish(now time.Duration, s *service, ids []string) *view.View {
	s.remember(now, s.current, &r.options)
	r.number++
	version := view.Version{Epoch: r.epoch, Number: r.number}
	members := make([]view.BackendServer, len(ids))
	for i, id := range ids {
		m := s.members[id]
		if m.joinedAt == (view.Version{}) {
			m.joinedAt = version
		}
		members[i] = m.backendServer()
	}
	v := view.New(s.id, version, members)
	v.Earlier = s.earlier(ids)
	v.Partial = r.lacking(now)
	v.Prepare()
	s.current, s.published = v, now
	r.stats.PublishedViews++
	return v
}

func (m *member) backendServer() view.BackendServer {
	a := &m.announcement
	return view.BackendServer{
		ID: m.id, Zone: a.Zone, Incarnation: a.Incarnation, Packets: a.Packets, Requests: a.Requests,
		Slots: a.Slots, State: m.state, Weight: m.weight,
	}
}

// remember adds a superseded view to the history and drops what is too old.
func (s *service) remember(now time.Duration, v *view.View, o *Options) {
	s.history = slices.DeleteFunc(s.history, func(p placement) bool { return now-p.until > o.Retention })
	if v == nil {
		return
	}
	p := placement{version: v.Version, until: now, weights: make(map[string]uint32, len(v.Members))}
	for i := range v.Members {
		if w := v.Members[i].PlacementWeight(); w > 0 {
			p.weights[v.Members[i].ID] = w
		}
	}
	if len(s.history) > 0 && maps.Equal(s.history[0].weights, p.weights) {
		s.history[0].until = now
		return
	}
	s.history = slices.Insert(s.history, 0, p)
	s.history = s.history[:min(len(s.history), o.MaxPastPlacements)]
}

// earlier returns the history as weights of the members with the given IDs.
func (s *service) earlier(ids []string) []view.EarlierWeights {
	past := make([]view.EarlierWeights, len(s.history))
	for i, p := range s.history {
		past[i] = view.EarlierWeights{Version: p.version, Weights: make([]uint32, len(ids))}
		for j, id := range ids {
			past[i].Weights[j] = p.weights[id]
		}
	}
	return past
}
