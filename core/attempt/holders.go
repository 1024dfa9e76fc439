package attempt

import (
	"github.com/cespare/xxhash/v2"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// holders finds the two holders of a key under one view.
type holders struct {
	view *view.View
	// others holds, by availability zone, the members outside it.
	others map[string]*view.View
}

func newHolders(v *view.View) *holders {
	h := &holders{view: v, others: make(map[string]*view.View)}
	for i := range v.Members {
		zone := v.Members[i].Zone
		if h.others[zone] == nil {
			h.others[zone] = subset(v, func(b *view.BackendServer) bool { return b.Zone != zone })
		}
	}
	return h
}

func subset(v *view.View, keep func(*view.BackendServer) bool) *view.View {
	var members []view.BackendServer
	for i := range v.Members {
		if keep(&v.Members[i]) {
			members = append(members, v.Members[i])
		}
	}
	return view.New(v.Service, v.Version, members)
}

// Primary returns the agent that decides on key under v. It reports false if no
// member takes new work.
func Primary(key string, v *view.View) (Target, bool) {
	return pick(key, v)
}

func pick(key string, v *view.View) (Target, bool) {
	i := placement.Pick(xxhash.Sum64String(key), v)
	if i == placement.None {
		return Target{}, false
	}
	return Target{Server: v.Members[i].ID, Incarnation: v.Members[i].Incarnation}, true
}

// pair returns the home of key and a second holder: in another availability
// zone if there is one, else beside another backend server, else none.
func (h *holders) pair(key string) (pair, bool) {
	home, ok := pick(key, h.view)
	if !ok {
		return pair{}, false
	}
	zone := h.view.Members[h.view.IndexOf(home.Server)].Zone
	second, ok := pick(key, h.others[zone])
	if !ok {
		rest := subset(h.view, func(b *view.BackendServer) bool { return b.ID != home.Server })
		second, _ = pick(key, rest)
	}
	return pair{home: home, second: second}, true
}
