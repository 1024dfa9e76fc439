package agent

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"fulmarmount.org/core/flow"
)

const flowShards = 64

// flows holds the sockets of the flows that the agent owns, in shards.
type flows struct {
	shards [flowShards]flowShard
}

type flowShard struct {
	mu    sync.Mutex
	flows map[flow.Tuple]*ownedFlow
}

// ownedFlow is one flow's connected socket to the backend server.
type ownedFlow struct {
	tuple flow.Tuple
	id    flow.ID
	conn  *net.UDPConn
	seen  atomic.Int64 // Unix time in nanoseconds of the last packet either way

	mu   sync.Mutex
	last inbound
}

// inbound is what an agent knows of the caller's last packet.
type inbound struct {
	replyTo netip.AddrPort
	at      time.Time
}

func (f *flows) init() {
	for i := range f.shards {
		f.shards[i].flows = make(map[flow.Tuple]*ownedFlow)
	}
}

// get returns the flow of a tuple, and opens it with dial where it is new.
func (f *flows) get(tuple flow.Tuple, dial func() (*ownedFlow, error)) (*ownedFlow, bool, error) {
	s := &f.shards[tuple.Key()%flowShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.flows[tuple]; o != nil {
		return o, false, nil
	}
	o, err := dial()
	if err != nil {
		return nil, false, err
	}
	s.flows[tuple] = o
	return o, true, nil
}

// received notes a packet of the caller, and through which balancer it came.
func (o *ownedFlow) received(now time.Time, replyTo netip.AddrPort) {
	o.seen.Store(now.UnixNano())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last = inbound{replyTo: replyTo, at: now}
}

// lastInbound returns what the caller's last packet told.
func (o *ownedFlow) lastInbound() inbound {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}

// expire closes the flows that have been idle since before the limit and calls
// ended with each.
func (f *flows) expire(limit time.Time, ended func(flow.ID)) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for tuple, o := range s.flows {
			if o.seen.Load() < limit.UnixNano() {
				ended(o.id)
				_ = o.conn.Close()
				delete(s.flows, tuple)
			}
		}
		s.mu.Unlock()
	}
}

// closeAll closes every flow.
func (f *flows) closeAll() {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for tuple, o := range s.flows {
			_ = o.conn.Close()
			delete(s.flows, tuple)
		}
		s.mu.Unlock()
	}
}

// count returns the number of open flows.
func (f *flows) count() int {
	n := 0
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		n += len(s.flows)
		s.mu.Unlock()
	}
	return n
}
