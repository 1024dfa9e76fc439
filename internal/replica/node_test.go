package replica

import (
	"context"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
)

func TestAloneInMemory(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, memoryStores(t, 1)...)
	n := c.leader()
	for i := range uint64(50) {
		is.NoErr(c.set(n, i))
	}
	is.NoErr(c.wait("read", func() error { return n.ReadIndex(context.Background()) }))
	is.Equal(c.states[n.options.Store.Replica()].get(), uint64(49))
	is.True(n.Status().Counters.Snapshots > 0)
	is.NoErr(n.Stop(context.Background()))
	_, err := n.Propose(context.Background(), encode(1))
	is.True(errorx.IsOfType(err, Stopped))
}

func TestFollowersForward(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, memoryStores(t, 3)...)
	f := c.follower()
	var before []byte
	is.NoErr(c.set(c.leader(), 5))
	is.NoErr(c.wait("forward", func() (err error) {
		before, err = f.Propose(context.Background(), encode(6))
		return err
	}))
	is.Equal(before, encode(5))
	is.NoErr(c.wait("read", func() error { return f.ReadIndex(context.Background()) }))
	is.Equal(c.states[f.options.Store.Replica()].get(), uint64(6))
}

func TestRestartsFromDisk(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	open := func(name string) *disk.Store {
		s, err := disk.Open(disk.Options{Dir: filepath.Join(folder, name)})
		is.NoErr(err)
		return s
	}
	stores := []*disk.Store{open("a"), open("b"), open("c")}
	c := newCluster(t, stores[0], stores[1], stores[2])
	for i := range uint64(30) {
		is.NoErr(c.set(c.leader(), i))
	}
	for i, name := range []string{"a", "b", "c"} {
		c.kill(stores[i].Replica())
		is.NoErr(stores[i].Close())
		stores[i] = open(name)
		n := c.start(stores[i])
		is.NoErr(c.set(c.leader(), uint64(100+i)))
		is.NoErr(c.wait("read", func() error { return n.ReadIndex(context.Background()) }))
		is.Equal(c.states[stores[i].Replica()].get(), uint64(100+i))
	}
}

func TestSyncErrorStopsForGood(t *testing.T) {
	is := is.New(t)
	stores := memoryStores(t, 3)
	var failing []*failingStore
	for i := range stores {
		failing = append(failing, &failingStore{Store: stores[i]})
		stores[i] = failing[i]
	}
	c := newCluster(t, stores...)
	leader := c.leader()
	is.NoErr(c.set(leader, 1))
	is.NoErr(leader.call(context.Background(), func() { leader.options.Store.(*failingStore).broken = true }))
	err := c.set(leader, 2)
	is.True(isOneOf(err, OutcomeUnknown, Stopped))
	<-leader.Done()
	is.True(leader.Err() != nil)
	c.kill(leader.options.Store.Replica())
	is.NoErr(c.set(c.leader(), 3)) // the others go on
}

func TestCutOffLeaderNeitherAcceptsNorReads(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, memoryStores(t, 3)...)
	old := c.leader()
	is.NoErr(c.set(old, 1))
	c.mu.Lock()
	c.cut[old.options.Store.Replica()] = true
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, 2)
	go func() { errs <- old.ReadIndex(ctx) }()
	go func() {
		_, err := old.Propose(ctx, encode(2))
		errs <- err
	}()
	is.NoErr(c.set(c.leader(), 3))
	for range 200 {
		c.tick()
	}
	cancel()
	for range 2 {
		is.True(isOneOf(<-errs, OutcomeUnknown, NotRun, Unconfirmed))
	}
	is.Equal(c.states[old.options.Store.Replica()].get(), uint64(1))
}

func TestReplaceAReplica(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newCluster(t, memoryStores(t, 3)...)
	for i := range uint64(60) { // beyond a snapshot
		is.NoErr(c.set(c.leader(), i))
	}
	lost := c.follower().options.Store.Replica()
	c.kill(lost)
	fresh := memoryStores(t, 1)[0]
	learner := c.start(fresh)
	member := quorum.Member{ID: fresh.Replica(), Name: "vm-3"}
	leader := c.leader()
	is.True(errorx.IsOfType(learner.AddLearner(ctx, member), NotLeader))
	is.NoErr(c.wait("add", func() error { return leader.AddLearner(ctx, member) }))
	c.until("promotion", func() bool { return leader.Promote(ctx, member.ID) == nil })
	is.NoErr(c.wait("remove", func() error { return leader.Remove(ctx, lost) }))
	c.kill(leader.options.Store.Replica()) // a second loss right after
	is.NoErr(c.set(c.leader(), 100))
	is.NoErr(c.wait("read", func() error { return learner.ReadIndex(ctx) }))
	is.Equal(c.states[member.ID].get(), uint64(100))
}

func TestStopHandsLeadershipOver(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, memoryStores(t, 3)...)
	old := c.leader()
	is.NoErr(c.set(old, 1))
	term := old.Status().Term
	is.NoErr(c.wait("stop", func() error { return old.Stop(context.Background()) }))
	next := c.leader()
	is.True(next != old)
	is.Equal(next.Status().Term, term+1) // by transfer, not by timeout
}

// operation is an input to the register's model.
type operation struct {
	set   bool
	value uint64
}

// model is the register as porcupine checks it.
var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		op := input.(operation)
		if op.set {
			return output == nil || output == state, op.value
		}
		return output == state, state
	},
}

// TestLinearizable runs clients against replicas that lose messages and checks
// their history. A lost answer to a set leaves it open until the end.
func TestLinearizable(t *testing.T) {
	const clients, operations = 4, 40
	c := newCluster(t, memoryStores(t, 3)...)
	c.leader()
	c.mu.Lock()
	c.loss = 0.05
	c.mu.Unlock()
	var clock atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	var running sync.WaitGroup
	nodes := []*Node{}
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	for client := range clients {
		running.Go(func() {
			for i := range operations {
				n := nodes[(client+i)%len(nodes)]
				op := operation{set: i%2 == 0, value: uint64(client*operations + i + 1)}
				record := porcupine.Operation{ClientId: client, Input: op, Call: clock.Add(1)}
				output, ended := perform(c, n, op)
				record.Output, record.Return = output, clock.Add(1)
				if !ended {
					record.Return = int64(1) << 62
				}
				mu.Lock()
				history = append(history, record)
				mu.Unlock()
			}
		})
	}
	_ = c.wait("clients", func() error { running.Wait(); return nil })
	if !porcupine.CheckOperations(model, history) {
		t.Fatal("history is not linearizable")
	}
}

// answerTicks is how long a client waits for an answer.
const answerTicks = 100

// perform runs one operation; a set whose answer is lost has not ended.
func perform(c *cluster, n *Node, op operation) (output any, ended bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !op.set {
		for n.ReadIndex(ctx) != nil {
			continue
		}
		return c.states[n.options.Store.Replica()].get(), true
	}
	c.after(answerTicks, cancel)
	result, err := n.Propose(ctx, encode(op.value))
	if err != nil {
		return nil, false
	}
	before := uint64(0)
	for _, b := range result {
		before = before<<8 | uint64(b)
	}
	return before, true
}
