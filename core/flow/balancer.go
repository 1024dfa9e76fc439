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
	errorsOfFlow = errorx.NewNamespace("flow")

	// ErrUnknownAddress is returned for a packet to no service's address.
	ErrUnknownAddress = errorsOfFlow.NewType("unknown_address").NewWithNoMessage()
	// ErrNoView is returned while a service has no view.
	ErrNoView = errorsOfFlow.NewType("no_view").NewWithNoMessage()
	// ErrNoTarget is returned while a service has no backend server to forward to.
	ErrNoTarget = errorsOfFlow.NewType("no_target").NewWithNoMessage()
)

// Binding gives a service address to a service.
type Binding struct {
	Address netip.AddrPort
	Service view.ServiceID
}

// Decision is where a balancer forwards a packet to.
type Decision struct {
	Service view.ServiceID
	Version view.Version
	// Target is the agent beside the pick.
	Target Peer
	// EarlierPicks are the agents that earlier views placed the flow on, if others.
	EarlierPicks EarlierPicks
	// EarlierPicksComplete tells that Priors is complete.
	EarlierPicksComplete bool
}

// Packet returns the envelope of a datagram of t.
func (d *Decision) Packet(t Tuple) Packet {
	return Packet{
		Kind: Search, Service: d.Service, Ballot: Ballot{Version: d.Version}, Tuple: t,
		TargetIncarnation: d.Target.Incarnation, EarlierPicks: d.EarlierPicks, EarlierPicksComplete: d.EarlierPicksComplete,
	}
}

// Balancer decides where packets of callers go. Nothing it holds is needed by a
// flow: another balancer with the same view decides the same. Its methods may
// be called from several goroutines; Forward takes no lock.
type Balancer struct {
	window   time.Duration
	shards   [shardCount]addressShard
	drops    [reasons]counter
	mu       sync.Mutex // serialises the setters
	version  view.Version
	bound    bool
	services map[view.ServiceID]*service
}

// addressShard holds the addresses whose hash falls to it, copied on write.
type addressShard struct {
	table atomic.Pointer[map[netip.AddrPort]*service]
}

type service struct {
	id    view.ServiceID
	views atomic.Pointer[views]
}

// views is the view in force and, for a while, what earlier ones placed where.
type views struct {
	current *picker
	earlier []*picker // the newest first
	at      time.Duration
}

// NewBalancer returns a balancer without services. Earlier views of a
// service are consulted for the given time after a change.
func NewBalancer(window time.Duration) *Balancer {
	b := &Balancer{window: window, services: make(map[view.ServiceID]*service)}
	for i := range b.shards {
		b.shards[i].table.Store(&map[netip.AddrPort]*service{})
	}
	return b
}

// SetBindings replaces the service addresses by those of a version of the
// configuration. It reports false and changes nothing unless version is newer
// than the one in force.
func (b *Balancer) SetBindings(version view.Version, bindings []Binding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bound && !version.Newer(b.version) {
		return false
	}
	b.version, b.bound = version, true
	var tables [shardCount]map[netip.AddrPort]*service
	for i := range tables {
		tables[i] = make(map[netip.AddrPort]*service)
	}
	for _, n := range bindings {
		tables[shardOf(n.Address)][n.Address] = b.service(n.Service)
	}
	for i := range tables {
		b.shards[i].table.Store(&tables[i])
	}
	return true
}

// service returns the state of a service, made if there is none. The caller
// holds b.mu.
func (b *Balancer) service(id view.ServiceID) *service {
	s := b.services[id]
	if s == nil {
		s = &service{id: id}
		b.services[id] = s
	}
	return s
}

// RetainServices drops the views of services that keep does not hold.
func (b *Balancer) RetainServices(keep func(view.ServiceID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.services {
		if !keep(id) {
			delete(b.services, id)
		}
	}
}

// SetView adopts v if it is newer than its service's view in force, and reports
// whether.
func (b *Balancer) SetView(now time.Duration, v *view.View) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(v.Service)
	old := s.views.Load()
	if old != nil && !v.Version.Newer(old.current.view.Version) {
		return false
	}
	s.views.Store(newViews(now, v, old))
	return true
}

func newViews(now time.Duration, v *view.View, old *views) *views {
	n := &views{current: newPicker(v, v.Targets()), at: now}
	if old != nil {
		n.earlier = append(n.earlier, old.current)
	}
	for i := range v.Earlier {
		if old == nil || v.Earlier[i].Version != old.current.view.Version {
			n.earlier = append(n.earlier, newPicker(v, v.EarlierTargets(i)))
		}
	}
	return n
}

// ExpireEarlierViews drops earlier views that have been superseded for long enough.
func (b *Balancer) ExpireEarlierViews(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		if p := s.views.Load(); p != nil && p.earlier != nil && now-p.at > b.window {
			s.views.Store(&views{current: p.current, at: p.at})
		}
	}
}

// View returns the view in force of a service, or nil.
func (b *Balancer) View(id view.ServiceID) *view.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[id]
	if s == nil {
		return nil
	}
	if p := s.views.Load(); p != nil {
		return p.current.view
	}
	return nil
}

// Forward decides about a packet of t. Errors are ErrUnknownAddress, ErrNoView
// and ErrNoTarget; each is counted.
func (b *Balancer) Forward(t Tuple) (Decision, error) {
	s := (*b.shards[shardOf(t.Service)].table.Load())[t.Service]
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
		d.EarlierPicks, d.EarlierPicksComplete = views.priors(key, d.Target.Seed)
	}
	return d, nil
}

// priors returns the agents other than pick that earlier views placed key on, in
// their latest runs, and whether that is all of them.
func (v *views) priors(key, pick uint64) (p EarlierPicks, all bool) {
	for _, e := range v.earlier {
		i := e.pick(key)
		if i == placement.None {
			continue
		}
		first, stays := v.latest(e.view, i)
		if first.Seed != pick && !p.add(first) {
			return p, false
		}
		if stays {
			continue
		}
		i = placement.PickStable(key, e.view, e.targets)
		if i == placement.None {
			continue
		}
		if next, _ := v.latest(e.view, i); next.Seed != pick && !p.add(next) {
			return p, false
		}
	}
	return p, true
}

// latest returns member i of an older view in its latest run, and whether it
// stays in the newest view.
func (v *views) latest(old *view.View, i int) (Peer, bool) {
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

// Drops returns the number of packets not forwarded, by reason.
func (b *Balancer) Drops() DropCounts {
	var r DropCounts
	for i := range r {
		r[i] = b.drops[i].Load()
	}
	return r
}

func shardOf(a netip.AddrPort) int {
	ip := a.Addr().As16()
	return int(ip[15]^ip[14]^byte(a.Port())) % shardCount
}
