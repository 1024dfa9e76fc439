package routing

import (
	"sync"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

const (
	shardCount = 16
	// generationTime is the least time that an owner stays cached after its last use;
	// the most is twice that.
	generationTime = 20 * time.Second
	// maxOwners bounds the entries in one generation of one shard.
	maxOwners = 8192
)

// owner is the presumed owner of a flow: the member that the flow was placed on, or the
// one that has confirmed it.
type owner struct {
	service view.ServiceID
	seed    uint64
	// confirmed is set once the member's agent has reported that it owns the flow.
	confirmed bool
	// retransmits is Segment.Retransmits of the SYN that placed the flow. A SYN with
	// a higher number shows that the member has not answered.
	retransmits uint32
}

// ownerCache caches the owners of flows in two generations. An entry that is used is
// copied to the current generation; the previous one is discarded as a whole.
type ownerCache struct {
	shards [shardCount]ownerShard
}

type ownerShard struct {
	mu                sync.Mutex
	rotatedAt         time.Duration
	current, previous map[flow.ID]owner
}

func newOwnerCache() *ownerCache {
	o := &ownerCache{}
	for i := range o.shards {
		o.shards[i].current = make(map[flow.ID]owner)
	}
	return o
}

func (o *ownerCache) shard(id flow.ID) *ownerShard { return &o.shards[id.Key%shardCount] }

func (o *ownerCache) get(now time.Duration, id flow.ID) (owner, bool) {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if cached, ok := s.current[id]; ok {
		return cached, true
	}
	cached, ok := s.previous[id]
	if ok {
		s.current[id] = cached
	}
	return cached, ok
}

func (o *ownerCache) set(now time.Duration, id flow.ID, to owner) {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.current[id] = to
}

func (o *ownerCache) remove(id flow.ID) {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, id)
	delete(s.previous, id)
}

// rotate starts a new generation if the current one is old or full. The caller must
// hold s.mu.
func (s *ownerShard) rotate(now time.Duration) {
	if now-s.rotatedAt < generationTime && len(s.current) < maxOwners {
		return
	}
	s.previous, s.current, s.rotatedAt = s.current, make(map[flow.ID]owner), now
}

// count returns the number of flows whose owner is cached.
func (o *ownerCache) count() int {
	n := 0
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		n += len(s.current)
		for id := range s.previous {
			if _, copied := s.current[id]; !copied {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
