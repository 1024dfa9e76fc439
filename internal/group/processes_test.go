package group_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/group"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// testTimeout limits each wait. It is reached only in a failing test.
const testTimeout = 60 * time.Second

// vm is one control VM: a process and its directory.
type vm struct {
	name   string
	addr   netip.AddrPort
	dir    string
	client *admin.Client
	cmd    *exec.Cmd
	output bytes.Buffer
}

func (v *vm) socket() string { return filepath.Join(v.dir, "s") }

// deployment runs three control VMs on loopback with the real binaries.
type deployment struct {
	t        *testing.T
	dir      string
	vms      []*vm
	version  uint64
	proposer int                     // index of the process that receives proposals
	results  map[string]fleet.Result // first result by request ID
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	s := &deployment{t: t, dir: t.TempDir(), results: map[string]fleet.Result{}}
	for _, name := range []string{"fulmard", "fulmarctl"} {
		s.run("go", "build", "-o", filepath.Join(s.dir, name), "fulmarmount.org/fulmarmount/cmd/"+name)
	}
	s.fulmarctl("keys", "--dir", s.path("keys"), "init")
	var peers []string
	for i := range 3 {
		name := fmt.Sprintf("control-%d", i+1)
		s.fulmarctl("keys", "--dir", s.path("keys"), "issue", "--roles", "control", name)
		v := &vm{name: name, addr: freePort(t), dir: s.path(name)}
		v.client = admin.NewClient(admin.ClientOptions{Socket: v.socket()})
		t.Cleanup(v.client.Close)
		s.vms = append(s.vms, v)
		peers = append(peers, name+"="+v.addr.String())
	}
	s.fulmarctl("keys", "--dir", s.path("keys"), "issue", "--roles", "balancer", "balancer-1")
	for _, v := range s.vms {
		s.writeSettings(v, strings.Join(peers, ", "))
		s.start(v)
	}
	t.Cleanup(func() {
		for _, v := range s.vms {
			s.kill(v)
		}
	})
	return s
}

func freePort(t *testing.T) netip.AddrPort {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

func (s *deployment) path(name string) string { return filepath.Join(s.dir, name) }

func (s *deployment) run(name string, args ...string) {
	s.t.Helper()
	if out, err := exec.Command(name, args...).CombinedOutput(); err != nil {
		s.t.Fatalf("%s %v: %v\n%s", name, args, err, out)
	}
}

func (s *deployment) fulmarctl(args ...string) {
	s.t.Helper()
	s.run(s.path("fulmarctl"), args...)
}

func (s *deployment) writeSettings(v *vm, peers string) {
	s.t.Helper()
	text := fmt.Sprintf("[process]\nname = %s\nzone = zone-a\nroles = control\ndata_dir = data\n"+
		"[tls]\nca = %[2]s/ca.pem\ncert = %[2]s/%[1]s.pem\nkey = %[2]s/%[1]s.key\npacket_keys = %[2]s/%[3]s\n"+
		"[admin]\nsocket = s\n[control]\nlisten = %s\ncluster = main\npeers = %s\n",
		v.name, s.path("keys"), keys.RingFile, v.addr, peers)
	if err := os.MkdirAll(v.dir, 0o700); err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(v.dir, "fulmard.ini"), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *deployment) start(v *vm) {
	s.t.Helper()
	v.output.Reset()
	v.cmd = exec.Command(s.path("fulmard"), "--config", filepath.Join(v.dir, "fulmard.ini"))
	v.cmd.Stdout, v.cmd.Stderr = &v.output, &v.output
	if err := v.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// kill sends SIGKILL to the process and waits for its end.
func (s *deployment) kill(v *vm) {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait()
	v.cmd = nil
	if s.t.Failed() {
		s.t.Logf("%s:\n%s", v.name, v.output.String())
	}
}

// eventually polls until done returns true, and fails the test after testTimeout.
func (s *deployment) eventually(condition string, done func(context.Context) bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if done(ctx) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("condition %q not met within %s", condition, testTimeout)
}

// propose sends a command to one process after another until one returns a
// result, always with the same request ID.
func (s *deployment) propose(c fleet.Command) fleet.Result {
	s.t.Helper()
	var result fleet.Result
	s.eventually("result of "+c.RequestID, func(ctx context.Context) bool {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		var err error
		result, err = s.vms[s.proposer].client.Propose(ctx, c)
		if err != nil {
			s.proposer = (s.proposer + 1) % len(s.vms)
		}
		return err == nil
	})
	return result
}

// applyCommand returns the apply command that creates version.
func applyCommand(version uint64) fleet.Command {
	return fleet.Command{
		Kind: fleet.KindApply, RequestID: fmt.Sprint("request-", version), Author: "test", ExpectedVersion: version - 1,
		Document: &fleet.Document{Defaults: fleet.DefaultSettings(), Services: []fleet.Service{{
			Name: "desk", Mode: fleet.ModePacket, Share: fleet.Share(version),
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")},
		}}},
	}
}

// apply creates and activates n further versions.
func (s *deployment) apply(n int) {
	s.t.Helper()
	for range n {
		s.version++
		c := applyCommand(s.version)
		result := s.propose(c)
		if result.Outcome != fleet.OutcomeAccepted || result.Version != s.version {
			s.t.Fatalf("version %d: %+v", s.version, result)
		}
		s.results[c.RequestID] = result
	}
}

func (s *deployment) replicas() (out []admin.Replica) {
	s.t.Helper()
	s.eventually("the list of replicas with a leader", func(ctx context.Context) bool {
		for _, v := range s.vms {
			if v.cmd == nil {
				continue
			}
			replicas, err := v.client.Replicas(ctx)
			for _, r := range replicas {
				if err == nil && r.Leader && r.Name == v.name {
					out = replicas
					return true
				}
			}
		}
		return false
	})
	return out
}

func (s *deployment) leader() *vm {
	s.t.Helper()
	for _, r := range s.replicas() {
		if r.Leader {
			return s.find(r.Name)
		}
	}
	s.t.Fatal("no leader")
	return nil
}

func (s *deployment) find(name string) *vm {
	for _, v := range s.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (s *deployment) follower() *vm {
	leader := s.leader()
	for _, v := range s.vms {
		if v != leader {
			return v
		}
	}
	return nil
}

// retryFulmarctl runs fulmarctl against one process after another until it succeeds.
func (s *deployment) retryFulmarctl(args ...string) {
	s.t.Helper()
	s.eventually(strings.Join(args, " "), func(context.Context) bool {
		for _, v := range s.vms {
			if exec.Command(s.path("fulmarctl"), append([]string{"--socket", v.socket()}, args...)...).Run() == nil {
				return true
			}
		}
		return false
	})
}

// wipe kills the VM's process, deletes its replica's files and restarts it.
func (s *deployment) wipe(v *vm) {
	s.kill(v)
	if err := os.RemoveAll(group.StoreDir(filepath.Join(v.dir, "data"))); err != nil {
		s.t.Fatal(err)
	}
	s.start(v)
}

// subscriber receives the fleet's configuration as a balancer does and records
// every version that is older than the one before.
type subscriber struct {
	mu          sync.Mutex
	lastShare   fleet.Share
	regressions []string
}

func (d *subscriber) recordUpdate(u proto.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range u.Services {
		if service.Share < d.lastShare {
			d.regressions = append(d.regressions, fmt.Sprintf("from %d to %d", d.lastShare, service.Share))
		}
		d.lastShare = service.Share
	}
	for _, name := range u.Removed {
		d.regressions = append(d.regressions, "removed "+name)
	}
}

func (s *deployment) startSubscriber() *subscriber {
	s.t.Helper()
	identity, err := keys.Load(s.path("keys/ca.pem"), s.path("keys/balancer-1.pem"), s.path("keys/balancer-1.key"))
	if err != nil {
		s.t.Fatal(err)
	}
	pool := peer.NewPool(func() *tls.Config { return identity.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol) })
	var control []netip.AddrPort
	for _, v := range s.vms {
		control = append(control, v.addr)
	}
	d := &subscriber{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		subscribe.Run(ctx, subscribe.Options{
			Name: "balancer-1", Control: subscribe.Fixed(control...), Pool: pool, Adopt: d.recordUpdate, Now: time.Now, Log: zap.NewNop(),
		})
	})
	s.t.Cleanup(func() {
		cancel()
		pool.Close()
		running.Wait()
	})
	return d
}

// TestAcknowledgedVersionsSurviveCrashAndDiskLoss kills the leader with SIGKILL
// during a loop of applies, wipes a replica's directory and replaces the replica,
// and wipes another one right after. No acknowledged version may be lost, a resent
// request must return its first result, and a daemon's version must not decrease.
func TestAcknowledgedVersionsSurviveCrashAndDiskLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes")
	}
	s := newDeployment(t)
	s.apply(5)
	d := s.startSubscriber()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second) // the client retries without a limit
	defer cancel()
	if _, err := s.follower().client.Progress(ctx, s.version); err == nil {
		t.Fatal("a follower reports the progress of a version, expected an error")
	}

	killed := s.leader()
	kill := time.AfterFunc(30*time.Millisecond, func() { _ = killed.cmd.Process.Kill() })
	defer kill.Stop()
	s.apply(200)
	s.kill(killed)
	s.start(killed)
	s.apply(5)

	wiped := s.follower()
	var lost string
	for _, r := range s.replicas() {
		if r.Name == wiped.name {
			lost = r.ID
		}
	}
	s.wipe(wiped)
	s.retryFulmarctl("replica", "add", wiped.name, wiped.addr.String())
	s.eventually("the new replica is a voter", func(context.Context) bool {
		for _, r := range s.replicas() {
			if r.Name == wiped.name && r.ID != lost && r.Voter {
				return true
			}
		}
		return false
	})
	s.retryFulmarctl("replica", "remove", lost)
	for _, v := range s.vms {
		if v != wiped {
			s.wipe(v) // a second disk, right after the replacement
			break
		}
	}
	s.apply(5)

	for id, first := range s.results {
		var version uint64
		_, _ = fmt.Sscanf(id, "request-%d", &version)
		if again := s.propose(applyCommand(version)); !reflect.DeepEqual(again, first) {
			t.Fatalf("resend of %s: %+v, first %+v", id, again, first)
		}
	}
	s.eventually("the daemon receives the last version", func(context.Context) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return uint64(d.lastShare) == s.version
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.regressions) > 0 {
		t.Fatalf("the daemon's version decreased: %v", d.regressions)
	}
}
