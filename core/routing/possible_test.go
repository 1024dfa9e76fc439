package routing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// manyServers returns n backend servers in views of an epoch that placed flows on each
// of them from view number from(i) on, and on none before the epoch.
func manyServers(n int, from func(i int) uint64) []view.BackendServer {
	var out []view.BackendServer
	for i := range n {
		s := server(1)
		s.ID, s.Packets = fmt.Sprint("host-", i), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		s.FirstAccepting, s.AcceptingSince = from(i), from(i)
		out = append(out, s)
	}
	return out
}

// After a loss of power the first view lists most members and the second one all.
// Nothing owns the flows from before; each is reset after a few probes.
func TestSearchForLostFlowProbesFewMembers(t *testing.T) {
	const members, flows, maxProbes = 200, 500, 2 * (maxPlacementCandidates + searchMargin)
	is := is.New(t)
	b := newBalancer(manyServers(members, func(i int) uint64 { return 1 + uint64(i%4/3) })...)
	for n := range flows {
		probed, last := returnFromAll(b, data(n))
		is.Equal(last, Decision{Verdict: Reset, Reason: ReasonFlowNotFound})
		is.True(len(probed) <= maxProbes)
	}
}

func TestMembersOfEarlierEpochsAreAllProbed(t *testing.T) {
	is := is.New(t)
	members := manyServers(40, func(int) uint64 { return 1 })
	for i := range members {
		members[i].FirstAccepting = 0
	}
	probed, _ := returnFromAll(newBalancer(members...), data(1))
	is.Equal(len(probed), 40)
}

// lostFlows simulates a balancer's share of the callers after a loss of power. Each
// sends a request on a flow that was lost, and the balancer forwards it from member to
// member through its link.
type lostFlows struct {
	balancer *Balancer
	linkFree time.Duration // when the link has sent what was queued
	pending  []lostSegment
	resets   []time.Duration // from a caller's segment to its reset
}

type lostSegment struct {
	at, sentAt time.Duration
	caller     int
	decision   Decision
}

// The load is that of one of the thin VMs in front of 200 backend servers.
const (
	lostFlowRate    = 40 // requests a second on lost flows
	lostFlowTime    = 5 * time.Second
	lostSegmentTime = 2 * time.Millisecond // of 500 bytes on a link of 2 Mbit/s
	lostRoundTrip   = 7 * time.Millisecond
	lostTarget      = 400 * time.Millisecond // response time at which a response has its full value
)

func (l *lostFlows) run() {
	for n := range int(lostFlowRate * lostFlowTime / time.Second) {
		at := time.Duration(n) * time.Second / lostFlowRate
		l.pending = append(l.pending, lostSegment{at: at, sentAt: at, caller: n, decision: Decision{Verdict: Drop}})
	}
	for len(l.pending) > 0 {
		i := 0
		for j := range l.pending {
			if l.pending[j].at < l.pending[i].at {
				i = j
			}
		}
		s := l.pending[i]
		l.pending = slices.Delete(l.pending, i, i+1)
		l.handle(s)
	}
}

// handle passes a segment, or its return by a member, to the balancer.
func (l *lostFlows) handle(s lostSegment) {
	if s.decision.Verdict == Forward {
		s.decision = l.balancer.HandleReturn(s.at, data(s.caller), ReturnInfo{
			Service: s.decision.Service, Seed: s.decision.To.Seed, Hops: s.decision.Hops,
		})
	} else {
		s.decision = l.balancer.Steer(s.at, data(s.caller))
	}
	switch s.decision.Verdict {
	case Forward:
		l.linkFree = max(l.linkFree, s.at) + lostSegmentTime
		s.at = l.linkFree + lostRoundTrip
		l.pending = append(l.pending, s)
	case Reset:
		l.resets = append(l.resets, s.at-s.sentAt)
	}
}

// A search that asks every member keeps the link busy for longer than callers wait, so
// that a reset in time, after which a caller can try again on a new flow, is rare.
func TestCallersOfLostFlowsAreResetInTime(t *testing.T) {
	is := is.New(t)
	inTime := func(members []view.BackendServer) int {
		l := &lostFlows{balancer: newBalancer(members...)}
		l.run()
		return len(slices.DeleteFunc(l.resets, func(d time.Duration) bool { return d > lostTarget }))
	}
	callers := int(lostFlowRate * lostFlowTime / time.Second)
	known := manyServers(60, func(int) uint64 { return 1 })
	unknown := manyServers(60, func(int) uint64 { return 0 })
	few, all := inTime(known), inTime(unknown)
	t.Logf("%d callers: %d reset in time where members are left out, %d where all are asked", callers, few, all)
	is.Equal(few, callers)
	is.True(all*10 < callers)
}

// viewHistory generates the views of a service and derives from all of them which
// members a search may leave out.
type viewHistory struct {
	random *rand.Rand
	epoch  uint64
	views  []*view.View
	states map[string]view.BackendServer
	// evacuated are the zones whose members views list as draining.
	evacuated map[string]bool
	nextID    int
}

// zones are those of the members of a viewHistory.
var zones = []string{"a", "b", "c", "d"}

// listed returns how views list a member.
func (h *viewHistory) listed(s view.BackendServer) view.BackendServer {
	if h.evacuated[s.Zone] && s.State != view.Gone {
		s.State, s.Weight = view.Draining, 0
	}
	return s
}

func (h *viewHistory) accepts(v *view.View, id string, incarnation view.Incarnation) bool {
	i := v.IndexOf(id)
	return i >= 0 && v.Members[i].AcceptsNewFlows() && (incarnation == 0 || v.Members[i].Incarnation == incarnation)
}

// firstAccepting returns the number of the first view that placed flows on an
// incarnation, or 0 if that was in an earlier epoch.
func (h *viewHistory) firstAccepting(s *view.BackendServer) uint64 {
	for _, v := range h.views {
		if h.accepts(v, s.ID, s.Incarnation) {
			if v.Version.Epoch != h.epoch {
				return 0
			}
			return v.Version.Number
		}
	}
	return 0
}

func (h *viewHistory) acceptingSince(id string) uint64 {
	since := uint64(0)
	for _, v := range slices.Backward(h.views) {
		if v.Version.Epoch != h.epoch || !h.accepts(v, id, 0) {
			break
		}
		since = v.Version.Number
	}
	return since
}

// next adds a view after some members joined, left, drained or restarted, and zones were
// evacuated or taken back.
func (h *viewHistory) next(changes int) {
	for range changes {
		ids := make([]string, 0, len(h.states))
		for id := range h.states {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		action := h.random.IntN(11)
		if action == 10 {
			zone := zones[h.random.IntN(len(zones))]
			h.evacuated[zone] = !h.evacuated[zone]
			continue
		}
		if action < 4 || len(ids) < 8 {
			s := manyServers(1, func(int) uint64 { return 0 })[0]
			s.ID, s.Packets = fmt.Sprint("host-", h.nextID), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(h.nextID >> 8), byte(h.nextID)}), 7000)
			s.Zone = zones[h.nextID%len(zones)]
			h.nextID++
			h.states[s.ID] = s
			continue
		}
		s := h.states[ids[h.random.IntN(len(ids))]]
		switch {
		case action < 6:
			delete(h.states, s.ID)
			continue
		case action < 8:
			s.State = []view.State{view.Draining, view.Ready, view.Gone}[h.random.IntN(3)]
		default:
			s.Incarnation++
		}
		h.states[s.ID] = s
	}
	number := uint64(1)
	if last := len(h.views) - 1; last >= 0 && h.views[last].Version.Epoch == h.epoch {
		number = h.views[last].Version.Number + 1
	}
	var members []view.BackendServer
	for _, s := range h.states {
		members = append(members, h.listed(s))
	}
	v := view.New(testService, view.Version{Epoch: h.epoch, Number: number}, members)
	h.views = append(h.views, v)
	for i := range v.Members {
		s := &v.Members[i]
		s.FirstAccepting, s.AcceptingSince = h.firstAccepting(s), h.acceptingSince(s.ID)
	}
}

// Whatever views balancers have when they place flows, a search under the same or any
// later view does not leave out the owner.
func TestSearchNeverLeavesOutTheOwner(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		h := &viewHistory{random: rand.New(rand.NewPCG(seed, 7)), epoch: 1, states: make(map[string]view.BackendServer), evacuated: make(map[string]bool)}
		placing, searching := NewBalancer("a"), NewBalancer("a")
		routes := Routes{address: {Services: []WeightedService{{Service: testService, Weight: 1}}}}
		placing.SetTable(placing.Table().WithRoutes(routes))
		searching.SetTable(searching.Table().WithRoutes(routes))
		type placement struct {
			key         uint64
			seed        uint64
			incarnation view.Incarnation
		}
		var placed []placement
		left := 0
		h.next(40)
		for step := range 60 {
			if h.random.IntN(20) == 0 {
				h.epoch++
			}
			h.next(1 + h.random.IntN(3))
			now := time.Duration(step) * time.Second / 2
			if h.random.IntN(2) == 0 { // the placing balancer skips some views
				placing.SetTable(placing.Table().WithView(now, h.views[len(h.views)-1]))
			}
			for range 20 {
				key := h.random.Uint64()
				for _, m := range placing.Table().placementCandidates(key, testService) {
					placed = append(placed, placement{key, m.peer.Seed, m.peer.Incarnation})
				}
			}
			searching.SetTable(searching.Table().WithView(now, h.views[len(h.views)-1]))
			table := searching.Table()
			for _, p := range placed {
				owner := table.findMember(testService, p.seed)
				if owner == nil || owner.peer.Incarnation != p.incarnation {
					continue // the incarnation has ended, and the flow with it
				}
				order, _ := table.searchOrder(p.key, address)
				if !slices.Contains(order, owner) {
					t.Fatalf("seed %d, step %d: the search leaves out owner %s", seed, step, owner.id)
				}
				left += len(table.members[testService]) - len(order)
			}
			if len(placed) > 200 {
				placed = placed[len(placed)-200:]
			}
		}
		is.True(left > 0) // the search does leave members out
	}
}
