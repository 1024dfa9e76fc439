package lease

import (
	"net/netip"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// seats are the addresses of agents that the fleet's durable state knows. A view
// is whole once every one of them was heard.
type seats struct {
	known map[netip.AddrPort]bool
	// awaited are those that were not heard in this epoch.
	awaited map[netip.AddrPort]bool
}

// SetRegisteredAgents puts the seats of the durable state in force. Members of authoritative
// backend servers join views only when they have one, so that the next leader
// knows of all members. Without SetRegisteredAgents every member has one.
func (r *Registry) SetRegisteredAgents(addrs []netip.AddrPort) {
	heard := make(map[netip.AddrPort]bool, len(r.members))
	for _, m := range r.members {
		heard[m.announcement.Packets] = true
	}
	next := &seats{known: make(map[netip.AddrPort]bool, len(addrs)), awaited: make(map[netip.AddrPort]bool)}
	for _, addr := range addrs {
		next.known[addr] = true
		if !heard[addr] && (r.seats == nil || r.seats.awaited[addr]) {
			next.awaited[addr] = true
		}
	}
	r.seats = next
	r.touch()
}

// UnregisteredAgents returns the addresses of members that have no seat.
func (r *Registry) UnregisteredAgents() []netip.AddrPort {
	if r.seats == nil {
		return nil
	}
	var out []netip.AddrPort
	for _, m := range r.members {
		if !r.seated(m) && m.phase != view.Gone && !m.announcement.BackendDown {
			out = append(out, m.announcement.Packets)
		}
	}
	return out
}

// vacantAfter is how long a member is gone before its seat is given up.
const vacantAfter = 10 * time.Second

// StaleRegistrations returns the seats that hold no flows any more: their backend servers
// have ended or are gone for long, or nobody has announced itself in time.
func (r *Registry) StaleRegistrations(now time.Duration) []netip.AddrPort {
	if r.seats == nil {
		return nil
	}
	held := make(map[netip.AddrPort]bool, len(r.members))
	for _, m := range r.members {
		addr := m.announcement.Packets
		held[addr] = held[addr] || r.holdsFlows(now, m)
	}
	var out []netip.AddrPort
	for addr := range r.seats.known {
		holds, heard := held[addr]
		if !holds && (heard || now >= r.partial) {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return out
}

// holdsFlows reports whether callers may still have flows at a member.
func (r *Registry) holdsFlows(now time.Duration, m *member) bool {
	return !m.announcement.BackendDown && (m.phase != view.Gone || now-m.since < vacantAfter)
}

func (r *Registry) seated(m *member) bool {
	return r.seats == nil || !m.announcement.BackendTracksFlows || r.seats.known[m.announcement.Packets]
}

// arrived notes that the agent at an address was heard.
func (r *Registry) arrived(addr netip.AddrPort) {
	if r.seats == nil || !r.seats.awaited[addr] {
		return
	}
	delete(r.seats.awaited, addr)
	if len(r.seats.awaited) == 0 {
		r.touch()
	}
}

// allHeard reports whether every seat is known to have been heard.
func (r *Registry) allHeard() bool { return r.seats != nil && len(r.seats.awaited) == 0 }

// mostHeard reports whether at least three of four seats were heard.
func (r *Registry) mostHeard() bool {
	return r.seats != nil && 4*len(r.seats.awaited) <= len(r.seats.known)
}

// authoritative reports whether a service has members and all of them know their
// flows, so that a view without others ends none.
func (s *service) authoritative() bool {
	for _, m := range s.members {
		if !m.announcement.BackendTracksFlows {
			return false
		}
	}
	return len(s.members) > 0
}

// lacking reports whether views may lack members that exist.
func (r *Registry) lacking(now time.Duration) bool {
	return now < r.partial && !r.allHeard()
}
