package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/fleetstore"
)

const evacuationReason = "water in the basement"

// fleetMachine is the state of the fleet at one replica.
type fleetMachine struct {
	*fleetstore.StateMachine
	afterApply atomic.Pointer[func()]
}

func (m *fleetMachine) Apply(index uint64, command []byte) []byte {
	result := m.StateMachine.Apply(index, command)
	if f := m.afterApply.Load(); f != nil {
		(*f)()
	}
	return result
}

func (m *fleetMachine) zones() (zones []string) {
	m.Read(func(s *fleet.StateMachine) {
		for _, e := range s.Evacuations() {
			zones = append(zones, e.Zone)
		}
	})
	return zones
}

// fleetCluster is a cluster whose replicas hold the state of the fleet.
type fleetCluster struct {
	*cluster
	machines map[quorum.ReplicaID]*fleetMachine
}

func newFleetCluster(t *testing.T, replicas int) *fleetCluster {
	c := &fleetCluster{machines: make(map[quorum.ReplicaID]*fleetMachine)}
	c.cluster = newConfiguredCluster(t, func(o *Options) {
		machine := &fleetMachine{StateMachine: fleetstore.NewStateMachine()}
		c.machines[o.Store.Replica()] = machine
		o.StateMachine = machine
	}, memoryStores(t, replicas)...)
	return c
}

func (c *fleetCluster) machine(n *Node) *fleetMachine { return c.machines[n.options.Store.Replica()] }

func (c *fleetCluster) store(n *Node) *fleetstore.Store {
	return fleetstore.NewStore(n, c.machine(n).StateMachine)
}

func (c *fleetCluster) evacuations(n *Node) *fleetstore.EvacuationStore {
	return fleetstore.NewEvacuationStore(c.store(n), "control", func() time.Time { return time.Unix(1_800_000_000, 0) })
}

// await sends a call while the cluster's time goes on.
func (c *fleetCluster) await(name string, call func(context.Context) (fleet.Result, error)) error {
	c.t.Helper()
	return c.tickDuring(name, func() error { return c.send(call) })
}

// send sends a call, as clients do, until it has a clear response.
func (c *fleetCluster) send(call func(context.Context) (fleet.Result, error)) error {
	for {
		ctx, cancel := context.WithCancel(context.Background())
		c.afterTicks(responseTimeoutTicks, cancel)
		result, err := call(ctx)
		cancel()
		switch {
		case errorx.IsOfType(err, fleetstore.ErrSuperseded):
			return err
		case err == nil && result.Outcome != fleet.OutcomeAccepted:
			return errors.New(result.Outcome.String())
		case err == nil:
			return nil
		}
	}
}

// awaitRead waits until a replica has applied every acknowledged command.
func (c *fleetCluster) awaitRead(n *Node) error {
	c.t.Helper()
	return c.await("read", func(ctx context.Context) (fleet.Result, error) {
		return fleet.Result{Outcome: fleet.OutcomeAccepted}, n.ReadIndex(ctx)
	})
}

// The leader dies once the order is committed and before anybody hears of it. The same
// order, sent to another replica, is acknowledged and was executed once.
func TestEvacuationIsResentAfterTheLeaderDied(t *testing.T) {
	is := is.New(t)
	c := newFleetCluster(t, 3)
	leader := c.awaitLeader()
	id := leader.options.Store.Replica()
	evacuate := func(n *Node) error {
		return c.await("evacuation", func(ctx context.Context) (fleet.Result, error) {
			return c.evacuations(n).Evacuate(ctx, "sejong-a", evacuationReason)
		})
	}
	is.NoErr(c.await("end without a start", func(ctx context.Context) (fleet.Result, error) {
		return c.evacuations(leader).EndEvacuation(ctx, "sejong-a")
	}))
	isolate := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isolated[id] = true
	}
	c.machine(leader).afterApply.Store(&isolate)
	is.NoErr(evacuate(leader)) // its client never sees this acknowledgement
	c.kill(id)

	is.NoErr(evacuate(c.awaitFollower()))
	for _, n := range c.nodes {
		is.NoErr(c.awaitRead(n))
		is.Equal(c.machine(n).zones(), []string{"sejong-a"})
		c.machine(n).Read(func(m *fleet.StateMachine) { is.Equal(m.EvacuationRevision(), uint64(3)) }) // the end, the order and its resend
	}
}

// An order, its end and an import race at three replicas. What was acknowledged holds on
// all of them, and a call that was superseded has had no effect.
func TestEvacuationEndAndImportRace(t *testing.T) {
	is := is.New(t)
	c := newFleetCluster(t, 3)
	c.awaitLeader()
	var nodes []*Node
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	c.mu.Lock()
	c.lossRate = 0.05
	c.mu.Unlock()
	for round := range uint64(30) {
		evacuate, end, imported := c.race(nodes, round+1)
		is.NoErr(imported)
		want := c.machine(nodes[0])
		for _, n := range nodes {
			is.NoErr(c.awaitRead(n))
			c.machine(n).Read(func(m *fleet.StateMachine) { is.Equal(m.ActiveImport().Number, round+1) })
			is.Equal(c.machine(n).zones(), want.zones())
		}
		evacuated := len(want.zones()) == 1
		switch {
		case evacuate == nil && end == nil: // either may have been first
		case evacuate == nil && errorx.IsOfType(end, fleetstore.ErrSuperseded):
			is.True(evacuated)
		case end == nil && errorx.IsOfType(evacuate, fleetstore.ErrSuperseded):
			is.True(!evacuated)
		default:
			t.Fatalf("round %d: %v, %v", round, evacuate, end)
		}
	}
}

// race runs the three calls at the same time, each at another node.
func (c *fleetCluster) race(nodes []*Node, number uint64) (evacuate, end, imported error) {
	c.t.Helper()
	document := &fleet.Document{Defaults: fleet.DefaultSettings()}
	_ = c.tickDuring("race", func() error {
		var calls sync.WaitGroup
		calls.Go(func() {
			evacuate = c.send(func(ctx context.Context) (fleet.Result, error) {
				return c.evacuations(nodes[0]).Evacuate(ctx, "sejong-a", evacuationReason)
			})
		})
		calls.Go(func() {
			end = c.send(func(ctx context.Context) (fleet.Result, error) {
				return c.evacuations(nodes[1]).EndEvacuation(ctx, "sejong-a")
			})
		})
		calls.Go(func() {
			imports := fleetstore.NewImportStore(c.store(nodes[2]), time.Now)
			imported = c.send(func(ctx context.Context) (fleet.Result, error) {
				return imports.Import(ctx, fleet.Import{Number: number}, document)
			})
		})
		calls.Wait()
		return nil
	})
	return evacuate, end, imported
}
