package steer

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

// WeightedService is a service's share of the new flows of an address. A service of
// weight 0 gets none and may hold flows from before.
type WeightedService struct {
	Service view.ServiceID
	Weight  uint32
}

// Routes maps the addresses that callers use to the services behind them.
type Routes map[netip.AddrPort][]WeightedService

// member is a backend server that may hold flows.
type member struct {
	peer    flow.Peer
	service view.ServiceID
	id      string
	zone    string
	weight  uint32
	slots   uint16
	takes   bool
	// gone is set where the member's lease has ended.
	gone bool
	// left is when the member was last in its view; zero while it is.
	left time.Duration
}

// Table is what a balancer knows of addresses and members. It is immutable.
type Table struct {
	routes  Routes
	members map[view.ServiceID][]member
	// partial are the services whose view may lack members.
	partial map[view.ServiceID]bool
}

// NewTable returns a table without routes.
func NewTable() *Table {
	return &Table{routes: Routes{}, members: map[view.ServiceID][]member{}, partial: map[view.ServiceID]bool{}}
}

// WithRoutes returns the table with other routes.
func (t *Table) WithRoutes(routes Routes) *Table {
	return &Table{routes: routes, members: t.members, partial: t.partial}
}

// WithView returns the table with the members of v. Members that v no longer
// names are kept for as long as their flows may live, unless another has taken
// their address.
func (t *Table) WithView(now time.Duration, v *view.View) *Table {
	next := &Table{
		routes: t.routes, partial: maps.Clone(t.partial),
		members: make(map[view.ServiceID][]member, len(t.members)+1),
	}
	next.partial[v.Service] = v.Partial
	taken := make(map[netip.AddrPort]bool, len(v.Members))
	for i := range v.Members {
		b := &v.Members[i]
		if b.State != view.Gone {
			taken[b.Packets] = true
		}
	}
	list := make([]member, 0, len(v.Members))
	for i := range v.Members {
		b := &v.Members[i]
		if b.State == view.Gone && taken[b.Packets] {
			continue
		}
		list = append(list, member{
			peer: flow.PeerOf(v, i), service: v.Service, id: b.ID, zone: b.Zone,
			weight: b.Weight, slots: max(b.Slots, 1), takes: b.AcceptsNewFlows(), gone: b.State == view.Gone,
		})
	}
	for id, members := range t.members {
		if id != v.Service {
			next.members[id] = slices.DeleteFunc(slices.Clone(members), func(m member) bool { return taken[m.peer.Addr] })
		}
	}
	next.members[v.Service] = append(list, departed(now, t.members[v.Service], list, taken)...)
	return next
}

// departed returns the members of before that are not in list and may still
// hold flows.
func departed(now time.Duration, before, list []member, taken map[netip.AddrPort]bool) []member {
	var out []member
	for _, m := range before {
		same := func(o member) bool { return o.id == m.id }
		if taken[m.peer.Addr] || slices.ContainsFunc(list, same) {
			continue
		}
		if m.left == 0 {
			m.left = now
		}
		m.takes = false
		if now-m.left < MaxFlowLifetime {
			out = append(out, m)
		}
	}
	return out
}

// HasRoute reports whether an address leads to a service.
func (t *Table) HasRoute(addr netip.AddrPort) bool { return len(t.routes[addr]) > 0 }

// RouteCount returns the number of addresses.
func (t *Table) RouteCount() int { return len(t.routes) }

// AvailableMembers returns the number of members that take new flows of the services
// behind an address.
func (t *Table) AvailableMembers(addr netip.AddrPort) int {
	n := 0
	for _, p := range t.routes[addr] {
		for i := range t.members[p.Service] {
			if t.members[p.Service][i].takes {
				n++
			}
		}
	}
	return n
}

// services returns the services that may hold a flow, the likeliest first.
func (t *Table) services(key uint64, addr netip.AddrPort) []view.ServiceID {
	portions := t.routes[addr]
	var out []view.ServiceID
	if chosen, ok := choosePortion(key, portions); ok {
		out = append(out, chosen)
	}
	add := func(id view.ServiceID) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for _, p := range portions {
		add(p.Service)
	}
	return out
}

// choosePortion returns the service of a new flow. All balancers choose alike.
func choosePortion(key uint64, portions []WeightedService) (view.ServiceID, bool) {
	var total uint64
	for _, p := range portions {
		total += uint64(p.Weight)
	}
	if total == 0 {
		return 0, false
	}
	at := placement.Mix(key, portionSeed) % total
	for _, p := range portions {
		if at < uint64(p.Weight) {
			return p.Service, true
		}
		at -= uint64(p.Weight)
	}
	return 0, false
}

// portionSeed keeps the choice of a service apart from that of a member.
const portionSeed = 0x5851f42d4c957f2d

// ranked is a member with its place in the order of a key.
type ranked struct {
	*member
	hash uint64
}

func (t *Table) rank(key uint64, m *member) ranked {
	return ranked{member: m, hash: placement.Mix(key, m.peer.Seed)}
}

// compare orders members by the place of a key: the highest hash is first.
func (r ranked) compare(o ranked) int {
	return cmp.Or(cmp.Compare(o.hash, r.hash), cmp.Compare(r.id, o.id))
}

// order returns the members of a service in the order in which key is looked
// for. A member that joins or leaves moves no other.
func (t *Table) order(key uint64, service view.ServiceID) []*member {
	list := t.members[service]
	byHash := make([]ranked, len(list))
	for i := range list {
		byHash[i] = t.rank(key, &list[i])
	}
	slices.SortFunc(byHash, ranked.compare)
	return membersOf(byHash)
}

// firstTaking returns the members that a new flow of key is weighed between: the
// first of its order that take new flows. It looks at each member once.
func (t *Table) firstTaking(key uint64, service view.ServiceID) []*member {
	list := t.members[service]
	first := make([]ranked, 0, choices+1)
	for i := range list {
		if !list[i].takes {
			continue
		}
		r := t.rank(key, &list[i])
		at, _ := slices.BinarySearchFunc(first, r, ranked.compare)
		if at < choices {
			first = slices.Insert(first, at, r)
			first = first[:min(len(first), choices)]
		}
	}
	return membersOf(first)
}

func membersOf(byHash []ranked) []*member {
	out := make([]*member, len(byHash))
	for i := range byHash {
		out[i] = byHash[i].member
	}
	return out
}

// holders returns every member that may hold the flow of key, the likeliest
// first.
func (t *Table) holders(key uint64, addr netip.AddrPort) []*member {
	var out []*member
	for _, service := range t.services(key, addr) {
		out = append(out, t.order(key, service)...)
	}
	return out
}

// whole reports whether every member that may hold a flow of an address is
// known.
func (t *Table) whole(key uint64, addr netip.AddrPort) bool {
	for _, service := range t.services(key, addr) {
		if !t.knows(service) {
			return false
		}
	}
	return true
}

// knows reports whether the view of a service is there and whole.
func (t *Table) knows(service view.ServiceID) bool {
	partial, ok := t.partial[service]
	return ok && !partial
}

// find returns the member with a seed, or nil.
func (t *Table) find(service view.ServiceID, seed uint64) *member {
	list := t.members[service]
	for i := range list {
		if list[i].peer.Seed == seed {
			return &list[i]
		}
	}
	return nil
}
