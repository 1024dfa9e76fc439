package ctl

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/peterbourgon/ff/v4"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
	"fulmarmount.org/fulmarmount/internal/group"
	"fulmarmount.org/fulmarmount/internal/settings"
)

func (a *app) recoverCommand() *ff.Command {
	return &ff.Command{
		Name:      "recover",
		Usage:     "fulmarctl replica recover SETTINGS",
		ShortHelp: "make this VM's stopped replica the only one of a new cluster, offline",
		LongHelp: "For a control group that lost its quorum for good. What only the lost replicas held is\n" +
			"gone. Run it on one VM alone: the one whose dump shows the greatest term, and within it\n" +
			"the greatest last entry. Empty the folders of the others and add them again.",
		Flags: a.flagSet("recover"),
		Exec:  a.recover,
	}
}

func (a *app) recover(_ context.Context, args []string) error {
	if err := wantArgs(args, 1); err != nil {
		return err
	}
	process, err := settings.Load(args[0], "")
	if err != nil {
		return err
	}
	if !process.Has(settings.RoleControl) {
		return errUsage.New("%s holds no control role", args[0])
	}
	store, err := disk.Open(disk.Options{Dir: group.StoreDir(process.DataDir)})
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }() // all is synced
	if store.State().Snapshot.Index == 0 {
		return errRefused.New("%s holds no replica's state", group.StoreDir(process.DataDir))
	}
	cluster, err := newCluster()
	if err != nil {
		return err
	}
	self := quorum.Member{Name: process.Name, Address: process.Control.Listen.String()}
	if err := store.ForceNewCluster(cluster, self); err != nil {
		return err
	}
	hard := store.State().HardState
	a.out("replica %s is the only one of cluster %s, term %d, entry %d", store.Replica(), cluster, hard.Term, hard.Commit)
	return nil
}

// newCluster draws a cluster ID that is not zero.
func newCluster() (quorum.ClusterID, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return quorum.ClusterID(binary.BigEndian.Uint64(b[:]) | 1), nil
}
