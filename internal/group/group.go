// Package group makes a control process a member of its control group: it
// opens the durable store, founds or joins the cluster, runs the replica and
// serves operators' changes to the membership.
package group

import (
	"context"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/core/membership"
	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/replica"
	"fulmarmount.org/fulmarmount/internal/replicalink"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("group")

var (
	// Waiting says that the replica belongs to no cluster yet.
	Waiting = Errors.NewType("waiting", errorx.Temporary())
	// Refused refuses an operator's change.
	Refused = Errors.NewType("refused")
)

// Peer is a control replica that the settings name.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// Options configure a Group.
type Options struct {
	// Name is the VM's name.
	Name string
	// Addr is the address where other replicas reach this one.
	Addr netip.AddrPort
	// Cluster is the operators' name of the control group.
	Cluster string
	// Peers are the replicas of a new cluster, this one included. None, or
	// this one alone, makes a cluster of one replica.
	Peers []Peer
	// Seeds returns addresses of replicas that a replica without a cluster, or
	// one that was removed, asks to be added; nil where operators add replicas.
	Seeds func() []netip.AddrPort
	// Keep maintains the membership; the zero value promotes learners and
	// removes none.
	Keep membership.Options
	// Tick is the unit of the replica's time; 0 stands for the default.
	Tick time.Duration
	// Folder holds the durable state; empty keeps it in memory, for a replica
	// on its own.
	Folder  string
	Machine replica.StateMachine
	// Pool connects to other replicas; nil for a replica on its own.
	Pool *peer.Pool
	Now  func() time.Time
	Log  *zap.Logger

	open func(disk.Options) (store, error) // tests inject faults here
}

// Group is the membership of this process in its control group. It is safe for
// concurrent use.
type Group struct {
	options Options
	store   store
	self    quorum.Member
	link    *replicalink.Link
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	node    *replica.Node
	started chan struct{} // closed once node is set
	failed  error         // why the node could not start
}

// store is a replica.Store that is closed at the end.
type store interface {
	replica.Store
	Close() error
}

// memory is a store without files.
type memory struct{ *disk.Memory }

// Close implements store.
func (memory) Close() error { return nil }

// Open opens the store and starts the replica, once it belongs to a cluster.
func Open(o Options) (*Group, error) {
	if o.open == nil {
		o.open = openStore
	}
	s, err := o.open(disk.Options{Folder: o.Folder})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		options: o, store: s, cancel: cancel, started: make(chan struct{}),
		self: quorum.Member{ID: s.Replica(), Name: o.Name, Address: o.Addr.String()},
	}
	g.link = replicalink.New(replicalink.Options{
		Self: g.self, Pool: o.Pool, Receive: g.receive, Identity: g.identity, Admit: g.admit, Now: o.Now, Log: o.Log,
	})
	switch {
	case replica.IsEmpty(s) && len(o.Peers) > 1:
		o.Log.Info("Replica belongs to no cluster yet.", zap.Stringer("replica", g.self.ID))
		g.running.Go(func() { g.found(ctx) })
	case replica.IsEmpty(s) && len(o.Peers) == 0 && o.Seeds != nil:
		o.Log.Info("Replica waits to be added to a cluster.", zap.Stringer("replica", g.self.ID))
		err = g.start()
	default:
		err = g.startAlone()
	}
	if err != nil {
		cancel()
		_ = s.Close()
		return nil, err
	}
	g.running.Go(func() { g.watch(ctx) })
	g.running.Go(func() { g.keepMembers(ctx) })
	if o.Seeds != nil {
		g.running.Go(func() { g.joinCluster(ctx) })
	}
	return g, nil
}

func openStore(o disk.Options) (store, error) {
	if o.Folder == "" {
		m, err := disk.NewMemory()
		return memory{m}, err
	}
	return disk.Open(o)
}

// startAlone starts a replica that has a cluster or founds one of its own.
func (g *Group) startAlone() error {
	if replica.IsEmpty(g.store) {
		if err := replica.Bootstrap(g.store, clusterID(g.options.Cluster, g.self.ID), g.self); err != nil {
			return err
		}
	}
	return g.start()
}

// start runs the replica with what the store holds.
func (g *Group) start() error {
	n, err := g.newReplica(g.store)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node, g.failed = n, err
	close(g.started)
	return err
}

// Node returns the running replica. It waits for it until ctx ends.
func (g *Group) Node(ctx context.Context) (*replica.Node, error) {
	select {
	case <-g.started:
	case <-ctx.Done():
		return nil, Waiting.New("replica %s belongs to no cluster yet", g.self.ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node, g.failed
}

// current returns the running replica, or nil.
func (g *Group) current() *replica.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node
}

// Propose replicates a command and returns the state machine's answer.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	n, err := g.Node(ctx)
	if err != nil {
		return nil, err
	}
	return n.Propose(ctx, command)
}

// Barrier returns once the local state holds every acknowledged command.
func (g *Group) Barrier(ctx context.Context) error {
	n, err := g.Node(ctx)
	if err != nil {
		return err
	}
	return n.ReadIndex(ctx)
}

// Handlers returns what serves the other replicas, by the kind of stream.
func (g *Group) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		replicalink.KindMessages: g.link.HandleMessages,
		replicalink.KindIdentify: g.link.HandleIdentify,
		replicalink.KindJoin:     g.link.HandleJoin,
	}
}

// receive passes messages on. A replica that has not started yet drops them;
// leaders send again.
func (g *Group) receive(messages []quorum.Message) {
	if n := g.current(); n != nil {
		n.Receive(messages)
	}
}

// Stop hands leadership on, ends the replica and closes the store.
func (g *Group) Stop(ctx context.Context) error {
	g.cancel()
	g.running.Wait()
	var err error
	if n := g.current(); n != nil {
		err = n.Stop(ctx)
	}
	g.link.Close()
	return errorx.DecorateMany("control group does not stop", err, g.store.Close())
}

// Folder returns the folder of the replica's files below a data folder, and
// empty for none.
func Folder(data string) string {
	if data == "" {
		return ""
	}
	return filepath.Join(data, "control")
}
