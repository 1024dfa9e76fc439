package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/fulmarmount/internal/fleetfile"
	"fulmarmount.org/fulmarmount/internal/settings"
)

// example is what a folder of examples has to hold.
type example struct {
	folder, cluster string
	zones           int
	balancers       int
	backendServers  map[string]int
}

func TestExamplesAreWhole(t *testing.T) {
	for _, want := range []example{
		{"registry", "registry", 4, 4, map[string]int{"order-desk": 7, "catalogue": 4}},
		{"prismas", "prismas", 3, 3, map[string]int{"bench": 7, "fringe-images": 3}},
	} {
		t.Run(want.folder, func(t *testing.T) { checkExample(t, want) })
	}
}

func checkExample(t *testing.T, want example) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.CopyFS(dir, os.DirFS(filepath.Join("..", "..", "examples", want.folder))))
	run := func(args ...string) {
		t.Helper()
		var out bytes.Buffer
		o := Options{Args: args, Stdout: &out, Stderr: &out, Now: time.Now}
		if Run(context.Background(), o) != exitOK {
			t.Fatalf("%v: %s", args, &out)
		}
	}
	keysDir := filepath.Join(dir, "keys")
	run("keys", "--dir", keysDir, "init")
	files, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	is.NoErr(err)
	var processes []*settings.Process
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".ini")
		if name == "fleet" {
			continue
		}
		run("keys", "--dir", keysDir, "issue", name)
		process, err := settings.Load(file, "")
		is.NoErr(err)
		is.Equal(process.Name, name)
		processes = append(processes, process)
	}
	run(append([]string{"check"}, files...)...)
	document, err := fleetfile.Load(filepath.Join(dir, "fleet.ini"))
	is.NoErr(err)
	is.Equal(len(document.Services), len(want.backendServers))
	checkProcesses(is, want, processes)
}

func checkProcesses(is *is.I, want example, processes []*settings.Process) {
	zones, taken := map[string]bool{}, map[string]bool{}
	replicas, balancers, backendServers := 0, 0, map[string]int{}
	var peers []settings.Peer
	for _, p := range processes {
		zones[p.Zone] = true
		if p.Has(settings.RoleControl) {
			replicas++
			is.Equal(p.Control.Cluster, want.cluster)
			is.True(peers == nil || len(peers) == len(p.Control.Peers))
			peers = p.Control.Peers
		}
		if p.Has(settings.RoleBalancer) {
			balancers++
		}
		for _, a := range p.Agents {
			backendServers[a.Service]++
			is.Equal(a.Slots, 4)
			is.True(!taken[a.ID] && !taken[a.Packets.String()] && !taken[a.Requests.String()])
			taken[a.ID], taken[a.Packets.String()], taken[a.Requests.String()] = true, true, true
		}
	}
	is.Equal(len(zones), want.zones)
	is.Equal(replicas, len(peers))
	is.Equal(balancers, want.balancers)
	is.Equal(backendServers, want.backendServers)
}
