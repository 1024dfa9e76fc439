package balancer

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
	"fulmarmount.org/daemon/internal/proto"
)

// table maps service addresses to services and their views.
type table struct {
	mu        sync.RWMutex
	version   view.Version
	addresses map[netip.AddrPort]view.ServiceID
	views     map[view.ServiceID]*view.View
}

// adopt puts an update in force unless it is older than what is.
func (t *table) adopt(u proto.Update) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !u.Version.Newer(t.version) {
		return false
	}
	t.version = u.Version
	t.addresses = make(map[netip.AddrPort]view.ServiceID)
	for _, s := range u.Services {
		for _, addr := range s.Addresses {
			t.addresses[addr] = s.ID
		}
	}
	t.views = make(map[view.ServiceID]*view.View, len(u.Views))
	for _, v := range u.Views {
		t.views[v.Service] = v
	}
	return true
}

// pick chooses the agent of a flow.
func (t *table) pick(tuple flow.Tuple) (target, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	id, ok := t.addresses[tuple.Service]
	if !ok {
		return target{}, false
	}
	v := t.views[id]
	if v == nil {
		return target{}, false
	}
	i := placement.Pick(tuple.Key(), v)
	if i == placement.None {
		return target{}, false
	}
	return target{service: id, view: v.Version, member: &v.Members[i]}, true
}

// members returns the size of a service's view.
func (t *table) members(id view.ServiceID) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if v := t.views[id]; v != nil {
		return len(v.Members)
	}
	return 0
}

// snapshot returns the version and the views in force.
func (t *table) snapshot() (view.Version, []*view.View) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version, slices.Collect(maps.Values(t.views))
}

// available returns how many members of a service's view take new flows.
func (t *table) available(id view.ServiceID) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	if v := t.views[id]; v != nil {
		for i := range v.Members {
			if v.Members[i].TakesNew() {
				n++
			}
		}
	}
	return n
}
