package flow

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

var (
	errorNamespace = errorx.NewNamespace("flow")

	// ErrUnknownAddress is returned if no service has the destination address.
	ErrUnknownAddress = errorNamespace.NewType("unknown_address").NewWithNoMessage()
	// ErrNoView is returned while a service has no view.
	ErrNoView = errorNamespace.NewType("no_view").NewWithNoMessage()
	// ErrNoTarget is returned while a service has no backend server to forward
	// to.
	ErrNoTarget = errorNamespace.NewType("no_target").NewWithNoMessage()
)

// Binding maps a service address to its service.
type Binding struct {
	Address netip.AddrPort
	Service view.ServiceID
}

// Decision is the result of forwarding one packet.
type Decision struct {
	Service view.ServiceID
	Version view.Version
	// Target is the agent of the backend server that the view places the flow
	// on.
	Target Peer
	// EarlierPicks are the agents other than Target that earlier views placed
	// the flow on.
	EarlierPicks EarlierPicks
	// EarlierPicksComplete reports whether EarlierPicks lists all of them.
	EarlierPicksComplete bool
}

// Packet returns the envelope for a datagram of t.
func (d *Decision) Packet(t Tuple) Packet {
	return Packet{
		Kind: Search, Service: d.Service, Ballot: Ballot{Version: d.Version}, Tuple: t,
		TargetIncarnation: d.Target.Incarnation, EarlierPicks: d.EarlierPicks, EarlierPicksComplete: d.EarlierPicksComplete,
	}
}

// Balancer decides where to forward the packets of callers. It has no state per
// flow: another balancer with the same view makes the same decisions. Its
// methods are safe for concurrent use; Forward takes no lock.
type Balancer struct {
	historyWindow   time.Duration
	shards          [shardCount]addressShard
	drops           [reasonCount]counter
	mu              sync.Mutex // serializes the setters
	bindingsVersion view.Version
	hasBindings     bool
	services        map[view.ServiceID]*serviceState
}

// addressShard is the copy-on-write table of the addresses that hash to it.
type addressShard struct {
	table atomic.Pointer[map[netip.AddrPort]*serviceState]
}

type serviceState struct {
	id    view.ServiceID
	views atomic.Pointer[viewHistory]
}

// viewHistory is the active view of a service and, for historyWindow after its
// adoption, the pickers of earlier views.
type viewHistory struct {
	current   *picker
	earlier   []*picker // newest first
	adoptedAt time.Duration
}

// NewBalancer returns a balancer without services. Earlier views of a service
// are consulted for the given time after the adoption of a new one.
func NewBalancer(window time.Duration) *Balancer {
	b := &Balancer{historyWindow: window, services: make(map[view.ServiceID]*serviceState)}
	for i := range b.shards {
		b.shards[i].table.Store(&map[netip.AddrPort]*serviceState{})
	}
	return b
}

// SetBindings replaces the service addresses by those of a version of the
// configuration. It returns false and changes nothing unless version is newer
// than the active one.
func (b *Balancer) SetBindings(version view.Version, bindings []Binding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasBindings && !version.Newer(b.bindingsVersion) {
		return false
	}
	b.bindingsVersion, b.hasBindings = version, true
	var tables [shardCount]map[netip.AddrPort]*serviceState
	for i := range tables {
		tables[i] = make(map[netip.AddrPort]*serviceState)
	}
	for _, binding := range bindings {
		tables[addressShardIndex(binding.Address)][binding.Address] = b.ensureService(binding.Service)
	}
	for i := range tables {
		b.shards[i].table.Store(&tables[i])
	}
	return true
}

// ensureService returns the state of a service, creating it if necessary. The
// caller holds b.mu.
func (b *Balancer) ensureService(id view.ServiceID) *serviceState {
	s := b.services[id]
	if s == nil {
		s = &serviceState{id: id}
		b.services[id] = s
	}
	return s
}

// RetainServices removes the services for which keep returns false.
func (b *Balancer) RetainServices(keep func(view.ServiceID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.services {
		if !keep(id) {
			delete(b.services, id)
		}
	}
}

// SetView adopts v if it is newer than the active view of its service, and
// reports whether it did.
func (b *Balancer) SetView(now time.Duration, v *view.View) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.ensureService(v.Service)
	old := s.views.Load()
	if old != nil && !v.Version.Newer(old.current.view.Version) {
		return false
	}
	s.views.Store(newViewHistory(now, v, old))
	return true
}

func newViewHistory(now time.Duration, v *view.View, old *viewHistory) *viewHistory {
	history := &viewHistory{current: newPicker(v, v.Targets()), adoptedAt: now}
	if old != nil {
		history.earlier = append(history.earlier, old.current)
	}
	for i := range v.Earlier {
		if old == nil || v.Earlier[i].Version != old.current.view.Version {
			history.earlier = append(history.earlier, newPicker(v, v.EarlierTargets(i)))
		}
	}
	return history
}

// ExpireEarlierViews removes the earlier views of services whose active view
// was adopted longer ago than the history window.
func (b *Balancer) ExpireEarlierViews(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		if views := s.views.Load(); views != nil && views.earlier != nil && now-views.adoptedAt > b.historyWindow {
			s.views.Store(&viewHistory{current: views.current, adoptedAt: views.adoptedAt})
		}
	}
}

// View returns the active view of a service, or nil.
func (b *Balancer) View(id view.ServiceID) *view.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[id]
	if s == nil {
		return nil
	}
	if views := s.views.Load(); views != nil {
		return views.current.view
	}
	return nil
}

// Forward decides where to forward a packet of t. The errors are
// ErrUnknownAddress, ErrNoView and ErrNoTarget; each is counted in Drops.
func (b *Balancer) Forward(t Tuple) (Decision, error) {
	s := (*b.shards[addressShardIndex(t.Service)].table.Load())[t.Service]
	if s == nil {
		b.drops[UnknownAddress].Add(1)
		return Decision{}, ErrUnknownAddress
	}
	views := s.views.Load()
	if views == nil {
		b.drops[NoView].Add(1)
		return Decision{}, ErrNoView
	}
	key := t.Key()
	current := views.current.pick(key)
	if current == placement.None {
		b.drops[NoTarget].Add(1)
		return Decision{}, ErrNoTarget
	}
	v := views.current.view
	d := Decision{Service: s.id, Version: v.Version, Target: PeerOf(v, current), EarlierPicksComplete: true}
	if views.earlier != nil {
		d.EarlierPicks, d.EarlierPicksComplete = views.earlierPicks(key, d.Target.Seed)
	}
	return d, nil
}

// earlierPicks returns the agents other than pick that earlier views placed key
// on, in their latest runs, and whether the list is complete.
func (v *viewHistory) earlierPicks(key, pickSeed uint64) (p EarlierPicks, complete bool) {
	for _, e := range v.earlier {
		i := e.pick(key)
		if i == placement.None {
			continue
		}
		earlierPick, stays := v.latestRun(e.view, i)
		if earlierPick.Seed != pickSeed && !p.add(earlierPick) {
			return p, false
		}
		if stays {
			continue
		}
		i = placement.PickStable(key, e.view, e.targets)
		if i == placement.None {
			continue
		}
		if substitute, _ := v.latestRun(e.view, i); substitute.Seed != pickSeed && !p.add(substitute) {
			return p, false
		}
	}
	return p, true
}

// latestRun returns member i of an older view in its latest run, and whether
// the member stays in the active view.
func (v *viewHistory) latestRun(old *view.View, i int) (Peer, bool) {
	current := v.current.view
	j := i
	if current != old {
		j = current.IndexOfSeed(old.Seed(i))
	}
	if j < 0 {
		return PeerOf(old, i), false
	}
	return PeerOf(current, j), current.Members[j].IsStable()
}

// Drops returns the number of packets that were not forwarded, by reason.
func (b *Balancer) Drops() DropCounts {
	var r DropCounts
	for i := range r {
		r[i] = b.drops[i].Load()
	}
	return r
}

func addressShardIndex(a netip.AddrPort) int {
	ip := a.Addr().As16()
	return int(ip[15]^ip[14]^byte(a.Port())) % shardCount
}
