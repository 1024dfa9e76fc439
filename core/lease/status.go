package lease

import (
	"maps"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// MemberStatus is what operators see of one backend server.
type MemberStatus struct {
	ID          string           `json:"id"`
	Service     view.ServiceID   `json:"service"`
	Zone        string           `json:"zone"`
	Incarnation view.Incarnation `json:"incarnation"`
	State       string           `json:"state"`
	Weight      uint32           `json:"weight"`
	// Flows is the number of flows the agent last said it owns.
	Flows uint32 `json:"flows"`
	// Load is the number of requests running or queued.
	Load uint32 `json:"load"`
	// AnnouncementAge is the time since the last announcement.
	AnnouncementAge time.Duration `json:"unheard_ns"`
	// Reasons tell why the member gets no new flows, or would get none if more
	// of its service were in force.
	Reasons []string `json:"reasons,omitempty"`
}

// MemberStatuses returns the members of a service in the order of their IDs.
func (r *Registry) MemberStatuses(now time.Duration, id view.ServiceID) []MemberStatus {
	s := r.services[id]
	if s == nil {
		return nil
	}
	out := make([]MemberStatus, 0, len(s.members))
	for _, key := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[key]
		a := &m.announcement
		out = append(out, MemberStatus{
			ID: m.id, Service: id, Zone: a.Zone, Incarnation: a.Incarnation, State: m.state.String(), Weight: m.weight,
			Flows: a.Flows, Load: a.Load, AnnouncementAge: now - m.heard, Reasons: r.reasons(now, m),
		})
	}
	return out
}

func (r *Registry) reasons(now time.Duration, m *member) []string {
	all := []struct {
		holds bool
		text  string
	}{
		{m.drained, "drained by an operator"},
		{m.announcement.Draining, "asks to leave"},
		{m.phase == view.Joining, "has not adopted a view yet"},
		{m.replaced, "its address was taken by another backend server"},
		{m.lapsed(now, &r.options), "lease ended"},
		{!m.announcement.Healthy, "its agent finds it failing"},
		{m.heldDown(now, &r.options), "held down for flapping"},
	}
	var out []string
	for _, reason := range all {
		if reason.holds {
			out = append(out, reason.text)
		}
	}
	return out
}

// Loads returns the flows owned by members of a service that are heard: by all,
// or by limit of them around the member with the given ID.
func (r *Registry) Loads(now time.Duration, id view.ServiceID, around string, limit int) []view.Load {
	v := r.View(id)
	if v == nil {
		return nil
	}
	s, n := r.services[id], len(v.Members)
	start := max(0, v.IndexOf(around)-limit/2)
	out := make([]view.Load, 0, min(n, limit))
	for i := range min(n, limit) {
		key := v.Members[(start+i)%n].ID
		if m := s.members[key]; m != nil && !m.lapsed(now, &r.options) {
			out = append(out, view.Load{Seed: view.SeedOf(key), Flows: m.announcement.Flows})
		}
	}
	return out
}
