package flow

import (
	"time"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// request is one packet under decision. The shard's lock is held.
type request struct {
	agent  *Agent
	shard  *shard
	now    time.Duration
	packet *Packet
	id     ID
}

// search decides as the flow's home: deliver, send the packet where the flow
// has gone, collect the promises of earlier homes, or take the flow.
func (r *request) search() Action {
	e := r.shard.flows.find(r.id)
	if e != nil && e.owned() {
		return r.deliver(e)
	}
	if e != nil && e.home == homeSelf {
		r.packet.raise(r.agent.ballots.ballot(e.bound))
	}
	current := r.agent.current.Load()
	successor, superseded := r.superseded(current)
	if e != nil {
		if action, ok := r.follow(e); ok {
			return action
		}
	}
	if superseded {
		if successor.IsZero() {
			return r.agent.refuse(NoTarget)
		}
		return r.handOverToPick(successor, current)
	}
	if earlier, ok := r.nextEarlier(current); ok {
		return r.ask(earlier, true)
	}
	if !r.packet.EarlierPicksComplete && (current == nil || r.packet.Ballot.Version.Newer(current.view.Version)) {
		return r.agent.refuse(NoView)
	}
	if current != nil && current.view.IsDrainOnly() && !r.packet.Ballot.Version.Newer(current.view.Version) {
		return r.agent.refuse(NoTarget)
	}
	if other, ok := r.divert(current); ok {
		return r.assign(other)
	}
	return r.take()
}

// superseded reports whether the view in force is newer than the packet's
// ballot and places the flow on another agent, which it returns, or on none. If
// it places the flow here, the ballot is raised.
func (r *request) superseded(current *adopted) (Peer, bool) {
	if current == nil || !current.view.Version.Newer(r.packet.Ballot.Version) {
		return Peer{}, false
	}
	pick, ok := pickOf(r.id.Key, current.view)
	if ok && pick.Seed == r.agent.options.Self.Seed {
		r.packet.raise(Ballot{Version: current.view.Version})
		return Peer{}, false
	}
	return pick, true
}

// follow sends the packet along e: to the home of a newer ballot that e is bound
// to, by way of the agent that e points to, or else to that agent. It reports
// false if e leads nowhere.
func (r *request) follow(e *entry) (Action, bool) {
	bound := r.agent.ballots.ballot(e.bound)
	if !bound.Newer(r.packet.Ballot) {
		return r.askOwner(e)
	}
	slot := e.home - homePeer
	home := r.agent.peers.peer(slot)
	if r.agent.gone(home, slot, r.now) {
		return r.askOwner(e)
	}
	r.packet.raise(bound)
	r.packet.Kind = Query
	r.packet.Home = home
	r.packet.PointerRequested = true
	if action, ok := r.passOn(home, e); ok {
		return action, true
	}
	return r.handOver(home, bound), true
}

// askOwner asks the agent that e points to, or voids the pointer if that agent
// has denied the flow or is gone.
func (r *request) askOwner(e *entry) (Action, bool) {
	if !e.points() {
		return Action{}, false
	}
	owner := r.agent.peers.peer(e.slot())
	if r.packet.IsNonOwner(owner.Seed) || r.agent.gone(owner, e.slot(), r.now) {
		e.owner = ownerNone
		return Action{}, false
	}
	e.seen = ticks(r.now)
	return r.ask(owner, !r.agent.live(owner)), true
}

// live reports whether the newest view holds the agent as a member.
func (a *Agent) live(p Peer) bool {
	c := a.current.Load()
	if c == nil {
		return true
	}
	i := c.view.IndexOfSeed(p.Seed)
	return i >= 0 && c.view.Members[i].State != view.Gone
}

// gone reports whether an agent is to be passed over: the newest view does not
// hold it, and it does not answer either.
func (a *Agent) gone(p Peer, slot uint32, now time.Duration) bool {
	return !a.live(p) && a.peers.silent(slot, now)
}

// nextEarlier returns the home of an earlier ballot that has not promised yet.
func (r *request) nextEarlier(current *adopted) (Peer, bool) {
	if p := r.packet.SupersededHome; !p.IsZero() && r.askable(p) {
		return r.agent.peers.latest(p), true
	}
	for _, p := range r.packet.EarlierPicks {
		if !p.IsZero() && r.askable(p) {
			return r.agent.peers.latest(p), true
		}
	}
	if current == nil {
		return Peer{}, false
	}
	if r.packet.Ballot.Version.Newer(current.view.Version) {
		if p, ok := pickOf(r.id.Key, current.view); ok && r.askable(p) {
			return p, true
		}
	}
	if r.now-current.at > r.agent.options.HistoryWindow {
		return Peer{}, false
	}
	for i := range current.view.Earlier {
		first, next := earlierPicks(r.id.Key, current.view, current.view.EarlierTargets(i))
		for _, m := range [...]int{first, next} {
			if m == placement.None {
				continue
			}
			if p := PeerOf(current.view, m); r.askable(p) {
				return p, true
			}
		}
	}
	if current.previous == nil {
		return Peer{}, false
	}
	if p, ok := pickOf(r.id.Key, current.previous); ok && r.askable(p) {
		return r.agent.peers.latest(p), true
	}
	return Peer{}, false
}

// earlierPicks returns the member of v that the targets of an earlier version
// place key on and, if that member has not stayed since, the one that held the
// pointers in its stead; None where there is none.
func earlierPicks(key uint64, v *view.View, targets []view.Target) (first, next int) {
	first = placement.PickTarget(key, targets)
	if first == placement.None || v.Members[first].IsStable() {
		return first, placement.None
	}
	return first, placement.PickStable(key, v, targets)
}

func (r *request) askable(p Peer) bool {
	if p.Seed == r.agent.options.Self.Seed || r.packet.IsNonOwner(p.Seed) {
		return false
	}
	return !r.agent.gone(p, r.agent.peers.slot(p), r.now)
}

// answer decides about another home's question: deliver, pass it on along a
// pointer, hand the search to a newer ballot's home, or promise.
func (r *request) answer() Action {
	home := r.packet.Home
	e := r.shard.flows.find(r.id)
	if e != nil && e.owned() {
		return r.deliverFor(home, e)
	}
	if e != nil {
		if action, ok := r.passOn(home, e); ok {
			return action
		}
		if action, ok := r.overruleByBound(home, e); ok {
			return action
		}
	}
	if action, ok := r.overruleByView(home); ok {
		return action
	}
	return r.handOver(home, r.packet.Ballot)
}

// passOn promises, and asks the agent that e points to on behalf of home.
func (r *request) passOn(home Peer, e *entry) (Action, bool) {
	if !e.points() {
		return Action{}, false
	}
	slot := e.slot()
	owner := r.agent.peers.peer(slot)
	if r.agent.gone(owner, slot, r.now) || owner.Seed == home.Seed || r.packet.IsNonOwner(owner.Seed) {
		return Action{}, false
	}
	r.promise(home, r.packet.Ballot)
	action := r.relay(owner, &r.agent.stats.chased)
	if r.packet.PointerRequested {
		action.PointerRecipient, action.Owner = home, owner
	}
	return action, true
}

// overruleByBound moves home's search to the home of a newer ballot that e binds
// this agent to. The overruled home is left to promise.
func (r *request) overruleByBound(home Peer, e *entry) (Action, bool) {
	bound := r.agent.ballots.ballot(e.bound)
	if !bound.Newer(r.packet.Ballot) {
		return Action{}, false
	}
	r.packet.SupersededHome = home
	if e.home == homeSelf {
		r.packet.Kind = Search
		r.packet.raise(bound)
		return r.search(), true
	}
	return r.handOver(r.agent.peers.peer(e.home-homePeer), bound), true
}

// overruleByView moves home's search to the pick of a newer view.
func (r *request) overruleByView(home Peer) (Action, bool) {
	current := r.agent.current.Load()
	if current == nil || !current.view.Version.Newer(r.packet.Ballot.Version) {
		return Action{}, false
	}
	pick, ok := pickOf(r.id.Key, current.view)
	if !ok || pick.Seed == home.Seed {
		return Action{}, false
	}
	r.packet.SupersededHome = home
	if pick.Seed == r.agent.options.Self.Seed {
		r.packet.Kind = Search
		r.packet.raise(Ballot{Version: current.view.Version})
		return r.search(), true
	}
	return r.handOverToPick(pick, current), true
}

// assigned takes a flow that its home has placed here. If this agent knows more
// of the flow, it answers as if home, which is bound to the retake, had asked.
func (r *request) assigned() Action {
	e := r.shard.flows.find(r.id)
	if e == nil || e.free() && !r.agent.ballots.ballot(e.bound).Newer(r.packet.Ballot) {
		return r.take()
	}
	r.packet.Kind = Query
	r.packet.PointerRequested = true
	r.packet.raise(r.packet.Ballot.retake())
	return r.answer()
}

func (r *request) deliver(e *entry) Action {
	e.seen = ticks(r.now)
	r.agent.stats.delivered.Add(1)
	return Action{Verdict: Deliver}
}

func (r *request) deliverFor(home Peer, e *entry) Action {
	action := r.deliver(e)
	if r.packet.PointerRequested {
		action.PointerRecipient, action.Owner = home, r.agent.options.Self
	}
	return action
}

func (r *request) take() Action {
	e := r.shard.flows.insert(r.id)
	*e = entry{id: r.id, owner: ownerSelf, seen: ticks(r.now)}
	r.agent.owned.Add(1)
	r.agent.stats.taken.Add(1)
	r.agent.stats.delivered.Add(1)
	return Action{Verdict: Deliver, BecameOwner: true}
}

// ask sends the packet to an agent that may own the flow.
func (r *request) ask(to Peer, answer bool) Action {
	r.packet.Kind = Query
	r.packet.Home = r.agent.options.Self
	r.packet.PointerRequested = answer
	if answer {
		r.agent.peers.asked(r.agent.peers.slot(to), r.now)
	}
	return r.relay(to, &r.agent.stats.asked)
}

// handOver promises not to take the flow under a ballot older than the given
// one, and sends the packet to that ballot's home.
func (r *request) handOver(home Peer, ballot Ballot) Action {
	r.packet.Kind = Search
	r.packet.raise(ballot)
	r.promise(home, ballot)
	return r.relay(home, &r.agent.stats.denied)
}

// handOverToPick hands the packet to the pick of the view in force, with the
// earlier picks that the view knows of.
func (r *request) handOverToPick(pick Peer, current *adopted) Action {
	r.packet.raise(Ballot{Version: current.view.Version})
	r.packet.EarlierPicks, r.packet.EarlierPicksComplete = r.priors(current)
	return r.handOver(pick, r.packet.Ballot)
}

// priors returns the picks of the earlier versions of the view in force other
// than this agent, and whether that is all of them.
func (r *request) priors(current *adopted) (p EarlierPicks, all bool) {
	if r.now-current.at > r.agent.options.HistoryWindow {
		return p, true
	}
	for i := range current.view.Earlier {
		first, next := earlierPicks(r.id.Key, current.view, current.view.EarlierTargets(i))
		for _, m := range [...]int{first, next} {
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
	r.bind(r.agent.peers.slot(home)+homePeer, ballot)
	r.packet.deny(r.agent.options.Self.Seed)
}

// bind raises the ballot that the flow's entry is bound to.
func (r *request) bind(home uint32, ballot Ballot) {
	e := r.shard.flows.insert(r.id)
	e.seen = ticks(r.now)
	if ballot.Newer(r.agent.ballots.ballot(e.bound)) {
		e.bound, e.home = r.agent.ballots.number(ballot), home
	}
}

// assign lends the ballot to other and binds this agent to the retake.
func (r *request) assign(other Peer) Action {
	r.bind(homeSelf, r.packet.Ballot.retake())
	e := r.shard.flows.find(r.id)
	e.owner = ownerPeer + r.agent.peers.slot(other)
	r.packet.Kind = Assign
	r.packet.Home = r.agent.options.Self
	return r.relay(other, &r.agent.stats.diverted)
}

func (r *request) relay(to Peer, counter *counter) Action {
	if r.packet.Hops >= r.agent.options.MaxHops {
		return r.agent.refuse(HopLimit)
	}
	counter.Add(1)
	r.packet.Hops++
	r.packet.TargetIncarnation = to.Incarnation
	return Action{Verdict: Relay, To: to}
}
