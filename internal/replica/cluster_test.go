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

// register is a state machine of one number: a command sets it and is answered
// with the earlier one.
type register struct {
	mu    sync.Mutex
	value uint64
	log   []uint64
}

func (r *register) Apply(_ uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.value
	r.value = binary.BigEndian.Uint64(command)
	r.log = append(r.log, r.value)
	return encode(before)
}

func (r *register) Snapshot() ([]byte, error) { return encode(r.get()), nil }

func (r *register) Restore(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = binary.BigEndian.Uint64(b)
	return nil
}

func (r *register) get() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

func encode(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// failingStore fails every save once broken is set.
type failingStore struct {
	Store
	broken bool
}

func (s *failingStore) Save(rd quorum.Ready) error {
	if s.broken {
		return errors.New("input/output error")
	}
	return s.Store.Save(rd)
}

// cluster is nodes joined by an in-memory transport that loses messages.
type cluster struct {
	t      *testing.T
	mu     sync.Mutex
	rnd    *rand.Rand
	loss   float64
	nodes  map[quorum.ReplicaID]*Node
	ticks  map[quorum.ReplicaID]chan time.Time
	states map[quorum.ReplicaID]*register
	cut    map[quorum.ReplicaID]bool
	now    int
	timers []timer
}

// timer calls f once the cluster has ticked at times.
type timer struct {
	at int
	f  func()
}

func (c *cluster) after(ticks int, f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timers = append(c.timers, timer{c.now + ticks, f})
}

// Send implements Transport.
func (c *cluster) Send(to quorum.Member, messages []quorum.Message) {
	c.mu.Lock()
	node := c.nodes[to.ID]
	lost := c.rnd.Float64() < c.loss || c.cut[to.ID] || c.cut[messages[0].From]
	c.mu.Unlock()
	if node != nil && !lost {
		node.Receive(messages)
	}
}

// newCluster starts as many voters as there are stores.
func newCluster(t *testing.T, stores ...Store) *cluster {
	c := &cluster{
		t: t, rnd: rand.New(rand.NewPCG(1, 1)), cut: map[quorum.ReplicaID]bool{},
		nodes: map[quorum.ReplicaID]*Node{}, ticks: map[quorum.ReplicaID]chan time.Time{},
		states: map[quorum.ReplicaID]*register{},
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
	ticks, state := make(chan time.Time), &register{}
	n, err := Start(Options{
		Store: s, Machine: state, Transport: c, Ticks: ticks, CallTimeout: time.Hour,
		Rand: rand.New(rand.NewPCG(uint64(id), 1)), SnapshotEntries: 20, KeepEntries: 5,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id], c.ticks[id], c.states[id] = n, ticks, state
	return n
}

// kill ends a node without a handover.
func (c *cluster) kill(id quorum.ReplicaID) {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	select {
	case <-n.done:
	default:
		close(n.stop)
		<-n.done
	}
}

// maxTicks bounds the waits, in ticks rather than in time.
const maxTicks = 20000

// until lets time pass until done.
func (c *cluster) until(what string, done func() bool) {
	c.t.Helper()
	for range maxTicks {
		if done() {
			return
		}
		c.tick()
	}
	c.t.Fatalf("%s: not after %d ticks", what, maxTicks)
}

func (c *cluster) tick() {
	c.mu.Lock()
	c.now++
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
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

func (c *cluster) leader() *Node {
	var leader *Node
	c.until("a leader", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for id, n := range c.nodes {
			if soft, _ := n.Leader(); soft.Role == quorum.Leader && !c.cut[id] {
				leader = n
			}
		}
		return leader != nil
	})
	return leader
}

func (c *cluster) follower() *Node {
	leader := c.leader()
	for _, n := range c.nodes {
		if n != leader {
			return n
		}
	}
	c.t.Fatal("no follower")
	return nil
}

// wait runs f while time passes.
func (c *cluster) wait(what string, f func() error) error {
	c.t.Helper()
	done := make(chan error, 1)
	go func() { done <- f() }()
	var err error
	c.until(what, func() bool {
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	})
	return err
}

func (c *cluster) set(n *Node, value uint64) error {
	c.t.Helper()
	return c.wait("set", func() error {
		_, err := n.Propose(context.Background(), encode(value))
		return err
	})
}
