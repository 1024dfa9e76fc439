package node

import (
	"context"
	"math/rand/v2"

	"go.uber.org/fx"

	"fulmarmount.org/fulmarmount/internal/adapter"
	"fulmarmount.org/fulmarmount/internal/fleetstore"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/segment"
	"fulmarmount.org/fulmarmount/internal/settings"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// readiness is a role that tells when callers may be sent to it.
type readiness interface{ Ready() bool }

// segmentOptions returns the options that both roles of mode segment share. An
// error of type errNoPlatform says that nothing here can read the packets.
func (o Options) segmentOptions(name string) (segment.CommonOptions, error) {
	if o.Platform == nil {
		return segment.CommonOptions{}, errNoPlatform.New("section [segments] needs a platform's adapter")
	}
	s, join := o.Settings.Segments, o.Settings.Join
	return segment.CommonOptions{
		Name: o.Settings.Name, Zone: o.Settings.Zone, ControlAddrs: o.Seeds.Get,
		Retry:                 subscribe.Retry{First: join.Retry, Max: join.RetryMax, Dial: join.Dial},
		ControlSilenceTimeout: join.Silence,
		EnvelopeAddr:          s.Packets, ReturnPort: s.Callers.Port(),
		TLSConfig: o.clientTLS(keys.Control), KeyRing: ring{Ring: o.Ring, now: o.Now}, SessionID: rand.Uint64(),
		Codec: o.Platform.Codec(), Now: o.Now, Log: o.Log.Named(name),
	}, nil
}

// errNoPlatform is the type for settings of mode segment in a program without an
// adapter to read the packets.
var errNoPlatform = namespace.NewType("no_platform")

func startSegmentBalancer(o Options) (role, error) {
	common, err := o.segmentOptions("balancer")
	if err != nil {
		return nil, err
	}
	return segment.StartBalancer(segment.BalancerOptions{
		CommonOptions: common, CallerAddr: o.Settings.Segments.Callers, ShutdownDelay: o.Settings.Segments.LeaveTime,
	})
}

func startSegmentAgent(o Options) (role, error) {
	common, err := o.segmentOptions("agent")
	if err != nil {
		return nil, err
	}
	s := o.Settings.Segments
	return segment.StartAgent(segment.AgentOptions{
		CommonOptions: common, ProcessStart: o.ProcessStart, Service: s.Service, BackendAddr: s.Backend, OutboundAddr: s.Outbound,
		BackendSilenceTimeout: s.Patience, IdleTimeout: s.IdleTimeout, ColdLimit: o.Settings.Warmup.LeastLimit(),
	})
}

// registerAdapter serves the platform's interfaces for the roles in running.
// They stop after the roles, so that a role that is leaving still says so.
func registerAdapter(lc fx.Lifecycle, o Options, running *[]role) {
	if o.Platform == nil || !o.Settings.Adapter.Enabled() {
		return
	}
	var server adapter.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			server, err = o.Platform.Start(adapterOptions(o, running))
			return err
		},
		OnStop: func(ctx context.Context) error { return server.Stop(ctx) },
	})
}

func adapterOptions(o Options, running *[]role) adapter.Options {
	options := adapter.Options{
		Readiness: o.Settings.Adapter.Readiness, Operators: o.Settings.Adapter.Operators,
		Ready:           func() bool { return allReady(*running) },
		WarmupOvershoot: o.Settings.Warmup.Factor, WarmupSlack: o.Settings.Warmup.Extra, WarmupZeroIsUnlimited: o.Settings.Warmup.ZeroIsUnlimited,
		Log: o.Log.Named("platform"),
	}
	for _, r := range *running {
		if agent, ok := r.(*segment.Agent); ok {
			options.Backend = agent
		}
	}
	if o.Settings.Has(settings.RoleControl) {
		options.Imports = fleetstore.NewImportStore(o.Store, o.Now)
		options.Evacuations = fleetstore.NewEvacuationStore(o.Store, o.Settings.Name, o.Now)
		options.Zones = o.Zones.Get
	}
	return options
}

func allReady(running []role) bool {
	for _, r := range running {
		if one, ok := r.(readiness); ok && !one.Ready() {
			return false
		}
	}
	return true
}
