package segment

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
)

const (
	// maxBufferedPackets bounds the packets that are buffered for searches. A search
	// without its packet continues when the caller retransmits.
	maxBufferedPackets = 1024
	// searchPacketTime is how long the packet of a search is buffered.
	searchPacketTime = 2 * time.Second
	// searchInterval is the interval at which a balancer checks for probes without a
	// response.
	searchInterval = 20 * time.Millisecond
)

// packetBuffer holds a packet of each flow whose owner is searched for, or that is
// parked.
type packetBuffer struct {
	ttl     time.Duration // how long a packet is buffered
	mu      *sync.Mutex
	packets map[flow.ID]bufferedPacket
}

type bufferedPacket struct {
	bufferedAt time.Duration
	data       []byte
}

func newPacketBuffer(ttl time.Duration) packetBuffer {
	return packetBuffer{ttl: ttl, mu: &sync.Mutex{}, packets: make(map[flow.ID]bufferedPacket)}
}

// put buffers a copy of a packet, unless its flow has one or the buffer is full.
func (k *packetBuffer) put(now time.Duration, id flow.ID, packet []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, isBuffered := k.packets[id]; isBuffered || len(k.packets) >= maxBufferedPackets {
		return
	}
	k.packets[id] = bufferedPacket{bufferedAt: now, data: bytes.Clone(packet)}
}

// get returns the packet of a flow, or nil. The caller must not change it.
func (k *packetBuffer) get(id flow.ID) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.packets[id].data
}

func (k *packetBuffer) remove(id flow.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.packets, id)
}

// takeAll removes and returns all packets, the earliest first.
func (k *packetBuffer) takeAll() []bufferedPacket {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := slices.Collect(maps.Values(k.packets))
	clear(k.packets)
	slices.SortFunc(all, func(a, b bufferedPacket) int { return cmp.Compare(a.bufferedAt, b.bufferedAt) })
	return all
}

// removeExpired removes the packets that have been buffered for more than the buffer's
// ttl.
func (k *packetBuffer) removeExpired(now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, p := range k.packets {
		if now-p.bufferedAt > k.ttl {
			delete(k.packets, id)
		}
	}
}
