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
	// callerIdleLimit is the time since the last packet of the caller after
	// which replies of the flow are no longer pinned to the balancer that
	// carried it.
	callerIdleLimit = 200 * time.Millisecond
	// livenessTimeout is the time since the last packet of a balancer after
	// which the balancer no longer counts as live.
	livenessTimeout = 10 * time.Second
)

// ReturnPaths chooses the balancer that a reply is sent through. Every balancer
// serves every caller, so the replies of a flow can use any other balancer if
// the flow's own may have failed. They must do so, because a caller that only
// receives sends no packets that would reveal a live balancer. ReturnPaths is
// safe for concurrent use.
type ReturnPaths struct {
	mu        sync.Mutex
	reported  []netip.AddrPort
	current   atomic.Pointer[balancerSet]
	nextIndex atomic.Uint64
}

// balancerSet is an immutable snapshot of the balancers that may be live. Only
// the times in lastSeen change.
type balancerSet struct {
	lastSeen   map[netip.AddrPort]*atomic.Int64 // Unix time in nanoseconds
	candidates []netip.AddrPort
}

// NewReturnPaths returns a ReturnPaths without balancers.
func NewReturnPaths() *ReturnPaths {
	r := &ReturnPaths{}
	r.current.Store(&balancerSet{})
	return r
}

// MarkSeen records that a packet of a balancer was received.
func (r *ReturnPaths) MarkSeen(balancer netip.AddrPort, now time.Time) {
	if at := r.current.Load().lastSeen[balancer]; at != nil {
		at.Store(now.UnixNano())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lastSeen := maps.Clone(r.current.Load().lastSeen)
	if lastSeen == nil {
		lastSeen = make(map[netip.AddrPort]*atomic.Int64)
	}
	at := &atomic.Int64{}
	at.Store(now.UnixNano())
	lastSeen[balancer] = at
	r.publish(lastSeen)
}

// SetBalancers replaces the balancers that the control role reports as live.
func (r *ReturnPaths) SetBalancers(balancers []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = slices.Clone(balancers)
	r.publish(r.current.Load().lastSeen)
}

// Expire removes the balancers without a packet in the last livenessTimeout.
// Those that the control role reports as live remain candidates.
func (r *ReturnPaths) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lastSeen := maps.Clone(r.current.Load().lastSeen)
	limit := now.Add(-livenessTimeout).UnixNano()
	maps.DeleteFunc(lastSeen, func(_ netip.AddrPort, at *atomic.Int64) bool { return at.Load() < limit })
	if len(lastSeen) != len(r.current.Load().lastSeen) {
		r.publish(lastSeen)
	}
}

// publish activates a new set of balancers. The caller holds r.mu.
func (r *ReturnPaths) publish(lastSeen map[netip.AddrPort]*atomic.Int64) {
	candidates := slices.AppendSeq(slices.Clone(r.reported), maps.Keys(lastSeen))
	slices.SortFunc(candidates, netip.AddrPort.Compare)
	r.current.Store(&balancerSet{lastSeen: lastSeen, candidates: slices.Compact(candidates)})
}

// Choose returns the balancer for one reply of a flow whose last packet from
// the caller was received through balancer at receivedAt. Until callerIdleLimit
// after that it is the same balancer; then replies rotate over all candidates.
func (r *ReturnPaths) Choose(balancer netip.AddrPort, receivedAt, now time.Time) netip.AddrPort {
	if now.Sub(receivedAt) < callerIdleLimit {
		return balancer
	}
	candidates := r.current.Load().candidates
	if len(candidates) == 0 {
		return balancer
	}
	return candidates[r.nextIndex.Add(1)%uint64(len(candidates))]
}
