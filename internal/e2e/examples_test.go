package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	corefleet "fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/fleetfile"
	"fulmarmount.org/fulmarmount/internal/settings"
	"fulmarmount.org/fulmarmount/internal/standin"
)

// TestExamplesRun starts every process of the examples as their README says,
// before stand-in backend servers, and calls each service.
func TestExamplesRun(t *testing.T) {
	for folder, operator := range map[string]string{"registry": "control-1", "prismas": "entry-1"} {
		t.Run(folder, func(t *testing.T) { runExample(t, folder, operator) })
	}
}

func runExample(t *testing.T, folder, operator string) {
	is := is.New(t)
	bin, err := binaries()
	is.NoErr(err)
	dir := t.TempDir()
	is.NoErr(os.CopyFS(dir, os.DirFS(filepath.Join("..", "..", "examples", folder))))
	is.NoErr(os.Mkdir(filepath.Join(dir, "run"), 0o700))
	document, err := fleetfile.Load(filepath.Join(dir, "fleet.ini"))
	is.NoErr(err)
	fulmarctl(t, bin, dir, "keys", "init")
	var control []*admin.Client
	var daemons, members int
	for _, name := range processNames(t, dir) {
		fulmarctl(t, bin, dir, "keys", "issue", name)
		p, err := settings.Load(filepath.Join(dir, name+".ini"), "")
		is.NoErr(err)
		for _, a := range p.Agents {
			startBackend(t, document, a)
			members++
		}
		if p.Has(settings.RoleBalancer) {
			daemons++
		}
		if p.Has(settings.RoleControl) {
			c := admin.NewClient(admin.ClientOptions{Socket: p.Admin.Socket})
			defer c.Close()
			control = append(control, c)
		}
		startExample(t, bin, dir, name)
	}
	daemons += members

	w := &fleet{t: t}
	w.until("control takes changes", func(context.Context) bool {
		cmd := exec.Command(filepath.Join(bin, "fulmarctl"), "--socket", "run/"+operator+".sock",
			"apply", "--request-id", "example", "--expect", "0", "fleet.ini")
		cmd.Dir = dir
		return cmd.Run() == nil
	})
	// Only the leader of the control group knows the daemons.
	w.until("a control process has every daemon and member in force", func(ctx context.Context) bool {
		return slices.ContainsFunc(control, func(c *admin.Client) bool {
			s, err := c.Status(ctx)
			return err == nil && s.Progress.Daemons == daemons && s.Progress.InForce == daemons && len(s.Members) == members
		})
	})
	for _, s := range document.Services {
		callService(w, s)
	}
}

// processNames returns the names of the VMs of an example.
func processNames(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range files {
		if name := strings.TrimSuffix(filepath.Base(file), ".ini"); name != "fleet" {
			names = append(names, name)
		}
	}
	return names
}

func fulmarctl(t *testing.T, bin, dir string, args ...string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(bin, "fulmarctl"), args...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("fulmarctl %v: %v: %s", args, err, out)
	}
}

// startExample starts the process of one VM.
func startExample(t *testing.T, bin, dir, name string) {
	t.Helper()
	p := &process{t: t, name: name, file: filepath.Join(dir, name+".ini"), bin: bin, log: &bytes.Buffer{}}
	p.run()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s:\n%s", name, p.log)
		}
	})
}

// startBackend starts the stand-in that an agent is beside.
func startBackend(t *testing.T, document *corefleet.Document, a settings.Agent) {
	t.Helper()
	for _, s := range document.Services {
		if s.Name != a.Service {
			continue
		}
		var backend interface{ Close() error }
		var err error
		if s.Mode == corefleet.ModePacket {
			backend, err = standin.StartEcho(standin.EchoOptions{Name: a.ID, Listen: a.Backend})
		} else {
			backend, err = standin.StartOrderDesk(standin.OrderDeskOptions{Name: a.ID, Listen: a.Backend})
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = backend.Close() })
	}
}

// callService calls a service at each of its addresses until it answers.
func callService(f *fleet, s corefleet.Service) {
	f.t.Helper()
	for _, addr := range s.Addresses {
		f.until(fmt.Sprintf("%s answers", s.Name), func(ctx context.Context) bool {
			if s.Mode == corefleet.ModePacket {
				return echoed(ctx, addr)
			}
			return answered(ctx, addr)
		})
	}
}

func echoed(ctx context.Context, addr netip.AddrPort) bool {
	s, err := standin.StartSession(standin.SessionOptions{ID: 1, Targets: []netip.AddrPort{addr}})
	if err != nil {
		return false
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return s.Exchange(ctx) == nil
}

func answered(ctx context.Context, addr netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}
