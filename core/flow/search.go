package flow

import (
	"time"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// request is a packet for which a decision is being made. The lock of its shard
// is held.
type request struct {
	agent  *Agent
	shard  *shard
	now    time.Duration
	packet *Packet
	id     ID
}

// search processes the packet as the flow's home. It delivers the packet, sends
// it towards the owner, collects the promises of earlier homes, or acquires the
// flow.
func (r *request) search() Action {
	e := r.shard.flows.find(r.id)
	if e != nil && e.isOwned() {
		return r.deliver(e)
	}
	if e != nil && e.home == homeSelf {
		r.packet.raiseBallot(r.agent.ballots.ballot(e.promised))
	}
	current := r.agent.current.Load()
	pick, isSuperseded := r.newerPick(current)
	if e != nil {
		if action, ok := r.followEntry(e); ok {
			return action
		}
	}
	if isSuperseded {
		if pick.IsZero() {
			return r.agent.drop(NoTarget)
		}
		return r.promiseAndSearchPick(pick, current)
	}
	if earlier, ok := r.nextEarlierHome(current); ok {
		return r.query(earlier, true)
	}
	if !r.packet.EarlierPicksComplete && (current == nil || r.packet.Ballot.Version.Newer(current.view.Version)) {
		return r.agent.drop(NoView)
	}
	if current != nil && current.view.IsDrainOnly() && !r.packet.Ballot.Version.Newer(current.view.Version) {
		return r.agent.drop(NoTarget)
	}
	if other, ok := r.divert(current); ok {
		return r.assign(other)
	}
	return r.acquire()
}

// newerPick returns the pick of the active view, which may be zero, and true if
// that view is newer than the packet's ballot and does not place the flow on
// this agent. If it places the flow on this agent, newerPick raises the ballot.
func (r *request) newerPick(current *adoptedView) (Peer, bool) {
	if current == nil || !current.view.Version.Newer(r.packet.Ballot.Version) {
		return Peer{}, false
	}
	pick, ok := pickPeer(r.id.Key, current.view)
	if ok && pick.Seed == r.agent.options.Self.Seed {
		r.packet.raiseBallot(Ballot{Version: current.view.Version})
		return Peer{}, false
	}
	return pick, true
}

// followEntry sends the packet along e: if e has promised a newer ballot, to
// the home of that ballot, through the owner that e points to if there is one;
// otherwise to the owner. It returns false if e names no agent to send it to.
func (r *request) followEntry(e *entry) (Action, bool) {
	promised := r.agent.ballots.ballot(e.promised)
	if !promised.Newer(r.packet.Ballot) {
		return r.queryOwner(e)
	}
	slot := e.home - homePeer
	home := r.agent.peers.peer(slot)
	if r.agent.isUnreachable(home, slot, r.now) {
		return r.queryOwner(e)
	}
	r.packet.raiseBallot(promised)
	r.packet.Kind = Query
	r.packet.Home = home
	r.packet.PointerRequested = true
	if action, ok := r.forwardToOwner(home, e); ok {
		return action, true
	}
	return r.promiseAndSearch(home, promised), true
}

// queryOwner queries the agent that e points to. It clears the pointer if that
// agent is a non-owner of the flow or unreachable.
func (r *request) queryOwner(e *entry) (Action, bool) {
	if !e.isPointer() {
		return Action{}, false
	}
	owner := r.agent.peers.peer(e.ownerSlot())
	if r.packet.IsNonOwner(owner.Seed) || r.agent.isUnreachable(owner, e.ownerSlot(), r.now) {
		e.owner = ownerNone
		return Action{}, false
	}
	e.lastUsed = ticks(r.now)
	return r.query(owner, !r.agent.isMember(owner)), true
}

// isMember reports whether the active view has the agent as a member that is
// not in state Gone. Without an active view every agent counts as a member.
func (a *Agent) isMember(p Peer) bool {
	c := a.current.Load()
	if c == nil {
		return true
	}
	i := c.view.IndexOfSeed(p.Seed)
	return i >= 0 && c.view.Members[i].State != view.Gone
}

// isUnreachable reports whether an agent is to be skipped because it is not a
// member of the active view and is unresponsive. A member is never skipped.
func (a *Agent) isUnreachable(p Peer, slot uint32, now time.Duration) bool {
	return !a.isMember(p) && a.peers.isUnresponsive(slot, now)
}

// nextEarlierHome returns the home of an earlier ballot that has not promised
// yet.
func (r *request) nextEarlierHome(current *adoptedView) (Peer, bool) {
	if p := r.packet.SupersededHome; !p.IsZero() && r.canQuery(p) {
		return r.agent.peers.latestRun(p), true
	}
	for _, p := range r.packet.EarlierPicks {
		if !p.IsZero() && r.canQuery(p) {
			return r.agent.peers.latestRun(p), true
		}
	}
	if current == nil {
		return Peer{}, false
	}
	if r.packet.Ballot.Version.Newer(current.view.Version) {
		if p, ok := pickPeer(r.id.Key, current.view); ok && r.canQuery(p) {
			return p, true
		}
	}
	if r.now-current.adoptedAt > r.agent.options.HistoryWindow {
		return Peer{}, false
	}
	for i := range current.view.Earlier {
		pick, substitute := pickAndSubstitute(r.id.Key, current.view, current.view.EarlierTargets(i))
		for _, m := range [...]int{pick, substitute} {
			if m == placement.None {
				continue
			}
			if p := PeerOf(current.view, m); r.canQuery(p) {
				return p, true
			}
		}
	}
	if current.previous == nil {
		return Peer{}, false
	}
	if p, ok := pickPeer(r.id.Key, current.previous); ok && r.canQuery(p) {
		return r.agent.peers.latestRun(p), true
	}
	return Peer{}, false
}

// pickAndSubstitute returns the member of v that the targets of an earlier
// version place key on and, if that member has not stayed since, the member
// that stores the pointers in its place; placement.None if there is none.
func pickAndSubstitute(key uint64, v *view.View, targets []view.Target) (pick, substitute int) {
	pick = placement.PickTarget(key, targets)
	if pick == placement.None || v.Members[pick].IsStable() {
		return pick, placement.None
	}
	return pick, placement.PickStable(key, v, targets)
}

// canQuery reports whether p is another agent that is reachable and not known
// to be a non-owner of the flow.
func (r *request) canQuery(p Peer) bool {
	if p.Seed == r.agent.options.Self.Seed || r.packet.IsNonOwner(p.Seed) {
		return false
	}
	return !r.agent.isUnreachable(p, r.agent.peers.upsert(p), r.now)
}

// receiveQuery processes a query from another home: it delivers the packet,
// forwards it along a pointer, redirects the search to the home of a newer
// ballot, or promises and returns it.
func (r *request) receiveQuery() Action {
	home := r.packet.Home
	e := r.shard.flows.find(r.id)
	if e != nil && e.isOwned() {
		return r.deliverQuery(home, e)
	}
	if e != nil {
		if action, ok := r.forwardToOwner(home, e); ok {
			return action
		}
		if action, ok := r.redirectByPromise(home, e); ok {
			return action
		}
	}
	if action, ok := r.redirectByView(home); ok {
		return action
	}
	return r.promiseAndSearch(home, r.packet.Ballot)
}

// forwardToOwner promises, and forwards the query of home to the agent that e
// points to.
func (r *request) forwardToOwner(home Peer, e *entry) (Action, bool) {
	if !e.isPointer() {
		return Action{}, false
	}
	slot := e.ownerSlot()
	owner := r.agent.peers.peer(slot)
	if r.agent.isUnreachable(owner, slot, r.now) || owner.Seed == home.Seed || r.packet.IsNonOwner(owner.Seed) {
		return Action{}, false
	}
	r.promise(home, r.packet.Ballot)
	action := r.relay(owner, &r.agent.stats.forwarded)
	if r.packet.PointerRequested {
		action.PointerRecipient, action.Owner = home, owner
	}
	return action, true
}

// redirectByPromise redirects home's search to the home of a newer ballot that
// e has promised. The promise of the superseded home is still required.
func (r *request) redirectByPromise(home Peer, e *entry) (Action, bool) {
	promised := r.agent.ballots.ballot(e.promised)
	if !promised.Newer(r.packet.Ballot) {
		return Action{}, false
	}
	r.packet.SupersededHome = home
	if e.home == homeSelf {
		r.packet.Kind = Search
		r.packet.raiseBallot(promised)
		return r.search(), true
	}
	return r.promiseAndSearch(r.agent.peers.peer(e.home-homePeer), promised), true
}

// redirectByView redirects home's search to the pick of a newer view.
func (r *request) redirectByView(home Peer) (Action, bool) {
	current := r.agent.current.Load()
	if current == nil || !current.view.Version.Newer(r.packet.Ballot.Version) {
		return Action{}, false
	}
	pick, ok := pickPeer(r.id.Key, current.view)
	if !ok || pick.Seed == home.Seed {
		return Action{}, false
	}
	r.packet.SupersededHome = home
	if pick.Seed == r.agent.options.Self.Seed {
		r.packet.Kind = Search
		r.packet.raiseBallot(Ballot{Version: current.view.Version})
		return r.search(), true
	}
	return r.promiseAndSearchPick(pick, current), true
}

// receiveAssign acquires a flow that its home places on this agent. If this
// agent has an owner or a newer ballot for the flow, it processes the packet
// like a query from the home under the retake ballot, which the home has
// promised.
func (r *request) receiveAssign() Action {
	e := r.shard.flows.find(r.id)
	if e == nil || e.isOwnerUnknown() && !r.agent.ballots.ballot(e.promised).Newer(r.packet.Ballot) {
		return r.acquire()
	}
	r.packet.Kind = Query
	r.packet.PointerRequested = true
	r.packet.raiseBallot(r.packet.Ballot.retakeBallot())
	return r.receiveQuery()
}

func (r *request) deliver(e *entry) Action {
	e.lastUsed = ticks(r.now)
	r.agent.stats.delivered.Add(1)
	return Action{Verdict: Deliver}
}

func (r *request) deliverQuery(home Peer, e *entry) Action {
	action := r.deliver(e)
	if r.packet.PointerRequested {
		action.PointerRecipient, action.Owner = home, r.agent.options.Self
	}
	return action
}

func (r *request) acquire() Action {
	e := r.shard.flows.insert(r.id)
	*e = entry{id: r.id, owner: ownerSelf, lastUsed: ticks(r.now)}
	r.agent.ownedCount.Add(1)
	r.agent.stats.acquired.Add(1)
	r.agent.stats.delivered.Add(1)
	return Action{Verdict: Deliver, BecameOwner: true}
}

// query sends the packet to an agent that may own the flow. If requestPointer
// is set, the owner also sends a pointer.
func (r *request) query(to Peer, requestPointer bool) Action {
	r.packet.Kind = Query
	r.packet.Home = r.agent.options.Self
	r.packet.PointerRequested = requestPointer
	if requestPointer {
		r.agent.peers.recordQuery(r.agent.peers.upsert(to), r.now)
	}
	return r.relay(to, &r.agent.stats.queried)
}

// promiseAndSearch promises not to acquire the flow under a ballot older than
// the given one, and sends the packet to the home of that ballot.
func (r *request) promiseAndSearch(home Peer, ballot Ballot) Action {
	r.packet.Kind = Search
	r.packet.raiseBallot(ballot)
	r.promise(home, ballot)
	return r.relay(home, &r.agent.stats.returnedHome)
}

// promiseAndSearchPick sends the packet to the pick of the active view, with
// the earlier picks that the view lists.
func (r *request) promiseAndSearchPick(pick Peer, current *adoptedView) Action {
	r.packet.raiseBallot(Ballot{Version: current.view.Version})
	r.packet.EarlierPicks, r.packet.EarlierPicksComplete = r.earlierPicks(current)
	return r.promiseAndSearch(pick, r.packet.Ballot)
}

// earlierPicks returns the picks of earlier versions of the active view except
// this agent, and whether the list is complete.
func (r *request) earlierPicks(current *adoptedView) (p EarlierPicks, complete bool) {
	if r.now-current.adoptedAt > r.agent.options.HistoryWindow {
		return p, true
	}
	for i := range current.view.Earlier {
		pick, substitute := pickAndSubstitute(r.id.Key, current.view, current.view.EarlierTargets(i))
		for _, m := range [...]int{pick, substitute} {
			if m == placement.None || current.view.Seed(m) == r.agent.options.Self.Seed {
				continue
			}
			if !p.add(PeerOf(current.view, m)) {
				return p, false
			}
		}
	}
	return p, true
}

func (r *request) promise(home Peer, ballot Ballot) {
	r.raisePromise(r.agent.peers.upsert(home)+homePeer, ballot)
	r.packet.addNonOwner(r.agent.options.Self.Seed)
}

// raisePromise raises the promised ballot of the flow's entry.
func (r *request) raisePromise(home uint32, ballot Ballot) {
	e := r.shard.flows.insert(r.id)
	e.lastUsed = ticks(r.now)
	if ballot.Newer(r.agent.ballots.ballot(e.promised)) {
		e.promised, e.home = r.agent.ballots.intern(ballot), home
	}
}

// assign delegates the ballot to other and promises the retake ballot, so that
// this agent does not acquire the flow under the delegated one.
func (r *request) assign(other Peer) Action {
	r.raisePromise(homeSelf, r.packet.Ballot.retakeBallot())
	e := r.shard.flows.find(r.id)
	e.owner = ownerPeer + r.agent.peers.upsert(other)
	r.packet.Kind = Assign
	r.packet.Home = r.agent.options.Self
	return r.relay(other, &r.agent.stats.diverted)
}

func (r *request) relay(to Peer, counter *counter) Action {
	if r.packet.Hops >= r.agent.options.MaxHops {
		return r.agent.drop(HopLimit)
	}
	counter.Add(1)
	r.packet.Hops++
	r.packet.TargetIncarnation = to.Incarnation
	return Action{Verdict: Relay, To: to}
}
