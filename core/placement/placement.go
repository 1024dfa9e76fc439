// Package placement chooses backend servers for flow keys by weighted
// rendezvous hashing. The choice depends on the key and the view alone, so
// every balancer in every availability zone makes the same one.
package placement

import (
	"math/bits"

	"fulmarmount.org/core/view"
)

// None is returned where a view has no member that takes new flows.
const None = -1

// Pick returns the index of the member of v that key is placed on, or None.
func Pick(key uint64, v *view.View) int {
	return PickTarget(key, v.Targets())
}

// PickEarlier returns the index of the member of v that key was placed on under
// v.Earlier[i], or None. A member that has left v since is passed over.
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

// PickStable is PickTarget among the targets whose members of v stay.
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

// PickTwo returns the indexes of the first and the second choice for key, or None
// in their place. If the first leaves the view, Pick returns the second.
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

// PickOutsideZone returns the index of the first choice for key among the members that
// are not in the given availability zone, or None.
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
	cost   uint64 // logCost(hash), or 0 until it is needed
	weight uint32
	index  int32
}

func newCandidate(key uint64, t *view.Target) candidate {
	return candidate{hash: Mix(key, t.Seed), weight: t.Weight, index: t.Index}
}

// beats reports whether c scores higher than o. The score is weight / -log(u)
// with u uniform in (0,1): the logarithmic method of weighted rendezvous
// hashing, under which a change of one weight moves flows only to or from that
// member. The logarithms are taken only where weight and hash disagree.
func (c *candidate) beats(o *candidate) bool {
	switch {
	case o.index == None:
		return true
	case c.hash > o.hash && c.weight >= o.weight:
		return true
	case c.hash <= o.hash && c.weight <= o.weight:
		return false
	}
	cHigh, cLow := bits.Mul64(uint64(c.weight), o.logCost())
	oHigh, oLow := bits.Mul64(uint64(o.weight), c.logCost())
	switch {
	case cHigh != oHigh:
		return cHigh > oHigh
	case cLow != oLow:
		return cLow > oLow
	default:
		return c.hash > o.hash
	}
}

func (c *candidate) logCost() uint64 {
	if c.cost == 0 {
		c.cost = logCost(c.hash)
	}
	return c.cost
}

// Mix combines two 64-bit values into one well-distributed value by two folded
// 128-bit multiplications.
func Mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	m := hi ^ lo
	hi, lo = bits.Mul64(m, 0xa0761d6478bd642f)
	return hi ^ lo
}
