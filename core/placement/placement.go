// Package placement selects backend servers for flow keys by weighted rendezvous
// hashing. The selection depends only on the key and the view, so it is the same on
// every balancer in every availability zone.
package placement

import (
	"math/bits"

	"fulmarmount.org/core/view"
)

// None is the index returned if there is no member to select.
const None = -1

// Pick returns the index of the member of v that key is placed on, or None.
func Pick(key uint64, v *view.View) int {
	return PickTarget(key, v.Targets())
}

// PickEarlier returns the index of the member of v that key was placed on under
// v.Earlier[i], or None. It ignores members that have left v since.
func PickEarlier(key uint64, v *view.View, i int) int {
	return PickTarget(key, v.EarlierTargets(i))
}

// PickTarget returns the Index of the target that key is placed on, or None.
func PickTarget(key uint64, targets []view.Target) int {
	best := candidate{index: None}
	for i := range targets {
		c := newCandidate(key, &targets[i])
		if c.beats(&best) {
			best = c
		}
	}
	return int(best.index)
}

// PickStable is PickTarget restricted to targets that are stable members of v.
func PickStable(key uint64, v *view.View, targets []view.Target) int {
	best := candidate{index: None}
	for i := range targets {
		if !v.Members[targets[i].Index].IsStable() {
			continue
		}
		c := newCandidate(key, &targets[i])
		if c.beats(&best) {
			best = c
		}
	}
	return int(best.index)
}

// PickTwo returns the indexes of the first and the second choice for key, or None. If
// the first leaves the view, Pick returns the second.
func PickTwo(key uint64, v *view.View) (first, second int) {
	a, b := candidate{index: None}, candidate{index: None}
	targets := v.Targets()
	for i := range targets {
		c := newCandidate(key, &targets[i])
		switch {
		case c.beats(&a):
			a, b = c, a
		case c.beats(&b):
			b = c
		}
	}
	return int(a.index), int(b.index)
}

// PickOutsideZone returns the index of the first choice for key among the members
// outside the given availability zone, or None.
func PickOutsideZone(key uint64, v *view.View, zone string) int {
	best := candidate{index: None}
	targets := v.Targets()
	for i := range targets {
		if v.Members[targets[i].Index].Zone == zone {
			continue
		}
		c := newCandidate(key, &targets[i])
		if c.beats(&best) {
			best = c
		}
	}
	return int(best.index)
}

// candidate is a target with its hash for one key.
type candidate struct {
	hash   uint64
	negLog uint64 // negLog2(hash), or 0 until it is computed
	weight uint32
	index  int32
}

func newCandidate(key uint64, t *view.Target) candidate {
	return candidate{hash: Mix(key, t.Seed), weight: t.Weight, index: t.Index}
}

// beats reports whether c scores higher than o. The score is weight / -log(u) with u
// uniform in (0,1), the logarithmic method of weighted rendezvous hashing: a change of
// one weight moves flows only to or from that member. Logarithms are computed only if
// the order by weight differs from the order by hash.
func (c *candidate) beats(o *candidate) bool {
	switch {
	case o.index == None:
		return true
	case c.hash > o.hash && c.weight >= o.weight:
		return true
	case c.hash <= o.hash && c.weight <= o.weight:
		return false
	}
	cHigh, cLow := bits.Mul64(uint64(c.weight), o.negLog2())
	oHigh, oLow := bits.Mul64(uint64(o.weight), c.negLog2())
	switch {
	case cHigh != oHigh:
		return cHigh > oHigh
	case cLow != oLow:
		return cLow > oLow
	default:
		return c.hash > o.hash
	}
}

func (c *candidate) negLog2() uint64 {
	if c.negLog == 0 {
		c.negLog = negLog2(c.hash)
	}
	return c.negLog
}

// Mix combines two 64-bit values into one well-distributed value by two folded
// 128-bit multiplications.
func Mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	m := hi ^ lo
	hi, lo = bits.Mul64(m, 0xa0761d6478bd642f)
	return hi ^ lo
}
