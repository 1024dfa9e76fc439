// Package baseline implements the placement methods that rendezvous hashing is compared
// with: modulo hashing, Maglev hashing and two-level rendezvous hashing. It is not used in
// production.
package baseline

import (
	"math/bits"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// Picker selects a member for a key.
type Picker interface {
	// Pick returns the index of a member, or placement.None.
	Pick(key uint64) int
	// MemorySize returns the memory of the picker beyond the view, in bytes.
	MemorySize() int
}

// Modulo indexes the targets by key modulo their number. Weights are ignored.
type Modulo struct{ targets []view.Target }

// NewModulo returns a modulo picker over v.
func NewModulo(v *view.View) *Modulo { return &Modulo{targets: v.Targets()} }

// Pick implements Picker.
func (m *Modulo) Pick(key uint64) int {
	if len(m.targets) == 0 {
		return placement.None
	}
	return int(m.targets[mixHash(key)%uint64(len(m.targets))].Index)
}

// MemorySize implements Picker.
func (m *Modulo) MemorySize() int { return 0 }

// Rendezvous adapts the production method, placement.Pick, to the Picker interface.
type Rendezvous struct{ view *view.View }

// NewRendezvous returns a rendezvous picker over v.
func NewRendezvous(v *view.View) *Rendezvous { return &Rendezvous{view: v} }

// Pick implements Picker.
func (r *Rendezvous) Pick(key uint64) int { return placement.Pick(key, r.view) }

// MemorySize implements Picker.
func (r *Rendezvous) MemorySize() int { return targetSize * len(r.view.Targets()) }

const targetSize = 16 // bytes

// Maglev is the lookup table of "Maglev: A Fast and Reliable Software Network
// Load Balancer" (NSDI 2016), section 3.4, for equal weights.
type Maglev struct{ table []int32 }

// minEntriesPerMember is the minimum number of table entries per member.
const minEntriesPerMember = 100

// NewMaglev returns a Maglev picker over v.
func NewMaglev(v *view.View) *Maglev {
	targets := v.Targets()
	m := &Maglev{table: make([]int32, nextPrime(minEntriesPerMember*max(len(v.Members), 1)))}
	for i := range m.table {
		m.table[i] = placement.None
	}
	m.fill(targets)
	return m
}

func (m *Maglev) fill(targets []view.Target) {
	size := uint64(len(m.table))
	next := make([]uint64, len(targets))
	for filled := 0; filled < len(m.table) && len(targets) > 0; {
		for i := range targets {
			offset := mixHash(targets[i].Seed) % size
			skip := mixHash(^targets[i].Seed)%(size-1) + 1
			slot := (offset + next[i]*skip) % size
			for m.table[slot] != placement.None {
				next[i]++
				slot = (offset + next[i]*skip) % size
			}
			m.table[slot] = targets[i].Index
			next[i]++
			if filled++; filled == len(m.table) {
				return
			}
		}
	}
}

// Pick implements Picker.
func (m *Maglev) Pick(key uint64) int { return int(m.table[mixHash(key)%uint64(len(m.table))]) }

// MemorySize implements Picker.
func (m *Maglev) MemorySize() int { return 4 * len(m.table) }

// TwoLevel selects a group by rendezvous hashing, weighted by the sums of the groups'
// weights, then a member within the group by the same method.
type TwoLevel struct {
	groups  []view.Target
	members [][]view.Target
}

// NewTwoLevel returns a two-level picker over v with the given number of
// groups. A member's group depends on its seed alone.
func NewTwoLevel(v *view.View, groups int) *TwoLevel {
	t := &TwoLevel{members: make([][]view.Target, groups)}
	weights := make([]uint32, groups)
	for _, m := range v.Targets() {
		g := mixHash(m.Seed) % uint64(groups)
		t.members[g] = append(t.members[g], m)
		weights[g] += m.Weight
	}
	for g, w := range weights {
		if w > 0 {
			t.groups = append(t.groups, view.Target{Seed: mixHash(uint64(g) + 1), Weight: w, Index: int32(g)})
		}
	}
	return t
}

// Pick implements Picker.
func (t *TwoLevel) Pick(key uint64) int {
	g := placement.PickTarget(mixHash(key), t.groups)
	if g == placement.None {
		return placement.None
	}
	return placement.PickTarget(key, t.members[g])
}

// MemorySize implements Picker.
func (t *TwoLevel) MemorySize() int {
	n := targetSize * len(t.groups)
	for _, m := range t.members {
		n += targetSize * len(m)
	}
	return n
}

// mixHash hashes an integer.
func mixHash(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0x2545f4914f6cdd1d, 0x9e3779b97f4a7c15)
	return hi ^ lo
}

// nextPrime returns the smallest prime that is not below n.
func nextPrime(n int) int {
	for ; !isPrime(n); n++ {
	}
	return n
}

func isPrime(n int) bool {
	for d := 2; d*d <= n; d++ {
		if n%d == 0 {
			return false
		}
	}
	return n > 1
}
