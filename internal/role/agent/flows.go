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

// flowSockets holds the sockets of the flows that the agent owns, sharded by tuple.
type flowSockets struct {
	shards [flowShards]flowShard
}

type flowShard struct {
	mu    sync.Mutex
	flows map[flow.Tuple]*ownedFlow
}

// ownedFlow is an owned flow with its connected socket to the backend server.
type ownedFlow struct {
	tuple      flow.Tuple
	id         flow.ID
	conn       *net.UDPConn
	lastPacket atomic.Int64 // Unix time in nanoseconds of the last packet in either direction

	mu             sync.Mutex
	lastFromCaller callerPacket
}

// callerPacket describes the last packet of a flow's caller.
type callerPacket struct {
	replyTo netip.AddrPort // the balancer's envelope address
	at      time.Time
}

func (f *flowSockets) init() {
	for i := range f.shards {
		f.shards[i].flows = make(map[flow.Tuple]*ownedFlow)
	}
}

// getOrOpen returns the flow of a tuple, opening it if it is new, and reports
// whether it has opened it.
func (f *flowSockets) getOrOpen(tuple flow.Tuple, open func() (*ownedFlow, error)) (*ownedFlow, bool, error) {
	s := &f.shards[tuple.Key()%flowShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.flows[tuple]; o != nil {
		return o, false, nil
	}
	o, err := open()
	if err != nil {
		return nil, false, err
	}
	s.flows[tuple] = o
	return o, true, nil
}

// recordCallerPacket records the arrival of a packet from the caller through the
// balancer at replyTo.
func (o *ownedFlow) recordCallerPacket(now time.Time, replyTo netip.AddrPort) {
	o.lastPacket.Store(now.UnixNano())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastFromCaller = callerPacket{replyTo: replyTo, at: now}
}

// lastCallerPacket returns the arrival time and balancer of the caller's last
// packet.
func (o *ownedFlow) lastCallerPacket() callerPacket {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastFromCaller
}

// closeIdle closes the flows whose last packet is older than cutoff and calls
// onClose with each.
func (f *flowSockets) closeIdle(cutoff time.Time, onClose func(flow.ID)) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for tuple, o := range s.flows {
			if o.lastPacket.Load() < cutoff.UnixNano() {
				onClose(o.id)
				_ = o.conn.Close()
				delete(s.flows, tuple)
			}
		}
		s.mu.Unlock()
	}
}

// closeAll closes every flow.
func (f *flowSockets) closeAll() {
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
func (f *flowSockets) count() int {
	n := 0
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		n += len(s.flows)
		s.mu.Unlock()
	}
	return n
}
