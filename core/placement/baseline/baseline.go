// Package baseline holds the ways of choosing a backend server that rendezvous
// hashing is measured against: modulo hashing, a Maglev table and two-level
// rendezvous hashing. Production code does not use it.
package baseline

import (
	"math/bits"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// Picker chooses a member index for a key.
type Picker interface {
	// Pick returns the index of a member, or placement.None.
	Pick(key uint64) int
	// MemorySize is the memory the picker holds beyond the view.
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
	return int(m.targets[spread(key)%uint64(len(m.targets))].Index)
}

// MemorySize implements Picker.
func (m *Modulo) MemorySize() int { return 0 }

// Rendezvous is the production choice behind the Picker interface.
type Rendezvous struct{ view *view.View }

// NewRendezvous returns a rendezvous picker over v.
func NewRendezvous(v *view.View) *Rendezvous { return &Rendezvous{view: v} }

// Pick implements Picker.
func (r *Rendezvous) Pick(key uint64) int { return placement.Pick(key, r.view) }

// MemorySize implements Picker.
func (r *Rendezvous) MemorySize() int { return targetBytes * len(r.view.Targets()) }

const targetBytes = 16

// Maglev is the lookup table of "Maglev: A Fast and Reliable Software Network
// Load Balancer" (NSDI 2016), section 3.4, for equal weights.
type Maglev struct{ table []int32 }

// maglevEntries is the number of table entries per member, at least.
const maglevEntries = 100

// NewMaglev returns a Maglev picker over v.
func NewMaglev(v *view.View) *Maglev {
	targets := v.Targets()
	m := &Maglev{table: make([]int32, primeFrom(maglevEntries*max(len(v.Members), 1)))}
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
			offset := spread(targets[i].Seed) % size
			skip := spread(^targets[i].Seed)%(size-1) + 1
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
func (m *Maglev) Pick(key uint64) int { return int(m.table[spread(key)%uint64(len(m.table))]) }

// MemorySize implements Picker.
func (m *Maglev) MemorySize() int { return 4 * len(m.table) }

// TwoLevel chooses a group by rendezvous hashing over the groups' summed
// weights, then a member within the group.
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
		g := spread(m.Seed) % uint64(groups)
		t.members[g] = append(t.members[g], m)
		weights[g] += m.Weight
	}
	for g, w := range weights {
		if w > 0 {
			t.groups = append(t.groups, view.Target{Seed: spread(uint64(g) + 1), Weight: w, Index: int32(g)})
		}
	}
	return t
}

// Pick implements Picker.
func (t *TwoLevel) Pick(key uint64) int {
	g := placement.PickTarget(spread(key), t.groups)
	if g == placement.None {
		return placement.None
	}
	return placement.PickTarget(key, t.members[g])
}

// MemorySize implements Picker.
func (t *TwoLevel) MemorySize() int {
	n := targetBytes * len(t.groups)
	for _, m := range t.members {
		n += targetBytes * len(m)
	}
	return n
}

func spread(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0x2545f4914f6cdd1d, 0x9e3779b97f4a7c15)
	return hi ^ lo
}

func primeFrom(n int) int {
	for ; !prime(n); n++ {
	}
	return n
}

func prime(n int) bool {
	for d := 2; d*d <= n; d++ {
		if n%d == 0 {
			return false
		}
	}
	return n > 1
}
