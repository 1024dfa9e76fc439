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

// wait bounds each wait; it decides nothing where the code works.
const wait = 60 * time.Second

// vm is one control VM: a process and its folder.
type vm struct {
	name   string
	addr   netip.AddrPort
	dir    string
	client *admin.Client
	cmd    *exec.Cmd
	output bytes.Buffer
}

func (v *vm) socket() string { return filepath.Join(v.dir, "s") }

// site is three control VMs on loopback, run by the real binaries.
type site struct {
	t       *testing.T
	dir     string
	vms     []*vm
	version uint64
	turn    int                     // the process that answered last
	answers map[string]fleet.Result // first answers by request ID
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), answers: map[string]fleet.Result{}}
	for _, name := range []string{"fulmard", "fulmarctl"} {
		s.run("go", "build", "-o", filepath.Join(s.dir, name), "fulmarmount.org/fulmarmount/cmd/"+name)
	}
	s.ctl("keys", "--dir", s.path("keys"), "init")
	var peers []string
	for i := range 3 {
		name := fmt.Sprintf("control-%d", i+1)
		s.ctl("keys", "--dir", s.path("keys"), "issue", "--roles", "control", name)
		v := &vm{name: name, addr: freePort(t), dir: s.path(name)}
		v.client = admin.NewClient(admin.ClientOptions{Socket: v.socket()})
		t.Cleanup(v.client.Close)
		s.vms = append(s.vms, v)
		peers = append(peers, name+"="+v.addr.String())
	}
	s.ctl("keys", "--dir", s.path("keys"), "issue", "--roles", "balancer", "balancer-1")
	for _, v := range s.vms {
		s.configure(v, strings.Join(peers, ", "))
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

func (s *site) path(name string) string { return filepath.Join(s.dir, name) }

func (s *site) run(name string, args ...string) {
	s.t.Helper()
	if out, err := exec.Command(name, args...).CombinedOutput(); err != nil {
		s.t.Fatalf("%s %v: %v\n%s", name, args, err, out)
	}
}

func (s *site) ctl(args ...string) {
	s.t.Helper()
	s.run(s.path("fulmarctl"), args...)
}

func (s *site) configure(v *vm, peers string) {
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

func (s *site) start(v *vm) {
	s.t.Helper()
	v.output.Reset()
	v.cmd = exec.Command(s.path("fulmard"), "--config", filepath.Join(v.dir, "fulmard.ini"))
	v.cmd.Stdout, v.cmd.Stderr = &v.output, &v.output
	if err := v.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// kill sends SIGKILL to the process and waits for its end.
func (s *site) kill(v *vm) {
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

// until polls; what it waits for must come, whenever that is.
func (s *site) until(what string, done func(context.Context) bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	for ctx.Err() == nil {
		if done(ctx) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("%s: not within %s", what, wait)
}

// propose sends a command to one process after another until one answers,
// always with the same request ID.
func (s *site) propose(c fleet.Command) fleet.Result {
	s.t.Helper()
	var result fleet.Result
	s.until("an answer to "+c.RequestID, func(ctx context.Context) bool {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		var err error
		result, err = s.vms[s.turn].client.Propose(ctx, c)
		if err != nil {
			s.turn = (s.turn + 1) % len(s.vms)
		}
		return err == nil
	})
	return result
}

// command returns the apply that makes version.
func command(version uint64) fleet.Command {
	return fleet.Command{
		Kind: fleet.KindApply, RequestID: fmt.Sprint("request-", version), Author: "test", ExpectedVersion: version - 1,
		Document: &fleet.Document{Defaults: fleet.DefaultSettings(), Services: []fleet.Service{{
			Name: "desk", Mode: fleet.ModePacket, Share: fleet.Share(version),
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")},
		}}},
	}
}

// apply puts n further versions in force.
func (s *site) apply(n int) {
	s.t.Helper()
	for range n {
		s.version++
		c := command(s.version)
		result := s.propose(c)
		if result.Outcome != fleet.OutcomeAccepted || result.Version != s.version {
			s.t.Fatalf("version %d: %+v", s.version, result)
		}
		s.answers[c.RequestID] = result
	}
}

func (s *site) replicas() (out []admin.Replica) {
	s.t.Helper()
	s.until("the list of replicas with a leader", func(ctx context.Context) bool {
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

func (s *site) leader() *vm {
	s.t.Helper()
	for _, r := range s.replicas() {
		if r.Leader {
			return s.find(r.Name)
		}
	}
	s.t.Fatal("no leader")
	return nil
}

func (s *site) find(name string) *vm {
	for _, v := range s.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (s *site) follower() *vm {
	leader := s.leader()
	for _, v := range s.vms {
		if v != leader {
			return v
		}
	}
	return nil
}

// operate runs fulmarctl against one process after another until it succeeds.
func (s *site) operate(args ...string) {
	s.t.Helper()
	s.until(strings.Join(args, " "), func(context.Context) bool {
		for _, v := range s.vms {
			if exec.Command(s.path("fulmarctl"), append([]string{"--socket", v.socket()}, args...)...).Run() == nil {
				return true
			}
		}
		return false
	})
}

// wipe loses the VM's disk and starts it again.
func (s *site) wipe(v *vm) {
	s.kill(v)
	if err := os.RemoveAll(group.Folder(filepath.Join(v.dir, "data"))); err != nil {
		s.t.Fatal(err)
	}
	s.start(v)
}

// daemon follows the fleet as a balancer does and notes versions.
type daemon struct {
	mu    sync.Mutex
	last  fleet.Share
	falls []string
}

func (d *daemon) adopt(u proto.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range u.Services {
		if service.Share < d.last {
			d.falls = append(d.falls, fmt.Sprintf("from %d to %d", d.last, service.Share))
		}
		d.last = service.Share
	}
	for _, name := range u.Removed {
		d.falls = append(d.falls, "removed "+name)
	}
}

func (s *site) follow() *daemon {
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
	d := &daemon{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		subscribe.Run(ctx, subscribe.Options{
			Name: "balancer-1", Control: subscribe.Fixed(control...), Pool: pool, Adopt: d.adopt, Now: time.Now, Log: zap.NewNop(),
		})
	})
	s.t.Cleanup(func() {
		cancel()
		pool.Close()
		running.Wait()
	})
	return d
}

// TestNoAcknowledgedVersionIsLost kills the leader with SIGKILL during an apply
// loop, wipes a replica's folder and repairs it, and loses another disk right
// after. Every version stays, resends get their first answer, and a daemon's
// version never falls.
func TestNoAcknowledgedVersionIsLost(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes")
	}
	s := newSite(t)
	s.apply(5)
	d := s.follow()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second) // the client would ask again for ever
	defer cancel()
	if _, err := s.follower().client.Progress(ctx, s.version); err == nil {
		t.Fatal("a follower tells how far a version has spread")
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
	s.operate("replica", "add", wiped.name, wiped.addr.String())
	s.until("the new replica votes", func(context.Context) bool {
		for _, r := range s.replicas() {
			if r.Name == wiped.name && r.ID != lost && r.Voter {
				return true
			}
		}
		return false
	})
	s.operate("replica", "remove", lost)
	for _, v := range s.vms {
		if v != wiped {
			s.wipe(v) // a second disk, right after the repair
			break
		}
	}
	s.apply(5)

	for id, first := range s.answers {
		var version uint64
		_, _ = fmt.Sscanf(id, "request-%d", &version)
		if again := s.propose(command(version)); !reflect.DeepEqual(again, first) {
			t.Fatalf("resend of %s: %+v, first %+v", id, again, first)
		}
	}
	s.until("the daemon has the last version", func(context.Context) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return uint64(d.last) == s.version
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.falls) > 0 {
		t.Fatalf("the daemon's version fell: %v", d.falls)
	}
}
