package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/fleetstore"
	"fulmarmount.org/fulmarmount/internal/keys"
)

var now = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

const one = `[service.order-desk]
mode = packet
addresses = 10.1.0.1:443
`

const two = one + `
[service.catalogue]
mode = packet
addresses = 10.1.0.2:443
`

// control is a control process as the command line sees it.
type control struct {
	admin.Store
	// lost is the number of answers still to be lost after their command ran.
	lost    atomic.Int32
	lagging bool
	// following is set while another process leads.
	following bool
	removed   string
}

func (c *control) Propose(ctx context.Context, command fleet.Command) (fleet.Result, error) {
	result, err := c.Store.Propose(ctx, command)
	if c.lost.Add(-1) >= 0 {
		return fleet.Result{}, fleetstore.ErrOutcomeUnknown.New("the leader is gone")
	}
	return result, err
}

func (c *control) Progress(revision uint64, _ int) admin.Progress {
	p := admin.Progress{Revision: revision, Daemons: 3, InForce: 3}
	if c.following {
		return admin.Progress{Revision: revision}
	}
	if c.lagging {
		p.InForce, p.Missing = 1, []admin.Daemon{{Name: "vm-7"}}
	}
	return p
}

func (c *control) Members() []admin.Member {
	return []admin.Member{{Service: "order-desk", ID: "order-desk-1", Zone: "sejong-a", State: "draining", Flows: 41, Reasons: []string{"drained by an operator"}}}
}

func (c *control) Replicas(context.Context) ([]admin.Replica, error) {
	return []admin.Replica{{ID: "r1", Name: "vm-1", Addr: "127.0.0.1:7000", Voter: true, Match: 9}}, nil
}

func (c *control) AddReplica(_ context.Context, name string, _ netip.AddrPort) error {
	return errors.New("replica " + name + " answers for another cluster")
}

func (c *control) RemoveReplica(_ context.Context, id string) error {
	c.removed = id
	return nil
}

func (c *control) Write(w io.Writer) error {
	_, err := io.WriteString(w, `{"name":"vm-1"}`)
	return err
}

// bench is a process, a folder and the command line.
type bench struct {
	t       *testing.T
	dir     string
	control *control
	socket  string
	remote  string
	ids     int
}

func newBench(t *testing.T) *bench {
	t.Helper()
	dir := t.TempDir()
	machine := fleetstore.NewStateMachine()
	c := &control{Store: fleetstore.NewStore(fleetstore.NewLocalLog(machine), machine)}
	set, err := keys.Ephemeral(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	identity, err := set.Identity("vm-1", time.Now(), keys.Control)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, dir: dir, control: c, socket: filepath.Join(dir, "admin.sock")}
	server, err := admin.Start(admin.Options{
		Name: "vm-1", Socket: b.socket, Remote: "127.0.0.1:0", Identity: identity,
		Store: c, Spread: c, Replicas: c, Dumper: c,
		Now: func() time.Time { return now }, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	b.remote = server.Remote().String()
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	return b
}

func (b *bench) file(name, text string) string {
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// run returns the exit code and both outputs.
func (b *bench) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := Run(context.Background(), Options{
		Args: append([]string{"--socket", b.socket}, args...), Stdout: &out, Stderr: &out,
		Now:   func() time.Time { return now },
		NewID: func() string { b.ids++; return fmt.Sprintf("id-%d", b.ids) },
	})
	return code, out.String()
}

func TestCommands(t *testing.T) {
	b := newBench(t)
	first, second := b.file("one.ini", one), b.file("two.ini", two)
	bad := b.file("bad.ini", one+"[service.catalogue]\nmode = tcp\naddresses = 10.1.0.1:443\n[x]\n")
	steps := []struct {
		args string
		code int
		want string
	}{
		{"check " + first + " " + second, exitOK, "2 files, no findings"},
		{"check " + bad, exitFailed, "bad.ini:5: [service.catalogue] mode:"},
		{"apply " + bad, exitFailed, "bad.ini:7: [x] unknown section"},
		{"apply -m start " + first, exitOK, "version 1 is accepted"},
		{"apply --expect 0 " + second, exitConflict, "expected version 0, but version 1 is in force"},
		{"apply --request-id a --expect 1 " + second, exitOK, "version 2 is accepted"},
		{"apply --request-id a --expect 1 " + second, exitOK, "version 2 is accepted"},
		{"apply --request-id a --expect 1 " + first, exitFailed, `request ID "a" was used for another command`},
		{"apply --request-id a " + first, exitUsage, "--request-id needs --expect"},
		{"get", exitOK, "# version 2\n[defaults]"},
		{"get --version 1", exitOK, "# version 1\n"},
		{"get --version 9", exitFailed, "version is to come or no longer kept"},
		{"diff 1 2", exitOK, "+ [service.catalogue] mode = packet\n+ [service.catalogue] addresses = 10.1.0.2:443\n"},
		{"rollback --wait --to 1", exitOK, "version 3 is accepted\nin force on 3 of 3 daemons"},
		{"rollback --to 77", exitFailed, "there is no such version"},
		{"diff 1 3", exitOK, ""},
		{"patch --expect 3 " + b.file("status.ini", strings.ReplaceAll(two, "10.1.0.", "10.1.1.")), exitOK, "version 4 is accepted"},
		{"patch --expect 3 --delete service.order-desk", exitConflict, "expected version 3, but version 4 is in force"},
		{"patch --delete service.gone", exitFailed, "[service.gone] there is no such section to delete"},
		{"patch", exitUsage, "one file, or --delete, is needed"},
		{"history", exitOK, "1        2026-03-01T09:00:00Z"},
		{"drain -m disk order-desk-1", exitOK, "drain of order-desk-1 is accepted"},
		{"status", exitOK, "drain of order-desk-1 since 2026-03-01T09:00:00Z"},
		{"status", exitOK, "order-desk  order-desk-1    sejong-a  draining  0       41     0     drained by an operator"},
		{"status --json", exitOK, `"version": 4`},
		{"drain --cancel order-desk-1", exitOK, "cancel drain of order-desk-1 is accepted"},
		{"drain --cancel order-desk-1", exitFailed, "there is no such version or drain"},
		{"drain ORDER", exitFailed, `"ORDER" is not the name of a backend server`},
		{"dump", exitOK, "{\n  \"name\": \"vm-1\"\n}"},
		{"replica list", exitOK, "r1       vm-1  127.0.0.1:7000  yes    -       9"},
		{"replica add vm-2 127.0.0.2:7000", exitFailed, "answers for another cluster"},
		{"replica add vm-2 there", exitUsage, "not an IP address"},
		{"replica remove r1", exitOK, ""},
		{"replica", exitUsage, "list the replicas"},
		{"apply", exitUsage, "0 arguments given, 1 needed"},
		{"apply --help", exitOK, "--request-id"},
		{"--help", exitOK, "rollback"},
		{"frobnicate", exitUsage, ""},
		{"--remote 127.0.0.1:1 status", exitUsage, "--remote needs --ca, --cert and --key"},
	}
	for _, step := range steps {
		code, out := b.run(strings.Fields(step.args)...)
		if code != step.code || !strings.Contains(out, step.want) {
			t.Fatalf("%s: exit code %d, not %d, output:\n%s\nwithout:\n%s", step.args, code, step.code, out, step.want)
		}
	}
	if b.control.removed != "r1" {
		t.Error("replica was not removed")
	}
}

func TestLostAnswersAreAskedForAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.control.lost.Store(2)
	code, out := b.run("apply", b.file("one.ini", one))
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "version 1 is accepted")) // the first answer, not a conflict
	b.control.lost.Store(1 << 20)
	code, out = b.run("--timeout", "250ms", "apply", b.file("two.ini", two))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(out, "--request-id id-2 --expect 1"))
	b.control.lost.Store(0)
	code, out = b.run("apply", "--request-id", "id-2", "--expect", "1", b.file("two.ini", two))
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "version 2 is accepted"))
}

func TestWaitNamesTheDaemonsThatLack(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.control.lagging = true
	code, out := b.run("--timeout", "250ms", "apply", "--wait", b.file("one.ini", one))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(out, "in force on 1 of 3 daemons, not on: vm-7, 1 more"))
}

func TestWaitDoesNotTrustAProcessThatKnowsNoDaemons(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.control.following = true
	code, out := b.run("--timeout", "250ms", "apply", "--wait", b.file("one.ini", one))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(out, "version 1 is accepted"))
	is.True(strings.Contains(out, "cannot tell where it is in force"))
	_, out = b.run("status")
	is.True(strings.Contains(out, "vm-1 knows no daemons"))
}

func TestKeysMakeAWorkingCertificate(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	dir := filepath.Join(b.dir, "keys")
	for _, step := range []struct {
		args string
		code int
		want string
	}{
		{"init", exitOK, "keep ca.key off the VMs"},
		{"init", exitFailed, "already holds an authority"},
		{"issue --roles operator,agent --days 2 jiwoo", exitOK, "valid until 2026-03-03T09:00:00Z"},
		{"issue --roles king jiwoo", exitUsage, `"king" is none of the roles`},
		{"issue --days 9999 jiwoo", exitFailed, "would outlive the authority"},
		{"issue ../jiwoo", exitUsage, "is not a name"},
		{"issue ca", exitUsage, "is the authority's"},
		{"rotate --lead 1h", exitOK, "packet key 2 is used from 2026-03-01T10:00:00Z"},
		{"show", exitOK, "jiwoo.pem    jiwoo                  agent,operator  2026-03-03T09:00:00Z  ends soon"},
		{"show", exitOK, "2           2026-03-01T10:00:00Z  to come"},
	} {
		code, out := b.run(append([]string{"keys", "--dir", dir}, strings.Fields(step.args)...)...)
		if code != step.code || !strings.Contains(out, step.want) {
			t.Errorf("%s: exit code %d, not %d, output:\n%s", step.args, code, step.code, out)
		}
	}
	_, err := keys.Load(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "jiwoo.pem"), filepath.Join(dir, "jiwoo.key"))
	is.NoErr(err)
}
