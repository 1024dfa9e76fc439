// Package group makes a control process a member of its control group: it
// opens the durable store, bootstraps or joins the cluster, runs the replica and
// applies operators' changes to the membership.
package group

import (
	"cmp"
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

// maxElectionTicks is the number of ticks of silence after which every follower replaces
// the leader, see quorum.Config.ElectionTicks.
const maxElectionTicks = 2 * quorum.DefaultElectionTicks

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("group")

var (
	// ErrNoCluster reports that the replica belongs to no cluster yet, or that no
	// replica responds at an address.
	ErrNoCluster = Errors.NewType("waiting", errorx.Temporary())
	// ErrRejected reports an invalid membership change.
	ErrRejected = Errors.NewType("refused")
)

// Peer is a control replica listed in the settings.
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
	// ClusterName is the control group's name in the settings.
	ClusterName string
	// Peers are the founding replicas of a new cluster, this one included. If it
	// lists only this replica, or is empty and Seeds is nil, the new cluster has
	// one replica.
	Peers []Peer
	// Seeds returns the addresses of replicas to which a replica without a
	// cluster, or one that was removed, sends join requests; nil if operators add
	// replicas.
	Seeds func() []netip.AddrPort
	// Membership configures the reconciliation of the membership; the zero value
	// promotes learners and removes no members.
	Membership membership.Options
	// TickInterval is the time between ticks of the replica; 0 selects the default.
	TickInterval time.Duration
	// Dir is the directory of the durable state; if empty, the state is kept in
	// memory, for a cluster of one replica.
	Dir          string
	StateMachine replica.StateMachine
	// Pool connects to other replicas; nil in a cluster of one replica.
	Pool *peer.Pool
	Now  func() time.Time
	Log  *zap.Logger

	openStore func(disk.Options) (store, error) // tests inject faults here
}

// Group runs this process's replica of its control group. It is safe for
// concurrent use.
type Group struct {
	options    Options
	store      store
	self       quorum.Member
	link       *replicalink.Link
	cancel     context.CancelFunc
	background sync.WaitGroup
	began      time.Time

	reconcileMu sync.Mutex // held during one reconciliation of the membership
	// reconciler is nil until this replica leads. It belongs to the term reconcilerTerm.
	reconciler     *membership.Reconciler
	reconcilerTerm uint64
	lagLoggedAt    time.Time

	mu         sync.Mutex
	departures map[quorum.ReplicaID]replicalink.Departure
	node       *replica.Node
	started    chan struct{} // closed once node and startErr are set
	startErr   error         // why the node could not start
}

// store is a replica.Store that can be closed.
type store interface {
	replica.Store
	Close() error
}

// memoryStore is a store without files.
type memoryStore struct{ *disk.MemoryStore }

// Close implements store.
func (memoryStore) Close() error { return nil }

// Open opens the store and starts the replica. A founding replica of a new
// cluster starts in the background, once the cluster is bootstrapped.
func Open(o Options) (*Group, error) {
	if o.openStore == nil {
		o.openStore = openStore
	}
	o.TickInterval = cmp.Or(o.TickInterval, replica.DefaultTickInterval)
	// A voter is replaced after the silence after which a leader is: pauses that an
	// election timeout outlasts change nothing.
	o.Membership.VoterTimeout = cmp.Or(o.Membership.VoterTimeout, maxElectionTicks*o.TickInterval)
	s, err := o.openStore(disk.Options{Dir: o.Dir})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		options: o, store: s, cancel: cancel, started: make(chan struct{}), began: o.Now(),
		departures: make(map[quorum.ReplicaID]replicalink.Departure),
		self:       quorum.Member{ID: s.Replica(), Name: o.Name, Address: o.Addr.String()},
	}
	g.link = replicalink.New(replicalink.Options{
		Self: g.self, Pool: o.Pool, Receive: g.receive, Identity: g.identity, Admit: g.admit, Release: g.release,
		Now: o.Now, Log: o.Log,
	})
	switch {
	case replica.IsEmpty(s) && len(o.Peers) > 1:
		o.Log.Info("Replica belongs to no cluster yet. Querying its peers.", zap.Stringer("replica", g.self.ID))
		g.background.Go(func() { g.bootstrap(ctx) })
	case replica.IsEmpty(s) && len(o.Peers) == 0 && o.Seeds != nil:
		o.Log.Info("Replica belongs to no cluster yet. Requesting to join one.", zap.Stringer("replica", g.self.ID))
		err = g.startNode()
	default:
		err = g.startOrBootstrap()
	}
	if err != nil {
		cancel()
		_ = s.Close()
		return nil, err
	}
	g.background.Go(func() { g.restartAfterStoreFailure(ctx) })
	g.background.Go(func() { g.reconcileMembership(ctx) })
	if o.Seeds != nil {
		g.background.Go(func() { g.joinWhileLeaderless(ctx) })
	}
	g.background.Go(func() { g.watchLeader(ctx) })
	return g, nil
}

func openStore(o disk.Options) (store, error) {
	if o.Dir == "" {
		m, err := disk.NewMemoryStore()
		return memoryStore{m}, err
	}
	return disk.Open(o)
}

// startOrBootstrap starts the replica. If it belongs to no cluster, it first
// bootstraps a cluster of one replica.
func (g *Group) startOrBootstrap() error {
	if replica.IsEmpty(g.store) {
		if err := replica.Bootstrap(g.store, deriveClusterID(g.options.ClusterName, g.self.ID), g.self); err != nil {
			return err
		}
	}
	return g.startNode()
}

// startNode runs the replica with the state in the store and closes started.
func (g *Group) startNode() error {
	n, err := g.newNode(g.store)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node, g.startErr = n, err
	close(g.started)
	return err
}

// Node waits until the replica has started or ctx ends, and returns the replica.
func (g *Group) Node(ctx context.Context) (*replica.Node, error) {
	select {
	case <-g.started:
	case <-ctx.Done():
		return nil, ErrNoCluster.New("replica %s belongs to no cluster yet", g.self.ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node, g.startErr
}

// currentNode returns the replica, or nil if it has not started.
func (g *Group) currentNode() *replica.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node
}

// Propose replicates a command and returns the state machine's result.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	n, err := g.Node(ctx)
	if err != nil {
		return nil, err
	}
	return n.Propose(ctx, command)
}

// Barrier returns once the local state machine has applied every command that was
// acknowledged before the call.
func (g *Group) Barrier(ctx context.Context) error {
	n, err := g.Node(ctx)
	if err != nil {
		return err
	}
	return n.ReadIndex(ctx)
}

// Handlers returns the handlers of other replicas' streams, by stream kind.
func (g *Group) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		replicalink.KindMessages: g.link.HandleMessages,
		replicalink.KindIdentify: g.link.HandleIdentify,
		replicalink.KindJoin:     g.link.HandleJoin,
		replicalink.KindLeave:    g.link.HandleLeave,
	}
}

// receive passes messages to the replica. They are dropped before the replica has
// started; leaders resend them.
func (g *Group) receive(messages []quorum.Message) {
	if n := g.currentNode(); n != nil {
		n.Receive(messages)
	}
}

// Stop transfers leadership and, where another replica waits for it, the vote; then it
// stops the replica and closes the store.
func (g *Group) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	g.leave(ctx)
	g.cancel()
	g.background.Wait()
	var err error
	if n := g.currentNode(); n != nil {
		err = n.Stop(ctx)
	}
	g.link.Close()
	return errorx.DecorateMany("could not stop the control group's replica", err, g.store.Close())
}

// StoreDir returns the directory of the replica's files below a data directory,
// or an empty path if data is empty.
func StoreDir(data string) string {
	if data == "" {
		return ""
	}
	return filepath.Join(data, "control")
}
