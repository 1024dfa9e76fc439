package lease

import (
	"net/netip"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// registeredAgents holds the packet addresses of the agents in the fleet's durable
// state. Views are complete once all of them have announced themselves.
type registeredAgents struct {
	addrs map[netip.AddrPort]bool
	// unannounced holds the agents without an announcement in this epoch.
	unannounced map[netip.AddrPort]bool
}

// SetRegisteredAgents sets the packet addresses of the agents that are registered
// in the durable state. A member with an authoritative backend server gets flows
// only after its agent is registered, so that the next leader knows of every member
// that may own flows. Until SetRegisteredAgents is called, every agent counts as
// registered.
func (r *Registry) SetRegisteredAgents(addrs []netip.AddrPort) {
	announced := make(map[netip.AddrPort]bool, len(r.members))
	for _, m := range r.members {
		announced[m.announcement.Packets] = true
	}
	registered := &registeredAgents{addrs: make(map[netip.AddrPort]bool, len(addrs)), unannounced: make(map[netip.AddrPort]bool)}
	for _, addr := range addrs {
		registered.addrs[addr] = true
		if !announced[addr] && (r.registered == nil || r.registered.unannounced[addr]) {
			registered.unannounced[addr] = true
		}
	}
	r.registered = registered
	r.markAllDirty()
}

// UnregisteredAgents returns the packet addresses of members whose agents are not
// registered.
func (r *Registry) UnregisteredAgents() []netip.AddrPort {
	if r.registered == nil {
		return nil
	}
	var out []netip.AddrPort
	for _, m := range r.members {
		if !r.isRegistered(m) && m.phase != view.Gone && !m.announcement.BackendDown {
			out = append(out, m.announcement.Packets)
		}
	}
	return out
}

// registrationGracePeriod is how long a member is in phase gone before its
// registration becomes stale.
const registrationGracePeriod = 10 * time.Second

// StaleRegistrations returns the registered addresses whose agents own no flows any
// more: their backend servers have ended or have been in phase gone for
// registrationGracePeriod, or no agent has announced itself before the end of the
// partial period.
func (r *Registry) StaleRegistrations(now time.Duration) []netip.AddrPort {
	if r.registered == nil {
		return nil
	}
	mayOwnFlows := make(map[netip.AddrPort]bool, len(r.members))
	for _, m := range r.members {
		addr := m.announcement.Packets
		mayOwnFlows[addr] = mayOwnFlows[addr] || r.mayOwnFlows(now, m)
	}
	var out []netip.AddrPort
	for addr := range r.registered.addrs {
		hasFlows, announced := mayOwnFlows[addr]
		if !hasFlows && (announced || now >= r.partialUntil) {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return out
}

// mayOwnFlows reports whether a member may still own flows.
func (r *Registry) mayOwnFlows(now time.Duration, m *member) bool {
	return !m.announcement.BackendDown && (m.phase != view.Gone || now-m.phaseStart < registrationGracePeriod)
}

func (r *Registry) isRegistered(m *member) bool {
	return r.registered == nil || !m.announcement.BackendTracksFlows || r.registered.addrs[m.announcement.Packets]
}

// recordAnnounced records that the agent at addr has announced itself.
func (r *Registry) recordAnnounced(addr netip.AddrPort) {
	if r.registered == nil || !r.registered.unannounced[addr] {
		return
	}
	hadMost := r.mostAnnounced()
	delete(r.registered.unannounced, addr)
	if len(r.registered.unannounced) == 0 || !hadMost && r.mostAnnounced() {
		r.markAllDirty()
	}
}

// allAnnounced reports whether the registered agents are set and all of them have
// announced themselves.
func (r *Registry) allAnnounced() bool {
	return r.registered != nil && len(r.registered.unannounced) == 0
}

// mostAnnounced reports whether at least three quarters of the registered agents
// have announced themselves.
func (r *Registry) mostAnnounced() bool {
	return r.registered != nil && 4*len(r.registered.unannounced) <= len(r.registered.addrs)
}

// isAuthoritative reports whether a service has members and all of their backend
// servers know their own flows. A view that lacks other members then ends no flows.
func (s *service) isAuthoritative() bool {
	for _, m := range s.members {
		if !m.announcement.BackendTracksFlows {
			return false
		}
	}
	return len(s.members) > 0
}

// viewsPartial reports whether views may lack members that have not announced
// themselves in this epoch and that own flows.
func (r *Registry) viewsPartial(now time.Duration) bool {
	return now < r.partialUntil && !r.allAnnounced() && !r.fleetRestarted()
}

// fleetRestarted reports whether every backend server has started anew, as far as most
// agents have announced themselves. It answers the load after a loss of power: the
// flows from before are lost with the backend servers, also those of agents that will
// not come back, and callers that learn it at once can open new ones.
func (r *Registry) fleetRestarted() bool { return r.mostAnnounced() && !r.hasSurvivors }
