package flow

import (
	"sync"

	"fulmarmount.org/core/view"
)

// Ballot is a right to take a flow. Under the ballot of a view version, only the
// version's pick, the ballot's home, may take the flow, after the homes of
// earlier ballots have promised not to. A home that lends its ballot to another
// agent, for balance, keeps the retake, which is newer.
//
// No two agents take one flow: the later ballot's home has the promise of the
// earlier one's, which had not taken the flow when it promised and may not
// afterwards. The argument is that of "Paxos Made Simple", section 2.2, with
// one proposer per ballot and all earlier proposers as the quorum.
type Ballot struct {
	Version view.Version
	Retake  bool
}

// Newer reports whether b is strictly newer than o.
func (b Ballot) Newer(o Ballot) bool {
	if c := b.Version.Compare(o.Version); c != 0 {
		return c > 0
	}
	return b.Retake && !o.Retake
}

func (b Ballot) retake() Ballot { return Ballot{Version: b.Version, Retake: true} }

// ballots numbers ballots, so that an entry keeps a number in place of one.
type ballots struct {
	mu      sync.RWMutex
	list    []Ballot
	numbers map[Ballot]uint32
}

// number returns the number of b, from 1.
func (s *ballots) number(b Ballot) uint32 {
	s.mu.RLock()
	n, ok := s.numbers[b]
	s.mu.RUnlock()
	if ok {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok = s.numbers[b]; ok {
		return n
	}
	s.list = append(s.list, b)
	n = uint32(len(s.list))
	s.numbers[b] = n
	return n
}

// ballot returns the ballot with a number, or the zero ballot for 0.
func (s *ballots) ballot(number uint32) Ballot {
	if number == 0 {
		return Ballot{}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.list[number-1]
}
