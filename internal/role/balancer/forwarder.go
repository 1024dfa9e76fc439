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
	// historyWindow is how long after a view change forwarded packets also name
	// the agents that earlier views placed the flow on.
	historyWindow = 30 * time.Second
	// expiryInterval is the interval at which earlier views are expired.
	expiryInterval = time.Second
)

// forwarder places datagrams on agents. It supplies the flow.Balancer with a
// monotonic clock and with a version for each set of service addresses.
type forwarder struct {
	*flow.Balancer
	now             func() time.Time
	started         time.Time
	bindingsVersion view.Version
	activeServices  map[view.ServiceID]bool
}

func newForwarder(now func() time.Time) forwarder {
	return forwarder{Balancer: flow.NewBalancer(historyWindow), now: now, started: now()}
}

// adopt activates the addresses of all services, and new views. Only the
// subscription's goroutine calls it.
func (f *forwarder) adopt(services []proto.Service, views []*view.View) {
	f.bindingsVersion.Number++
	var bindings []flow.Binding
	ids := make(map[view.ServiceID]bool, len(services))
	for _, s := range services {
		ids[s.ID] = true
		for _, addr := range s.Addresses {
			bindings = append(bindings, flow.Binding{Address: addr, Service: s.ID})
		}
	}
	f.SetBindings(f.bindingsVersion, bindings)
	f.setViews(views)
	f.RetainServices(func(id view.ServiceID) bool { return ids[id] || !f.activeServices[id] })
	f.activeServices = ids
}

// setViews activates new views.
func (f *forwarder) setViews(views []*view.View) {
	for _, v := range views {
		f.SetView(f.now().Sub(f.started), v)
	}
}

// expireViews drops earlier views whose history window has ended, until ctx is
// done.
func (f *forwarder) expireViews(ctx context.Context) {
	pace.Every(ctx, expiryInterval, func() { f.ExpireEarlierViews(f.now().Sub(f.started)) })
}
