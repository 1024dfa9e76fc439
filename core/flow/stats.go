package flow

import (
	"slices"
	"sync/atomic"
)

type counter = atomic.Uint64

// stats counts an agent's decisions.
type stats struct {
	delivered counter
	taken     counter
	asked     counter
	chased    counter
	denied    counter
	diverted  counter
	contested counter
	refused   [reasons]counter
}

// Refusals counts dropped packets by reason.
type Refusals [reasons]uint64

// ByName returns the counts that are not 0, by the reason's name.
func (r Refusals) ByName() map[string]uint64 {
	out := make(map[string]uint64)
	for reason, n := range r {
		if n > 0 {
			out[Reason(reason).String()] = n
		}
	}
	return out
}

// Stats are an agent's counts since its start.
type Stats struct {
	Delivered uint64   // packets handed to the backend server
	Taken     uint64   // flows taken
	Asked     uint64   // packets relayed to an agent that may own the flow
	Chased    uint64   // packets relayed along a pointer for another agent
	Denied    uint64   // packets sent to a home as not owned here
	Diverted  uint64   // flows placed on another agent for balance
	Contested uint64   // pointers received for flows that are owned here
	Refused   Refusals `json:"-"`
}

// Stats returns the counts.
func (a *Agent) Stats() Stats {
	s := Stats{
		Delivered: a.stats.delivered.Load(),
		Taken:     a.stats.taken.Load(),
		Asked:     a.stats.asked.Load(),
		Chased:    a.stats.chased.Load(),
		Denied:    a.stats.denied.Load(),
		Diverted:  a.stats.diverted.Load(),
		Contested: a.stats.contested.Load(),
	}
	for i := range s.Refused {
		s.Refused[i] = a.stats.refused[i].Load()
	}
	return s
}

// Flows returns the number of flows owned.
func (a *Agent) Flows() int { return int(a.owned.Load()) }

// Holding is the number of flows that an agent knows one owner to hold.
type Holding struct {
	Owner Peer
	Flows int
}

// Holdings counts the flows known here by owner: this agent's own first, then
// those it points to, by seed.
func (a *Agent) Holdings() []Holding {
	counts := make(map[uint32]int)
	for i := range a.shards {
		a.shards[i].count(counts)
	}
	all := []Holding{{Owner: a.options.Self, Flows: counts[ownerSelf]}}
	delete(counts, ownerSelf)
	delete(counts, ownerNone)
	for owner, n := range counts {
		all = append(all, Holding{Owner: a.peers.peer(owner - ownerPeer), Flows: n})
	}
	slices.SortFunc(all[1:], func(x, y Holding) int {
		if x.Owner.Seed < y.Owner.Seed {
			return -1
		}
		return 1
	})
	return all
}

func (s *shard) count(counts map[uint32]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.flows.entries {
		if e := &s.flows.entries[i]; e.used() {
			counts[e.owner]++
		}
	}
}

// TableBytes returns the memory of the flow table in bytes.
func (a *Agent) TableBytes() int {
	n := 0
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		n += entrySize * len(s.flows.entries)
		s.mu.Unlock()
	}
	return n
}
