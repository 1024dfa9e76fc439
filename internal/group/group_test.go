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

// patience bounds waits; it decides nothing where the code works.
const patience = 30 * time.Second

// list is a state machine that keeps every command.
type list struct {
	mu    sync.Mutex
	items []string
}

func (l *list) Apply(_ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, string(command))
	return command
}

func (l *list) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []byte(strings.Join(l.items, ",")), nil
}

func (l *list) Restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(b) == 0 {
		return errors.New("no state")
	}
	l.items = strings.Split(string(b), ",")
	return nil
}

// process is one control process of the test.
type process struct {
	*Group
	state  *list
	server *peer.Server
	pool   *peer.Pool
}

type bench struct {
	t      *testing.T
	set    *keys.Set
	folder string
	peers  []Peer
	// joining has replicas that open ask the peers to be added.
	joining bool
	// openStore replaces the opening of stores, nil for the real one.
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

func newBench(t *testing.T, replicas int) *bench {
	set, err := keys.Ephemeral(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, set: set, folder: t.TempDir()}
	for i := range replicas {
		b.peers = append(b.peers, Peer{Name: fmt.Sprint("vm-", i), Addr: freeAddr(t)})
	}
	return b
}

// addrs returns the addresses of the first replicas.
func (b *bench) addrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range b.peers {
		out = append(out, p.Addr)
	}
	return out
}

func (b *bench) path(p Peer) string { return filepath.Join(b.folder, p.Name) }

func (b *bench) open(p Peer) *process {
	identity, err := b.set.Identity(p.Name, time.Now(), keys.Control)
	if err != nil {
		b.t.Fatal(err)
	}
	out := &process{state: &list{}}
	out.pool = peer.NewPool(func() *tls.Config {
		return identity.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol)
	})
	options := Options{
		Name: p.Name, Addr: p.Addr, Cluster: "control", Peers: b.peers, Folder: b.path(p),
		Keep:    membership.Options{TargetVoters: 3, VoterTimeout: time.Second},
		Machine: out.state, Pool: out.pool, Now: time.Now, Log: zap.NewNop(), open: b.openStore,
	}
	if b.joining {
		options.Peers, options.Seeds = nil, b.addrs
	}
	out.Group, err = Open(options)
	if err != nil {
		b.t.Fatal(err)
	}
	// The socket of a process that was closed is let go a little later.
	until(b.t, "listen", func() bool {
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

// until polls; what it waits for must come, whenever that is.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("%s: not within %s", what, patience)
}

// onLeader runs f on whichever process leads.
func onLeader(t *testing.T, processes []*process, f func(*process) error) {
	t.Helper()
	var last error
	until(t, "a leader takes the change", func() bool {
		for _, p := range processes {
			if last = f(p); last == nil {
				return true
			}
		}
		return false
	})
}

func TestReplacesALostDiskAndSurvivesTheNextLoss(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	b := newBench(t, 3)
	var all []*process
	for _, p := range b.peers {
		all = append(all, b.open(p))
	}
	propose := func(p *process, command string) {
		until(t, "proposal", func() bool {
			_, err := p.Propose(ctx, []byte(command))
			return err == nil
		})
	}
	for i, p := range all {
		propose(p, fmt.Sprint("command-", i))
	}

	lost := all[2].self.ID.String()
	all[2].close()
	is.NoErr(os.RemoveAll(b.path(b.peers[2])))
	all[2] = b.open(b.peers[2])
	is.True(all[2].self.ID.String() != lost)
	onLeader(t, all[:2], func(p *process) error { return p.AddReplica(ctx, "vm-2", b.peers[2].Addr) })
	until(t, "the new replica votes", func() bool { return votes(ctx, all[0], all[2].self.ID) })
	onLeader(t, all[:2], func(p *process) error { return p.RemoveReplica(ctx, lost) })

	all[0].close()
	is.NoErr(os.RemoveAll(b.path(b.peers[0])))
	propose(all[1], "after")
	is.NoErr(all[2].Barrier(ctx))
	all[2].state.mu.Lock()
	defer all[2].state.mu.Unlock()
	for _, want := range []string{"command-0", "command-1", "command-2", "after"} {
		is.True(strings.Contains(strings.Join(all[2].state.items, ","), want))
	}
}

func votes(ctx context.Context, p *process, id quorum.ReplicaID) bool {
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

func TestAloneNeedsNoPeers(t *testing.T) {
	is := is.New(t)
	state := &list{}
	g, err := Open(Options{Name: "vm-0", Cluster: "control", Machine: state, Now: time.Now, Log: zap.NewNop()})
	is.NoErr(err)
	answer, err := g.Propose(context.Background(), []byte("a"))
	is.NoErr(err)
	is.Equal(string(answer), "a")
	is.NoErr(g.Barrier(context.Background()))
	is.Equal(g.Dump().Role, "leader")
	err = g.RemoveReplica(context.Background(), "not a number")
	is.True(errorx.IsOfType(err, Refused))
	is.True(g.RemoveReplica(context.Background(), g.self.ID.String()) != nil) // the last voter
	is.NoErr(g.Stop(context.Background()))
	_, err = g.Propose(context.Background(), []byte("b"))
	is.True(errorx.IsOfType(err, replica.ErrStopped))
}

var _ admin.Replicas = (*Group)(nil)

func TestDecide(t *testing.T) {
	self, other := quorum.Member{ID: 1, Name: "a"}, quorum.Member{ID: 2, Name: "b"}
	both := quorum.NewMembership(self, other)
	cases := []struct {
		name    string
		answers []replicalink.Identity
		want    plan
	}{
		{"nobody answers", nil, ask},
		{"all are new", []replicalink.Identity{{Member: other}}, lead},
		{"a peer was faster", []replicalink.Identity{{Member: other, Cluster: 5, InitialMembership: both}}, lead},
		{"an older cluster", []replicalink.Identity{{Member: other, Cluster: 5}}, join},
		{"founders knew the lost disk", []replicalink.Identity{{Member: other, Cluster: 5, InitialMembership: quorum.NewMembership(other, quorum.Member{ID: 9})}}, join},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, cluster, founders := decide("control", self, c.answers, 2)
			is.Equal(got, c.want)
			if got == lead {
				is.True(cluster != 0)
				is.Equal(founders, both)
			}
		})
	}
	is := is.New(t)
	_, ours, _ := decide("control", self, []replicalink.Identity{{Member: other}}, 2)
	_, theirs, _ := decide("control", other, []replicalink.Identity{{Member: self}}, 2)
	is.Equal(ours, theirs)
	_, again, _ := decide("control", quorum.Member{ID: 3}, []replicalink.Identity{{Member: other}}, 2)
	is.True(ours != again) // new disks make a new cluster
}
