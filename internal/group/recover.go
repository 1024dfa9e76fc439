package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/replica"
)

// reopenInterval is the time between attempts to go on after a failed write.
const reopenInterval = 500 * time.Millisecond

// Lost says that the disk no longer holds the replica that it held.
var Lost = Errors.NewType("lost")

// newReplica runs a replica with what a store holds.
func (g *Group) newReplica(s store) (*replica.Node, error) {
	return replica.Start(replica.Options{
		Store: s, StateMachine: g.options.Machine, Transport: g.link,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), TickInterval: g.options.Tick, Log: g.options.Log,
	})
}

// watch starts the replica again whenever a write of its store has failed: a disk
// that was full or refused writes may take them later. A replica that has lost what
// it acknowledged stays ended.
func (g *Group) watch(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.started:
	}
	for n := g.current(); n != nil; n = g.current() {
		select {
		case <-ctx.Done():
			return
		case <-n.Done():
		}
		err := n.Err()
		if err == nil || errorx.IsOfType(err, quorum.ErrLogRolledBack) || g.options.Folder == "" {
			return
		}
		if !g.reopen(ctx) {
			return
		}
		n.NotifyReplaced()
	}
}

// reopen tries until the store opens again and reports whether it has.
func (g *Group) reopen(ctx context.Context) bool {
	if err := g.store.Close(); err != nil {
		g.options.Log.Warn("Could not close the store that failed.", zap.Error(err))
	}
	for pace.Sleep(ctx, reopenInterval) {
		err := g.tryReopen()
		if err == nil {
			g.options.Log.Info("Replica goes on with what its disk holds.")
			return true
		}
		g.options.Log.Warn("Replica cannot go on yet.", zap.Error(err))
	}
	return false
}

func (g *Group) tryReopen() error {
	s, err := g.options.open(disk.Options{Folder: g.options.Folder, Rewrite: true})
	if err != nil {
		return err
	}
	if s.Replica() != g.self.ID {
		err = Lost.New("the disk holds replica %s, not %s", s.Replica(), g.self.ID)
	}
	var n *replica.Node
	if err == nil {
		n, err = g.newReplica(s)
	}
	if err != nil {
		return errorx.DecorateMany("replica does not start", err, s.Close())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store, g.node = s, n
	return nil
}
