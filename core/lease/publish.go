package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// updateView advances the phases of the members of s and returns a new view if it
// differs from the current one.
func (r *Registry) updateView(now time.Duration, s *service) *view.View {
	s.dirty = false
	s.nextUpdate = now + r.options.LeaseDuration
	ids := slices.Sorted(maps.Keys(s.members))
	anyLeased := r.hasLeasedMember(now, s)
	for _, id := range ids {
		r.advancePhase(now, s, s.members[id], anyLeased)
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return s.members[id] == nil })
	ejected := r.ejectedMembers(now, s, ids)
	partial := r.viewsPartial(now)
	if partial {
		s.nextUpdate = min(s.nextUpdate, r.partialUntil)
	}
	changed := s.currentView == nil || len(ids) != len(s.currentView.Members) || s.currentView.Partial && !partial
	for i, id := range ids {
		m := s.members[id]
		m.publishedState, m.publishedWeight = r.stateAndWeight(now, s, m, ejected[id])
		changed = changed || differsFromView(&s.currentView.Members[i], m)
	}
	if !changed {
		return nil
	}
	return r.publish(now, s, ids)
}

// hasLeasedMember reports whether at least one eligible member has an unexpired
// lease. If none has, the fault is likely on the path to this process.
func (r *Registry) hasLeasedMember(now time.Duration, s *service) bool {
	for _, m := range s.members {
		if m.isEligible() && !m.leaseExpired(now, &r.options) {
			return true
		}
	}
	return false
}

// advancePhase applies the time-based phase transitions of one member. A member in
// phase gone is removed only while others have unexpired leases, so that it counts
// in the total of which ejectedMembers takes a share.
func (r *Registry) advancePhase(now time.Duration, s *service, m *member, anyLeased bool) {
	expired := m.leaseExpired(now, &r.options)
	switch {
	case m.phase == view.Gone && anyLeased && now-m.phaseStart > r.options.Retention:
		r.removeMember(m)
		s.dirty = false
	case expired && m.phase != view.Gone && (!m.isEligible() || m.addressReassigned):
		r.expireLease(now, m)
	case m.phase == view.Warming && now-m.phaseStart >= r.options.WarmUpDuration:
		m.phase, m.phaseStart = view.Ready, now
	}
	switch {
	case m.phase == view.Warming:
		s.nextUpdate = min(s.nextUpdate, now+r.options.WarmUpDuration/time.Duration(r.options.WarmUpSteps))
	case m.phase == view.Gone:
		s.nextUpdate = min(s.nextUpdate, max(now+r.options.LeaseDuration/2, m.phaseStart+r.options.Retention+1))
	case !expired:
		s.nextUpdate = min(s.nextUpdate, m.announcedAt+r.options.LeaseDuration+1)
	}
}

func (r *Registry) expireLease(now time.Duration, m *member) {
	m.phase, m.phaseStart = view.Gone, now
	m.recordFlap(now, r.options.FlapWindow)
	r.stats.ExpiredLeases++
}

// ejectedMembers returns the members that get no new flows because of an expired
// lease, failed health or flapping: at most Options.MaxEjectedShare of all, and among
// these at most Options.MaxUnfitShare of all that are up and only judged as unfit. Those
// without new flows already come first, then those with an expired lease, each ordered by
// their latest announcement, oldest first. It moves ejected members with
// an expired lease to phase gone.
func (r *Registry) ejectedMembers(now time.Duration, s *service, ids []string) map[string]bool {
	var candidates []*member
	total := 0
	for _, id := range ids {
		m := s.members[id]
		gone := m.phase == view.Gone && !m.isDraining() && !m.addressReassigned
		if !m.isEligible() && !gone {
			continue
		}
		total++
		if gone || m.leaseExpired(now, &r.options) || !m.announcement.Healthy || m.isHeldDown(now, &r.options) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *member) int {
		if c := cmp.Compare(r.ejectionPriority(now, b), r.ejectionPriority(now, a)); c != 0 {
			return c
		}
		return cmp.Compare(a.announcedAt, b.announcedAt)
	})
	allowed := int(r.options.MaxEjectedShare * float64(total))
	allowedUnfit := r.maxUnfit(total)
	out := make(map[string]bool, len(candidates))
	for i, m := range candidates {
		isUnfit := m.isUnfitOnly(now, &r.options)
		if i >= allowed && m.phase != view.Gone || isUnfit && allowedUnfit == 0 {
			r.stats.SkippedEjections++
			continue
		}
		if isUnfit {
			allowedUnfit--
		}
		out[m.id] = true
		if m.phase != view.Gone && m.leaseExpired(now, &r.options) {
			r.expireLease(now, m)
		}
	}
	if len(candidates) > 0 {
		s.nextUpdate = min(s.nextUpdate, now+r.options.LeaseDuration/2)
	}
	return out
}

// maxUnfit returns how many of total members may be ejected only as unfit.
func (r *Registry) maxUnfit(total int) int {
	if r.options.MaxUnfitShare == 0 {
		return total
	}
	return int(r.options.MaxUnfitShare * float64(total))
}

// ejectionPriority ranks the candidates for ejection: 2 for a member that gets no
// new flows already, 1 for one whose lease has expired, else 0.
func (r *Registry) ejectionPriority(now time.Duration, m *member) int {
	switch {
	case m.phase == view.Gone || m.publishedState != view.Joining && m.publishedWeight == 0:
		return 2
	case m.leaseExpired(now, &r.options):
		return 1
	default:
		return 0
	}
}

// stateAndWeight returns a member's state and weight in the next view.
func (r *Registry) stateAndWeight(now time.Duration, s *service, m *member, ejected bool) (view.State, uint32) {
	switch {
	case m.phase == view.Gone || m.addressReassigned:
		return view.Gone, 0
	case m.isDraining():
		return view.Draining, 0
	case m.phase == view.Joining || !r.isRegistered(m):
		return view.Joining, 0
	case ejected:
		return m.phase, 0
	case m.phase == view.Warming && !r.flowLimited[s.id] && r.hasOtherReadyMember(s, m):
		return view.Warming, r.warmUpWeight(r.fullWeight(m), now-m.phaseStart)
	}
	return m.phase, r.fullWeight(m)
}

// hasOtherReadyMember reports whether the service has another eligible member at
// full weight. Only such a member can take the flows that a reduced weight keeps
// off a cold one; without it, a warming member gets its full weight at once.
func (r *Registry) hasOtherReadyMember(s *service, m *member) bool {
	for _, other := range s.members {
		if other != m && other.phase == view.Ready && other.isEligible() {
			return true
		}
	}
	return false
}

// warmUpWeight returns the weight of a member with the given full weight after d
// of its warm-up.
func (r *Registry) warmUpWeight(full uint32, d time.Duration) uint32 {
	steps := time.Duration(r.options.WarmUpSteps)
	step := min(d*steps/r.options.WarmUpDuration+1, steps)
	return max(min(1, full), full*uint32(step)/uint32(steps+1))
}

// differsFromView reports whether m differs from its entry in the current view.
func differsFromView(b *view.BackendServer, m *member) bool {
	a := &m.announcement
	return b.ID != m.id || b.State != m.publishedState || b.Weight != m.publishedWeight || b.Incarnation != a.Incarnation ||
		b.Packets != a.Packets || b.Requests != a.Requests || b.Slots != a.Slots || b.Zone != a.Zone ||
		b.AnswersQueries != a.AnswersQueries
}

func (r *Registry) publish(now time.Duration, s *service, ids []string) *view.View {
	s.recordPlacement(now, s.currentView, &r.options)
	r.viewNumber++
	version := view.Version{Epoch: r.epoch, Number: r.viewNumber}
	members := make([]view.BackendServer, len(ids))
	for i, id := range ids {
		m := s.members[id]
		if m.joinedAt == (view.Version{}) {
			m.joinedAt = version
		}
		r.recordAccepting(m, version.Number)
		members[i] = m.backendServer()
	}
	v := view.New(s.id, version, members)
	if !s.isAuthoritative() { // backend servers that know their flows need no history
		v.Earlier = s.pastPlacements(ids)
	}
	v.Partial = r.viewsPartial(now)
	v.Prepare()
	s.currentView, s.publishedAt = v, now
	r.stats.PublishedViews++
	return v
}

// recordAccepting records whether the view with the given number places new flows on
// the member.
func (r *Registry) recordAccepting(m *member, viewNumber uint64) {
	b := m.backendServer()
	if !b.AcceptsNewFlows() {
		m.acceptingSince = 0
		return
	}
	if m.acceptingSince == 0 {
		m.acceptingSince = viewNumber
	}
	if m.firstPlaced == 0 {
		m.firstPlaced = viewNumber
	}
	if !m.wasListed || m.startedWithAgent && r.fleetRestarted() {
		m.firstAccepting = m.firstPlaced
	}
}

func (m *member) backendServer() view.BackendServer {
	a := &m.announcement
	return view.BackendServer{
		ID: m.id, Zone: a.Zone, Incarnation: a.Incarnation, Packets: a.Packets, Requests: a.Requests,
		Slots: a.Slots, State: m.publishedState, Weight: m.publishedWeight,
		FirstAccepting: m.firstAccepting, AcceptingSince: m.acceptingSince, AnswersQueries: a.AnswersQueries,
	}
}

// recordPlacement adds the placement of a superseded view to the history and
// removes placements older than Options.Retention.
func (s *service) recordPlacement(now time.Duration, v *view.View, o *Options) {
	s.history = slices.DeleteFunc(s.history, func(p placement) bool { return now-p.supersededAt > o.Retention })
	if v == nil {
		return
	}
	p := placement{version: v.Version, supersededAt: now, weights: make(map[string]uint32, len(v.Members))}
	for i := range v.Members {
		if w := v.Members[i].PlacementWeight(); w > 0 {
			p.weights[v.Members[i].ID] = w
		}
	}
	if len(s.history) > 0 && maps.Equal(s.history[0].weights, p.weights) {
		s.history[0].supersededAt = now
		return
	}
	s.history = slices.Insert(s.history, 0, p)
	s.history = s.history[:min(len(s.history), o.MaxPastPlacements)]
}

// pastPlacements returns the history, with the weights in the order of ids.
func (s *service) pastPlacements(ids []string) []view.EarlierWeights {
	past := make([]view.EarlierWeights, len(s.history))
	for i, p := range s.history {
		past[i] = view.EarlierWeights{Version: p.version, Weights: make([]uint32, len(ids))}
		for j, id := range ids {
			past[i].Weights[j] = p.weights[id]
		}
	}
	return past
}
