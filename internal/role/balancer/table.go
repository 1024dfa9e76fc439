package balancer

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// table maps service addresses to services and their views.
type table struct {
	mu        sync.RWMutex
	services  map[string]proto.Service
	addresses map[netip.AddrPort]view.ServiceID
	views     map[view.ServiceID]*view.View
}

func newTable() table {
	return table{
		services:  make(map[string]proto.Service),
		addresses: make(map[netip.AddrPort]view.ServiceID),
		views:     make(map[view.ServiceID]*view.View),
	}
}

// adopt puts an update in force.
func (t *table) adopt(u proto.Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range u.Removed {
		t.remove(name)
	}
	for _, s := range u.Services {
		if old, ok := t.services[s.Name]; ok && old.ID != s.ID {
			t.remove(s.Name)
		} else {
			t.unmap(old)
		}
	}
	for _, s := range u.Services {
		t.services[s.Name] = s
		for _, addr := range s.Addresses {
			t.addresses[addr] = s.ID
		}
	}
	for _, v := range u.Views {
		if old := t.views[v.Service]; old == nil || v.Version.Newer(old.Version) {
			t.views[v.Service] = v
		}
	}
}

// serving returns the services in force.
func (t *table) serving() []proto.Service {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Collect(maps.Values(t.services))
}

func (t *table) remove(name string) {
	s, ok := t.services[name]
	if !ok {
		return
	}
	t.unmap(s)
	delete(t.views, s.ID)
	delete(t.services, name)
}

// unmap gives up the addresses of a service that are still its own.
func (t *table) unmap(s proto.Service) {
	for _, addr := range s.Addresses {
		if t.addresses[addr] == s.ID {
			delete(t.addresses, addr)
		}
	}
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

// service returns the service of an address.
func (t *table) service(addr netip.AddrPort) (view.ServiceID, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	id, ok := t.addresses[addr]
	return id, ok
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

// snapshot returns the views in force.
func (t *table) snapshot() []*view.View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Collect(maps.Values(t.views))
}

// available returns how many members of a service's view take new flows.
func (t *table) available(id view.ServiceID) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	if v := t.views[id]; v != nil {
		for i := range v.Members {
			if v.Members[i].AcceptsNewFlows() {
				n++
			}
		}
	}
	return n
}
