package flow

import (
	"sync"
	"time"
)

// peers numbers the agents of a service and notes which of them no longer
// answer. One slot per backend server holds its latest run.
type peers struct {
	mu      sync.RWMutex
	slots   []peerState
	bySeed  map[uint64]uint32
	silence silenceRule
}

// silenceRule says when an agent that does not answer is passed over.
type silenceRule struct {
	asks  int           // unanswered in a row, at least
	after time.Duration // since the first of them
}

type peerState struct {
	peer       Peer
	unanswered int
	since      time.Duration // of the first unanswered ask
	retry      time.Duration // when a silent agent is asked again
}

// slot returns the slot of p, and adopts p's run and address if newer.
func (s *peers) slot(p Peer) uint32 {
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

func (s *peers) peer(slot uint32) Peer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.slots[slot].peer
}

// latest returns the newest known run of p's agent.
func (s *peers) latest(p Peer) Peer { return s.peer(s.slot(p)) }

// asked notes a question to an agent that it should answer.
func (s *peers) asked(slot uint32, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.slots[slot]
	if p.unanswered == 0 {
		p.since = now
	}
	p.unanswered++
	p.retry = now + s.silence.after
}

// heard notes a sign of life of an agent.
func (s *peers) heard(seed uint64) {
	s.mu.RLock()
	i, ok := s.bySeed[seed]
	quiet := ok && s.slots[i].unanswered > 0
	s.mu.RUnlock()
	if !quiet {
		return
	}
	s.mu.Lock()
	s.slots[i].unanswered = 0
	s.mu.Unlock()
}

// silent reports whether an agent is to be passed over. From time to time it
// reports false about a silent agent, so that a healed path is noticed.
func (s *peers) silent(slot uint32, now time.Duration) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := &s.slots[slot]
	return p.unanswered >= s.silence.asks && now-p.since >= s.silence.after && now < p.retry
}
