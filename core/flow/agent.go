package flow

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

const (
	shardCount = 64
	tick       = 100 * time.Millisecond // unit of entry.seen
)

// AgentOptions configure an Agent. Zero durations and counts take defaults.
type AgentOptions struct {
	// Self is this run of the agent.
	Self Peer
	// IdleTimeout ends an owned flow that has not been used for that long.
	IdleTimeout time.Duration
	// PointerTTL drops a pointer that has been neither used nor refreshed for
	// that long. It must exceed IdleTimeout of the fleet's views in flight.
	PointerTTL time.Duration
	// HistoryWindow is how long after a view's adoption the agents that earlier
	// versions placed a flow on are asked about it.
	HistoryWindow time.Duration
	// UnresponsiveAfter is how long an agent may leave SilentAsks questions
	// unanswered before it is passed over.
	UnresponsiveAfter   time.Duration
	UnresponsiveQueries int
	// MaxHops bounds the relaying of one packet.
	MaxHops uint8
}

func (o *AgentOptions) setDefaults() {
	setDefault(&o.IdleTimeout, 5*time.Minute)
	setDefault(&o.PointerTTL, 10*time.Minute)
	setDefault(&o.HistoryWindow, 30*time.Second)
	setDefault(&o.UnresponsiveAfter, time.Second)
	setDefault(&o.UnresponsiveQueries, 4)
	setDefault(&o.MaxHops, 24)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Agent decides about the packets of one backend server's service. Its methods
// may be called from several goroutines. Times are durations since any fixed
// start.
type Agent struct {
	options   AgentOptions
	shards    [shardCount]shard
	peers     peers
	ballots   ballots
	adopt     sync.Mutex // serialises SetService, SetView and SetLoads
	service   atomic.Uint32
	current   atomic.Pointer[adopted]
	addresses atomic.Pointer[addressSet]
	balance   atomic.Pointer[balance]
	owned     atomic.Int64
	stats     stats
}

// shard is a part of the flow table under its own lock.
type shard struct {
	mu    sync.Mutex
	flows table
}

// adopted is the newest view and when it was adopted.
type adopted struct {
	view     *view.View
	previous *view.View // the one before, or nil
	at       time.Duration
	self     int // index of this agent, or -1
}

type addressSet struct {
	version view.Version
	sorted  []netip.AddrPort
}

// NewAgent returns an agent without flows.
func NewAgent(o AgentOptions) *Agent {
	o.setDefaults()
	a := &Agent{options: o}
	a.peers.bySeed = make(map[uint64]uint32)
	a.ballots.numbers = make(map[Ballot]uint32)
	a.peers.silence = silenceRule{asks: o.UnresponsiveQueries, after: o.UnresponsiveAfter}
	return a
}

// SetService sets the service that the backend server serves, and the addresses
// that version of the configuration gives it. It reports false and changes
// nothing if a newer version is in force.
func (a *Agent) SetService(id view.ServiceID, version view.Version, addresses []netip.AddrPort) bool {
	a.adopt.Lock()
	defer a.adopt.Unlock()
	if s := a.addresses.Load(); s != nil && s.version.Newer(version) {
		return false
	}
	sorted := slices.Clone(addresses)
	slices.SortFunc(sorted, netip.AddrPort.Compare)
	a.service.Store(uint32(id))
	a.addresses.Store(&addressSet{version: version, sorted: sorted})
	return true
}

// SetView adopts v if it is newer than the view in force, and reports whether.
func (a *Agent) SetView(now time.Duration, v *view.View) bool {
	a.adopt.Lock()
	defer a.adopt.Unlock()
	next := &adopted{view: v, at: now, self: v.IndexOfSeed(a.options.Self.Seed)}
	if c := a.current.Load(); c != nil {
		if !v.Version.Newer(c.view.Version) {
			return false
		}
		next.previous = c.view
	}
	for i := range v.Members {
		a.peers.slot(PeerOf(v, i))
	}
	a.current.Store(next)
	return true
}

// View returns the newest view adopted, or nil.
func (a *Agent) View() *view.View {
	if c := a.current.Load(); c != nil {
		return c.view
	}
	return nil
}

// Receive decides about a packet. With verdict Relay, p has been rewritten for
// its next receiver.
func (a *Agent) Receive(now time.Duration, p *Packet) Action {
	if reason := a.check(p); reason != NoReason {
		return a.refuse(reason)
	}
	r := request{agent: a, now: now, packet: p, id: p.Tuple.ID()}
	r.shard = a.shard(r.id)
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	for _, d := range p.NonOwners[:p.NonOwnerCount] {
		a.peers.heard(d)
	}
	switch p.Kind {
	case Query:
		return r.answer()
	case Assign:
		return r.assigned()
	default:
		return r.search()
	}
}

// check finds what forbids p from being taken in at all.
func (a *Agent) check(p *Packet) DropReason {
	addresses := a.addresses.Load()
	switch {
	case p.Kind >= kinds || p.NonOwnerCount > MaxNonOwners:
		return Malformed
	case addresses == nil || p.Service != view.ServiceID(a.service.Load()):
		return WrongService
	case p.TargetIncarnation != a.options.Self.Incarnation:
		return WrongIncarnation
	case p.Hops > a.options.MaxHops:
		return HopLimit
	}
	if _, ok := slices.BinarySearchFunc(addresses.sorted, p.Tuple.Service, netip.AddrPort.Compare); !ok {
		return WrongAddress
	}
	return NoReason
}

func (a *Agent) refuse(r DropReason) Action {
	a.stats.refused[r].Add(1)
	return Action{Verdict: Drop, Reason: r}
}

func (a *Agent) shard(id ID) *shard { return &a.shards[id.Key%shardCount] }

// Touch notes that an owned flow carried a reply.
func (a *Agent) Touch(now time.Duration, id ID) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.flows.find(id); e != nil {
		e.seen = ticks(now)
	}
}

// RemoveFlow forgets an owned flow.
func (a *Agent) RemoveFlow(id ID) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.flows.find(id); e != nil && e.owned() {
		s.flows.remove(id)
		a.owned.Add(-1)
	}
}

// Owns reports whether the agent owns the flow.
func (a *Agent) Owns(id ID) bool {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.flows.find(id)
	return e != nil && e.owned()
}

// StorePointers stores pointers to owner that from, which is the owner or an agent that
// points to it, has sent. Flows that this agent owns are left alone, and a
// second-hand pointer does not replace another.
func (a *Agent) StorePointers(now time.Duration, from, owner Peer, ids []ID) {
	a.peers.heard(from.Seed)
	if owner.Seed == a.options.Self.Seed {
		return
	}
	slot := a.peers.slot(owner)
	for _, id := range ids {
		a.learn(now, slot, id, from.Seed == owner.Seed)
	}
}

func (a *Agent) learn(now time.Duration, slot uint32, id ID, firstHand bool) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.flows.find(id)
	switch {
	case e != nil && e.owned():
		a.stats.contested.Add(1)
	case e == nil || e.free() || firstHand:
		s.point(id, slot, now)
	}
}

// MarkResponsive notes a sign of life of an agent, such as an acknowledgement.
func (a *Agent) MarkResponsive(p Peer) { a.peers.heard(p.Seed) }

// ForEachOwned calls f with every owned flow until f returns false.
func (a *Agent) ForEachOwned(f func(ID) bool) {
	for i := range a.shards {
		for _, id := range a.shards[i].owned() {
			if !f(id) {
				return
			}
		}
	}
}

func (s *shard) owned() []ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]ID, 0, s.flows.count)
	for i := range s.flows.entries {
		if e := &s.flows.entries[i]; e.owned() {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// point sets the flow's pointer to a slot of peers.
func (s *shard) point(id ID, slot uint32, now time.Duration) {
	e := s.flows.insert(id)
	e.seen, e.owner = ticks(now), ownerPeer+slot
}

// Sweep drops what has been idle too long from one shard, chosen by turn, and
// returns the owned flows among it. Call it shardCount times per period.
func (a *Agent) Sweep(now time.Duration, turn int) []ID {
	s := &a.shards[turn%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	var drop, ended []ID
	for i := range s.flows.entries {
		e := &s.flows.entries[i]
		if !e.used() || !a.idle(e, now) {
			continue
		}
		drop = append(drop, e.id)
		if e.owned() {
			ended = append(ended, e.id)
		}
	}
	for _, id := range drop {
		s.flows.remove(id)
	}
	s.flows.compact()
	a.owned.Add(-int64(len(ended)))
	return ended
}

func (a *Agent) idle(e *entry, now time.Duration) bool {
	limit := a.options.PointerTTL
	if e.owned() {
		limit = a.options.IdleTimeout
	}
	return ticks(now) > e.seen+ticks(limit)
}

func ticks(d time.Duration) uint32 { return uint32(d / tick) }

// pickOf returns the agent that v places key on; ok is false where there is none.
func pickOf(key uint64, v *view.View) (p Peer, ok bool) {
	i := placement.Pick(key, v)
	if i == placement.None {
		return Peer{}, false
	}
	return PeerOf(v, i), true
}
