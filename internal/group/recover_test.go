package group

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
)

// fullDisk is a store whose writes fail while the disk is full.
type fullDisk struct {
	store
	full *atomic.Bool
}

var errFull = errors.New("no space left on device")

func (d fullDisk) Save(rd quorum.Ready) error {
	if d.full.Load() {
		return errFull
	}
	return d.store.Save(rd)
}

// A disk that is full ends the replica, which leads nothing meanwhile. With space it
// goes on by itself, and holds what was acknowledged.
func TestReplicaGoesOnWhenItsDiskHasSpaceAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 3)
	var all []*process
	full := make([]atomic.Bool, len(b.peers))
	for i, p := range b.peers {
		b.openStore = func(o disk.Options) (store, error) {
			s, err := openStore(o)
			return fullDisk{store: s, full: &full[i]}, err
		}
		all = append(all, b.open(p))
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	leader := awaitLeader(t, all[0].Group).Leader
	i := 0
	for b.peers[i].Addr != leader {
		i++
	}
	ended := all[i].current()
	full[i].Store(true)
	onLeader(t, all, func(p *process) error {
		_, err := p.Propose(ctx, []byte("while full"))
		return err
	})
	<-ended.Done()
	l, _ := all[i].Leadership()
	is.True(!l.Leading)
	full[i].Store(false)
	until(t, "the replica runs again", func() bool { n := all[i].current(); return n != ended && n.Err() == nil })
	until(t, "it holds what was acknowledged", func() bool {
		if all[i].Barrier(ctx) != nil {
			return false
		}
		all[i].state.mu.Lock()
		defer all[i].state.mu.Unlock()
		for _, item := range all[i].state.items {
			if item == "while full" {
				return true
			}
		}
		return false
	})
	is.True(awaitLeader(t, all[i].Group).Leader.IsValid()) // and whoever waits hears of leaders again
}
