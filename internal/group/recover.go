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

// reopenInterval is the time between attempts to reopen the store after a failed
// write.
const reopenInterval = 500 * time.Millisecond

// ErrReplicaMismatch reports that the reopened store holds another replica's state.
var ErrReplicaMismatch = Errors.NewType("lost")

// newNode starts a replica with the state in a store.
func (g *Group) newNode(s store) (*replica.Node, error) {
	return replica.Start(replica.Options{
		Store: s, StateMachine: g.options.StateMachine, Transport: g.link,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), TickInterval: g.options.TickInterval, Log: g.options.Log,
	})
}

// restartAfterStoreFailure restarts the replica after a failed write of its store: a
// disk that was full or rejected writes may accept them later. A replica that has
// lost acknowledged state stays stopped.
func (g *Group) restartAfterStoreFailure(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.started:
	}
	for n := g.currentNode(); n != nil; n = g.currentNode() {
		select {
		case <-ctx.Done():
			return
		case <-n.Done():
		}
		err := n.Err()
		if err == nil || errorx.IsOfType(err, quorum.ErrLogRolledBack) || g.options.Dir == "" {
			return
		}
		if !g.reopenStore(ctx) {
			return
		}
		n.NotifyReplaced()
	}
}

// reopenStore retries until the store is open and the replica runs again, or ctx
// ends, and reports whether it succeeded.
func (g *Group) reopenStore(ctx context.Context) bool {
	return g.retryAfterClose(ctx, func(s store) error {
		n, err := g.newNode(s)
		if err != nil {
			return err
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.store, g.node = s, n
		return nil
	})
}

// replaceFailedStore retries until the store of a replica that does not run yet is open
// again, or ctx ends, and reports whether it succeeded.
func (g *Group) replaceFailedStore(ctx context.Context) bool {
	return g.retryAfterClose(ctx, func(s store) error {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.store = s
		return nil
	})
}

// retryAfterClose closes the failed store, and opens it again until use succeeds or ctx
// ends. It reports whether use has succeeded.
func (g *Group) retryAfterClose(ctx context.Context, use func(store) error) bool {
	if err := g.store.Close(); err != nil {
		g.options.Log.Warn("Could not close the failed store. Reopening it anyway.", zap.Error(err))
	}
	for pace.Sleep(ctx, reopenInterval) {
		err := g.reopenAndUse(use)
		if err == nil {
			g.options.Log.Info("Reopened the store after a failed write.")
			return true
		}
		g.options.Log.Warn("Could not reopen the store. Retrying.", zap.Error(err))
	}
	return false
}

func (g *Group) reopenAndUse(use func(store) error) error {
	s, err := g.options.openStore(disk.Options{Dir: g.options.Dir, RewriteOnOpen: true})
	if err != nil {
		return err
	}
	if s.Replica() != g.self.ID {
		err = ErrReplicaMismatch.New("reopened store holds replica %s, expected %s", s.Replica(), g.self.ID)
	}
	if err == nil {
		err = use(s)
	}
	if err != nil {
		return errorx.DecorateMany("could not use the reopened store", err, s.Close())
	}
	return nil
}
