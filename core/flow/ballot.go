package flow

import (
	"sync"

	"fulmarmount.org/core/view"
)

// Ballot is the right to acquire ownership of a flow. Under the ballot of a
// view version only the ballot's home, which is the agent that the version
// picks, may acquire the flow, and only after the homes of earlier ballots have
// promised not to. To promise a ballot is to promise not to acquire the flow
// under an older one. A home that delegates its ballot to another agent, to
// balance load, keeps the retake ballot of the same version, which is newer.
//
// No two agents acquire the same flow: the home of the later ballot has the
// promise of the home of the earlier one, which had not acquired the flow when
// it promised and may not do so afterwards. The argument is that of "Paxos Made
// Simple", section 2.2, with one proposer per ballot and all earlier proposers
// as the quorum.
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

func (b Ballot) retakeBallot() Ballot { return Ballot{Version: b.Version, Retake: true} }

// ballotTable interns ballots, so that a flow table entry stores a number
// instead of a ballot.
type ballotTable struct {
	mu      sync.RWMutex
	list    []Ballot
	numbers map[Ballot]uint32
}

// intern returns the number of b, starting at 1.
func (s *ballotTable) intern(b Ballot) uint32 {
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

// ballot returns the ballot with the given number, or the zero ballot for 0.
func (s *ballotTable) ballot(number uint32) Ballot {
	if number == 0 {
		return Ballot{}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.list[number-1]
}
