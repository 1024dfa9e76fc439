package segment

import (
	"bytes"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
)

const (
	// maxBufferedPackets bounds the packets that are buffered for searches. A search
	// without its packet continues when the caller retransmits.
	maxBufferedPackets = 1024
	// packetBufferTime is how long a packet is buffered.
	packetBufferTime = 2 * time.Second
	// searchInterval is the interval at which a balancer checks for probes without a
	// response.
	searchInterval = 20 * time.Millisecond
)

// packetBuffer holds the first packet of each flow whose owner is searched for.
type packetBuffer struct {
	mu      *sync.Mutex
	packets map[flow.ID]bufferedPacket
}

type bufferedPacket struct {
	bufferedAt time.Duration
	data       []byte
}

func newPacketBuffer() packetBuffer {
	return packetBuffer{mu: &sync.Mutex{}, packets: make(map[flow.ID]bufferedPacket)}
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

// removeExpired removes the packets that have been buffered for more than
// packetBufferTime.
func (k *packetBuffer) removeExpired(now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, p := range k.packets {
		if now-p.bufferedAt > packetBufferTime {
			delete(k.packets, id)
		}
	}
}
