package group

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/membership"
	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/disk"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/replica"
	"fulmarmount.org/fulmarmount/internal/replicalink"
)

// testTimeout limits each wait. It is reached only in a failing test.
const testTimeout = 30 * time.Second

// commandLog is a state machine that records every command.
type commandLog struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandLog) Apply(_ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(command))
	return command
}

func (l *commandLog) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []byte(strings.Join(l.commands, ",")), nil
}

func (l *commandLog) Restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(b) == 0 {
		return errors.New("no state")
	}
	l.commands = strings.Split(string(b), ",")
	return nil
}

// process is a control process of the test: a group, its server and its clients.
type process struct {
	*Group
	state  *commandLog
	server *peer.Server
	pool   *peer.Pool
}

type testGroup struct {
	t      *testing.T
	keySet *keys.Set
	dir    string
	peers  []Peer
	// requestsJoin makes open start replicas without peers, which request to join
	// with the peers as seeds.
	requestsJoin bool
	// tick replaces the interval of ticks, unless zero. The voter timeout follows it.
	tick time.Duration
	// openStore replaces the function that opens stores, unless nil.
	openStore func(disk.Options) (store, error)
}

func freeAddr(t *testing.T) netip.AddrPort {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

func newTestGroup(t *testing.T, replicas int) *testGroup {
	set, err := keys.Ephemeral(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	b := &testGroup{t: t, keySet: set, dir: t.TempDir()}
	for i := range replicas {
		b.peers = append(b.peers, Peer{Name: fmt.Sprint("vm-", i), Addr: freeAddr(t)})
	}
	return b
}

// addrs returns the addresses of the founding replicas.
func (b *testGroup) addrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range b.peers {
		out = append(out, p.Addr)
	}
	return out
}

func (b *testGroup) path(p Peer) string { return filepath.Join(b.dir, p.Name) }

func (b *testGroup) open(p Peer) *process {
	identity, err := b.keySet.Identity(p.Name, time.Now(), keys.Control)
	if err != nil {
		b.t.Fatal(err)
	}
	out := &process{state: &commandLog{}}
	out.pool = peer.NewPool(func() *tls.Config {
		return identity.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol)
	})
	options := Options{
		Name: p.Name, Addr: p.Addr, ClusterName: "control", Peers: b.peers, Dir: b.path(p),
		Membership:   membership.Options{TargetVoters: 3, VoterTimeout: time.Second},
		StateMachine: out.state, Pool: out.pool, Now: time.Now, Log: zap.NewNop(), openStore: b.openStore,
	}
	if b.tick != 0 {
		options.TickInterval, options.Membership.VoterTimeout = b.tick, 0
	}
	if b.requestsJoin {
		options.Peers, options.Seeds = nil, b.addrs
	}
	out.Group, err = Open(options)
	if err != nil {
		b.t.Fatal(err)
	}
	// The socket of a closed process is released with a delay.
	eventually(b.t, "listen", func() bool {
		out.server, err = peer.Listen(peer.ServerOptions{
			Addr: p.Addr, TLS: identity.ServerTLSFor([]keys.Role{keys.Control}, peer.Protocol),
			Handlers: out.Handlers(), Log: zap.NewNop(),
		})
		return err == nil
	})
	b.t.Cleanup(out.close)
	return out
}

func (p *process) close() {
	if p.server == nil {
		return
	}
	_ = p.Stop(context.Background())
	_ = p.server.Close()
	p.pool.Close()
	p.server = nil
}

// eventually polls until done returns true, and fails the test after testTimeout.
func eventually(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("condition %q not met within %s", condition, testTimeout)
}

// onLeader calls f on one process after another until one, the leader, succeeds.
func onLeader(t *testing.T, processes []*process, f func(*process) error) {
	t.Helper()
	var lastErr error
	eventually(t, "a leader accepts the change", func() bool {
		for _, p := range processes {
			if lastErr = f(p); lastErr == nil {
				return true
			}
		}
		return false
	})
}

func TestGroupReplacesLostReplicaAndToleratesNextLoss(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background()) // eventually limits each wait
	defer cancel()
	b := newTestGroup(t, 3)
	var processes []*process
	for _, p := range b.peers {
		processes = append(processes, b.open(p))
	}
	propose := func(p *process, command string) {
		eventually(t, "proposal", func() bool {
			_, err := p.Propose(ctx, []byte(command))
			return err == nil
		})
	}
	for i, p := range processes {
		propose(p, fmt.Sprint("command-", i))
	}

	lostID := processes[2].self.ID.String()
	processes[2].close()
	is.NoErr(os.RemoveAll(b.path(b.peers[2])))
	processes[2] = b.open(b.peers[2])
	is.True(processes[2].self.ID.String() != lostID)
	onLeader(t, processes[:2], func(p *process) error { return p.AddReplica(ctx, "vm-2", b.peers[2].Addr) })
	eventually(t, "the new replica is a voter", func() bool { return isVoter(ctx, processes[0], processes[2].self.ID) })
	onLeader(t, processes[:2], func(p *process) error {
		if err := p.RemoveReplica(ctx, lostID); err == nil || isMember(ctx, p, lostID) {
			return err
		}
		return nil // the leader has replaced the unresponsive voter by itself
	})
	eventually(t, "the lost replica is removed", func() bool { return !isMember(ctx, processes[1], lostID) })

	processes[0].close()
	is.NoErr(os.RemoveAll(b.path(b.peers[0])))
	propose(processes[1], "after")
	is.NoErr(processes[2].Barrier(ctx))
	processes[2].state.mu.Lock()
	defer processes[2].state.mu.Unlock()
	for _, want := range []string{"command-0", "command-1", "command-2", "after"} {
		is.True(strings.Contains(strings.Join(processes[2].state.commands, ","), want))
	}
}

// isMember reports whether a process lists a replica, or cannot tell.
func isMember(ctx context.Context, p *process, id string) bool {
	replicas, err := p.Replicas(ctx)
	return err != nil || slices.ContainsFunc(replicas, func(r admin.Replica) bool { return r.ID == id })
}

func isVoter(ctx context.Context, p *process, id quorum.ReplicaID) bool {
	replicas, err := p.Replicas(ctx)
	if err != nil {
		return false
	}
	for _, r := range replicas {
		if r.ID == id.String() {
			return r.Voter
		}
	}
	return false
}

func TestSingleReplicaNeedsNoPeers(t *testing.T) {
	is := is.New(t)
	state := &commandLog{}
	g, err := Open(Options{Name: "vm-0", ClusterName: "control", StateMachine: state, Now: time.Now, Log: zap.NewNop()})
	is.NoErr(err)
	response, err := g.Propose(context.Background(), []byte("a"))
	is.NoErr(err)
	is.Equal(string(response), "a")
	is.NoErr(g.Barrier(context.Background()))
	is.Equal(g.Dump().Role, "leader")
	err = g.RemoveReplica(context.Background(), "not a number")
	is.True(errorx.IsOfType(err, ErrRejected))
	is.True(g.RemoveReplica(context.Background(), g.self.ID.String()) != nil) // the last voter
	is.NoErr(g.Stop(context.Background()))
	_, err = g.Propose(context.Background(), []byte("b"))
	is.True(errorx.IsOfType(err, replica.ErrStopped))
}

func TestMemberAtAnotherAddressIsTold(t *testing.T) {
	is := is.New(t)
	g, err := Open(Options{Name: "vm-0", ClusterName: "control", StateMachine: &commandLog{}, Now: time.Now, Log: zap.NewNop()})
	is.NoErr(err)
	_, err = g.Propose(context.Background(), []byte("a")) // it leads from here on
	is.NoErr(err)
	is.True(g.admit(context.Background(), g.self).Accepted)
	moved := g.self
	moved.Address = "10.0.0.9:7000"
	response := g.admit(context.Background(), moved)
	is.True(!response.Accepted)
	is.True(strings.Contains(response.Reason, moved.Address))
	is.NoErr(g.Stop(context.Background()))
}

var _ admin.Replicas = (*Group)(nil)

func TestDecideBootstrap(t *testing.T) {
	self, other := quorum.Member{ID: 1, Name: "a"}, quorum.Member{ID: 2, Name: "b"}
	both := quorum.NewMembership(self, other)
	cases := []struct {
		name    string
		answers []replicalink.Identity
		want    bootstrapDecision
	}{
		{"no peer responds", nil, retryBootstrap},
		{"no peer belongs to a cluster", []replicalink.Identity{{Member: other}}, bootstrapCluster},
		{"a peer bootstrapped the cluster first", []replicalink.Identity{{Member: other, Cluster: 5, InitialMembership: both}}, bootstrapCluster},
		{"a peer belongs to a compacted cluster", []replicalink.Identity{{Member: other, Cluster: 5}}, awaitAdmission},
		{"the founders include the replica of the lost disk", []replicalink.Identity{{Member: other, Cluster: 5, InitialMembership: quorum.NewMembership(other, quorum.Member{ID: 9})}}, awaitAdmission},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, cluster, founders := decideBootstrap("control", self, c.answers, 2)
			is.Equal(got, c.want)
			if got == bootstrapCluster {
				is.True(cluster != 0)
				is.Equal(founders, both)
			}
		})
	}
	is := is.New(t)
	_, ours, _ := decideBootstrap("control", self, []replicalink.Identity{{Member: other}}, 2)
	_, theirs, _ := decideBootstrap("control", other, []replicalink.Identity{{Member: self}}, 2)
	is.Equal(ours, theirs)
	_, again, _ := decideBootstrap("control", quorum.Member{ID: 3}, []replicalink.Identity{{Member: other}}, 2)
	is.True(ours != again) // a replica with a new disk yields another cluster ID
}
