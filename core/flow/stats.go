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

// DropCounts counts dropped packets by reason.
type DropCounts [reasons]uint64

// ByName returns the counts that are not 0, by the reason's name.
func (r DropCounts) ByName() map[string]uint64 {
	out := make(map[string]uint64)
	for reason, n := range r {
		if n > 0 {
			out[DropReason(reason).String()] = n
		}
	}
	return out
}

// Stats are an agent's counts since its start.
type Stats struct {
	Delivered    uint64     // packets handed to the backend server
	Acquired     uint64     `json:"Taken"`  // flows taken
	Queried      uint64     `json:"Asked"`  // packets relayed to an agent that may own the flow
	Forwarded    uint64     `json:"Chased"` // packets relayed along a pointer for another agent
	ReturnedHome uint64     `json:"Denied"` // packets sent to a home as not owned here
	Diverted     uint64     // flows placed on another agent for balance
	Contested    uint64     // pointers received for flows that are owned here
	Dropped      DropCounts `json:"-"`
}

// Stats returns the counts.
func (a *Agent) Stats() Stats {
	s := Stats{
		Delivered:    a.stats.delivered.Load(),
		Acquired:     a.stats.taken.Load(),
		Queried:      a.stats.asked.Load(),
		Forwarded:    a.stats.chased.Load(),
		ReturnedHome: a.stats.denied.Load(),
		Diverted:     a.stats.diverted.Load(),
		Contested:    a.stats.contested.Load(),
	}
	for i := range s.Dropped {
		s.Dropped[i] = a.stats.refused[i].Load()
	}
	return s
}

// OwnedCount returns the number of flows owned.
func (a *Agent) OwnedCount() int { return int(a.owned.Load()) }

// OwnerFlows is the number of flows that an agent knows one owner to hold.
type OwnerFlows struct {
	Owner Peer
	Flows int
}

// FlowsByOwner counts the flows known here by owner: this agent's own first, then
// those it points to, by seed.
func (a *Agent) FlowsByOwner() []OwnerFlows {
	counts := make(map[uint32]int)
	for i := range a.shards {
		a.shards[i].count(counts)
	}
	all := []OwnerFlows{{Owner: a.options.Self, Flows: counts[ownerSelf]}}
	delete(counts, ownerSelf)
	delete(counts, ownerNone)
	for owner, n := range counts {
		all = append(all, OwnerFlows{Owner: a.peers.peer(owner - ownerPeer), Flows: n})
	}
	slices.SortFunc(all[1:], func(x, y OwnerFlows) int {
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
