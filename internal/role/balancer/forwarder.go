package balancer

import (
	"context"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/proto"
)

const (
	// historyWindow is how long after a change of a view the placements of
	// earlier ones are named to agents.
	historyWindow = 30 * time.Second
	// historyInterval is how often ended windows are looked for.
	historyInterval = time.Second
)

// forwarder decides about datagrams. It keeps the decisions' clock and numbers
// the sets of service addresses in the order of their adoption.
type forwarder struct {
	*flow.Balancer
	now      func() time.Time
	started  time.Time
	bindings view.Version
	ids      map[view.ServiceID]bool // of the services in force
}

func newForwarder(now func() time.Time) forwarder {
	return forwarder{Balancer: flow.NewBalancer(historyWindow), now: now, started: now()}
}

// adopt puts the addresses of all services and new views in force. Only the
// subscription's goroutine calls it.
func (f *forwarder) adopt(services []proto.Service, views []*view.View) {
	f.bindings.Number++
	var bindings []flow.Binding
	ids := make(map[view.ServiceID]bool, len(services))
	for _, s := range services {
		ids[s.ID] = true
		for _, addr := range s.Addresses {
			bindings = append(bindings, flow.Binding{Address: addr, Service: s.ID})
		}
	}
	f.SetBindings(f.bindings, bindings)
	f.setViews(views)
	f.RetainServices(func(id view.ServiceID) bool { return ids[id] || !f.ids[id] })
	f.ids = ids
}

// setViews puts new views in force.
func (f *forwarder) setViews(views []*view.View) {
	for _, v := range views {
		f.SetView(f.now().Sub(f.started), v)
	}
}

// run ends the windows of earlier views until ctx ends.
func (f *forwarder) run(ctx context.Context) {
	pace.Every(ctx, historyInterval, func() { f.ExpireEarlierViews(f.now().Sub(f.started)) })
}
