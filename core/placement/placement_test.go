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

// newView returns a view of n ready members, with the given weights and in three
// availability zones.
func newView(n int, weight func(i int) uint32) *view.View {
	members := make([]view.BackendServer, n)
	for i := range members {
		members[i] = view.BackendServer{
			ID: fmt.Sprintf("host-%04d", i), Zone: fmt.Sprintf("zone-%d", i%3),
			State: view.Ready, Weight: weight(i),
		}
	}
	return view.New(1, view.Version{Epoch: 1, Number: 1}, members)
}

func equalWeight(int) uint32 { return view.FullWeight }

// textbookPick returns the member with the highest score by the textbook formula.
func textbookPick(key uint64, v *view.View) int {
	best, bestScore := placement.None, 0.0
	for i := range v.Members {
		if s := placement.Score(key, v.Seed(i), v.Members[i].PlacementWeight()); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

func TestPicksMatchTextbookFormula(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		v := newView(1+rng.IntN(12), func(int) uint32 { return uint32(rng.IntN(5)) * 25 })
		for range 50 {
			key := rng.Uint64()
			first, second := placement.PickTwo(key, v)
			is.Equal(placement.Pick(key, v), textbookPick(key, v))
			is.Equal(first, placement.Pick(key, v))
			if first == placement.None {
				is.Equal(second, placement.None)
				continue
			}
			is.True(placement.PickOutsideZone(key, v, v.Members[first].Zone) != first)
			drained := append([]view.BackendServer(nil), v.Members...)
			drained[first].State = view.Draining
			rest := view.New(1, v.Version, drained)
			if rest.IsDrainOnly() {
				// No other member accepts new flows, so there is no second choice.
				is.Equal(second, placement.None)
				continue
			}
			is.Equal(second, placement.Pick(key, rest))
		}
	}
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	v := newView(4, func(i int) uint32 { return uint32(i) * 50 })
	counts := make([]float64, 4)
	rng := rand.New(rand.NewPCG(2, 2))
	const keys = 120_000
	for range keys {
		counts[placement.Pick(rng.Uint64(), v)]++
	}
	for i, n := range counts {
		want := keys * float64(i) / 6
		is.True(math.Abs(n-want) <= 5*math.Sqrt(keys)) // at least ten standard deviations, as p(1-p) <= 1/4
	}
}

func TestPickEarlierUsesWeightsOfEarlierVersion(t *testing.T) {
	is := is.New(t)
	before, after := newView(7, equalWeight), newView(7, equalWeight)
	after.Members[3].State = view.Draining
	weights := []uint32{100, 100, 100, 100, 100, 100, 100}
	after.Earlier = []view.EarlierWeights{{Version: before.Version, Weights: weights}}
	after.Prepare()
	for key := range uint64(1000) {
		is.Equal(placement.PickEarlier(key, after, 0), placement.Pick(key, before))
		is.True(placement.Pick(key, after) != 3)
	}
}

func TestPickTwoDoesNotAllocate(t *testing.T) {
	v := newView(7, func(i int) uint32 { return uint32(90 + i) })
	key := uint64(1)
	is.New(t).Equal(testing.AllocsPerRun(100, func() { key++; placement.PickTwo(key, v) }), 0.0)
}

var methods = []struct {
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

// TestPicksAreSameOnEveryArchitecture pins a digest of picks among unequal weights: balancers
// of different architectures must agree.
func TestPicksAreSameOnEveryArchitecture(t *testing.T) {
	v := newView(9, func(i int) uint32 { return uint32(10 + 13*i) })
	digest := uint64(14695981039346656037)
	for key := range uint64(100_000) {
		digest = (digest ^ uint64(placement.Pick(key, v))) * 1099511628211
	}
	is.New(t).Equal(digest, uint64(18206210349355878186))
}

// BenchmarkMethods reports, besides the time of one pick, the memory per view and the
// number of flows that move when one host is drained, as a multiple of the number that
// must move.
func BenchmarkMethods(b *testing.B) {
	for _, n := range []int{7, 100, 5000} {
		for _, method := range methods {
			b.Run(fmt.Sprintf("%s/hosts=%d", method.name, n), func(b *testing.B) {
				v := newView(n, equalWeight)
				p := method.make(v)
				moved := movedRatio(v, p, method.make)
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

// movedRatio returns the number of flows that move when a member is drained, divided by the
// number of flows that were placed on it.
func movedRatio(v *view.View, before baseline.Picker, remake func(*view.View) baseline.Picker) float64 {
	members := append([]view.BackendServer(nil), v.Members...)
	members[len(members)/2].State = view.Draining
	after := remake(view.New(1, v.Version, members))
	moved, needed := 0, 0
	for i := range uint64(100_000) {
		was, is := before.Pick(i*0x9e3779b97f4a7c15), after.Pick(i*0x9e3779b97f4a7c15)
		if was != is {
			moved++
		}
		if was == len(members)/2 {
			needed++
		}
	}
	return float64(moved) / float64(max(needed, 1))
}

func BenchmarkPickMixedWeights(b *testing.B) {
	v := newView(7, func(i int) uint32 { return uint32(40 + 10*i) })
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
