package replica

import (
	"context"
	"os"
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

func TestSingleReplicaAppliesProposals(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, memoryStores(t, 1)...)
	n := c.awaitLeader()
	for i := range uint64(50) {
		is.NoErr(c.proposeValue(n, i))
	}
	is.NoErr(c.tickDuring("read", func() error { return n.ReadIndex(context.Background()) }))
	is.Equal(c.registers[n.options.Store.Replica()].current(), uint64(49))
	is.True(n.Status().Counters.Snapshots > 0)
	is.NoErr(n.Stop(context.Background()))
	_, err := n.Propose(context.Background(), encode(1))
	is.True(errorx.IsOfType(err, ErrStopped))
	is.NoErr(n.Stop(context.Background())) // a second stop does no harm
}

func TestFollowerForwardsProposals(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, memoryStores(t, 3)...)
	f := c.awaitFollower()
	var previous []byte
	is.NoErr(c.proposeValue(c.awaitLeader(), 5))
	is.NoErr(c.tickDuring("forwarded proposal", func() (err error) {
		previous, err = f.Propose(context.Background(), encode(6))
		return err
	}))
	is.Equal(previous, encode(5))
	is.NoErr(c.tickDuring("read", func() error { return f.ReadIndex(context.Background()) }))
	is.Equal(c.registers[f.options.Store.Replica()].current(), uint64(6))
}

func TestReplicasRecoverStateFromDisk(t *testing.T) {
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
		is.NoErr(c.proposeValue(c.awaitLeader(), i))
	}
	for i, name := range []string{"a", "b", "c"} {
		c.kill(stores[i].Replica())
		is.NoErr(stores[i].Close())
		stores[i] = open(name)
		n := c.start(stores[i])
		is.NoErr(c.proposeValue(c.awaitLeader(), uint64(100+i)))
		is.NoErr(c.tickDuring("read", func() error { return n.ReadIndex(context.Background()) }))
		is.Equal(c.registers[stores[i].Replica()].current(), uint64(100+i))
	}
}

func TestFailedSaveStopsReplica(t *testing.T) {
	is := is.New(t)
	stores := memoryStores(t, 3)
	var failing []*failingStore
	for i := range stores {
		failing = append(failing, &failingStore{Store: stores[i]})
		stores[i] = failing[i]
	}
	c := newCluster(t, stores...)
	leader := c.awaitLeader()
	is.NoErr(c.proposeValue(leader, 1))
	is.NoErr(leader.runInLoop(context.Background(), func() { leader.options.Store.(*failingStore).failSaves = true }))
	err := c.proposeValue(leader, 2)
	is.True(isOfAnyType(err, ErrOutcomeUnknown, ErrStopped))
	<-leader.Done()
	is.True(leader.Err() != nil)
	c.kill(leader.options.Store.Replica())
	is.NoErr(c.proposeValue(c.awaitLeader(), 3)) // the remaining majority still commits
}

func TestIsolatedLeaderCommitsNothingAndConfirmsNoReads(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, memoryStores(t, 3)...)
	old := c.awaitLeader()
	is.NoErr(c.proposeValue(old, 1))
	c.mu.Lock()
	c.isolated[old.options.Store.Replica()] = true
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, 2)
	go func() { errs <- old.ReadIndex(ctx) }()
	go func() {
		_, err := old.Propose(ctx, encode(2))
		errs <- err
	}()
	is.NoErr(c.proposeValue(c.awaitLeader(), 3))
	for range 200 {
		c.tick()
	}
	cancel()
	for range 2 {
		is.True(isOfAnyType(<-errs, ErrOutcomeUnknown, ErrNotProposed, ErrReadUnconfirmed))
	}
	is.Equal(c.registers[old.options.Store.Replica()].current(), uint64(1))
}

func TestLostReplicaCanBeReplaced(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newCluster(t, memoryStores(t, 3)...)
	for i := range uint64(60) { // several times SnapshotEntries, so the learner needs a snapshot
		is.NoErr(c.proposeValue(c.awaitLeader(), i))
	}
	lost := c.awaitFollower().options.Store.Replica()
	c.kill(lost)
	emptyStore := memoryStores(t, 1)[0]
	learner := c.start(emptyStore)
	member := quorum.Member{ID: emptyStore.Replica(), Name: "vm-3"}
	leader := c.awaitLeader()
	is.True(errorx.IsOfType(learner.AddLearner(ctx, member), ErrNotLeader))
	is.NoErr(c.tickDuring("add", func() error { return leader.AddLearner(ctx, member) }))
	c.tickUntil("promotion", func() bool { return leader.PromoteLearner(ctx, member.ID) == nil })
	is.NoErr(c.tickDuring("remove", func() error { return leader.RemoveMember(ctx, lost) }))
	c.kill(leader.options.Store.Replica()) // a second replica fails right after the change
	is.NoErr(c.proposeValue(c.awaitLeader(), 100))
	is.NoErr(c.tickDuring("read", func() error { return learner.ReadIndex(ctx) }))
	is.Equal(c.registers[member.ID].current(), uint64(100))
}

// Guards against a log that grows with the size of its commands: a replica with an empty
// disk replayed every version of a large document, and the group lost its quorum with the
// next disks.
func TestReplicaWithEmptyDiskReplaysFewLargeCommands(t *testing.T) {
	const commands, commandBytes = 60, 256 << 10
	// A log may hold what is applied between two snapshots, what is retained before a
	// snapshot, and the command that makes the snapshot due.
	const maxLogBytes = defaultSnapshotBytes + defaultTrailingBytes + 2*commandBytes
	is := is.New(t)
	ctx := context.Background()
	c := newConfiguredCluster(t, func(o *Options) { o.SnapshotEntries, o.TrailingEntries = 0, 0 }, memoryStores(t, 3)...)
	for i := range uint64(commands) {
		leader := c.awaitLeader()
		is.NoErr(c.tickDuring("proposal", func() error {
			_, err := leader.Propose(ctx, append(encode(i), make([]byte, commandBytes)...))
			return err
		}))
	}
	lost := c.awaitFollower().options.Store.Replica()
	c.kill(lost)
	emptyStore := memoryStores(t, 1)[0]
	learner := c.start(emptyStore)
	member := quorum.Member{ID: emptyStore.Replica(), Name: "vm-3"}
	leader := c.awaitLeader()
	is.NoErr(c.tickDuring("add", func() error { return leader.AddLearner(ctx, member) }))
	c.tickUntil("promotion", func() bool { return leader.PromoteLearner(ctx, member.ID) == nil })
	is.NoErr(c.tickDuring("read", func() error { return learner.ReadIndex(ctx) }))
	is.Equal(c.registers[member.ID].current(), uint64(commands-1))
	is.True(leader.Status().LogBytes <= maxLogBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	is.True(c.entryBytes[member.ID] <= maxLogBytes)
}

// Guards against a log that fills the disk: once it does, no change is accepted any more,
// and what would compact it needs space itself.
func TestLargeCommandsDoNotFillTheDisk(t *testing.T) {
	const commands, commandBytes = 60, 256 << 10
	// While a log is rewritten, the one before and its successor are on the disk.
	const maxDiskBytes = 2 * (defaultSnapshotBytes + defaultTrailingBytes + 2*commandBytes)
	is := is.New(t)
	dir := t.TempDir()
	store, err := disk.Open(disk.Options{Dir: dir})
	is.NoErr(err)
	c := newConfiguredCluster(t, func(o *Options) { o.SnapshotEntries, o.TrailingEntries = 0, 0 }, store)
	leader := c.awaitLeader()
	for i := range uint64(commands) {
		is.NoErr(c.tickDuring("proposal", func() error {
			_, err := leader.Propose(context.Background(), append(encode(i), make([]byte, commandBytes)...))
			return err
		}))
		is.True(directorySize(t, dir) <= maxDiskBytes)
	}
	c.kill(store.Replica())
	is.NoErr(store.Close())
	reopened, err := disk.Open(disk.Options{Dir: dir, RewriteOnOpen: true})
	is.NoErr(err)
	is.True(directorySize(t, dir) <= maxDiskBytes)
	n := c.start(reopened)
	is.NoErr(c.tickDuring("read", func() error { return n.ReadIndex(context.Background()) }))
	is.Equal(c.registers[reopened.Replica()].current(), uint64(commands-1))
}

// paddedSnapshots is a state machine whose snapshots have size bytes more.
type paddedSnapshots struct {
	StateMachine
	size int
}

func (p paddedSnapshots) Snapshot() ([]byte, error) {
	b, err := p.StateMachine.Snapshot()
	return append(b, make([]byte, p.size)...), err
}

// Guards against a log that outgrows the disk where snapshots are large, and against
// snapshots so frequent that writing them costs more than writing the log.
func TestLogStaysWithinAFewLargeSnapshots(t *testing.T) {
	const commands, commandBytes, snapshotBytes = 100, 256 << 10, 2 << 20
	// A log holds a snapshot and up to four times its size in entries. While it is
	// rewritten, its successor is on the disk too: a snapshot and what is retained.
	const maxDiskBytes = (1+4+1)*snapshotBytes + defaultTrailingBytes + 2*commandBytes
	const maxSnapshots = 1 + commands*commandBytes/(4*snapshotBytes)
	is := is.New(t)
	dir := t.TempDir()
	store, err := disk.Open(disk.Options{Dir: dir})
	is.NoErr(err)
	c := newConfiguredCluster(t, func(o *Options) {
		o.SnapshotEntries, o.TrailingEntries = 0, 0
		o.StateMachine = paddedSnapshots{o.StateMachine, snapshotBytes}
	}, store)
	leader := c.awaitLeader()
	for i := range uint64(commands) {
		is.NoErr(c.tickDuring("proposal", func() error {
			_, err := leader.Propose(context.Background(), append(encode(i), make([]byte, commandBytes)...))
			return err
		}))
		is.True(directorySize(t, dir) <= maxDiskBytes)
	}
	is.True(leader.Status().Counters.Snapshots <= maxSnapshots)
}

// directorySize returns the size of all files in a directory.
func directorySize(t *testing.T, dir string) (size int64) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if info, err := e.Info(); err == nil { // a file may be removed meanwhile
			size += info.Size()
		}
	}
	return size
}

func TestStopTransfersLeadership(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, memoryStores(t, 3)...)
	old := c.awaitLeader()
	is.NoErr(c.proposeValue(old, 1))
	term := old.Status().Term
	is.NoErr(c.tickDuring("stop", func() error { return old.Stop(context.Background()) }))
	next := c.awaitLeader()
	is.True(next != old)
	is.Equal(next.Status().Term, term+1) // a transfer, not an election after a timeout
}

// operation is an input of registerModel: a write of value, or a read.
type operation struct {
	isWrite bool
	value   uint64
}

// registerModel is the sequential specification of a register. A nil output is that
// of a write whose response was lost.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		op := input.(operation)
		if op.isWrite {
			return output == nil || output == state, op.value
		}
		return output == state, state
	},
}

// TestHistoryIsLinearizableUnderMessageLoss runs concurrent clients while the
// transport loses messages, and checks their history. A write without a response may
// take effect at any later time, so it stays open until the end of the history.
func TestHistoryIsLinearizableUnderMessageLoss(t *testing.T) {
	const clients, operations = 4, 40
	c := newCluster(t, memoryStores(t, 3)...)
	c.awaitLeader()
	c.mu.Lock()
	c.lossRate = 0.05
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
				op := operation{isWrite: i%2 == 0, value: uint64(client*operations + i + 1)}
				record := porcupine.Operation{ClientId: client, Input: op, Call: clock.Add(1)}
				output, completed := runOperation(c, n, op)
				record.Output, record.Return = output, clock.Add(1)
				if !completed {
					record.Return = int64(1) << 62
				}
				mu.Lock()
				history = append(history, record)
				mu.Unlock()
			}
		})
	}
	_ = c.tickDuring("clients", func() error { running.Wait(); return nil })
	if !porcupine.CheckOperations(registerModel, history) {
		t.Fatal("history is not linearizable")
	}
}

// responseTimeoutTicks bounds a client's wait for the response to a write.
const responseTimeoutTicks = 100

// runOperation runs one operation. It reports false for a write whose response was
// lost.
func runOperation(c *cluster, n *Node, op operation) (output any, completed bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !op.isWrite {
		for n.ReadIndex(ctx) != nil {
			continue
		}
		return c.registers[n.options.Store.Replica()].current(), true
	}
	c.afterTicks(responseTimeoutTicks, cancel)
	result, err := n.Propose(ctx, encode(op.value))
	if err != nil {
		return nil, false
	}
	previous := uint64(0)
	for _, b := range result {
		previous = previous<<8 | uint64(b)
	}
	return previous, true
}
