package segment

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
)

const (
	// maxHeldFlows bounds the flows with held packets, maxHeldPackets the packets of one:
	// a caller has no more on their way.
	maxHeldFlows   = 512
	maxHeldPackets = 16
	// maxHeldTime is how long packets are held after the latest query.
	maxHeldTime = 2 * time.Second
	// queryTimeout is how long the answer to a query is awaited before packets of the flow
	// lead to another one.
	queryTimeout = 60 * time.Millisecond
)

// heldPackets holds the packets of flows whose owner is asked for.
type heldPackets struct {
	mu     *sync.Mutex
	byFlow map[flow.ID]*heldFlow
}

type heldFlow struct {
	packets   [][]byte
	queried   uint64 // the seed of the member that was asked last
	queriedAt time.Duration
}

func newHeldPackets() heldPackets {
	return heldPackets{mu: &sync.Mutex{}, byFlow: make(map[flow.ID]*heldFlow)}
}

// holding is what hold has done with a packet.
type holding uint8

const (
	heldToAsk holding = iota // held, and the member is to be asked now
	heldAsked                // held, or dropped as its flow has enough; the answer is awaited
	notHeld                  // too many flows have held packets
)

// hold adds a copy of a packet, unless it is held already. seed is that of the member to
// ask.
func (k *heldPackets) hold(now time.Duration, id flow.ID, seed uint64, packet []byte) holding {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.byFlow[id]
	if f == nil {
		if len(k.byFlow) >= maxHeldFlows {
			return notHeld
		}
		f = &heldFlow{}
		k.byFlow[id] = f
	}
	isHeld := func(p []byte) bool { return bytes.Equal(p, packet) }
	if len(f.packets) < maxHeldPackets && !slices.ContainsFunc(f.packets, isHeld) {
		f.packets = append(f.packets, bytes.Clone(packet))
	}
	if f.queried == seed && now-f.queriedAt <= queryTimeout {
		return heldAsked
	}
	f.queried, f.queriedAt = seed, now
	return heldToAsk
}

// first returns the first packet of a flow, or nil. The caller must not change it.
func (k *heldPackets) first(id flow.ID) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := k.byFlow[id]; f != nil {
		return f.packets[0]
	}
	return nil
}

// take removes and returns the packets of a flow in the order of their arrival.
func (k *heldPackets) take(id flow.ID) [][]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.byFlow[id]
	if f == nil {
		return nil
	}
	delete(k.byFlow, id)
	return f.packets
}

// removeExpired removes the packets of flows whose latest query is older than maxHeldTime.
func (k *heldPackets) removeExpired(now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, f := range k.byFlow {
		if now-f.queriedAt > maxHeldTime {
			delete(k.byFlow, id)
		}
	}
}
