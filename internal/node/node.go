// Package node assembles one process from its settings: the roles it holds,
// their keys, logs and metrics, started and stopped by fx.
package node

import (
	"context"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/adapter"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/fleetstore"
	"fulmarmount.org/fulmarmount/internal/group"
	"fulmarmount.org/fulmarmount/internal/handover"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/settings"
)

// Options are what a process is made of besides its settings.
type Options struct {
	Settings *settings.Process
	// Identity is the process's certificate and the authority it trusts.
	Identity *keys.Identity
	// Ring holds the packet keys.
	Ring *keys.Ring
	// Spray is the number of balancers on this host that share the service
	// addresses packet by packet; 0 where the fabric does that.
	Spray int
	// Inherited is what a predecessor on the same VM has handed over.
	Inherited handover.Bundle
	// Store is the replicated state that the control role publishes; nil in
	// processes without that role.
	Store *fleetstore.Store
	// Group is the control group that the process is a member of; nil where
	// its state is in memory.
	Group *group.Group
	// Initial is put in force by a control role that starts without state;
	// nil for none.
	Initial *fleet.Document
	// Platform speaks the protocols of the platform; nil for none.
	Platform adapter.Platform
	// Seeds are the control processes that the settings name.
	Seeds *Seeds
	// Zones are the availability zones that the settings name; empty for any.
	Zones *Zones
	// Ready is called once every role has started; nil where nobody waits.
	Ready func()
	// ProcessStart is when the process started, as Now tells it; zero where several
	// processes are simulated in one. Every earlier process of its roles had ended then.
	ProcessStart time.Time
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger

	pool *peer.Pool // to other control processes
}

// Load reads the keys that the settings name, or makes keys for this process
// alone where they name none.
func Load(p *settings.Process, now func() time.Time, log *zap.Logger) (Options, error) {
	o := Options{Settings: p, Seeds: NewSeeds(p.Join.Control), Zones: NewZones(p.Adapter.Zones), Now: now, Log: log}
	if !p.TLS.Enabled() {
		return ephemeral(o)
	}
	var err error
	if o.Identity, err = keys.Load(p.TLS.CA, p.TLS.Cert, p.TLS.Key); err != nil {
		return o, err
	}
	o.Ring, err = keys.LoadRing(p.TLS.PacketKeys)
	return o, err
}

func ephemeral(o Options) (Options, error) {
	set, err := keys.Ephemeral(o.Now())
	if err != nil {
		return o, err
	}
	o.Ring = set.Ring
	o.Identity, err = set.Identity(o.Settings.Name, o.Now())
	return o, err
}

// New returns the process, not yet started.
func New(o Options, d *Dumper, s *Succession) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger {
			return &fxevent.ZapLogger{Logger: o.Log.Named("fx").WithOptions(zap.IncreaseLevel(zap.WarnLevel))}
		}),
		fx.StopTimeout(o.Settings.StopTimeout+CloseTime),
		fx.Supply(o, d, s),
		fx.Invoke(registerRoles),
	)
}

// registerRoles starts the roles in an order in which each finds what it
// connects to, and stops them in the opposite one.
func registerRoles(lc fx.Lifecycle, o Options, d *Dumper, s *Succession) error {
	var spread admin.Spread
	var running []role
	started := func(r role, err error) (role, error) {
		if err == nil {
			running = append(running, r)
		}
		return r, err
	}
	serveSuccessors := registerHandover(lc, o, s)
	registerMetrics(lc, o)
	if o.Settings.Has(settings.RoleControl) {
		if err := openState(&o); err != nil {
			return err
		}
		register(lc, d, s, settings.RoleControl, func() (role, error) {
			c, err := startControl(o)
			if err == nil {
				spread = c.(admin.Spread)
			}
			return started(c, err)
		})
	}
	if o.Settings.Has(settings.RoleAgent) && o.Settings.Segments != nil {
		register(lc, d, s, settings.RoleAgent, func() (role, error) { return started(startSegmentAgent(o)) })
	}
	if o.Settings.Has(settings.RoleAgent) {
		for _, a := range o.Settings.Agents {
			register(lc, d, s, settings.RoleAgent, func() (role, error) { return startAgent(o, a) })
		}
	}
	if o.Settings.Has(settings.RoleBalancer) {
		start := startBalancer
		if o.Settings.Segments != nil {
			start = startSegmentBalancer
		}
		register(lc, d, s, settings.RoleBalancer, func() (role, error) { return started(start(o)) })
	}
	registerAdapter(lc, o, &running)
	registerAdmin(lc, o, d, s, &spread)
	serveSuccessors()
	return nil
}

// role is a running role.
type role interface {
	dumpable
	// Stop ends the role. Work in flight is finished first, until ctx ends.
	Stop(ctx context.Context) error
}

// CloseTime is how much longer than its graceful limit a stop may take: the time
// to close what is left once the limit has passed.
const CloseTime = 5 * time.Second

// stopRole stops a role so that CloseTime is left of ctx when its graceful part
// ends; otherwise the roles after it would not be stopped at all.
func stopRole(ctx context.Context, r role) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return r.Stop(ctx)
	}
	graceful, cancel := context.WithDeadline(ctx, deadline.Add(-CloseTime))
	defer cancel()
	return r.Stop(graceful)
}

func register(lc fx.Lifecycle, d *Dumper, s *Succession, name settings.Role, start func() (role, error)) {
	var running role
	lc.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			running, err = start()
			if err == nil {
				d.add(string(name), running)
				s.add(running)
			}
			return err
		},
		OnStop: func(ctx context.Context) error { return stopRole(ctx, running) },
	})
}
