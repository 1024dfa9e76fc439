package node

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/role/control"
	"fulmarmount.org/fulmarmount/internal/settings"
	"fulmarmount.org/fulmarmount/internal/standin"
)

// startControlProcess starts a process that holds the control role and serves
// operators.
func startControlProcess(t *testing.T, f *testFleet) *admin.Client {
	t.Helper()
	socket := filepath.Join(t.TempDir(), "admin.sock")
	o := f.options("control-1", settings.Process{
		Roles:       []settings.Role{settings.RoleControl},
		StopTimeout: patience,
		Admin:       settings.Admin{Socket: socket},
		Control:     settings.Control{Listen: netip.MustParseAddrPort("127.0.0.1:0")},
	})
	d := NewDumper(o)
	app := New(o, d, NewSuccession())
	if err := app.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = app.Stop(context.Background()) })
	f.control = d.running()[0].dump.(*control.Control)
	client := admin.NewClient(admin.ClientOptions{Socket: socket})
	t.Cleanup(client.Close)
	return client
}

func TestOperatorsChangeARunningFleet(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f := newEmptyFleet(t)
	client := startControlProcess(t, f)
	for i := range 2 {
		echo, err := standin.StartEcho(standin.EchoOptions{Name: fmt.Sprintf("bench-%d", i)})
		is.NoErr(err)
		defer echo.Close()
		f.agent("floor", echo.Addr())
	}
	b := f.balancer("balancer-1")

	propose := func(c fleet.Command) fleet.Result {
		result, err := client.Propose(ctx, c)
		is.NoErr(err)
		is.Equal(result.Outcome, fleet.OutcomeAccepted)
		until(t, "the change is in force on every daemon", func() bool {
			progress, err := client.Progress(ctx, result.Revision)
			is.NoErr(err)
			return progress.Daemons == 3 && progress.Whole()
		})
		return result
	}
	document := &fleet.Document{Defaults: fleet.DefaultSettings(), Services: []fleet.Service{
		{Name: "floor", Mode: fleet.ModePacket, Addresses: []netip.AddrPort{floorAddr}},
	}}
	propose(fleet.Command{Kind: fleet.KindApply, RequestID: "a", Document: document})
	settle(t, floorAddr)
	const id = 1 // of the first service of a new fleet
	until(t, "both backend servers take new flows", func() bool { return b.AvailableCount(id) == 2 })

	propose(fleet.Command{Kind: fleet.KindDrain, RequestID: "b", BackendServer: "floor-1"})
	is.Equal(b.AvailableCount(id), 1)
	status, err := client.Status(ctx)
	is.NoErr(err)
	is.Equal(status.Members[0].State, "draining")
	propose(fleet.Command{Kind: fleet.KindCancelDrain, RequestID: "c", BackendServer: "floor-1"})
	is.Equal(b.AvailableCount(id), 2)

	propose(fleet.Command{Kind: fleet.KindPatch, RequestID: "d", ExpectedVersion: 1, Patch: &fleet.Patch{
		PutExceptions: []fleet.Exception{{
			Name: "slow-disk", Scope: fleet.ScopeBackendServer, Target: "floor-2",
			Key: "weight", Value: "0", Reason: "its disk is being replaced",
		}},
	}})
	is.Equal(b.AvailableCount(id), 1)
	propose(fleet.Command{Kind: fleet.KindRollback, RequestID: "e", ExpectedVersion: 2, RollbackVersion: 0})
	is.Equal(b.BackendServerCount(id), 0)
	settled, err := client.Propose(ctx, fleet.Command{Kind: fleet.KindApply, RequestID: "a", Document: document})
	is.NoErr(err)
	is.Equal(settled.Version, uint64(1)) // the resend gets its first answer
}

// until waits for a condition.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("waited in vain until %s", what)
}
