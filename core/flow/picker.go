package flow

import (
	"sync/atomic"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

const (
	// cacheThreshold is the number of targets above which picks are cached.
	cacheThreshold = 64
	cacheBits      = 14
	cacheMask      = 1<<cacheBits - 1
)

// picker places keys on the targets of one version of a view. With many targets
// it caches the last pick of each cache slot. The cache affects the speed only.
type picker struct {
	view    *view.View
	targets []view.Target
	cache   *[1 << cacheBits]atomic.Uint64 // key without its slot bits | index+1
}

func newPicker(v *view.View, targets []view.Target) *picker {
	p := &picker{view: v, targets: targets}
	if len(targets) > cacheThreshold && len(v.Members) < cacheMask {
		p.cache = new([1 << cacheBits]atomic.Uint64)
	}
	return p
}

func (p *picker) pick(key uint64) int {
	if p.cache == nil {
		return placement.PickTarget(key, p.targets)
	}
	slot := &p.cache[key&cacheMask]
	if word := slot.Load(); word&cacheMask != 0 && word&^cacheMask == key&^cacheMask {
		return int(word&cacheMask) - 1
	}
	i := placement.PickTarget(key, p.targets)
	slot.Store(key&^cacheMask | uint64(i+1))
	return i
}
