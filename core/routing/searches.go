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

// waveSizes are the numbers of members that a search probes at the same time: one at
// first, as it usually owns the flow, then the other placement candidates, then all that
// may own the flow, maxWave at a time. A flow has one owner, so the copies of a segment do
// no harm. Callers of flows that nobody owns any more, all of them after a loss of power,
// learn it after three round trips instead of one for each member.
var waveSizes = [...]int{1, maxPlacementCandidates - 1}

// maxWave bounds the copies of a segment on a thin link.
const maxWave = 16

// search is the state of the search for the owner of one flow.
type search struct {
	// probes are the probes in the order of sending, wave after wave. A wave is sent
	// once all probes of the one before were answered or have timed out.
	probes    []probe
	waves     int // number of waves sent
	waveStart int // index of the first probe of the last wave
	probedAt  time.Duration
	// sent are the segments that the members of the last wave have. A request may have
	// several.
	sent []segmentKey
	// isExhausted is set once every member was probed. The search then only waits for
	// late answers.
	isExhausted bool
}

// segmentKey tells the segments of a flow apart.
type segmentKey struct {
	seq    uint32
	length int
	flags  Flags
}

func (s *Segment) key() segmentKey { return segmentKey{seq: s.Seq, length: s.Length, flags: s.Flags} }

// recordSent records a segment as forwarded to the last wave, and reports whether its
// members did not have it.
func (s *search) recordSent(key segmentKey) bool {
	if slices.Contains(s.sent, key) {
		return false
	}
	s.sent = append(s.sent, key)
	return true
}

// probe is a segment forwarded to a member that may own its flow.
type probe struct {
	seed       uint64
	isAnswered bool
}

// newSearch returns a search that leaves out a member that has returned the segment
// already; 0 is none.
func newSearch(returnedBy uint64) *search {
	s := &search{}
	if returnedBy != 0 {
		s.probes, s.waveStart = []probe{{seed: returnedBy, isAnswered: true}}, 1
	}
	return s
}

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

// pending returns the members of the last wave that have not answered.
func (s *search) pending(members []*member) []*member {
	var out []*member
	for _, p := range s.probes[s.waveStart:] {
		if m := memberWithSeed(members, p.seed); m != nil && !p.isAnswered {
			out = append(out, m)
		}
	}
	return out
}

// nextWave returns the members to probe next, and records their probes.
func (s *search) nextWave(now time.Duration, members []*member) []*member {
	size := maxWave
	if s.waves < len(waveSizes) {
		size = waveSizes[s.waves]
	}
	var out []*member
	start := len(s.probes)
	for _, m := range members {
		if len(out) < size && s.indexOf(m.peer.Seed) < 0 {
			out = append(out, m)
			s.probes = append(s.probes, probe{seed: m.peer.Seed})
		}
	}
	if len(out) > 0 {
		s.waves, s.waveStart, s.probedAt, s.sent = s.waves+1, start, now, nil
	}
	return out
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

// searchStep is the result of nextStep: the next probes, or the end of the search.
type searchStep struct {
	// members are those to forward the segment to.
	members []*member
	hops    uint8
	// isPending is set if the segment is not forwarded since the members whose answers
	// are pending have it.
	isPending bool
	// unresponsive are the members whose probes have just timed out.
	unresponsive []*member
	// allAnswered is set once every member was probed and has answered.
	allAnswered bool
}

// searchEvent is what a search goes on with.
type searchEvent struct {
	segment segmentKey
	// returnedBy is the seed of the member that has returned the segment, or 0 for a
	// segment from the caller.
	returnedBy uint64
	// startsSearch is set for a segment from the caller and one that its presumed owner
	// has returned. Other returns belong to a search in progress: if each of several
	// late copies started a search of its own, an overload would grow without end.
	startsSearch bool
}

// nextStep selects the members to forward a segment of the flow to. While answers are
// pending, segments from the caller follow the pending probes, and so do returned ones
// that the members of the last wave do not have. A segment from the caller starts a
// search that was exhausted anew.
func (s *searchTable) nextStep(now time.Duration, id flow.ID, members []*member, event searchEvent) searchStep {
	shard := &s.shards[id.Key%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := shard.byFlow[id]
	if entry == nil || now-entry.probedAt > searchTTL || entry.isExhausted && event.startsSearch {
		if !event.startsSearch {
			return searchStep{isPending: true}
		}
		entry = newSearch(event.returnedBy)
		shard.put(now, id, entry)
	}
	entry.recordAnswer(event.returnedBy)
	var out searchStep
	if pending := entry.pending(members); len(pending) > 0 && !entry.isExhausted {
		switch {
		case now-entry.probedAt > probeTimeout:
			out.unresponsive = pending
		case !entry.recordSent(event.segment) && event.returnedBy != 0:
			return searchStep{isPending: true}
		default:
			return searchStep{members: pending, hops: uint8(entry.waveStart)}
		}
	}
	if out.members = entry.nextWave(now, members); len(out.members) > 0 {
		entry.recordSent(event.segment)
		out.hops = uint8(entry.waveStart)
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
