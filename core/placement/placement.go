// Package placement chooses backend servers for flow keys by weighted
// rendezvous hashing. The choice depends on the key and the view alone, so
// every balancer in every availability zone makes the same one.
package placement

import (
	"math"
	"math/bits"

	"fulmarmount.org/core/view"
)

// None is returned where a view has no member that takes new flows.
const None = -1

// Pick returns the index of the member of v that key is placed on, or None.
func Pick(key uint64, v *view.View) int {
	best, bestScore := None, math.Inf(-1)
	for i := range v.Members {
		if !v.Members[i].TakesNew() {
			continue
		}
		if s := score(key, v.Seed(i), v.Members[i].Weight); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// score is weight / -ln(u) with u uniform in (0,1): the logarithmic method of
// weighted rendezvous hashing, under which a change of one weight moves flows
// only to or from that member.
func score(key, seed uint64, weight uint32) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(mix(key, seed)>>11) + 0.5) * unit
	return float64(weight) / -math.Log(u)
}

// mix combines two 64-bit values into one well-distributed value by a folded
// 128-bit multiplication.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	m := hi ^ lo
	hi, lo = bits.Mul64(m, 0xa0761d6478bd642f)
	return hi ^ lo
}
