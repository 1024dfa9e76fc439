package routing

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// WeightedService is a service behind an address, with its share of the address's new
// flows. A service of weight 0 gets no new flows but its members may own older ones.
type WeightedService struct {
	Service view.ServiceID
	Weight  uint32
	// Contention is the same at all addresses of the service.
	Contention Contention
}

// Route is what is behind one address.
type Route struct {
	// Services are the services behind the address, by ID.
	Services []WeightedService
	Listener Listener
}

// Listener is what the callers of an address need. The zero value means that nothing
// is known of them.
type Listener struct {
	// Timeout is the longest time that a caller waits for a response, Objective the
	// response time within which a response has its full value.
	Timeout, Objective time.Duration
	// Urgency is 0 for the most urgent requests. Neither it nor Idempotent decides anything
	// yet.
	Urgency uint8
	// Idempotent is set if requests may be executed more than once.
	Idempotent bool
}

// Routes maps the addresses that callers use to the services behind them.
type Routes map[netip.AddrPort]Route

// member is a backend server that may own flows.
type member struct {
	peer       flow.Peer
	service    view.ServiceID
	id         string
	zone       string
	weight     uint32
	slots      uint16
	acceptsNew bool
	// listedIn is the version of the latest view that has listed the member, and
	// firstAccepting and acceptingSince are those of that view, see view.BackendServer.
	listedIn                       view.Version
	firstAccepting, acceptingSince uint64
	// answersQueries is set if the member's agent answers queries.
	answersQueries bool
	// isGone is set if the view lists the member in state view.Gone.
	isGone bool
	// removedAt is when the member was removed from its view; 0 while it is listed.
	removedAt time.Duration
}

// Table is a balancer's routes and members. It is immutable.
type Table struct {
	routes  Routes
	members map[view.ServiceID][]member
	// bySeed indexes members.
	bySeed map[view.ServiceID]map[uint64]*member
	// partialViews has an entry for each service whose view was received; it is true
	// if the view may lack members.
	partialViews map[view.ServiceID]bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		routes: Routes{}, members: map[view.ServiceID][]member{}, bySeed: map[view.ServiceID]map[uint64]*member{},
		partialViews: map[view.ServiceID]bool{},
	}
}

// WithRoutes returns a copy of the table with other routes.
func (t *Table) WithRoutes(routes Routes) *Table {
	return &Table{routes: routes, members: t.members, bySeed: t.bySeed, partialViews: t.partialViews}
}

// WithView returns a copy of the table with the members of v. Members that v no longer
// lists are kept for MaxFlowLifetime, unless another member has their address. Of two
// members of different services with one address, the one in the newer view has it.
func (t *Table) WithView(now time.Duration, v *view.View) *Table {
	next := &Table{
		routes: t.routes, partialViews: maps.Clone(t.partialViews),
		members: make(map[view.ServiceID][]member, len(t.members)+1),
	}
	next.partialViews[v.Service] = v.Partial
	lostAddrs := t.addrsOfNewerViews(v)
	usedAddrs := make(map[netip.AddrPort]bool, len(v.Members))
	for i := range v.Members {
		b := &v.Members[i]
		if b.State != view.Gone && !lostAddrs[b.Packets] {
			usedAddrs[b.Packets] = true
		}
	}
	current := listedMembers(v, usedAddrs, lostAddrs)
	for id, members := range t.members {
		if id != v.Service {
			next.members[id] = slices.DeleteFunc(slices.Clone(members), func(m member) bool { return usedAddrs[m.peer.Addr] })
		}
	}
	next.members[v.Service] = append(current, removedMembers(now, t.members[v.Service], current, usedAddrs)...)
	next.bySeed = indexMembers(next.members)
	return next
}

// listedMembers returns the members that v lists, except those whose address a newer view
// of another service has, and those in state view.Gone whose address is in use again.
func listedMembers(v *view.View, usedAddrs, lostAddrs map[netip.AddrPort]bool) []member {
	listed := make([]member, 0, len(v.Members))
	for i := range v.Members {
		b := &v.Members[i]
		if lostAddrs[b.Packets] || b.State == view.Gone && usedAddrs[b.Packets] {
			continue
		}
		listed = append(listed, member{
			peer: flow.PeerOf(v, i), service: v.Service, id: b.ID, zone: b.Zone,
			weight: b.Weight, slots: max(b.Slots, 1), acceptsNew: b.AcceptsNewFlows(), isGone: b.State == view.Gone,
			listedIn: v.Version, firstAccepting: b.FirstAccepting, acceptingSince: b.AcceptingSince, answersQueries: b.AnswersQueries,
		})
	}
	return listed
}

// addrsOfNewerViews returns the addresses of the listed members of other services that
// come from newer views than v.
func (t *Table) addrsOfNewerViews(v *view.View) map[netip.AddrPort]bool {
	addrs := make(map[netip.AddrPort]bool)
	for service, members := range t.members {
		if service == v.Service {
			continue
		}
		for i := range members {
			m := &members[i]
			if !m.isGone && m.removedAt == 0 && m.listedIn.Newer(v.Version) {
				addrs[m.peer.Addr] = true
			}
		}
	}
	return addrs
}

func indexMembers(members map[view.ServiceID][]member) map[view.ServiceID]map[uint64]*member {
	out := make(map[view.ServiceID]map[uint64]*member, len(members))
	for service, list := range members {
		bySeed := make(map[uint64]*member, len(list))
		for i := range list {
			bySeed[list[i].peer.Seed] = &list[i]
		}
		out[service] = bySeed
	}
	return out
}

// removedMembers returns the previous members that current lacks and that may still own
// flows.
func removedMembers(now time.Duration, previous, current []member, usedAddrs map[netip.AddrPort]bool) []member {
	var out []member
	for _, m := range previous {
		hasSameID := func(o member) bool { return o.id == m.id }
		if usedAddrs[m.peer.Addr] || slices.ContainsFunc(current, hasSameID) {
			continue
		}
		if m.removedAt == 0 {
			m.removedAt = now
		}
		m.acceptsNew = false
		if now-m.removedAt < MaxFlowLifetime {
			out = append(out, m)
		}
	}
	return out
}

// HasRoute reports whether an address is routed to a service.
func (t *Table) HasRoute(addr netip.AddrPort) bool { return len(t.routes[addr].Services) > 0 }

// RouteCount returns the number of routed addresses.
func (t *Table) RouteCount() int { return len(t.routes) }

// AvailableMembers returns the number of members that accept new flows for an address.
func (t *Table) AvailableMembers(addr netip.AddrPort) int {
	n := 0
	for _, ws := range t.routes[addr].Services {
		if ws.Weight == 0 {
			continue
		}
		for i := range t.members[ws.Service] {
			if t.members[ws.Service][i].acceptsNew {
				n++
			}
		}
	}
	return n
}

// acceptingMembers returns the number of members of each service that accept new flows.
func (t *Table) acceptingMembers() map[view.ServiceID]int {
	out := make(map[view.ServiceID]int, len(t.members))
	for service, members := range t.members {
		for i := range members {
			if members[i].acceptsNew {
				out[service]++
			}
		}
	}
	return out
}

// selectService returns the service for a new flow, by the weights of services. The
// result is the same on every balancer.
func selectService(key uint64, services []WeightedService) (WeightedService, bool) {
	var total uint64
	for _, ws := range services {
		total += uint64(ws.Weight)
	}
	if total == 0 {
		return WeightedService{}, false
	}
	offset := placement.Mix(key, serviceHashSeed) % total
	for _, ws := range services {
		if offset < uint64(ws.Weight) {
			return ws, true
		}
		offset -= uint64(ws.Weight)
	}
	return WeightedService{}, false
}

// serviceHashSeed makes the selection of a service independent of that of a member.
const serviceHashSeed = 0x5851f42d4c957f2d

// rankedMember is a member with its rendezvous hash for a key.
type rankedMember struct {
	*member
	hash uint64
}

func (t *Table) rankMember(key uint64, m *member) rankedMember {
	return rankedMember{member: m, hash: placement.Mix(key, m.peer.Seed)}
}

// compare orders members by descending hash.
func (r rankedMember) compare(o rankedMember) int {
	return cmp.Or(cmp.Compare(o.hash, r.hash), cmp.Compare(r.id, o.id))
}

// rankMembers returns the members of a service in the rendezvous order of key. A member
// that joins or leaves does not change the order of the others.
func (t *Table) rankMembers(key uint64, service view.ServiceID) []*member {
	members := t.members[service]
	byHash := make([]rankedMember, len(members))
	for i := range members {
		byHash[i] = t.rankMember(key, &members[i])
	}
	slices.SortFunc(byHash, rankedMember.compare)
	return membersOf(byHash)
}

// placementCandidates returns the members whose loads are compared for a new flow of
// key: the first maxPlacementCandidates in rendezvous order that accept new flows. It takes one
// pass and no sort of all members.
func (t *Table) placementCandidates(key uint64, service view.ServiceID) []*member {
	members := t.members[service]
	first := make([]rankedMember, 0, maxPlacementCandidates+1)
	for i := range members {
		if !members[i].acceptsNew {
			continue
		}
		r := t.rankMember(key, &members[i])
		at, _ := slices.BinarySearchFunc(first, r, rankedMember.compare)
		if at < maxPlacementCandidates {
			first = slices.Insert(first, at, r)
			first = first[:min(len(first), maxPlacementCandidates)]
		}
	}
	return membersOf(first)
}

func membersOf(byHash []rankedMember) []*member {
	out := make([]*member, len(byHash))
	for i := range byHash {
		out[i] = byHash[i].member
	}
	return out
}

// hasCompleteViews reports whether the views of all services that may own a flow of an
// address are present and complete.
func (t *Table) hasCompleteViews(key uint64, addr netip.AddrPort) bool {
	for _, service := range t.servicesToSearch(key, addr) {
		if !t.hasCompleteView(service) {
			return false
		}
	}
	return true
}

// hasCompleteView reports whether the view of a service is present and complete.
func (t *Table) hasCompleteView(service view.ServiceID) bool {
	partial, ok := t.partialViews[service]
	return ok && !partial
}

// findMember returns the member with a hash seed, or nil.
func (t *Table) findMember(service view.ServiceID, seed uint64) *member {
	return t.bySeed[service][seed]
}

// HasCompleteViews reports whether the table has the views of all routed services and
// all of them are complete.
func (t *Table) HasCompleteViews() bool {
	for _, route := range t.routes {
		for _, ws := range route.Services {
			if !t.hasCompleteView(ws.Service) {
				return false
			}
		}
	}
	return len(t.routes) > 0
}

// Peer returns the member with a hash seed; false if the table has none.
func (t *Table) Peer(service view.ServiceID, seed uint64) (flow.Peer, bool) {
	m := t.findMember(service, seed)
	if m == nil {
		return flow.Peer{}, false
	}
	return m.peer, true
}
