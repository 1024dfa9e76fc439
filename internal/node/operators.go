package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/fx"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/membership"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/fleetstore"
	"fulmarmount.org/fulmarmount/internal/group"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/role/control"
)

var (
	namespace = errorx.NewNamespace("node")

	// errInitial is the type for initial configurations that are refused.
	errInitial = namespace.NewType("initial")
)

// openState opens the replicated state of a control process: a replica in the
// data folder, or without one a state in memory that ends with the process.
func openState(o *Options) error {
	machine := fleetstore.NewStateMachine()
	if o.Settings.DataDir == "" {
		o.Store = fleetstore.NewStore(fleetstore.NewLocalLog(machine), machine)
		return nil
	}
	var peers []group.Peer
	for _, p := range o.Settings.Control.Peers {
		peers = append(peers, group.Peer{Name: p.Name, Addr: p.Addr})
	}
	o.pool = peer.NewPool(o.clientTLS(keys.Control))
	o.pool.SetSilence(o.Settings.Join.Silence)
	var err error
	o.Group, err = group.Open(group.Options{
		Name:         o.Settings.Name,
		Addr:         o.Settings.Control.Listen,
		ClusterName:  o.Settings.Control.Cluster,
		Peers:        peers,
		Seeds:        o.joins(),
		Membership:   membership.Options{TargetVoters: voters(o.Settings.Control.Tolerate)},
		TickInterval: o.Settings.Control.Tick,
		Dir:          group.StoreDir(o.Settings.DataDir),
		StateMachine: machine,
		Pool:         o.pool,
		Now:          o.Now,
		Log:          o.Log.Named("replica"),
	})
	if err != nil {
		return err
	}
	o.Store = fleetstore.NewStore(o.Group, machine)
	return nil
}

// joins returns where a replica asks to be added; nil where operators add it.
func (o *Options) joins() func() []netip.AddrPort {
	if !o.Settings.Control.Join {
		return nil
	}
	return o.Seeds.Get
}

// voters returns the number of voters that survive the loss of some of them.
func voters(tolerate int) int {
	if tolerate == 0 {
		return 0
	}
	return 2*tolerate + 1
}

// replicatedControl is the control role of a member of a control group.
type replicatedControl struct {
	*control.Control
	options Options
}

// replicatedDump is the state of the role and of its replica.
type replicatedDump struct {
	Control any        `json:"control"`
	Replica group.Dump `json:"replica"`
}

// Dump implements dumpable.
func (c replicatedControl) Dump() any {
	return replicatedDump{Control: c.Control.Dump(), Replica: c.options.Group.Dump()}
}

// Stop hands leadership on before it stops serving the other replicas.
func (c replicatedControl) Stop(ctx context.Context) error {
	err := c.options.Group.Stop(ctx)
	defer c.options.pool.Close()
	return errorx.DecorateMany("control does not stop", err, c.Control.Stop(ctx))
}

// putInForce applies the initial configuration to a state without versions.
func putInForce(o Options) error {
	result, err := o.Store.Propose(context.Background(), fleet.Command{
		Kind: fleet.KindApply, Author: o.Settings.Name, ProposedAt: o.Now(), Comment: "initial", Document: o.Initial,
	})
	if err != nil {
		return err
	}
	if result.Outcome == fleet.OutcomeInvalid {
		return errInitial.New("initial configuration: %s", result.Problems[0])
	}
	return nil
}

// registerAdmin serves operators where the settings ask for it. The ports are
// read once every role has started.
func registerAdmin(lc fx.Lifecycle, o Options, d *Dumper, s *Succession, spread *admin.Spread) {
	if o.Settings.Admin.Socket == "" && !o.Settings.Admin.Remote.IsValid() {
		return
	}
	var server *admin.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			server, err = admin.Start(adminOptions(o, d, *spread))
			if err == nil {
				// A successor opens the same socket.
				s.onLeave(func() { releaseAdmin(server) })
			}
			return err
		},
		OnStop: func(ctx context.Context) error { return server.Stop(ctx) },
	})
}

// releaseLimit bounds how long a successor waits for the operators' requests in
// flight; what is left then is finished by the predecessor's stop.
const releaseLimit = time.Second

// releaseAdmin closes the operators' sockets for a successor.
func releaseAdmin(server *admin.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	_ = server.Stop(ctx)
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
	if o.Group != nil {
		options.Replicas = o.Group
	}
	return options
}
