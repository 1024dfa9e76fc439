package control

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/lease"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/phases"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// Dump is the state of a control process; most of it is known to the leader
// alone.
type Dump struct {
	Listen      netip.AddrPort     `json:"listen"`
	Version     view.Version       `json:"version"`
	Revision    uint64             `json:"revision"`
	Services    []proto.Service    `json:"services"`
	Evacuations []fleet.Evacuation `json:"evacuations,omitempty"`
	// BackendServers are the members of all services, with what keeps them from
	// new flows.
	BackendServers []lease.MemberStatus `json:"backend_servers"`
}

// Dump returns the state of the process.
func (c *Control) Dump() any {
	d := Dump{Listen: c.server.Addr()}
	if t := c.current(); t != nil {
		t.dump(&d)
	}
	return d
}

func (c *term) dump(d *Dump) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.Version, d.Revision, d.Evacuations = c.publisher.Position(), c.configuration.revision, c.configuration.evacuations
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		d.Services = append(d.Services, s)
		d.BackendServers = append(d.BackendServers, c.registry.MemberStatuses(c.elapsed(), s.ID)...)
	}
}

// Counters count the leases and views of a control process.
type Counters struct {
	Members       int    `json:"members"`
	Announcements uint64 `json:"announcements"`
	Replayed      uint64 `json:"replayed"`
	Invalid       uint64 `json:"invalid"`
	Lapses        uint64 `json:"lapses"`
	Spared        uint64 `json:"spared"`
	Views         uint64 `json:"views"`
	// EvacuatedSince has the evacuated zones and when an operator ordered it.
	EvacuatedSince map[string]time.Time `json:"evacuated_since,omitempty"`
	// Start tells when the phases of the process's start have ended, Term those of its
	// term as the leader.
	Start []phases.Phase `json:"start,omitempty"`
	Term  []phases.Phase `json:"term,omitempty"`
}

// Counters returns the counts since the process came to lead.
func (c *Control) Counters() any {
	if t := c.current(); t != nil {
		counters := t.counters()
		counters.Start = c.phases.Ended()
		return counters
	}
	return Counters{Start: c.phases.Ended()}
}

func (c *term) counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.registry.Stats()
	return Counters{
		Members: s.Members, Announcements: s.Announcements, Replayed: s.ReplayedAnnouncements, Invalid: s.InvalidAnnouncements,
		Lapses: s.ExpiredLeases, Spared: s.SkippedEjections, Views: s.PublishedViews, Term: c.phases.Ended(),
		EvacuatedSince: c.configuration.evacuatedSince(),
	}
}
