package group

import (
	"context"
	"errors"
	"fmt"
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

func (d fullDisk) Compact(s quorum.Snapshot, first uint64) error {
	if d.isFull.Load() {
		return errNoSpace
	}
	return d.store.Compact(s, first)
}

// startGroupWithFullDisks starts processes whose disks are full while full says so, also
// for the rewrite of the log when a store is reopened. The disks of initiallyFull are
// full at first.
func startGroupWithFullDisks(t *testing.T, replicas int, initiallyFull ...int) ([]*process, []atomic.Bool) {
	b := newTestGroup(t, replicas)
	full := make([]atomic.Bool, replicas)
	for _, i := range initiallyFull {
		full[i].Store(true)
	}
	var processes []*process
	for i, p := range b.peers {
		b.openStore = func(o disk.Options) (store, error) {
			if o.RewriteOnOpen && full[i].Load() {
				return nil, errNoSpace
			}
			s, err := openStore(o)
			return fullDisk{store: s, isFull: &full[i]}, err
		}
		processes = append(processes, b.open(p))
	}
	return processes, full
}

// Guards against a group that takes no changes after its disks were full one after
// another: each replica must run again by itself and hold what was acknowledged.
func TestGroupTakesChangesAfterEachDiskWasFull(t *testing.T) {
	is := is.New(t)
	processes, full := startGroupWithFullDisks(t, 3)
	ctx, cancel := context.WithCancel(context.Background()) // eventually limits each wait
	defer cancel()
	awaitLeader(t, processes[0].Group)
	// Large commands make snapshots due, which fail on a full disk as well.
	command := func(round, i int) []byte { return fmt.Appendf(nil, "%d-%d-%0100000d", round, i, 0) }
	for round := range 2 {
		for i := range processes {
			failed := processes[i].currentNode()
			full[i].Store(true)
			for range 8 {
				onLeader(t, processes, func(p *process) error {
					_, err := p.Propose(ctx, command(round, i))
					return err
				})
			}
			<-failed.Done()
			full[i].Store(false)
			eventually(t, "the replica runs again and is up to date", func() bool {
				n := processes[i].currentNode()
				return n != failed && n.Err() == nil && processes[i].Barrier(ctx) == nil
			})
		}
	}
	onLeader(t, processes, func(p *process) error {
		_, err := p.Propose(ctx, []byte("last"))
		return err
	})
	for _, p := range processes {
		is.NoErr(p.Barrier(ctx))
		p.state.mu.Lock()
		is.Equal(p.state.commands[len(p.state.commands)-1], "last")
		p.state.mu.Unlock()
	}
}

// Guards against a founding replica that never runs, since its disk was full when the
// cluster was bootstrapped.
func TestReplicaBootstrapsOnceItsDiskHasSpace(t *testing.T) {
	is := is.New(t)
	processes, full := startGroupWithFullDisks(t, 3, 2)
	ctx, cancel := context.WithCancel(context.Background()) // eventually limits each wait
	defer cancel()
	onLeader(t, processes[:2], func(p *process) error {
		_, err := p.Propose(ctx, []byte("while full"))
		return err
	})
	full[2].Store(false)
	eventually(t, "the replica runs", func() bool { return processes[2].currentNode() != nil })
	eventually(t, "the replica is up to date", func() bool { return processes[2].Barrier(ctx) == nil })
	processes[2].state.mu.Lock()
	defer processes[2].state.mu.Unlock()
	is.Equal(processes[2].state.commands, []string{"while full"})
}

// A full disk stops the replica, which loses leadership. Once the disk has space, the
// replica must restart by itself and hold every acknowledged command.
func TestReplicaRestartsWhenItsDiskHasSpaceAgain(t *testing.T) {
	is := is.New(t)
	processes, full := startGroupWithFullDisks(t, 3)
	ctx, cancel := context.WithCancel(context.Background()) // eventually limits each wait
	defer cancel()
	leader := awaitLeader(t, processes[0].Group).LeaderAddr
	i := 0
	for processes[i].options.Addr != leader {
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
