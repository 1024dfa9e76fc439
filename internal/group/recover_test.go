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
	isFull *atomic.Bool
}

var errNoSpace = errors.New("no space left on device")

func (d fullDisk) Save(rd quorum.Ready) error {
	if d.isFull.Load() {
		return errNoSpace
	}
	return d.store.Save(rd)
}

// A full disk stops the replica, which loses leadership. Once the disk has space, the
// replica must restart by itself and hold every acknowledged command.
func TestReplicaRestartsWhenItsDiskHasSpaceAgain(t *testing.T) {
	is := is.New(t)
	b := newTestGroup(t, 3)
	var processes []*process
	full := make([]atomic.Bool, len(b.peers))
	for i, p := range b.peers {
		b.openStore = func(o disk.Options) (store, error) {
			s, err := openStore(o)
			return fullDisk{store: s, isFull: &full[i]}, err
		}
		processes = append(processes, b.open(p))
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	leader := awaitLeader(t, processes[0].Group).LeaderAddr
	i := 0
	for b.peers[i].Addr != leader {
		i++
	}
	failedNode := processes[i].currentNode()
	full[i].Store(true)
	onLeader(t, processes, func(p *process) error {
		_, err := p.Propose(ctx, []byte("while full"))
		return err
	})
	<-failedNode.Done()
	l, _ := processes[i].Leadership()
	is.True(!l.IsLeader)
	full[i].Store(false)
	eventually(t, "the replica runs again", func() bool { n := processes[i].currentNode(); return n != failedNode && n.Err() == nil })
	eventually(t, "the replica holds the acknowledged command", func() bool {
		if processes[i].Barrier(ctx) != nil {
			return false
		}
		processes[i].state.mu.Lock()
		defer processes[i].state.mu.Unlock()
		for _, item := range processes[i].state.commands {
			if item == "while full" {
				return true
			}
		}
		return false
	})
	is.True(awaitLeader(t, processes[i].Group).LeaderAddr.IsValid()) // and Leadership signals changes again
}
