package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/keys"
)

// patience bounds a wait for the fleet to settle; it decides nothing where the
// fleet works.
const patience = 60 * time.Second

// binaries builds fulmard and fulmarctl once and returns their folder.
var binaries = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "fulmarmount-e2e")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", folder, "fulmarmount.org/fulmarmount/cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return folder, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if folder, err := binaries(); err == nil {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// fleet is a set of processes that share an authority.
type fleet struct {
	t       *testing.T
	bin     string
	folder  string
	control netip.AddrPort
	client  *admin.Client
	names   int
}

// process is one running fulmard.
type process struct {
	t    *testing.T
	name string
	file string
	bin  string
	cmd  *exec.Cmd
	log  *bytes.Buffer
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	bin, err := binaries()
	if err != nil {
		t.Fatal(err)
	}
	// Socket paths are short; the test's own folder may not be.
	folder, err := os.MkdirTemp("", "fm")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	f := &fleet{t: t, bin: bin, folder: folder, control: freeAddr(t)}
	if err := keys.Init(filepath.Join(folder, "keys"), time.Now()); err != nil {
		t.Fatal(err)
	}
	return f
}

// freeAddr returns a loopback address whose port was free a moment ago.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// serviceAddr returns service address n of this process. Balancers share ports,
// so another run of the tests on the same host must not have the same.
func serviceAddr(n int) netip.AddrPort {
	const firstPort, processes = 10_000, 20_000 // below the ephemeral ports
	port := firstPort + os.Getpid()%processes
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 50, byte(n)}), uint16(port))
}

// start starts a process with some roles and further sections of settings.
func (f *fleet) start(name string, roles []keys.Role, sections string) *process {
	f.t.Helper()
	dir := filepath.Join(f.folder, "keys")
	if err := keys.Issue(dir, name, roles, time.Now(), keys.DefaultValidity); err != nil {
		f.t.Fatal(err)
	}
	var text []string
	for _, r := range roles {
		text = append(text, string(r))
	}
	handover := ""
	if slices.Equal(roles, []keys.Role{keys.Balancer}) || slices.Equal(roles, []keys.Role{keys.Agent}) {
		handover = fmt.Sprintf("handover = %s.handover\n", name)
	}
	ini := fmt.Sprintf("[process]\nname = %[1]s\nzone = zone-a\nroles = %[2]s\nstop_timeout = 5s\ndata_dir = data/%[1]s\n%[4]s\n"+
		"[tls]\nca = keys/ca.pem\ncert = keys/%[1]s.pem\nkey = keys/%[1]s.key\npacket_keys = keys/packets.json\n\n"+
		"[admin]\nsocket = %[1]s.sock\n\n%[3]s", name, strings.Join(text, ", "), sections, handover)
	p := &process{t: f.t, name: name, file: filepath.Join(f.folder, name+".ini"), bin: f.bin, log: &bytes.Buffer{}}
	if err := os.WriteFile(p.file, []byte(ini), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p.run()
	f.t.Cleanup(func() {
		p.kill()
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", name, p.log)
		}
	})
	return p
}

func (p *process) run() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(p.bin, "fulmard"), "--config", p.file, "--spray", "2")
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// kill ends the process by SIGKILL, if it still runs.
func (p *process) kill() {
	if p.cmd.ProcessState != nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// succeed starts a process with the settings of p, which is to end by itself.
func (p *process) succeed() *process {
	p.t.Helper()
	next := &process{t: p.t, name: p.name, file: p.file, bin: p.bin, log: &bytes.Buffer{}}
	next.run()
	p.t.Cleanup(next.kill)
	expired := time.AfterFunc(patience, func() { _ = p.cmd.Process.Kill() }) // it would be waited for without end
	err := p.cmd.Wait()
	expired.Stop()
	if err != nil {
		next.kill() // for a log that nobody writes to any more
		p.t.Fatalf("%s did not end well: %v\n%s\nsuccessor:\n%s", p.name, err, p.log, next.log)
	}
	return next
}

func (f *fleet) startControl() *process {
	p := f.start("control", []keys.Role{keys.Control},
		fmt.Sprintf("[control]\nlisten = %v\ncluster = test\n", f.control))
	f.client = admin.NewClient(admin.ClientOptions{Socket: filepath.Join(f.folder, "control.sock")})
	f.t.Cleanup(f.client.Close)
	f.until("control answers", func(ctx context.Context) bool {
		_, err := f.client.Status(ctx)
		return err == nil
	})
	return p
}

func (f *fleet) startBalancer() *process {
	f.names++
	return f.start(fmt.Sprintf("balancer-%d", f.names), []keys.Role{keys.Balancer},
		fmt.Sprintf("[join]\ncontrol = %v\n\n[balancer]\npackets = %v\n", f.control, freeAddr(f.t)))
}

func (f *fleet) startAgent(service string, backend netip.AddrPort) *process {
	f.names++
	name := fmt.Sprintf("%s-%d", service, f.names)
	return f.start(name, []keys.Role{keys.Agent}, fmt.Sprintf(
		"[join]\ncontrol = %v\n\n[agent.%s]\nid = %s\nbackend = %v\npackets = %v\nrequests = %v\nidle_timeout = 1h\n",
		f.control, service, name, backend, freeAddr(f.t), freeAddr(f.t)))
}

// apply puts a fleet file in force by fulmarctl.
func (f *fleet) apply(sections string) {
	f.t.Helper()
	file := filepath.Join(f.folder, "fleet.ini")
	if err := os.WriteFile(file, []byte(sections), 0o600); err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(f.bin, "fulmarctl"),
		"--socket", filepath.Join(f.folder, "control.sock"), "apply", file)
	if out, err := cmd.CombinedOutput(); err != nil {
		f.t.Fatalf("apply: %v: %s", err, out)
	}
}

// settled waits until all daemons have the configuration in force and all
// members are ready.
func (f *fleet) settled(daemons, members int) {
	f.t.Helper()
	f.until("the fleet has settled", func(ctx context.Context) bool {
		s, err := f.client.Status(ctx)
		if err != nil || s.Progress.Daemons != daemons || s.Progress.InForce != daemons || len(s.Members) != members {
			return false
		}
		for _, m := range s.Members {
			if m.State != "ready" {
				return false
			}
		}
		return true
	})
}

func (f *fleet) until(what string, holds func(context.Context) bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	for ctx.Err() == nil {
		if holds(ctx) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("waited in vain until %s", what)
}
