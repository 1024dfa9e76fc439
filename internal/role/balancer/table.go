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

// table holds the active services with their addresses and views.
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

// adopt activates an update.
func (t *table) adopt(u proto.Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range u.Removed {
		t.removeService(name)
	}
	for _, s := range u.Services {
		if old, ok := t.services[s.Name]; ok && old.ID != s.ID {
			t.removeService(s.Name)
		} else {
			t.removeAddresses(old)
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

// activeServices returns the active services.
func (t *table) activeServices() []proto.Service {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Collect(maps.Values(t.services))
}

func (t *table) removeService(name string) {
	s, ok := t.services[name]
	if !ok {
		return
	}
	t.removeAddresses(s)
	delete(t.views, s.ID)
	delete(t.services, name)
}

// removeAddresses deletes the addresses that still map to a service.
func (t *table) removeAddresses(s proto.Service) {
	for _, addr := range s.Addresses {
		if t.addresses[addr] == s.ID {
			delete(t.addresses, addr)
		}
	}
}

// selectBackendServer returns the backend server that a flow is placed on.
func (t *table) selectBackendServer(tuple flow.Tuple) (target, bool) {
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
	return target{service: id, version: v.Version, backendServer: &v.Members[i]}, true
}

// serviceAt returns the service at an address.
func (t *table) serviceAt(addr netip.AddrPort) (view.ServiceID, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	id, ok := t.addresses[addr]
	return id, ok
}

// backendServerCount returns the number of backend servers in a service's view.
func (t *table) backendServerCount(id view.ServiceID) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if v := t.views[id]; v != nil {
		return len(v.Members)
	}
	return 0
}

// activeViews returns the active view of each service.
func (t *table) activeViews() []*view.View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Collect(maps.Values(t.views))
}

// availableCount returns the number of backend servers in a service's view that
// accept new flows.
func (t *table) availableCount(id view.ServiceID) int {
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
