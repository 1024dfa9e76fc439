package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
)

// register is a state machine with a single number: a command sets it and returns
// the previous one.
type register struct {
	mu            sync.Mutex
	value         uint64
	appliedValues []uint64
}

func (r *register) Apply(_ uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.value
	r.value = binary.BigEndian.Uint64(command)
	r.appliedValues = append(r.appliedValues, r.value)
	return encode(previous)
}

func (r *register) Snapshot() ([]byte, error) { return encode(r.current()), nil }

func (r *register) Restore(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = binary.BigEndian.Uint64(b)
	return nil
}

func (r *register) current() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

func encode(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// failingStore fails every save once failSaves is set.
type failingStore struct {
	Store
	failSaves bool
}

func (s *failingStore) Save(rd quorum.Ready) error {
	if s.failSaves {
		return errors.New("input/output error")
	}
	return s.Store.Save(rd)
}

// cluster connects nodes by an in-memory transport that can lose messages.
type cluster struct {
	t            *testing.T
	mu           sync.Mutex
	rng          *rand.Rand
	lossRate     float64
	nodes        map[quorum.ReplicaID]*Node
	ticks        map[quorum.ReplicaID]chan time.Time
	registers    map[quorum.ReplicaID]*register
	isolated     map[quorum.ReplicaID]bool
	entryBytes   map[quorum.ReplicaID]int // size of the entries sent to each node
	elapsedTicks int
	// configure changes the options of nodes that are started; it may be nil.
	configure func(*Options)
	timers    []timer
}

// timer calls f once the cluster has ticked atTick times.
type timer struct {
	atTick int
	f      func()
}

func (c *cluster) afterTicks(ticks int, f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timers = append(c.timers, timer{c.elapsedTicks + ticks, f})
}

// Send implements Transport.
func (c *cluster) Send(to quorum.Member, messages []quorum.Message) {
	c.mu.Lock()
	node := c.nodes[to.ID]
	for i := range messages {
		for j := range messages[i].Entries {
			c.entryBytes[to.ID] += messages[i].Entries[j].Size()
		}
	}
	lost := c.rng.Float64() < c.lossRate || c.isolated[to.ID] || c.isolated[messages[0].From]
	c.mu.Unlock()
	if node != nil && !lost {
		node.Receive(messages)
	}
}

// newCluster starts one voter per store.
func newCluster(t *testing.T, stores ...Store) *cluster {
	return newConfiguredCluster(t, nil, stores...)
}

// newConfiguredCluster is newCluster with changed options.
func newConfiguredCluster(t *testing.T, configure func(*Options), stores ...Store) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(1, 1)), isolated: map[quorum.ReplicaID]bool{},
		nodes: map[quorum.ReplicaID]*Node{}, ticks: map[quorum.ReplicaID]chan time.Time{},
		registers: map[quorum.ReplicaID]*register{}, entryBytes: map[quorum.ReplicaID]int{}, configure: configure,
	}
	var members []quorum.Member
	for _, s := range stores {
		members = append(members, quorum.Member{ID: s.Replica()})
	}
	for _, s := range stores {
		if err := Bootstrap(s, 7, members...); err != nil {
			t.Fatal(err)
		}
		c.start(s)
	}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.kill(id)
		}
	})
	return c
}

func memoryStores(t *testing.T, n int) (stores []Store) {
	for range n {
		s, err := disk.NewMemoryStore()
		if err != nil {
			t.Fatal(err)
		}
		stores = append(stores, s)
	}
	return stores
}

func (c *cluster) start(s Store) *Node {
	id := s.Replica()
	ticks, machine := make(chan time.Time), &register{}
	options := Options{
		Store: s, StateMachine: machine, Transport: c, Ticks: ticks, CallTimeout: time.Hour,
		Rand: rand.New(rand.NewPCG(uint64(id), 1)), SnapshotEntries: 20, TrailingEntries: 5,
	}
	if c.configure != nil {
		c.configure(&options)
	}
	n, err := Start(options)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id], c.ticks[id], c.registers[id] = n, ticks, machine
	return n
}

// kill stops a node without a leadership transfer.
func (c *cluster) kill(id quorum.ReplicaID) {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	select {
	case <-n.done:
	default:
		close(n.stopRequested)
		<-n.done
	}
}

// maxWaitTicks bounds waits in ticks, independent of the machine's speed.
const maxWaitTicks = 20000

// tickUntil ticks all nodes until isDone returns true.
func (c *cluster) tickUntil(event string, isDone func() bool) {
	c.t.Helper()
	for range maxWaitTicks {
		if isDone() {
			return
		}
		c.tick()
	}
	c.t.Fatalf("%s: not completed within %d ticks", event, maxWaitTicks)
}

func (c *cluster) tick() {
	c.mu.Lock()
	c.elapsedTicks++
	for len(c.timers) > 0 && c.timers[0].atTick <= c.elapsedTicks {
		c.timers[0].f()
		c.timers = c.timers[1:]
	}
	running := make([]*Node, 0, len(c.nodes))
	for _, n := range c.nodes {
		running = append(running, n)
	}
	c.mu.Unlock()
	for _, n := range running {
		select {
		case c.ticks[n.options.Store.Replica()] <- time.Time{}:
		case <-n.done:
		}
	}
}

func (c *cluster) awaitLeader() *Node {
	var leader *Node
	c.tickUntil("leader election", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for id, n := range c.nodes {
			if soft, _ := n.Leader(); soft.Role == quorum.Leader && !c.isolated[id] {
				leader = n
			}
		}
		return leader != nil
	})
	return leader
}

func (c *cluster) awaitFollower() *Node {
	leader := c.awaitLeader()
	for _, n := range c.nodes {
		if n != leader {
			return n
		}
	}
	c.t.Fatal("cluster has no follower")
	return nil
}

// tickDuring ticks all nodes until f returns.
func (c *cluster) tickDuring(call string, f func() error) error {
	c.t.Helper()
	done := make(chan error, 1)
	go func() { done <- f() }()
	var err error
	c.tickUntil(call, func() bool {
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	})
	return err
}

func (c *cluster) proposeValue(n *Node, value uint64) error {
	c.t.Helper()
	return c.tickDuring("proposal", func() error {
		_, err := n.Propose(context.Background(), encode(value))
		return err
	})
}
