package locator_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/placement/baseline"
	"fulmarmount.org/core/view"
)

const flowCount = 400

// simulate runs a seeded schedule of packets and changes, then lets the fleet settle over
// a reliable network and sends one more packet of every flow. It returns the number of
// flows whose last packet was not delivered.
func simulate(sim *simulation, steps int, withFailures bool) (unreachedCount int) {
	for range steps {
		sim.step()
		for range 4 {
			sim.sendPacket(tupleOf(sim.rng.IntN(flowCount)))
		}
		if sim.rng.IntN(400) == 0 {
			sim.changeMembership(withFailures)
		}
		if sim.rng.IntN(20) == 0 {
			sim.endFlow(tupleOf(sim.rng.IntN(flowCount)))
		}
		sim.expireLeases()
		sim.adoptViews()
	}
	sim.reliable = true
	for range 2000 {
		sim.step()
		sim.expireLeases()
		sim.adoptViews()
	}
	sim.reached = map[flow.Tuple]bool{}
	for i := range flowCount {
		sim.sendPacket(tupleOf(i))
	}
	for range 200 {
		sim.step()
	}
	return flowCount - len(sim.reached)
}

func modulo(key uint64, v *view.View) int { return baseline.NewModulo(v).Pick(key) }

// TestFlowsHaveOneOwner checks every delivery against a reference table of owners, through
// joins, drains, weight changes, balancer and agent restarts, differing views, and lost,
// delayed and reordered messages.
func TestFlowsHaveOneOwner(t *testing.T) {
	for _, c := range []struct {
		name         string
		withFailures bool
		seeds        int
	}{{"planned changes", false, 6}, {"planned changes and failures", true, 6}} {
		for seed := range uint64(c.seeds) {
			t.Run(fmt.Sprintf("%s/seed=%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				sim := newSimulation(seed, 7, 3)
				sim.baselines = []*baselineRun{
					{modulo, map[flow.Tuple]owner{}, map[flow.Tuple]bool{}},
					{placement.Pick, map[flow.Tuple]owner{}, map[flow.Tuple]bool{}},
				}
				unreachedCount := simulate(sim, 8_000, c.withFailures)
				t.Logf("seed %d: %d views, %d deliveries; broken flows of %d: modulo %d, rendezvous only %d, with pointers %d",
					seed, len(sim.published), sim.delivered, flowCount, len(sim.baselines[0].broken), len(sim.baselines[1].broken), len(sim.conflicts))
				is.Equal(sim.conflicts, nil)
				is.Equal(unreachedCount, 0)
			})
		}
	}
}

// TestLostPointersDoNotBreakFlows loses every push. Owners are then found by the placements
// of earlier versions, for as long as the views list those.
func TestLostPointersDoNotBreakFlows(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 7, 3)
	for range 400 {
		sim.step()
		sim.sendPacket(tupleOf(sim.rng.IntN(flowCount)))
	}
	sim.dropPushes = true
	sim.hosts[0].state, sim.hosts[0].weight = view.Draining, 0
	sim.publish()
	sim.startBalancer(0)
	for range 4000 {
		sim.step()
		sim.sendPacket(tupleOf(sim.rng.IntN(flowCount)))
		sim.adoptViews()
	}
	is.Equal(len(sim.conflicts), 0)
	is.True(sim.hosts[0].pusher.Stats().Resends > 0)
	is.True(sim.hosts[0].pusher.UnacknowledgedPointers() > 0)
}

// TestPointersAreRestoredAfterHolderRestart checks that pointers are pushed again to an
// agent that has lost them.
func TestPointersAreRestoredAfterHolderRestart(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 7, 1)
	sim.reliable = true
	for i := range flowCount {
		sim.sendPacket(tupleOf(i))
	}
	advance := func() {
		for range 400 {
			sim.step()
			sim.adoptViews()
		}
	}
	advance()
	sim.hosts[0].state, sim.hosts[0].weight = view.Draining, 0
	sim.publish()
	advance()
	owned := sim.hosts[0].agent.OwnedCount()
	pointers := func() (n int) {
		for _, h := range sim.hosts[1:] {
			for _, holding := range h.agent.FlowsByOwner()[1:] {
				if holding.Owner.Seed == view.SeedOf("host-0") {
					n += holding.Flows
				}
			}
		}
		return n
	}
	is.True(pointers() >= 2*owned) // at the first and the second choice of placement
	is.Equal(sim.hosts[0].pusher.UnacknowledgedPointers(), 0)
	before, sent := pointers(), sim.hosts[0].pusher.Stats().Pointers
	sim.startAgent(sim.hosts[1])
	is.True(pointers() < before)
	sim.publish()
	advance()
	is.Equal(pointers(), before)
	t.Logf("%d owned flows: %d pointers, %d bytes pushed by the drain, %d bytes by the restart of one holder",
		owned, before, sent*locator.PointerSize, (sim.hosts[0].pusher.Stats().Pointers-sent)*locator.PointerSize)
}

// TestFlowCountsStayBalanced opens 2,000 flows for each of seven hosts, drains one host and
// lets it join again. The max/mean ratio of their flow counts must stay within target; that
// of placement by hash alone is logged for comparison.
func TestFlowCountsStayBalanced(t *testing.T) {
	const (
		hosts   = 7
		perHost = 2000
		target  = 1.05
	)
	is := is.New(t)
	for seed := range uint64(2) {
		sim := newSimulation(seed, hosts, 2)
		sim.reliable = true
		byHash := make([]int, hosts)
		next := 0
		open := func(n int) {
			for i := range n {
				byHash[placement.Pick(tupleOf(next).Key(), sim.balancers[0].View(service))]++
				sim.sendPacket(tupleOf(next))
				next++
				if i%20 == 0 { // 4,000 new flows a second
					sim.step()
					sim.adoptViews()
				}
			}
			for range 20 {
				sim.step()
			}
		}
		churn := func(n int) {
			for range n {
				sim.endFlow(tupleOf(sim.rng.IntN(next)))
				open(1)
			}
		}
		open(hosts * perHost)
		byHashRatio, filled := maxToMean(byHash), sim.readyMaxToMean()
		is.True(filled <= target)
		sim.hosts[3].state, sim.hosts[3].weight = view.Draining, 0
		sim.publish()
		churn(perHost)
		drained := sim.readyMaxToMean()
		is.True(drained <= target)
		sim.hosts[3].state, sim.hosts[3].weight = view.Ready, view.FullWeight
		sim.publish()
		churn(3 * perHost)
		joined := sim.readyMaxToMean()
		is.True(joined <= target)
		is.Equal(len(sim.conflicts), 0)
		t.Logf("seed %d: max/mean by hash %.3f; by load after filling %.3f, draining %.3f, joining %.3f", seed, byHashRatio, filled, drained, joined)
	}
}

func (sim *simulation) readyMaxToMean() float64 {
	var counts []int
	for _, h := range sim.hosts {
		if h.state == view.Ready {
			counts = append(counts, h.agent.OwnedCount())
		}
	}
	return maxToMean(counts)
}

// maxToMean returns the ratio of the largest count to the mean.
func maxToMean(counts []int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(slices.Max(counts)*len(counts)) / float64(sum)
}
