package attempt

import (
	"github.com/cespare/xxhash/v2"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// replicaSelector selects the primary and the backup of a key under one view.
type replicaSelector struct {
	view *view.View
	// outsideZone maps an availability zone to the view of the members outside it.
	outsideZone map[string]*view.View
}

func newReplicaSelector(v *view.View) *replicaSelector {
	r := &replicaSelector{view: v, outsideZone: make(map[string]*view.View)}
	for i := range v.Members {
		zone := v.Members[i].Zone
		if r.outsideZone[zone] == nil {
			r.outsideZone[zone] = subset(v, func(b *view.BackendServer) bool { return b.Zone != zone })
		}
	}
	return r
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

// Primary returns the agent that grants key under v. It reports false if no
// member accepts new work.
func Primary(key string, v *view.View) (Target, bool) {
	return pickAgent(key, v)
}

func pickAgent(key string, v *view.View) (Target, bool) {
	i := placement.Pick(xxhash.Sum64String(key), v)
	if i == placement.None {
		return Target{}, false
	}
	return Target{Server: v.Members[i].ID, Incarnation: v.Members[i].Incarnation}, true
}

// replicas returns the primary and the backup of key. The backup is in another
// availability zone if there is one, else at another backend server, else zero.
func (r *replicaSelector) replicas(key string) (replicaPair, bool) {
	primary, ok := pickAgent(key, r.view)
	if !ok {
		return replicaPair{}, false
	}
	zone := r.view.Members[r.view.IndexOf(primary.Server)].Zone
	backup, ok := pickAgent(key, r.outsideZone[zone])
	if !ok {
		rest := subset(r.view, func(b *view.BackendServer) bool { return b.ID != primary.Server })
		backup, _ = pickAgent(key, rest)
	}
	return replicaPair{primary: primary, backup: backup}, true
}
