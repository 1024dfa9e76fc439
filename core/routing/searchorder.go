package routing

import (
	"net/netip"
	"slices"

	"fulmarmount.org/core/view"
)

const (
	// maxServiceMembers is the number of members of one service that a search may probe.
	maxServiceMembers = 64
	// likelyOwners is the number of members of each service that are probed before the
	// others of any service: flows are placed on the first in rendezvous order.
	likelyOwners = maxPlacementCandidates + searchMargin
)

// servicesToSearch returns the services that may own a flow, the most likely first.
func (t *Table) servicesToSearch(key uint64, addr netip.AddrPort) []view.ServiceID {
	services := t.routes[addr].Services
	var out []view.ServiceID
	if selected, ok := selectService(key, services); ok {
		out = append(out, selected.Service)
	}
	add := func(id view.ServiceID) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for _, ws := range services {
		add(ws.Service)
	}
	return out
}

// searchOrder returns the members that may own the flow of key, the most likely first, and
// whether it leaves out some of a service with more than maxServiceMembers.
//
// It answers an address that has led to many services within the lifetime of a flow: a
// flow is found after a few probes of each, whichever service it is at.
func (t *Table) searchOrder(key uint64, addr netip.AddrPort) (order []*member, isTruncated bool) {
	var others []*member
	for _, service := range t.servicesToSearch(key, addr) {
		owners := possibleOwners(t.rankMembers(key, service))
		if len(owners) > maxServiceMembers {
			owners, isTruncated = owners[:maxServiceMembers], true
		}
		likely := min(len(owners), likelyOwners)
		order = append(order, owners[:likely]...)
		others = append(others, owners[likely:]...)
	}
	return append(order, others...), isTruncated
}
