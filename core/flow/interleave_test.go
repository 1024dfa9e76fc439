package flow

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// maxHops is high enough for no packet of a model to reach it.
const maxHops = 255

// settleMessages is the number of messages within which a packet is delivered.
const settleMessages = 32

var serviceAddr = netip.MustParseAddrPort("127.1.0.1:443")

func tupleOf(i int) Tuple {
	return Tuple{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4000), Service: serviceAddr}
}

func memberOf(host int, weight uint32) view.BackendServer {
	return view.BackendServer{
		ID: fmt.Sprintf("host-%d", host), Zone: "z", Incarnation: 1, State: view.Ready, Weight: weight,
		Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(host)}), 7000),
	}
}

// chain returns views over three hosts; version i places on the host picks[i]
// alone, and carries the weights of all before it.
func chain(picks ...int) []*view.View {
	views := make([]*view.View, len(picks))
	var earlier []view.EarlierWeights
	for i, pick := range picks {
		weights := make([]uint32, 3)
		weights[pick] = view.FullWeight
		members := []view.BackendServer{memberOf(0, weights[0]), memberOf(1, weights[1]), memberOf(2, weights[2])}
		views[i] = view.New(1, view.Version{Epoch: 1, Number: uint64(i + 1)}, members)
		views[i].Earlier = earlier
		views[i].Prepare()
		earlier = append([]view.EarlierWeights{{Version: views[i].Version, Weights: weights}}, earlier...)
	}
	return views
}

// model is one configuration to explore.
type model struct {
	name    string
	views   []*view.View
	agents  [3]int // index of the view that each agent holds at the start
	packets []source
	lose    int  // messages that may be lost
	divert  bool // host 0 places new flows on host 2
	sent    []message
}

// source is a balancer's packet by one view, whose balancer held another before.
type source struct{ view, before int }

// run is one state reached by a sequence of choices.
type run struct {
	model  *model
	agents [3]*Agent
	views  [3]int
	queue  []message
	lost   int
	owners map[int]bool
}

type message struct {
	to     int
	packet Packet
	tell   *Peer // set on an answer in place of a packet
}

func (m *model) start() *run {
	r := &run{model: m, views: m.agents, owners: map[int]bool{}}
	for i := range r.agents {
		a := NewAgent(AgentOptions{Self: PeerOf(m.views[0], i), MaxHops: maxHops})
		a.SetService(1, view.Version{}, []netip.AddrPort{serviceAddr})
		a.SetView(0, m.views[m.agents[i]])
		r.agents[i] = a
	}
	if m.divert {
		v := m.views[m.agents[0]]
		b := &balance{view: v, under: []view.Target{{Seed: v.Seed(2), Weight: 1, Index: 2}}}
		b.quota.Store(1)
		r.agents[0].balance.Store(b)
	}
	r.queue = slices.Clone(m.sent)
	return r
}

// forward fills in what the balancers send.
func (m *model) forward() {
	for _, s := range m.packets {
		b := NewBalancer(0)
		b.SetBindings(view.Version{}, []Binding{{serviceAddr, 1}})
		if s.before >= 0 {
			b.SetView(0, m.views[s.before])
		}
		b.SetView(0, m.views[s.view])
		d, err := b.Forward(tupleOf(1))
		if err != nil {
			panic(err)
		}
		m.sent = append(m.sent, message{to: hostOf(d.Target), packet: d.Packet(tupleOf(1))})
	}
}

func hostOf(p Peer) int { return int(p.Addr.Addr().As4()[3]) }

// choices are: deliver message i, lose message i, or move agent i one view on.
func (r *run) choices() int {
	return 2*len(r.queue) + len(r.agents)
}

// step makes choice c, and reports false where it is not possible.
func (r *run) step(c int) bool {
	n := len(r.queue)
	switch {
	case c < n:
		m := r.take(c)
		r.receive(m)
	case c < 2*n:
		if r.lost++; r.lost > r.model.lose {
			return false
		}
		r.take(c - n)
	default:
		i := c - 2*n
		if r.views[i]+1 >= len(r.model.views) {
			return false
		}
		r.views[i]++
		r.agents[i].SetView(0, r.model.views[r.views[i]])
	}
	return true
}

func (r *run) take(i int) message {
	m := r.queue[i]
	r.queue = append(append([]message(nil), r.queue[:i]...), r.queue[i+1:]...)
	return m
}

func (r *run) receive(m message) {
	a := r.agents[m.to]
	id := tupleOf(1).ID()
	if m.tell != nil {
		a.StorePointers(0, *m.tell, *m.tell, []ID{id})
		return
	}
	action := a.Receive(0, &m.packet)
	switch action.Verdict {
	case Deliver:
		r.owners[m.to] = true
	case Relay:
		r.queue = append(r.queue, message{to: hostOf(action.To), packet: m.packet})
	}
	if !action.PointerRecipient.IsZero() {
		m := message{to: hostOf(action.PointerRecipient), tell: &action.Owner}
		if !slices.ContainsFunc(r.queue, func(o message) bool { return o.tell != nil && o.to == m.to && *o.tell == *m.tell }) {
			r.queue = append(r.queue, m)
		}
	}
}

// state renders everything that later steps depend on.
func (r *run) state() string {
	var b strings.Builder
	id := tupleOf(1).ID()
	for i, a := range r.agents {
		fmt.Fprint(&b, r.views[i], " ")
		if e := a.shard(id).flows.find(id); e != nil {
			fmt.Fprint(&b, e.owner, " bound ", a.ballots.ballot(e.bound), " to ", e.home)
		}
		b.WriteString("; ")
	}
	queue := make([]string, len(r.queue))
	for i, m := range r.queue {
		p := &m.packet
		if m.tell != nil {
			queue[i] = fmt.Sprint("tell ", m.to, " of ", hostOf(*m.tell))
			continue
		}
		queue[i] = fmt.Sprint([]string{"search ", "ask ", "assign "}[p.Kind], m.to, " ", p.Ballot, " home ", p.Home.Addr,
			" rival ", p.SupersededHome.Addr, " priors ", p.EarlierPicks[0].Addr, p.EarlierPicks[1].Addr,
			" answer ", p.PointerRequested, " denied ", p.NonOwners[:p.NonOwnerCount])
	}
	slices.Sort(queue)
	fmt.Fprint(&b, strings.Join(queue, " | "), " lost ", r.lost, r.owners)
	return b.String()
}

// settles sends one more packet by every view, and reports whether all are
// delivered by one agent.
func (r *run) settles() bool {
	for _, m := range r.model.sent {
		r.queue = append(r.queue, m)
		for messages := 0; len(r.queue) > 0 && messages < settleMessages; messages++ {
			r.receive(r.take(0))
		}
	}
	return len(r.owners) == 1 && len(r.queue) == 0
}

// clone copies r, so that steps of one do not show in the other.
func (r *run) clone() *run {
	c := *r
	c.queue, c.owners = slices.Clone(r.queue), maps.Clone(r.owners)
	for i, a := range r.agents {
		c.agents[i] = a.clone()
	}
	return &c
}

func (a *Agent) clone() *Agent {
	c := &Agent{options: a.options}
	c.service.Store(a.service.Load())
	c.current.Store(a.current.Load())
	c.addresses.Store(a.addresses.Load())
	if b := a.balance.Load(); b != nil {
		n := &balance{view: b.view, under: b.under}
		n.quota.Store(b.quota.Load())
		c.balance.Store(n)
	}
	c.peers.slots, c.peers.bySeed, c.peers.silence = slices.Clone(a.peers.slots), a.peers.bySeed, a.peers.silence
	c.ballots.list, c.ballots.numbers = slices.Clone(a.ballots.list), maps.Clone(a.ballots.numbers)
	from, to := a.shard(tupleOf(1).ID()), c.shard(tupleOf(1).ID())
	to.flows = table{entries: slices.Clone(from.flows.entries), count: from.flows.count}
	return c
}

// explore visits every reachable state and returns the number of them and the
// first sequence of choices after which the flow is delivered at two agents, or
// at none.
func (m *model) explore() (states int, bad []int) {
	m.forward()
	seen := map[string]bool{}
	var visit func(from *run, path []int) []int
	visit = func(from *run, path []int) []int {
		for c := range from.choices() {
			r := from.clone()
			if !r.step(c) {
				continue
			}
			state := r.state()
			if seen[state] {
				continue
			}
			seen[state] = true
			next := append(slices.Clip(path), c)
			if len(r.owners) > 1 || len(r.queue) == 0 && !r.clone().settles() {
				return next
			}
			if found := visit(r, next); found != nil {
				return found
			}
		}
		return nil
	}
	bad = visit(m.start(), nil)
	return len(seen), bad
}

// trace logs the states along a sequence of choices.
func (m *model) trace(t *testing.T, path []int) {
	r := m.start()
	for _, c := range path {
		t.Log(r.state())
		r.step(c)
	}
	t.Log(r.state())
}

// TestNoDoublePlacement visits every order of arrivals, view adoptions and
// losses in the smallest cases where two agents might take one flow.
func TestNoDoublePlacement(t *testing.T) {
	two, three, back := chain(0, 1), chain(0, 1, 2), chain(0, 1, 0)
	models := []model{
		{name: "two views", views: two, packets: []source{{0, -1}, {1, 0}}, lose: 1},
		{name: "two views, new balancers", views: two, packets: []source{{0, -1}, {1, -1}, {1, -1}}},
		{name: "agents ahead of balancers", views: two, agents: [3]int{1, 1, 1}, packets: []source{{0, -1}, {0, -1}, {1, -1}}, lose: 1},
		{name: "old pick ahead", views: two, agents: [3]int{1, 0, 0}, packets: []source{{0, -1}, {1, -1}}, lose: 1},
		{name: "new pick ahead", views: two, agents: [3]int{0, 1, 0}, packets: []source{{0, -1}, {1, -1}, {0, -1}}},
		{name: "balancer two views ahead", views: three, packets: []source{{0, -1}, {2, 0}}, lose: 1},
		{name: "three views", views: three, packets: []source{{0, -1}, {1, -1}, {2, -1}}},
		{name: "there and back", views: back, packets: []source{{1, 0}, {2, 1}}, lose: 1},
		{name: "there and back, skipped", views: back, packets: []source{{0, -1}, {1, 0}, {2, 0}}},
		{name: "placed for balance", views: two, packets: []source{{0, -1}, {1, 0}}, divert: true, lose: 1},
		{name: "placed for balance, three views", views: three, packets: []source{{0, -1}, {2, 0}}, divert: true},
		{name: "placed for balance twice", views: two, packets: []source{{0, -1}, {0, -1}, {1, -1}}, divert: true},
	}
	for _, m := range models {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			states, bad := m.explore()
			t.Logf("%d states", states)
			if bad != nil {
				m.trace(t, bad)
			}
			is.Equal(bad, []int(nil)) // choices that deliver one flow at two agents
		})
	}
}

func TestChainPicks(t *testing.T) {
	is := is.New(t)
	for i, v := range chain(0, 1, 2) {
		is.Equal(placement.Pick(tupleOf(1).Key(), v), i)
	}
}
