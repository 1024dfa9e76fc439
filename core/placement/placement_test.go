package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/placement/baseline"
	"fulmarmount.org/core/view"
)

func hosts(n int, weight func(i int) uint32) *view.View {
	members := make([]view.BackendServer, n)
	for i := range members {
		members[i] = view.BackendServer{
			ID: fmt.Sprintf("host-%04d", i), Zone: fmt.Sprintf("zone-%d", i%3),
			State: view.Ready, Weight: weight(i),
		}
	}
	return view.New(1, view.Version{Epoch: 1, Number: 1}, members)
}

func equal(int) uint32 { return view.FullWeight }

// naivePick scores every member by the textbook formula.
func naivePick(key uint64, v *view.View) int {
	best, bestScore := placement.None, 0.0
	for i := range v.Members {
		if s := placement.Score(key, v.Seed(i), v.Members[i].PlacementWeight()); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

func TestPickMatchesNaive(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		v := hosts(1+rng.IntN(12), func(int) uint32 { return uint32(rng.IntN(5)) * 25 })
		for range 50 {
			key := rng.Uint64()
			first, second := placement.PickTwo(key, v)
			is.Equal(placement.Pick(key, v), naivePick(key, v))
			is.Equal(first, placement.Pick(key, v))
			if first == placement.None {
				is.Equal(second, placement.None)
				continue
			}
			is.True(placement.PickOutsideZone(key, v, v.Members[first].Zone) != first)
			without := append([]view.BackendServer(nil), v.Members...)
			without[first].State = view.Draining
			rest := view.New(1, v.Version, without)
			if rest.IsDrainOnly() {
				// Nobody else takes new flows, so there is no second choice.
				is.Equal(second, placement.None)
				continue
			}
			is.Equal(second, placement.Pick(key, rest))
		}
	}
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	v := hosts(4, func(i int) uint32 { return uint32(i) * 50 })
	counts := make([]float64, 4)
	rng := rand.New(rand.NewPCG(2, 2))
	const keys = 120_000
	for range keys {
		counts[placement.Pick(rng.Uint64(), v)]++
	}
	for i, n := range counts {
		want := keys * float64(i) / 6
		is.True(math.Abs(n-want) <= 5*math.Sqrt(keys)) // five standard deviations
	}
}

func TestPastWeights(t *testing.T) {
	is := is.New(t)
	before, after := hosts(7, equal), hosts(7, equal)
	after.Members[3].State = view.Draining
	weights := []uint32{100, 100, 100, 100, 100, 100, 100}
	after.Earlier = []view.EarlierWeights{{Version: before.Version, Weights: weights}}
	after.Prepare()
	for key := range uint64(1000) {
		is.Equal(placement.PickEarlier(key, after, 0), placement.Pick(key, before))
		is.True(placement.Pick(key, after) != 3)
	}
}

func TestNoAllocations(t *testing.T) {
	v := hosts(7, func(i int) uint32 { return uint32(90 + i) })
	key := uint64(1)
	is.New(t).Equal(testing.AllocsPerRun(100, func() { key++; placement.PickTwo(key, v) }), 0.0)
}

var ways = []struct {
	name string
	make func(*view.View) baseline.Picker
}{
	{"rendezvous", func(v *view.View) baseline.Picker { return baseline.NewRendezvous(v) }},
	{"maglev", func(v *view.View) baseline.Picker { return baseline.NewMaglev(v) }},
	{"twolevel", func(v *view.View) baseline.Picker {
		return baseline.NewTwoLevel(v, int(math.Ceil(math.Sqrt(float64(len(v.Members))))))
	}},
	{"modulo", func(v *view.View) baseline.Picker { return baseline.NewModulo(v) }},
}

// TestSameOnEveryArchitecture pins choices among unequal weights.
func TestSameOnEveryArchitecture(t *testing.T) {
	v := hosts(9, func(i int) uint32 { return uint32(10 + 13*i) })
	digest := uint64(14695981039346656037)
	for key := range uint64(100_000) {
		digest = (digest ^ uint64(placement.Pick(key, v))) * 1099511628211
	}
	is.New(t).Equal(digest, uint64(18206210349355878186))
}

// BenchmarkWays reports, beside the time of one choice, the bytes held per
// view and the share of flows that move when one host leaves, as a multiple of
// the share that has to.
func BenchmarkWays(b *testing.B) {
	for _, n := range []int{7, 100, 5000} {
		for _, way := range ways {
			b.Run(fmt.Sprintf("%s/hosts=%d", way.name, n), func(b *testing.B) {
				v := hosts(n, equal)
				p := way.make(v)
				moved := movedRatio(v, p, way.make)
				b.ResetTimer()
				key := uint64(0)
				for b.Loop() {
					key += 0x9e3779b97f4a7c15
					p.Pick(key)
				}
				b.ReportMetric(float64(p.MemorySize()), "bytes")
				b.ReportMetric(moved, "moved/needed")
			})
		}
	}
}

func movedRatio(v *view.View, before baseline.Picker, remake func(*view.View) baseline.Picker) float64 {
	left := append([]view.BackendServer(nil), v.Members...)
	left[len(left)/2].State = view.Draining
	after := remake(view.New(1, v.Version, left))
	moved, needed := 0, 0
	for i := range uint64(100_000) {
		was, is := before.Pick(i*0x9e3779b97f4a7c15), after.Pick(i*0x9e3779b97f4a7c15)
		if was != is {
			moved++
		}
		if was == len(left)/2 {
			needed++
		}
	}
	return float64(moved) / float64(max(needed, 1))
}

func BenchmarkPickMixedWeights(b *testing.B) {
	v := hosts(7, func(i int) uint32 { return uint32(40 + 10*i) })
	key := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		key += 0x9e3779b97f4a7c15
		placement.Pick(key, v)
	}
}

func ExamplePick() {
	v := view.New(1, view.Version{Epoch: 1, Number: 1}, []view.BackendServer{
		{ID: "a", State: view.Ready, Weight: view.FullWeight},
		{ID: "b", State: view.Draining},
	})
	fmt.Println(v.Members[placement.Pick(42, v)].ID)
	// Output: a
}
