package flow

import (
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
	heard  map[netip.AddrPort]time.Time
	listed []netip.AddrPort
	live   atomic.Pointer[[]netip.AddrPort]
	turn   atomic.Uint64
}

// NewReturnPaths returns ReturnPaths that know no balancer.
func NewReturnPaths() *ReturnPaths {
	r := &ReturnPaths{heard: make(map[netip.AddrPort]time.Time)}
	r.live.Store(&[]netip.AddrPort{})
	return r
}

// Heard notes that a balancer sent something.
func (r *ReturnPaths) Heard(balancer netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.heard[balancer]
	r.heard[balancer] = now
	if !known {
		r.rebuild()
	}
}

// List replaces the balancers that control reports as live.
func (r *ReturnPaths) List(balancers []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = slices.Clone(balancers)
	r.rebuild()
}

// Expire forgets the balancers that were not heard for a while. Those that
// control reports stay.
func (r *ReturnPaths) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.heard)
	for balancer, at := range r.heard {
		if now.Sub(at) > heardLimit {
			delete(r.heard, balancer)
		}
	}
	if len(r.heard) != before {
		r.rebuild()
	}
}

// Choose returns the balancer for one reply of a flow that balancer last
// carried, at the time inbound. While the caller is heard, that is the
// same balancer; afterwards replies take turns over all that may be live.
func (r *ReturnPaths) Choose(balancer netip.AddrPort, inbound, now time.Time) netip.AddrPort {
	if now.Sub(inbound) < returnQuiet {
		return balancer
	}
	live := *r.live.Load()
	if len(live) == 0 {
		return balancer
	}
	return live[r.turn.Add(1)%uint64(len(live))]
}

// rebuild makes the list of live balancers. The caller holds the lock.
func (r *ReturnPaths) rebuild() {
	live := slices.Clone(r.listed)
	for balancer := range r.heard {
		live = append(live, balancer)
	}
	slices.SortFunc(live, netip.AddrPort.Compare)
	live = slices.Compact(live)
	r.live.Store(&live)
}
