package flow

import "time"

// Record is what an agent knows of one flow, for the next run of the agent.
type Record struct {
	ID ID `cbor:"1,keyasint"`
	// Idle is the time since the flow was last used.
	Idle time.Duration `cbor:"2,keyasint"`
	// Owned is set where the agent itself owns the flow; else Owner is the agent
	// that is believed to, or zero.
	Owned bool `cbor:"3,keyasint,omitempty"`
	Owner Peer `cbor:"4,keyasint"`
	// PromisedBallot is the oldest ballot under which the flow may be taken, and Home the
	// ballot's home; zero for the agent itself.
	PromisedBallot Ballot `cbor:"5,keyasint"`
	Home           Peer   `cbor:"6,keyasint"`
}

// Export returns everything that the agent knows of flows, its promises included.
// Nothing may be received meanwhile or afterwards: the next run, which goes on
// under the same incarnation, answers for it.
func (a *Agent) Export(now time.Duration) []Record {
	var out []Record
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for j := range s.flows.entries {
			if e := &s.flows.entries[j]; e.used() {
				out = append(out, a.saved(e, now))
			}
		}
		s.mu.Unlock()
	}
	return out
}

func (a *Agent) saved(e *entry, now time.Duration) Record {
	s := Record{
		ID: e.id, Idle: time.Duration(ticks(now)-min(e.seen, ticks(now))) * tick,
		Owned: e.owned(), PromisedBallot: a.ballots.ballot(e.bound),
	}
	if e.points() {
		s.Owner = a.peers.peer(e.slot())
	}
	if e.home != homeSelf {
		s.Home = a.peers.peer(e.home - homePeer)
	}
	return s
}

// Import takes over what an earlier run of the agent has exported. Call it before
// the first packet.
func (a *Agent) Import(now time.Duration, flows []Record) {
	for i := range flows {
		a.restore(now, &flows[i])
	}
}

func (a *Agent) restore(now time.Duration, saved *Record) {
	s := a.shard(saved.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.flows.insert(saved.ID)
	e.seen = ticks(max(now-saved.Idle, 0))
	if saved.PromisedBallot != (Ballot{}) {
		e.bound = a.ballots.number(saved.PromisedBallot)
	}
	if !saved.Home.IsZero() {
		e.home = homePeer + a.peers.slot(saved.Home)
	}
	switch {
	case saved.Owned:
		e.owner = ownerSelf
		a.owned.Add(1)
	case !saved.Owner.IsZero():
		e.owner = ownerPeer + a.peers.slot(saved.Owner)
	}
}
