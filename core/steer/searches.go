package steer

import (
	"slices"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
)

const (
	// answerTime is how long a member that is asked for a flow may take.
	answerTime = 60 * time.Millisecond
	// searchTime is how long a search is remembered after its last question.
	searchTime = 2 * time.Second
	// maxOverdue bounds the searches that go on by themselves at a time. One member
	// that is gone holds up few, as it is asked last from then on; many mean that
	// answers are late because there is too much to do, and more questions would
	// make that worse.
	maxOverdue = 4
	// maxSearches bounds the searches of one shard.
	maxSearches = 4096
)

// search is the questions after one flow.
type search struct {
	// asked are the seeds of the members that were asked, the last of them the
	// one whose answer is awaited.
	asked []uint64
	at    time.Duration
	// unanswered is set where a member has not answered in time.
	unanswered bool
}

// awaits returns the seed of the member whose answer is awaited.
func (s *search) awaits() uint64 { return s.asked[len(s.asked)-1] }

// searches are the flows that are looked for.
type searches struct {
	shards [ownerShards]searchShard
}

type searchShard struct {
	mu     sync.Mutex
	byFlow map[flow.ID]*search
}

func newSearches() *searches {
	s := &searches{}
	for i := range s.shards {
		s.shards[i].byFlow = make(map[flow.ID]*search)
	}
	return s
}

// step is what comes next in a search.
type step struct {
	member *member
	hops   uint8
	// silent is a member that has not answered in time, or nil.
	silent *member
	// complete is set where every member has answered.
	complete bool
}

// next returns the member to send a segment of the flow to; nil where all were
// asked. denied is the seed of the member that has just returned the segment, 0
// for a segment from the caller.
func (s *searches) next(now time.Duration, id flow.ID, holders []*member, denied uint64) step {
	shard := &s.shards[id.Key%ownerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.byFlow[id]
	if found == nil || now-found.at > searchTime {
		found = &search{}
		shard.put(now, id, found)
	}
	var out step
	if len(found.asked) > 0 {
		current := memberOf(holders, found.awaits())
		late := now-found.at > answerTime
		if found.awaits() != denied && !late && current != nil {
			return step{member: current, hops: uint8(len(found.asked) - 1)}
		}
		if found.awaits() != denied {
			found.unanswered, out.silent = true, current
		}
	}
	for _, m := range holders {
		if slices.Contains(found.asked, m.peer.Seed) {
			continue
		}
		found.asked, found.at = append(found.asked, m.peer.Seed), now
		out.member, out.hops = m, uint8(len(found.asked)-1)
		return out
	}
	delete(shard.byFlow, id)
	out.complete = !found.unanswered
	return out
}

// overdue returns the flows whose awaited answers are late, and forgets searches
// that nobody goes on with.
func (s *searches) overdue(now time.Duration) []flow.ID {
	var out []flow.ID
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for id, found := range shard.byFlow {
			switch waited := now - found.at; {
			case waited > searchTime:
				delete(shard.byFlow, id)
			case waited > answerTime && len(out) < maxOverdue:
				out = append(out, id)
			}
		}
		shard.mu.Unlock()
	}
	return out
}

// end forgets a search whose flow was found.
func (s *searches) end(id flow.ID) {
	shard := &s.shards[id.Key%ownerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.byFlow, id)
}

// put stores a search and makes room for it. The caller holds the lock.
func (s *searchShard) put(now time.Duration, id flow.ID, found *search) {
	if len(s.byFlow) >= maxSearches {
		for old, o := range s.byFlow {
			if now-o.at > searchTime {
				delete(s.byFlow, old)
			}
		}
	}
	if len(s.byFlow) >= maxSearches {
		clear(s.byFlow) // each goes on with the next segment of its flow
	}
	s.byFlow[id] = found
}

func memberOf(holders []*member, seed uint64) *member {
	for _, m := range holders {
		if m.peer.Seed == seed {
			return m
		}
	}
	return nil
}
