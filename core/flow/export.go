package flow

import "time"

// Record is the state of one flow at an agent, exported for the next run of the
// agent.
type Record struct {
	ID ID `cbor:"1,keyasint"`
	// Idle is the time since the last use of the flow.
	Idle time.Duration `cbor:"2,keyasint"`
	// Owned is set if the exporting agent owns the flow. Otherwise Owner is the
	// agent that its pointer names, or zero.
	Owned bool `cbor:"3,keyasint,omitempty"`
	Owner Peer `cbor:"4,keyasint"`
	// PromisedBallot is the oldest ballot under which the flow may be acquired,
	// and Home the home of that ballot; zero for the exporting agent.
	PromisedBallot Ballot `cbor:"5,keyasint"`
	Home           Peer   `cbor:"6,keyasint"`
}

// Export returns the agent's state of all flows, including its promises. The
// agent must receive no packets during or after the export: the next run
// continues under the same incarnation and must keep the promises.
func (a *Agent) Export(now time.Duration) []Record {
	var out []Record
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for j := range s.flows.entries {
			if e := &s.flows.entries[j]; e.inUse() {
				out = append(out, a.record(e, now))
			}
		}
		s.mu.Unlock()
	}
	return out
}

func (a *Agent) record(e *entry, now time.Duration) Record {
	r := Record{
		ID: e.id, Idle: time.Duration(ticks(now)-min(e.lastUsed, ticks(now))) * tick,
		Owned: e.isOwned(), PromisedBallot: a.ballots.ballot(e.promised),
	}
	if e.isPointer() {
		r.Owner = a.peers.peer(e.ownerSlot())
	}
	if e.home != homeSelf {
		r.Home = a.peers.peer(e.home - homePeer)
	}
	return r
}

// Import restores the flows that an earlier run of the agent has exported. Call
// it before the first packet.
func (a *Agent) Import(now time.Duration, records []Record) {
	for i := range records {
		a.restore(now, &records[i])
	}
}

func (a *Agent) restore(now time.Duration, r *Record) {
	s := a.shard(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.flows.insert(r.ID)
	e.lastUsed = ticks(max(now-r.Idle, 0))
	if r.PromisedBallot != (Ballot{}) {
		e.promised = a.ballots.intern(r.PromisedBallot)
	}
	if !r.Home.IsZero() {
		e.home = homePeer + a.peers.upsert(r.Home)
	}
	switch {
	case r.Owned:
		e.owner = ownerSelf
		a.ownedCount.Add(1)
	case !r.Owner.IsZero():
		e.owner = ownerPeer + a.peers.upsert(r.Owner)
	}
}
