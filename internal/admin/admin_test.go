package admin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/fleetstore"
	"fulmarmount.org/fulmarmount/internal/keys"
)

func options(t *testing.T) Options {
	machine := fleetstore.NewStateMachine()
	return Options{
		Name: "vm-1", Socket: filepath.Join(t.TempDir(), "admin.sock"),
		Store: fleetstore.NewStore(fleetstore.NewLocalLog(machine), machine),
		Now:   time.Now, Log: zap.NewNop(),
	}
}

func start(t *testing.T, o Options) *Server {
	t.Helper()
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

func apply(id string) fleet.Command {
	return fleet.Command{
		Kind: fleet.KindApply, RequestID: id, Author: "claimed",
		Document: &fleet.Document{Defaults: fleet.DefaultSettings()},
	}
}

func TestRemoteOperatorsNeedTheirRole(t *testing.T) {
	set, _ := keys.Ephemeral(time.Now())
	other, _ := keys.Ephemeral(time.Now())
	o := options(t)
	o.Remote = "127.0.0.1:0"
	o.Identity, _ = set.Identity("vm-1", time.Now(), keys.Control)
	server := start(t, o)
	for _, tt := range []struct {
		name string
		set  *keys.Set
		role keys.Role
		ok   bool
	}{
		{"operator", set, keys.Operator, true},
		{"agent", set, keys.Agent, false},
		{"stranger", other, keys.Operator, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			identity, err := tt.set.Identity(tt.name, time.Now(), tt.role)
			is.NoErr(err)
			client := NewClient(ClientOptions{Remotes: []string{server.Remote().String()}, Identity: identity})
			defer client.Close()
			result, err := client.Propose(context.Background(), apply(""))
			is.Equal(err == nil, tt.ok)
			if !tt.ok {
				return
			}
			is.Equal(result.Outcome, fleet.OutcomeAccepted)
			entries, err := client.History(context.Background())
			is.NoErr(err)
			is.Equal(entries[0].Author, "operator") // the certificate's name, not the claimed one
		})
	}
}

func TestSocketIsPrivateAndSurvivesACrash(t *testing.T) {
	is := is.New(t)
	o := options(t)
	dead, err := net.ListenUnix("unix", &net.UnixAddr{Name: o.Socket, Net: "unix"})
	is.NoErr(err)
	dead.SetUnlinkOnClose(false)
	dead.Close() // leaves the file of a process that died
	server := start(t, o)
	info, err := os.Stat(o.Socket)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), socketMode)
	_, err = Start(o)
	is.True(errorx.IsOfType(err, ErrListen)) // in use
	is.NoErr(server.Stop(context.Background()))
	_, err = os.Stat(o.Socket)
	is.True(os.IsNotExist(err))
	left, err := os.ReadDir(filepath.Dir(o.Socket))
	is.NoErr(err)
	is.Equal(len(left), 0)
}

func TestClientTriesTheNextProcess(t *testing.T) {
	is := is.New(t)
	set, _ := keys.Ephemeral(time.Now())
	o := options(t)
	o.Remote = "127.0.0.1:0"
	o.Identity, _ = set.Identity("vm-1", time.Now(), keys.Control)
	server := start(t, o)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed.Close()
	operator, _ := set.Identity("jiwoo", time.Now(), keys.Operator)
	client := NewClient(ClientOptions{Remotes: []string{closed.Addr().String(), server.Remote().String()}, Identity: operator})
	defer client.Close()
	result, err := client.Propose(context.Background(), apply("")) // never sent to the first, so safe without an ID
	is.NoErr(err)
	is.Equal(result.Version, uint64(1))
}

// recordingStore remembers the last command.
type recordingStore struct {
	Store
	last fleet.Command
}

func (s *recordingStore) Propose(ctx context.Context, c fleet.Command) (fleet.Result, error) {
	s.last = c
	return s.Store.Propose(ctx, c)
}

func TestDocumentsAreLoggedAsTheirChange(t *testing.T) {
	is := is.New(t)
	ctx, o := context.Background(), options(t)
	store := &recordingStore{Store: o.Store}
	o.Store = store
	start(t, o)
	client := NewClient(ClientOptions{Socket: o.Socket})
	defer client.Close()
	wide := apply("a")
	for i := range 100 {
		wide.Document.Services = append(wide.Document.Services, fleet.Service{
			Name: fmt.Sprintf("service-%d", i), Mode: fleet.ModePacket,
			Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+i))},
		})
	}
	_, err := client.Propose(ctx, wide)
	is.NoErr(err)
	change := wide
	change.RequestID, change.ExpectedVersion = "b", 1
	change.Document.Services[7].Share = 1_000
	for range 2 { // the second one is a resend
		result, err := client.Propose(ctx, change)
		is.NoErr(err)
		is.Equal(result, fleet.Result{Outcome: fleet.OutcomeAccepted, Version: 2, Revision: 2})
		is.True(store.last.Document == nil)
		is.Equal(store.last.Patch.Size(), 1)
	}
	change.RequestID = "c"
	result, err := client.Propose(ctx, change)
	is.NoErr(err)
	is.Equal(result.Outcome, fleet.OutcomeConflict)
	change.ExpectedVersion = 9
	result, err = client.Propose(ctx, change)
	is.NoErr(err)
	is.Equal(result, fleet.Result{Outcome: fleet.OutcomeConflict, Version: 2, Revision: 2})
	current, err := client.Current(ctx)
	is.NoErr(err)
	is.Equal(len(current.Document.Services), 100)
}

func TestRefusals(t *testing.T) {
	o := options(t)
	empty := Options{Name: "vm-2", Now: time.Now, Log: zap.NewNop()}
	for _, tt := range []struct {
		name         string
		options      Options
		method, path string
		kind, body   string
		status       int
	}{
		{"not JSON", o, "POST", pathCommands, contentJSON, "{", http.StatusBadRequest},
		{"unknown field", o, "POST", pathCommands, contentJSON, `{"kind":"drain","host":"x"}`, http.StatusBadRequest},
		{"unknown kind", o, "POST", pathCommands, contentJSON, `{"kind":"reboot"}`, http.StatusBadRequest},
		{"form of a browser", o, "POST", pathCommands, "text/plain", `{"kind":"drain"}`, http.StatusUnsupportedMediaType},
		{"invalid", o, "POST", pathCommands, contentJSON, `{"kind":"drain"}`, http.StatusUnprocessableEntity},
		{"bad version", o, "GET", pathDocument + "?version=x", "", "", http.StatusBadRequest},
		{"unknown version", o, "GET", pathDocument + "?version=9", "", "", http.StatusNotFound},
		{"method", o, "PUT", pathCommands, "", "", http.StatusMethodNotAllowed},
		{"no store", empty, "GET", pathStatus, "", "", http.StatusServiceUnavailable},
		{"no replicas", empty, "POST", pathReplicas, contentJSON, "{}", http.StatusServiceUnavailable},
		{"no dumper", empty, "GET", pathDump, "", "", http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := &recorder{header: http.Header{}}
			r, err := http.NewRequest(tt.method, tt.path, bytes.NewBufferString(tt.body))
			is.NoErr(err)
			r.Header.Set("Content-Type", tt.kind)
			newHandler(tt.options).ServeHTTP(w, r)
			is.Equal(w.status, tt.status)
		})
	}
}

type recorder struct {
	header http.Header
	status int
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) Write(b []byte) (int, error) { return io.Discard.Write(b) }
func (r *recorder) WriteHeader(status int)      { r.status = status }

// A process that has released its socket to a successor does not remove the successor's
// when it stops.
func TestSecondStopLeavesTheSocketOfASuccessor(t *testing.T) {
	is := is.New(t)
	socket := filepath.Join(t.TempDir(), "admin.sock")
	o := Options{Socket: socket, Log: zap.NewNop()}
	first, err := Start(o)
	is.NoErr(err)
	is.NoErr(first.Stop(t.Context())) // released
	second, err := Start(o)
	is.NoErr(err)
	defer func() { is.NoErr(second.Stop(t.Context())) }()
	is.NoErr(first.Stop(t.Context()))
	_, err = os.Stat(socket)
	is.NoErr(err)
}
