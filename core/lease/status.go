package lease

import (
	"maps"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// MemberStatus is the status of one backend server as reported to operators.
type MemberStatus struct {
	ID          string           `json:"id"`
	Service     view.ServiceID   `json:"service"`
	Zone        string           `json:"zone"`
	Incarnation view.Incarnation `json:"incarnation"`
	State       string           `json:"state"`
	Weight      uint32           `json:"weight"`
	// Flows is the number of owned flows in the latest announcement.
	Flows uint32 `json:"flows"`
	// Load is the number of running and queued requests.
	Load uint32 `json:"load"`
	// AnnouncementAge is the time since the latest announcement.
	AnnouncementAge time.Duration `json:"unheard_ns"`
	// Reasons lists the conditions that exclude the member from new flows. A
	// listed condition has no effect while Options.MaxEjectedShare prevents the
	// ejection.
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
			ID: m.id, Service: id, Zone: a.Zone, Incarnation: a.Incarnation, State: m.publishedState.String(), Weight: m.publishedWeight,
			Flows: a.Flows, Load: a.Load, AnnouncementAge: now - m.announcedAt, Reasons: r.exclusionReasons(now, m),
		})
	}
	return out
}

// exclusionReasons returns the reasons of a MemberStatus. Their texts are part of the
// status interface.
func (r *Registry) exclusionReasons(now time.Duration, m *member) []string {
	all := []struct {
		applies bool
		text    string
	}{
		{m.drainedByOperator, "drained by an operator"},
		{m.inEvacuatedZone, "its zone is evacuated by an operator"},
		{m.announcement.Draining, "asks to leave"},
		{m.phase == view.Joining, "has not adopted a view yet"},
		{m.addressReassigned, "its address was taken by another backend server"},
		{m.leaseExpired(now, &r.options), "lease ended"},
		{!m.announcement.Healthy, "its agent finds it failing"},
		{m.isHeldDown(now, &r.options), "held down for flapping"},
	}
	var out []string
	for _, reason := range all {
		if reason.applies {
			out = append(out, reason.text)
		}
	}
	return out
}

// Loads returns the number of flows of the members of a service with unexpired
// leases. If the service has more than limit members, it considers only limit of
// them, adjacent to nearID in the view's order.
func (r *Registry) Loads(now time.Duration, id view.ServiceID, nearID string, limit int) []view.Load {
	v := r.View(id)
	if v == nil {
		return nil
	}
	s, n := r.services[id], len(v.Members)
	start := max(0, v.IndexOf(nearID)-limit/2)
	out := make([]view.Load, 0, min(n, limit))
	for i := range min(n, limit) {
		key := v.Members[(start+i)%n].ID
		if m := s.members[key]; m != nil && !m.leaseExpired(now, &r.options) {
			out = append(out, view.Load{Seed: view.SeedOf(key), Flows: m.announcement.Flows})
		}
	}
	return out
}
