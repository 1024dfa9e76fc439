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
	tick       = 100 * time.Millisecond // resolution of entry.lastUsed
)

// AgentOptions configure an Agent. Zero durations and counts select the
// defaults.
type AgentOptions struct {
	// Self identifies this run of the agent.
	Self Peer
	// IdleTimeout is the time without packets after which an owned flow
	// expires.
	IdleTimeout time.Duration
	// PointerTTL is the time without use or refresh after which a pointer
	// expires. It must exceed the largest IdleTimeout that is active anywhere
	// in the fleet.
	PointerTTL time.Duration
	// HistoryWindow is the time after a view's adoption during which the agents
	// that earlier versions placed a flow on are queried about the flow.
	HistoryWindow time.Duration
	// UnresponsiveAfter and UnresponsiveQueries define when an agent counts as
	// unresponsive: at least UnresponsiveQueries consecutive queries to it are
	// unanswered, and the first of them is at least UnresponsiveAfter ago. Such
	// an agent is skipped if it is not a member of the active view.
	UnresponsiveAfter   time.Duration
	UnresponsiveQueries int
	// MaxHops is the maximum number of times that one packet is relayed.
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

// Agent decides on the packets of the service that one backend server serves.
// Its methods are safe for concurrent use. Times are durations since an
// arbitrary fixed start.
type Agent struct {
	options    AgentOptions
	shards     [shardCount]shard
	peers      peerTable
	ballots    ballotTable
	adoptMu    sync.Mutex // serializes SetService and SetView
	service    atomic.Uint32
	current    atomic.Pointer[adoptedView]
	addresses  atomic.Pointer[addressSet]
	rebalance  atomic.Pointer[rebalancePlan]
	ownedCount atomic.Int64
	stats      counters
}

// shard is a partition of the flow table with its own lock.
type shard struct {
	mu    sync.Mutex
	flows table
}

// adoptedView is the active view and the time of its adoption.
type adoptedView struct {
	view      *view.View
	previous  *view.View // the view active before, or nil
	adoptedAt time.Duration
	selfIndex int // member index of this agent, or -1
}

type addressSet struct {
	version view.Version
	sorted  []netip.AddrPort
}

// NewAgent returns an agent with an empty flow table.
func NewAgent(o AgentOptions) *Agent {
	o.setDefaults()
	a := &Agent{options: o}
	a.peers.bySeed = make(map[uint64]uint32)
	a.ballots.numbers = make(map[Ballot]uint32)
	a.peers.unresponsive = unresponsiveRule{minQueries: o.UnresponsiveQueries, minElapsed: o.UnresponsiveAfter}
	return a
}

// SetService sets the service that the backend server serves and the service
// addresses in the given version of the configuration. It returns false and
// changes nothing if a newer version is active.
func (a *Agent) SetService(id view.ServiceID, version view.Version, addresses []netip.AddrPort) bool {
	a.adoptMu.Lock()
	defer a.adoptMu.Unlock()
	if s := a.addresses.Load(); s != nil && s.version.Newer(version) {
		return false
	}
	sorted := slices.Clone(addresses)
	slices.SortFunc(sorted, netip.AddrPort.Compare)
	a.service.Store(uint32(id))
	a.addresses.Store(&addressSet{version: version, sorted: sorted})
	return true
}

// SetView adopts v if it is newer than the active view, and reports whether it
// did.
func (a *Agent) SetView(now time.Duration, v *view.View) bool {
	a.adoptMu.Lock()
	defer a.adoptMu.Unlock()
	next := &adoptedView{view: v, adoptedAt: now, selfIndex: v.IndexOfSeed(a.options.Self.Seed)}
	if c := a.current.Load(); c != nil {
		if !v.Version.Newer(c.view.Version) {
			return false
		}
		next.previous = c.view
	}
	for i := range v.Members {
		a.peers.upsert(PeerOf(v, i))
	}
	a.current.Store(next)
	return true
}

// View returns the active view, or nil.
func (a *Agent) View() *view.View {
	if c := a.current.Load(); c != nil {
		return c.view
	}
	return nil
}

// Receive decides on a received packet. With verdict Relay, it has rewritten p
// for the next receiver.
func (a *Agent) Receive(now time.Duration, p *Packet) Action {
	if reason := a.validate(p); reason != NoReason {
		return a.drop(reason)
	}
	r := request{agent: a, now: now, packet: p, id: p.Tuple.ID()}
	r.shard = a.shard(r.id)
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	for _, seed := range p.NonOwners[:p.NonOwnerCount] {
		a.peers.markResponsive(seed)
	}
	switch p.Kind {
	case Query:
		return r.receiveQuery()
	case Assign:
		return r.receiveAssign()
	default:
		return r.search()
	}
}

// validate returns the reason why p cannot be processed at all, or NoReason.
func (a *Agent) validate(p *Packet) DropReason {
	addresses := a.addresses.Load()
	switch {
	case p.Kind >= kindCount || p.NonOwnerCount > MaxNonOwners:
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

func (a *Agent) drop(r DropReason) Action {
	a.stats.dropped[r].Add(1)
	return Action{Verdict: Drop, Reason: r}
}

func (a *Agent) shard(id ID) *shard { return &a.shards[id.Key%shardCount] }

// Touch records that an owned flow carried a reply.
func (a *Agent) Touch(now time.Duration, id ID) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.flows.find(id); e != nil {
		e.lastUsed = ticks(now)
	}
}

// RemoveFlow removes an owned flow from the table.
func (a *Agent) RemoveFlow(id ID) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.flows.find(id); e != nil && e.isOwned() {
		s.flows.remove(id)
		a.ownedCount.Add(-1)
	}
}

// Owns reports whether the agent owns the flow.
func (a *Agent) Owns(id ID) bool {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.flows.find(id)
	return e != nil && e.isOwned()
}

// StorePointers stores pointers to owner that were received from the agent
// from, which is either the owner or an agent with a pointer to it. Flows that
// this agent owns are not changed, and a pointer that is not from the owner
// itself does not replace an existing one.
func (a *Agent) StorePointers(now time.Duration, from, owner Peer, ids []ID) {
	a.peers.markResponsive(from.Seed)
	if owner.Seed == a.options.Self.Seed {
		return
	}
	slot := a.peers.upsert(owner)
	for _, id := range ids {
		a.storePointer(now, slot, id, from.Seed == owner.Seed)
	}
}

func (a *Agent) storePointer(now time.Duration, slot uint32, id ID, isFromOwner bool) {
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.flows.find(id)
	switch {
	case e != nil && e.isOwned():
		a.stats.contested.Add(1)
	case e == nil || e.isOwnerUnknown() || isFromOwner:
		s.setPointer(id, slot, now)
	}
}

// MarkResponsive records that an agent is alive, for example because it sent an
// acknowledgment.
func (a *Agent) MarkResponsive(p Peer) { a.peers.markResponsive(p.Seed) }

// ForEachOwned calls f for every owned flow until f returns false.
func (a *Agent) ForEachOwned(f func(ID) bool) {
	for i := range a.shards {
		for _, id := range a.shards[i].ownedIDs() {
			if !f(id) {
				return
			}
		}
	}
}

func (s *shard) ownedIDs() []ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]ID, 0, s.flows.count)
	for i := range s.flows.entries {
		if e := &s.flows.entries[i]; e.isOwned() {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// setPointer points the flow to the owner in the given slot of the peer table.
func (s *shard) setPointer(id ID, slot uint32, now time.Duration) {
	e := s.flows.insert(id)
	e.lastUsed, e.owner = ticks(now), ownerPeer+slot
}

// Sweep removes the expired flows and pointers of shard turn modulo shardCount
// and returns the IDs of the owned flows among them. Callers increment turn
// with every call, so that shardCount (64) calls cover the whole table.
func (a *Agent) Sweep(now time.Duration, turn int) []ID {
	s := &a.shards[turn%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired, ended []ID
	for i := range s.flows.entries {
		e := &s.flows.entries[i]
		if !e.inUse() || !a.isIdle(e, now) {
			continue
		}
		expired = append(expired, e.id)
		if e.isOwned() {
			ended = append(ended, e.id)
		}
	}
	for _, id := range expired {
		s.flows.remove(id)
	}
	s.flows.compact()
	a.ownedCount.Add(-int64(len(ended)))
	return ended
}

func (a *Agent) isIdle(e *entry, now time.Duration) bool {
	limit := a.options.PointerTTL
	if e.isOwned() {
		limit = a.options.IdleTimeout
	}
	return ticks(now) > e.lastUsed+ticks(limit)
}

func ticks(d time.Duration) uint32 { return uint32(d / tick) }

// pickPeer returns the agent that v places key on; ok is false if v places it
// on none.
func pickPeer(key uint64, v *view.View) (p Peer, ok bool) {
	i := placement.Pick(key, v)
	if i == placement.None {
		return Peer{}, false
	}
	return PeerOf(v, i), true
}
