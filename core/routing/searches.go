package routing

import (
	"math"
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
	// probes are the probes in the order of sending. Each is sent once the one before
	// was answered or has timed out.
	probes   []probe
	probedAt time.Duration // time of the last probe
	// isExhausted is set once every member was probed. The search then only waits for
	// late answers.
	isExhausted bool
}

// probe is a segment forwarded to a member that may own its flow.
type probe struct {
	seed       uint64
	isAnswered bool
}

// pendingProbe returns the last probe if it has no answer yet, else nil.
func (s *search) pendingProbe() *probe {
	if len(s.probes) == 0 || s.probes[len(s.probes)-1].isAnswered {
		return nil
	}
	return &s.probes[len(s.probes)-1]
}

// hops returns the number of members that were probed before the last one, as far as it
// fits.
func (s *search) hops() uint8 { return uint8(min(len(s.probes)-1, math.MaxUint8)) }

// indexOf returns the index of a member's probe, or -1.
func (s *search) indexOf(seed uint64) int {
	return slices.IndexFunc(s.probes, func(p probe) bool { return p.seed == seed })
}

// recordAnswer records that a member has returned a segment.
func (s *search) recordAnswer(seed uint64) {
	if i := s.indexOf(seed); i >= 0 {
		s.probes[i].isAnswered = true
	}
}

func (s *search) allAnswered() bool {
	return !slices.ContainsFunc(s.probes, func(p probe) bool { return !p.isAnswered })
}

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
// A segment from the caller starts a search that was exhausted anew.
func (s *searchTable) nextStep(now time.Duration, id flow.ID, members []*member, returnedBy uint64) searchStep {
	shard := &s.shards[id.Key%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := shard.byFlow[id]
	if entry == nil || now-entry.probedAt > searchTTL || entry.isExhausted && returnedBy == 0 {
		entry = &search{}
		shard.put(now, id, entry)
	}
	entry.recordAnswer(returnedBy)
	var out searchStep
	if pending := entry.pendingProbe(); pending != nil && !entry.isExhausted {
		current := memberWithSeed(members, pending.seed)
		if current != nil && now-entry.probedAt <= probeTimeout {
			return searchStep{member: current, hops: entry.hops()}
		}
		out.unresponsive = current
	}
	for _, m := range members {
		if entry.indexOf(m.peer.Seed) >= 0 {
			continue
		}
		entry.probes, entry.probedAt = append(entry.probes, probe{seed: m.peer.Seed}), now
		out.member, out.hops = m, entry.hops()
		return out
	}
	entry.isExhausted = true
	if out.allAnswered = entry.allAnswered(); out.allAnswered {
		delete(shard.byFlow, id)
	}
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
			case waited > probeTimeout && !entry.isExhausted && len(out) < maxOverdue:
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
