package flow

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// returnQuiet is how long a flow may have carried nothing from the caller
	// before its replies no longer trust the balancer that last carried it.
	returnQuiet = 200 * time.Millisecond
	// heardLimit is how long a balancer counts as live after it was heard.
	heardLimit = 10 * time.Second
)

// ReturnPaths chooses the balancer that a reply goes through. Every balancer
// serves every caller, so a flow whose own balancer may be dead can use any
// other; and it must, since a caller that only receives sends nothing that
// would name a live one. It is safe for concurrent use.
type ReturnPaths struct {
	mu     sync.Mutex
	listed []netip.AddrPort
	paths  atomic.Pointer[paths]
	turn   atomic.Uint64
}

// paths is one state of what is known. Only the times in heard change.
type paths struct {
	heard map[netip.AddrPort]*atomic.Int64 // Unix time in nanoseconds
	live  []netip.AddrPort
}

// NewReturnPaths returns ReturnPaths that know no balancer.
func NewReturnPaths() *ReturnPaths {
	r := &ReturnPaths{}
	r.paths.Store(&paths{})
	return r
}

// MarkSeen notes that a balancer sent something.
func (r *ReturnPaths) MarkSeen(balancer netip.AddrPort, now time.Time) {
	if at := r.paths.Load().heard[balancer]; at != nil {
		at.Store(now.UnixNano())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := maps.Clone(r.paths.Load().heard)
	if heard == nil {
		heard = make(map[netip.AddrPort]*atomic.Int64)
	}
	at := &atomic.Int64{}
	at.Store(now.UnixNano())
	heard[balancer] = at
	r.publish(heard)
}

// SetBalancers replaces the balancers that control reports as live.
func (r *ReturnPaths) SetBalancers(balancers []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = slices.Clone(balancers)
	r.publish(r.paths.Load().heard)
}

// Expire forgets the balancers that were not heard for a while. Those that
// control reports stay.
func (r *ReturnPaths) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := maps.Clone(r.paths.Load().heard)
	limit := now.Add(-heardLimit).UnixNano()
	maps.DeleteFunc(heard, func(_ netip.AddrPort, at *atomic.Int64) bool { return at.Load() < limit })
	if len(heard) != len(r.paths.Load().heard) {
		r.publish(heard)
	}
}

// publish puts a new state in force. The caller holds the lock.
func (r *ReturnPaths) publish(heard map[netip.AddrPort]*atomic.Int64) {
	live := slices.AppendSeq(slices.Clone(r.listed), maps.Keys(heard))
	slices.SortFunc(live, netip.AddrPort.Compare)
	r.paths.Store(&paths{heard: heard, live: slices.Compact(live)})
}

// Choose returns the balancer for one reply of a flow that balancer last
// carried, at the time inbound. While the caller is heard, that is the
// same balancer; afterwards replies take turns over all that may be live.
func (r *ReturnPaths) Choose(balancer netip.AddrPort, inbound, now time.Time) netip.AddrPort {
	if now.Sub(inbound) < returnQuiet {
		return balancer
	}
	live := r.paths.Load().live
	if len(live) == 0 {
		return balancer
	}
	return live[r.turn.Add(1)%uint64(len(live))]
}
