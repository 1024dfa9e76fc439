package segment

import (
	"context"

	"go.uber.org/zap"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/announce"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// serialBits is the room for the announcements of one report.
const serialBits = 24

// Heard takes what the backend server says of itself. An error of type
// BadAnnouncement names no backend server to use; one of type Stale is from a
// run that has ended.
func (a *Agent) Heard(i Instance) error {
	if i.Address != a.options.Backend {
		return BadAnnouncement.New("backend server %q is at %s, not beside this agent at %s", i.ID, i.Address, a.options.Backend)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.instance
	switch {
	case i.Run < known.Run:
		return Stale.New("run %d of %q is older than run %d of %q", i.Run, i.ID, known.Run, known.ID)
	case i.Run == known.Run && i.Sequence < known.Sequence:
		return Stale.New("report %d of %q is older than report %d", i.Sequence, i.ID, known.Sequence)
	}
	if i.Run > known.Run {
		a.begin(i)
	}
	standing := routing.BackendServing
	if i.Draining {
		standing = routing.BackendDraining
	}
	changed := i.Run != known.Run || i.Draining != known.Draining || i.Slots != known.Slots
	a.instance, a.serial = i, 0
	a.host.SetState(standing)
	a.reports.Add(1)
	if changed {
		a.options.Log.Info("Backend server's standing changed.", zap.String("id", i.ID), zap.String("service", i.Service),
			zap.Uint64("run", i.Run), zap.Stringer("standing", standing), zap.Duration("warming", i.Warming))
		a.kick()
	}
	return nil
}

// begin notes a new run of the backend server. The caller holds the lock.
func (a *Agent) begin(i Instance) {
	first := a.instance.Run == 0 && i.Sequence > 1
	a.host.StartIncarnation(view.Incarnation(i.Run), first)
	if i.Service != a.options.Service {
		a.options.Log.Warn("Backend server serves another service.", zap.String("service", i.Service), zap.String("before", a.options.Service))
		a.options.Service, a.service = i.Service, 0
		a.host.ClearService()
		a.subscribe(i.Service)
	}
}

// Goodbye notes that a backend server has left.
func (a *Agent) Goodbye(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id != a.instance.ID {
		a.options.Log.Info("Ignored the goodbye of another backend server.", zap.String("id", id))
		return
	}
	a.host.SetState(routing.BackendDeregistered)
	a.options.Log.Info("Backend server's standing changed.", zap.String("id", id), zap.Stringer("standing", routing.BackendDeregistered))
	a.kick()
}

// subscribe follows the configuration of a service in place of the one before.
func (a *Agent) subscribe(service string) {
	if a.follow != nil {
		a.follow()
	}
	ctx, cancel := context.WithCancel(a.ctx)
	a.follow = cancel
	adopt := func(u proto.Update) {
		if ctx.Err() == nil {
			a.adopt(u)
		}
	}
	a.tasks.Go(func() {
		subscribe.Run(ctx, subscribe.Options{
			Name: a.options.Name, Keys: []string{proto.ServiceKey(service)}, Control: a.options.Control,
			Retry: a.options.Retry, Pool: a.pool, Adopt: adopt, Now: a.options.Now, Log: a.options.Log,
		})
	})
}

// announce renews the lease until ctx ends.
func (a *Agent) announce(ctx context.Context) {
	announce.Run(ctx, announce.Options{
		Name: a.options.Name, Control: a.options.Control, Pool: a.pool, Retry: a.options.Retry,
		Next: a.announcement, Changed: a.changed, Log: a.options.Log,
	})
}

// announcement returns what to tell control; false before the backend server was
// heard. Its run and reports number the announcements, so that they grow across
// restarts of the agent.
func (a *Agent) announcement() (view.Announcement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.instance.Run == 0 {
		return view.Announcement{}, false
	}
	a.serial++
	load := a.host.Load()
	ended := a.host.IsDown()
	return view.Announcement{
		Service: a.instance.Service, ID: a.instance.ID, Zone: a.options.Zone,
		Incarnation: view.Incarnation(a.instance.Run), Packets: a.conn.Addr(), Requests: a.conn.Addr(),
		Slots: a.instance.Slots, Draining: a.instance.Draining || ended, Healthy: !ended,
		Sequence: a.instance.Sequence<<serialBits + a.serial, Load: load.RunningRequests, Flows: load.Flows, BackendTracksFlows: true, BackendDown: ended,
	}, true
}
