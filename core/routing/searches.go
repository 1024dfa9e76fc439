package routing

import (
	"slices"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
)

const (
	// probeTimeout is how long a balancer waits for the answer to a probe.
	probeTimeout = 60 * time.Millisecond
	// searchTTL is how long a search is kept after its last probe.
	searchTTL = 2 * time.Second
	// maxOverdue bounds the searches that are resumed at a time without a segment from
	// the caller. A failed member delays few searches, as it is probed last from then
	// on. Many overdue searches mean that answers are late because of overload, and
	// more probes would add to it.
	maxOverdue = 4
	// maxSearches bounds the searches of one shard.
	maxSearches = 4096
)

// search is the state of the search for the owner of one flow.
type search struct {
	// probed are the seeds of the probed members. The probe of the last one is pending.
	probed   []uint64
	probedAt time.Duration
	// timedOut is set if a probe was not answered in time.
	timedOut bool
}

// pendingProbe returns the seed of the member whose answer is pending.
func (s *search) pendingProbe() uint64 { return s.probed[len(s.probed)-1] }

// searchTable holds the searches in progress.
type searchTable struct {
	shards [shardCount]searchShard
}

type searchShard struct {
	mu     sync.Mutex
	byFlow map[flow.ID]*search
}

func newSearchTable() *searchTable {
	s := &searchTable{}
	for i := range s.shards {
		s.shards[i].byFlow = make(map[flow.ID]*search)
	}
	return s
}

// searchStep is the result of nextStep: the next probe, or the end of the search.
type searchStep struct {
	// member is the member to forward the segment to; nil if all were probed.
	member *member
	hops   uint8
	// unresponsive is the member whose probe has just timed out, or nil.
	unresponsive *member
	// allAnswered is set once every member was probed and has answered.
	allAnswered bool
}

// nextStep selects the member to forward a segment of the flow to. returnedBy is the
// seed of the member that has just returned the segment, or 0 for a segment from the
// caller. While an answer is pending, segments from the caller follow the pending probe.
func (s *searchTable) nextStep(now time.Duration, id flow.ID, members []*member, returnedBy uint64) searchStep {
	shard := &s.shards[id.Key%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := shard.byFlow[id]
	if entry == nil || now-entry.probedAt > searchTTL {
		entry = &search{}
		shard.put(now, id, entry)
	}
	var out searchStep
	if len(entry.probed) > 0 {
		current := memberWithSeed(members, entry.pendingProbe())
		late := now-entry.probedAt > probeTimeout
		if entry.pendingProbe() != returnedBy && !late && current != nil {
			return searchStep{member: current, hops: uint8(len(entry.probed) - 1)}
		}
		if entry.pendingProbe() != returnedBy {
			entry.timedOut, out.unresponsive = true, current
		}
	}
	for _, m := range members {
		if slices.Contains(entry.probed, m.peer.Seed) {
			continue
		}
		entry.probed, entry.probedAt = append(entry.probed, m.peer.Seed), now
		out.member, out.hops = m, uint8(len(entry.probed)-1)
		return out
	}
	delete(shard.byFlow, id)
	out.allAnswered = !entry.timedOut
	return out
}

// overdue returns up to maxOverdue flows whose pending probe has timed out, and removes
// expired searches.
func (s *searchTable) overdue(now time.Duration) []flow.ID {
	var out []flow.ID
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for id, entry := range shard.byFlow {
			switch waited := now - entry.probedAt; {
			case waited > searchTTL:
				delete(shard.byFlow, id)
			case waited > probeTimeout && len(out) < maxOverdue:
				out = append(out, id)
			}
		}
		shard.mu.Unlock()
	}
	return out
}

// remove ends the search for a flow whose owner was found.
func (s *searchTable) remove(id flow.ID) {
	shard := &s.shards[id.Key%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.byFlow, id)
}

// put stores a search. If the shard is full it removes the expired searches, and then
// all of them if it is still full. The caller must hold s.mu.
func (s *searchShard) put(now time.Duration, id flow.ID, added *search) {
	if len(s.byFlow) >= maxSearches {
		for old, o := range s.byFlow {
			if now-o.probedAt > searchTTL {
				delete(s.byFlow, old)
			}
		}
	}
	if len(s.byFlow) >= maxSearches {
		clear(s.byFlow) // each search restarts with the next segment of its flow
	}
	s.byFlow[id] = added
}

func memberWithSeed(members []*member, seed uint64) *member {
	for _, m := range members {
		if m.peer.Seed == seed {
			return m
		}
	}
	return nil
}
