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

const flows = 400

// simulate runs a seeded schedule of packets and changes, then a quiet end in
// which every flow sends once more. It returns the number of flows that the
// quiet end did not reach.
func simulate(w *world, steps int, kill bool) (unreached int) {
	for range steps {
		w.step()
		for range 4 {
			w.call(tupleOf(w.rng.IntN(flows)))
		}
		if w.rng.IntN(400) == 0 {
			w.change(kill)
		}
		if w.rng.IntN(20) == 0 {
			w.end(tupleOf(w.rng.IntN(flows)))
		}
		w.expire()
		w.spread()
	}
	w.quiet = true
	for range 2000 {
		w.step()
		w.expire()
		w.spread()
	}
	w.reached = map[flow.Tuple]bool{}
	for i := range flows {
		w.call(tupleOf(i))
	}
	for range 200 {
		w.step()
	}
	return flows - len(w.reached)
}

func modulo(key uint64, v *view.View) int { return baseline.NewModulo(v).Pick(key) }

// TestAgainstNaiveTable compares every delivery with a table that knows every
// owner, through joins, drains, weight changes, balancer and agent restarts,
// unequal views, and messages that are lost, late and out of order.
func TestAgainstNaiveTable(t *testing.T) {
	for _, c := range []struct {
		name  string
		kill  bool
		seeds int
	}{{"planned changes", false, 6}, {"deaths too", true, 6}} {
		for seed := range uint64(c.seeds) {
			t.Run(fmt.Sprintf("%s/seed=%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newWorld(seed, 7, 3)
				w.baselines = []*baselineRun{
					{modulo, map[flow.Tuple]owner{}, map[flow.Tuple]bool{}},
					{placement.Pick, map[flow.Tuple]owner{}, map[flow.Tuple]bool{}},
				}
				unreached := simulate(w, 8_000, c.kill)
				t.Logf("seed %d: %d views, %d deliveries; broken flows of %d: modulo %d, rendezvous alone %d, with owners %d",
					seed, len(w.published), w.delivered, flows, len(w.baselines[0].broken), len(w.baselines[1].broken), len(w.doubled))
				is.Equal(w.doubled, nil)
				is.Equal(unreached, 0)
			})
		}
	}
}

// TestLostPointersCostRelaysOnly loses every push: flows are found through the
// earlier picks, for as long as the views name them.
func TestLostPointersCostRelaysOnly(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 7, 3)
	for range 400 {
		w.step()
		w.call(tupleOf(w.rng.IntN(flows)))
	}
	w.losePushes = true
	w.hosts[0].state, w.hosts[0].weight = view.Draining, 0
	w.publish()
	w.startBalancer(0)
	for range 4000 {
		w.step()
		w.call(tupleOf(w.rng.IntN(flows)))
		w.spread()
	}
	is.Equal(len(w.doubled), 0)
	is.True(w.hosts[0].pusher.Stats().Resends > 0)
	is.True(w.hosts[0].pusher.UnacknowledgedPointers() > 0)
}

// TestPushesFollowRestarts checks that pointers are pushed again to a holder
// that has lost them.
func TestPushesFollowRestarts(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 7, 1)
	w.quiet = true
	for i := range flows {
		w.call(tupleOf(i))
	}
	advance := func() {
		for range 400 {
			w.step()
			w.spread()
		}
	}
	advance()
	w.hosts[0].state, w.hosts[0].weight = view.Draining, 0
	w.publish()
	advance()
	owned := w.hosts[0].agent.OwnedCount()
	pointers := func() (n int) {
		for _, h := range w.hosts[1:] {
			for _, holding := range h.agent.FlowsByOwner()[1:] {
				if holding.Owner.Seed == view.SeedOf("host-0") {
					n += holding.Flows
				}
			}
		}
		return n
	}
	is.True(pointers() >= 2*owned) // the pick and its replacement
	is.Equal(w.hosts[0].pusher.UnacknowledgedPointers(), 0)
	before, sent := pointers(), w.hosts[0].pusher.Stats().Pointers
	w.run(w.hosts[1])
	is.True(pointers() < before)
	w.publish()
	advance()
	is.Equal(pointers(), before)
	t.Logf("%d owned flows: %d pointers, %d bytes at the drain, %d bytes at the restart of one holder",
		owned, before, sent*locator.PointerSize, (w.hosts[0].pusher.Stats().Pointers-sent)*locator.PointerSize)
}

// TestBalance fills seven hosts with 2,000 flows each, through a drain and a
// join, and compares max/mean with placement by hash alone.
func TestBalance(t *testing.T) {
	const (
		hosts   = 7
		perHost = 2000
		target  = 1.05
	)
	is := is.New(t)
	for seed := range uint64(2) {
		w := newWorld(seed, hosts, 2)
		w.quiet = true
		byHash := make([]int, hosts)
		next := 0
		open := func(n int) {
			for i := range n {
				byHash[placement.Pick(tupleOf(next).Key(), w.balancers[0].View(service))]++
				w.call(tupleOf(next))
				next++
				if i%20 == 0 { // 4,000 new flows a second
					w.step()
					w.spread()
				}
			}
			for range 20 {
				w.step()
			}
		}
		churn := func(n int) {
			for range n {
				w.end(tupleOf(w.rng.IntN(next)))
				open(1)
			}
		}
		open(hosts * perHost)
		hash, filled := spreadOf(byHash), w.spreadOfReady()
		is.True(filled <= target)
		w.hosts[3].state, w.hosts[3].weight = view.Draining, 0
		w.publish()
		churn(perHost)
		drained := w.spreadOfReady()
		is.True(drained <= target)
		w.hosts[3].state, w.hosts[3].weight = view.Ready, view.FullWeight
		w.publish()
		churn(3 * perHost)
		joined := w.spreadOfReady()
		is.True(joined <= target)
		is.Equal(len(w.doubled), 0)
		t.Logf("seed %d: max/mean by hash %.3f; with owners filled %.3f, drained %.3f, joined %.3f", seed, hash, filled, drained, joined)
	}
}

func (w *world) spreadOfReady() float64 {
	var counts []int
	for _, h := range w.hosts {
		if h.state == view.Ready {
			counts = append(counts, h.agent.OwnedCount())
		}
	}
	return spreadOf(counts)
}

func spreadOf(counts []int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(slices.Max(counts)*len(counts)) / float64(sum)
}
