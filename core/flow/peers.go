package flow

import (
	"sync"
	"time"
)

// peerTable numbers the agents of a service and tracks which of them are
// unresponsive. It has one slot per backend server, with the latest run of its
// agent.
type peerTable struct {
	mu           sync.RWMutex
	slots        []peerState
	bySeed       map[uint64]uint32
	unresponsive unresponsiveRule
}

// unresponsiveRule defines when an agent counts as unresponsive.
type unresponsiveRule struct {
	minQueries int           // minimum number of consecutive unanswered queries
	minElapsed time.Duration // minimum time since the first of them
}

type peerState struct {
	peer              Peer
	unansweredQueries int
	firstUnansweredAt time.Duration
	retryAt           time.Duration // time from which an unresponsive agent is queried again
}

// upsert returns the slot of p's agent, and stores p in it if the slot is new
// or p is a newer run.
func (s *peerTable) upsert(p Peer) uint32 {
	s.mu.RLock()
	i, ok := s.bySeed[p.Seed]
	current := ok && s.slots[i].peer == p
	s.mu.RUnlock()
	if current {
		return i
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok = s.bySeed[p.Seed]
	if !ok {
		i = uint32(len(s.slots))
		s.slots = append(s.slots, peerState{peer: p})
		s.bySeed[p.Seed] = i
		return i
	}
	if p.Incarnation > s.slots[i].peer.Incarnation {
		s.slots[i] = peerState{peer: p}
	}
	return i
}

func (s *peerTable) peer(slot uint32) Peer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.slots[slot].peer
}

// latestRun returns the newest known run of p's agent.
func (s *peerTable) latestRun(p Peer) Peer { return s.peer(s.upsert(p)) }

// recordQuery records a query to an agent that requires an answer.
func (s *peerTable) recordQuery(slot uint32, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.slots[slot]
	if p.unansweredQueries == 0 {
		p.firstUnansweredAt = now
	}
	p.unansweredQueries++
	p.retryAt = now + s.unresponsive.minElapsed
}

// markResponsive resets the unanswered queries of an agent.
func (s *peerTable) markResponsive(seed uint64) {
	s.mu.RLock()
	i, ok := s.bySeed[seed]
	hasUnanswered := ok && s.slots[i].unansweredQueries > 0
	s.mu.RUnlock()
	if !hasUnanswered {
		return
	}
	s.mu.Lock()
	s.slots[i].unansweredQueries = 0
	s.mu.Unlock()
}

// isUnresponsive reports whether an agent counts as unresponsive. It returns
// false again at retryAt, so that a restored path to the agent is noticed.
func (s *peerTable) isUnresponsive(slot uint32, now time.Duration) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := &s.slots[slot]
	return p.unansweredQueries >= s.unresponsive.minQueries && now-p.firstUnansweredAt >= s.unresponsive.minElapsed && now < p.retryAt
}
