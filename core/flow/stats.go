package flow

import (
	"slices"
	"sync/atomic"
)

type counter = atomic.Uint64

// counters count an agent's decisions.
type counters struct {
	delivered    counter
	acquired     counter
	queried      counter
	forwarded    counter
	returnedHome counter
	diverted     counter
	contested    counter
	dropped      [reasonCount]counter
}

// DropCounts are the numbers of dropped packets by reason.
type DropCounts [reasonCount]uint64

// ByName returns the nonzero counts by the name of the reason.
func (r DropCounts) ByName() map[string]uint64 {
	out := make(map[string]uint64)
	for reason, n := range r {
		if n > 0 {
			out[DropReason(reason).String()] = n
		}
	}
	return out
}

// Stats are the counts of an agent since its start.
type Stats struct {
	Delivered    uint64     // packets delivered to the backend server
	Acquired     uint64     `json:"Taken"`  // flows acquired
	Queried      uint64     `json:"Asked"`  // packets relayed to an agent that may own the flow
	Forwarded    uint64     `json:"Chased"` // queries relayed along a pointer for another agent
	ReturnedHome uint64     `json:"Denied"` // packets relayed to a home because the flow is not owned here
	Diverted     uint64     // flows placed on another agent to balance load
	Contested    uint64     // pointers received for flows that this agent owns
	Dropped      DropCounts `json:"-"`
}

// Stats returns the counts.
func (a *Agent) Stats() Stats {
	s := Stats{
		Delivered:    a.stats.delivered.Load(),
		Acquired:     a.stats.acquired.Load(),
		Queried:      a.stats.queried.Load(),
		Forwarded:    a.stats.forwarded.Load(),
		ReturnedHome: a.stats.returnedHome.Load(),
		Diverted:     a.stats.diverted.Load(),
		Contested:    a.stats.contested.Load(),
	}
	for i := range s.Dropped {
		s.Dropped[i] = a.stats.dropped[i].Load()
	}
	return s
}

// OwnedCount returns the number of owned flows.
func (a *Agent) OwnedCount() int { return int(a.ownedCount.Load()) }

// OwnerFlows is the number of flows of one owner in an agent's flow table.
type OwnerFlows struct {
	Owner Peer
	Flows int
}

// FlowsByOwner counts the flows in the table by owner: the flows of this agent
// first, then those of the owners that it has pointers to, sorted by seed.
func (a *Agent) FlowsByOwner() []OwnerFlows {
	counts := make(map[uint32]int)
	for i := range a.shards {
		a.shards[i].countByOwner(counts)
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

func (s *shard) countByOwner(counts map[uint32]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.flows.entries {
		if e := &s.flows.entries[i]; e.inUse() {
			counts[e.owner]++
		}
	}
}

// TableBytes returns the size of the flow table in bytes.
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
