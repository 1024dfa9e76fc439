package steer

import (
	"sync"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

const (
	ownerShards = 16
	// generationTime is how long an owner is remembered at least after its last
	// use; at most it is twice that.
	generationTime = 20 * time.Second
	// maxOwners bounds one generation of one shard.
	maxOwners = 8192
)

// owner is the member that a flow was sent to.
type owner struct {
	service view.ServiceID
	seed    uint64
	// confirmed is set once the member's host has said that it holds the flow.
	confirmed bool
	// copies counts the copies of the SYN that were sent there.
	copies uint32
}

// owners remembers the members of flows in two generations: what is used moves
// to the newer one, the older one is dropped whole.
type owners struct {
	shards [ownerShards]ownerShard
}

type ownerShard struct {
	mu       sync.Mutex
	turned   time.Duration
	new, old map[flow.ID]owner
}

func newOwners() *owners {
	o := &owners{}
	for i := range o.shards {
		o.shards[i].new = make(map[flow.ID]owner)
	}
	return o
}

func (o *owners) shard(id flow.ID) *ownerShard { return &o.shards[id.Key%ownerShards] }

func (o *owners) get(now time.Duration, id flow.ID) (owner, bool) {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if found, ok := s.new[id]; ok {
		return found, true
	}
	found, ok := s.old[id]
	if ok {
		s.new[id] = found
	}
	return found, ok
}

func (o *owners) set(now time.Duration, id flow.ID, to owner) {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	s.new[id] = to
}

func (o *owners) drop(id flow.ID) {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.new, id)
	delete(s.old, id)
}

// turn begins a new generation where the current one is old or full. The caller
// holds the lock.
func (s *ownerShard) turn(now time.Duration) {
	if now-s.turned < generationTime && len(s.new) < maxOwners {
		return
	}
	s.old, s.new, s.turned = s.new, make(map[flow.ID]owner), now
}

// count returns the number of remembered flows.
func (o *owners) count() int {
	n := 0
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		n += len(s.new) + len(s.old)
		s.mu.Unlock()
	}
	return n
}
