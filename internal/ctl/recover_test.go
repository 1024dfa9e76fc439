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

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
	"fulmarmount.org/fulmarmount/internal/group"
	"fulmarmount.org/fulmarmount/internal/replica"
)

func TestRecoverMakesAClusterOfOne(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "fulmard.ini")
	is.NoErr(os.WriteFile(file, []byte("[process]\nname = vm-1\nzone = a\nroles = control, balancer, agent\ndata_dir = data\n"+
		"[control]\nlisten = 127.0.0.1:7600\ncluster = main\n[balancer]\npackets = 127.0.0.1:7601\n"+
		"[agent.desk]\nid = desk-1\nbackend = 127.0.0.1:7602\npackets = 127.0.0.1:7603\nrequests = 127.0.0.1:7604\n"), 0o600))
	run := func() (int, string) {
		var out bytes.Buffer
		code := Run(context.Background(), Options{
			Args: []string{"replica", "recover", file}, Stdout: &out, Stderr: &out, Now: time.Now,
		})
		return code, out.String()
	}
	code, _ := run()
	is.Equal(code, exitFailed) // an empty folder holds nothing to recover

	store, err := disk.Open(disk.Options{Dir: group.StoreDir(filepath.Join(dir, "data"))})
	is.NoErr(err)
	is.NoErr(replica.Bootstrap(store, 7, quorum.Member{ID: store.Replica()}, quorum.Member{ID: 8}, quorum.Member{ID: 9}))
	is.NoErr(store.Close())
	code, out := run()
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "only one of cluster"))
	store, err = disk.Open(disk.Options{Dir: group.StoreDir(filepath.Join(dir, "data"))})
	is.NoErr(err)
	is.Equal(len(store.State().Snapshot.Membership.Members), 1)
	is.Equal(store.State().Snapshot.Membership.Members[0].Name, "vm-1")
	is.NoErr(store.Close())
}
