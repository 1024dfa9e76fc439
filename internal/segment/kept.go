package segment

import (
	"bytes"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
)

const (
	// maxKept bounds the packets that are kept for searches; a search without its
	// packet goes on when the caller sends again.
	maxKept = 1024
	// keepTime is how long a packet is kept.
	keepTime = 2 * time.Second
	// searchInterval is how often a balancer looks for questions that nobody answers.
	searchInterval = 20 * time.Millisecond
)

// kept holds the first packet of each flow that is searched for.
type kept struct {
	mu      *sync.Mutex
	packets map[flow.ID]keptPacket
}

type keptPacket struct {
	since time.Duration
	bytes []byte
}

func newKept() kept { return kept{mu: &sync.Mutex{}, packets: make(map[flow.ID]keptPacket)} }

// put keeps a copy of a packet, unless one of its flow is kept.
func (k *kept) put(now time.Duration, id flow.ID, packet []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.packets[id]; known || len(k.packets) >= maxKept {
		return
	}
	k.packets[id] = keptPacket{since: now, bytes: bytes.Clone(packet)}
}

// get returns the packet of a flow, or nil. The caller must not change it.
func (k *kept) get(id flow.ID) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.packets[id].bytes
}

func (k *kept) drop(id flow.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.packets, id)
}

// sweep drops packets that were kept for long enough.
func (k *kept) sweep(now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, p := range k.packets {
		if now-p.since > keepTime {
			delete(k.packets, id)
		}
	}
}
