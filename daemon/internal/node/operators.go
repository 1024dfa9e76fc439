package node

import (
	"context"

	"github.com/joomcode/errorx"
	"go.uber.org/fx"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/daemon/internal/admin"
	"fulmarmount.org/daemon/internal/fleetstore"
)

var (
	namespace = errorx.NewNamespace("node")

	// errInitial is the type for initial configurations that are refused.
	errInitial = namespace.NewType("initial")
)

// newStore returns the state of a process that is its own whole control group.
func newStore() *fleetstore.Store {
	machine := fleetstore.NewMachine()
	return fleetstore.NewStore(fleetstore.NewLocal(machine), machine)
}

// putInForce applies the initial configuration to a state without versions.
func putInForce(o Options) error {
	result, err := o.Store.Propose(context.Background(), fleet.Command{
		Kind: fleet.KindApply, Author: o.Settings.Name, At: o.Now(), Comment: "initial", Document: o.Initial,
	})
	if err != nil {
		return err
	}
	if result.Outcome == fleet.Invalid {
		return errInitial.New("initial configuration: %s", result.Problems[0])
	}
	return nil
}

// registerAdmin serves operators where the settings ask for it. The ports are
// read once every role has started.
func registerAdmin(lc fx.Lifecycle, o Options, d *Dumper, spread *admin.Spread) {
	if o.Settings.Admin.Socket == "" && !o.Settings.Admin.Remote.IsValid() {
		return
	}
	var server *admin.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			server, err = admin.Start(adminOptions(o, d, *spread))
			return err
		},
		OnStop: func(ctx context.Context) error { return server.Stop(ctx) },
	})
}

func adminOptions(o Options, d *Dumper, spread admin.Spread) admin.Options {
	options := admin.Options{
		Name:     o.Settings.Name,
		Socket:   o.Settings.Admin.Socket,
		Identity: o.Identity,
		Spread:   spread,
		Dumper:   d,
		Now:      o.Now,
		Log:      o.Log.Named("admin"),
	}
	if o.Settings.Admin.Remote.IsValid() {
		options.Remote = o.Settings.Admin.Remote.String()
	}
	if o.Store != nil {
		options.Store = o.Store
	}
	return options
}
