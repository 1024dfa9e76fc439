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

// maxHops is high enough that no packet of a model reaches it.
const maxHops = 255

// maxSettleMessages is the number of messages within which a packet must be
// delivered.
const maxSettleMessages = 32

var serviceAddr = netip.MustParseAddrPort("127.1.0.1:443")

func tupleOf(i int) Tuple {
	return Tuple{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4000), Service: serviceAddr}
}

func memberOf(i int, weight uint32) view.BackendServer {
	return view.BackendServer{
		ID: fmt.Sprintf("host-%d", i), Zone: "z", Incarnation: 1, State: view.Ready, Weight: weight,
		Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000),
	}
}

// singlePickViews returns views over three backend servers. Version i places
// every flow on member picks[i] and lists the weights of all earlier versions.
func singlePickViews(picks ...int) []*view.View {
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

// model is one configuration whose states are explored.
type model struct {
	name    string
	views   []*view.View
	agents  [3]int // index of the initial view of each agent
	packets []forwardedPacket
	maxLost int  // number of messages that may be lost
	divert  bool // agent 0 places new flows on agent 2
	initial []message
}

// forwardedPacket is a packet that a balancer forwards by view after it adopted
// the view previous, or -1 for none.
type forwardedPacket struct{ view, previous int }

// run is the state reached by a sequence of choices.
type run struct {
	model  *model
	agents [3]*Agent
	views  [3]int
	queue  []message
	lost   int
	owners map[int]bool
}

type message struct {
	to      int
	packet  Packet
	pointer *Peer // set on a message that carries a pointer instead of a packet
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
		plan := &rebalancePlan{view: v, underloaded: []view.Target{{Seed: v.Seed(2), Weight: 1, Index: 2}}}
		plan.quota.Store(1)
		r.agents[0].rebalance.Store(plan)
	}
	r.queue = slices.Clone(m.initial)
	return r
}

// forward computes the packets that the balancers send.
func (m *model) forward() {
	for _, s := range m.packets {
		b := NewBalancer(0)
		b.SetBindings(view.Version{}, []Binding{{serviceAddr, 1}})
		if s.previous >= 0 {
			b.SetView(0, m.views[s.previous])
		}
		b.SetView(0, m.views[s.view])
		d, err := b.Forward(tupleOf(1))
		if err != nil {
			panic(err)
		}
		m.initial = append(m.initial, message{to: agentIndex(d.Target), packet: d.Packet(tupleOf(1))})
	}
}

func agentIndex(p Peer) int { return int(p.Addr.Addr().As4()[3]) }

// choices returns the number of choices: deliver message i, lose message i, or
// let agent i adopt its next view.
func (r *run) choices() int {
	return 2*len(r.queue) + len(r.agents)
}

// step applies choice c, and returns false if it is not possible.
func (r *run) step(c int) bool {
	n := len(r.queue)
	switch {
	case c < n:
		m := r.removeMessage(c)
		r.receive(m)
	case c < 2*n:
		if r.lost++; r.lost > r.model.maxLost {
			return false
		}
		r.removeMessage(c - n)
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

func (r *run) removeMessage(i int) message {
	m := r.queue[i]
	r.queue = append(append([]message(nil), r.queue[:i]...), r.queue[i+1:]...)
	return m
}

func (r *run) receive(m message) {
	a := r.agents[m.to]
	id := tupleOf(1).ID()
	if m.pointer != nil {
		a.StorePointers(0, *m.pointer, *m.pointer, []ID{id})
		return
	}
	action := a.Receive(0, &m.packet)
	switch action.Verdict {
	case Deliver:
		r.owners[m.to] = true
	case Relay:
		r.queue = append(r.queue, message{to: agentIndex(action.To), packet: m.packet})
	}
	if !action.PointerRecipient.IsZero() {
		m := message{to: agentIndex(action.PointerRecipient), pointer: &action.Owner}
		if !slices.ContainsFunc(r.queue, func(o message) bool { return o.pointer != nil && o.to == m.to && *o.pointer == *m.pointer }) {
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
			fmt.Fprint(&b, e.owner, " promised ", a.ballots.ballot(e.promised), " to ", e.home)
		}
		b.WriteString("; ")
	}
	queue := make([]string, len(r.queue))
	for i, m := range r.queue {
		p := &m.packet
		if m.pointer != nil {
			queue[i] = fmt.Sprint("pointer to ", m.to, " of ", agentIndex(*m.pointer))
			continue
		}
		queue[i] = fmt.Sprint([]string{"search ", "query ", "assign "}[p.Kind], m.to, " ", p.Ballot, " home ", p.Home.Addr,
			" superseded ", p.SupersededHome.Addr, " earlier ", p.EarlierPicks[0].Addr, p.EarlierPicks[1].Addr,
			" pointer requested ", p.PointerRequested, " non-owners ", p.NonOwners[:p.NonOwnerCount])
	}
	slices.Sort(queue)
	fmt.Fprint(&b, strings.Join(queue, " | "), " lost ", r.lost, r.owners)
	return b.String()
}

// settles sends the initial packets once more, and reports whether one agent
// delivers all of them.
func (r *run) settles() bool {
	for _, m := range r.model.initial {
		r.queue = append(r.queue, m)
		for messages := 0; len(r.queue) > 0 && messages < maxSettleMessages; messages++ {
			r.receive(r.removeMessage(0))
		}
	}
	return len(r.owners) == 1 && len(r.queue) == 0
}

// clone returns a deep copy of r.
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
	if plan := a.rebalance.Load(); plan != nil {
		clonedPlan := &rebalancePlan{view: plan.view, underloaded: plan.underloaded}
		clonedPlan.quota.Store(plan.quota.Load())
		c.rebalance.Store(clonedPlan)
	}
	c.peers.slots, c.peers.bySeed, c.peers.unresponsive = slices.Clone(a.peers.slots), a.peers.bySeed, a.peers.unresponsive
	c.ballots.list, c.ballots.numbers = slices.Clone(a.ballots.list), maps.Clone(a.ballots.numbers)
	from, to := a.shard(tupleOf(1).ID()), c.shard(tupleOf(1).ID())
	to.flows = table{entries: slices.Clone(from.flows.entries), count: from.flows.count}
	return c
}

// explore visits every reachable state. It returns the number of states and the
// first sequence of choices after which two agents have delivered the flow or
// none delivers it.
func (m *model) explore() (states int, counterexample []int) {
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
	counterexample = visit(m.start(), nil)
	return len(seen), counterexample
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

// TestFlowHasOneOwnerInEveryInterleaving visits every order of deliveries, view
// adoptions and losses in the smallest configurations in which two agents could
// acquire the same flow.
func TestFlowHasOneOwnerInEveryInterleaving(t *testing.T) {
	two, three, back := singlePickViews(0, 1), singlePickViews(0, 1, 2), singlePickViews(0, 1, 0)
	models := []model{
		{name: "two views", views: two, packets: []forwardedPacket{{0, -1}, {1, 0}}, maxLost: 1},
		{name: "two views, new balancers", views: two, packets: []forwardedPacket{{0, -1}, {1, -1}, {1, -1}}},
		{name: "agents have a newer view than balancers", views: two, agents: [3]int{1, 1, 1}, packets: []forwardedPacket{{0, -1}, {0, -1}, {1, -1}}, maxLost: 1},
		{name: "old pick has the newer view", views: two, agents: [3]int{1, 0, 0}, packets: []forwardedPacket{{0, -1}, {1, -1}}, maxLost: 1},
		{name: "new pick has the newer view", views: two, agents: [3]int{0, 1, 0}, packets: []forwardedPacket{{0, -1}, {1, -1}, {0, -1}}},
		{name: "balancer is two views ahead", views: three, packets: []forwardedPacket{{0, -1}, {2, 0}}, maxLost: 1},
		{name: "three views", views: three, packets: []forwardedPacket{{0, -1}, {1, -1}, {2, -1}}},
		{name: "pick changes and reverts", views: back, packets: []forwardedPacket{{1, 0}, {2, 1}}, maxLost: 1},
		{name: "pick changes and reverts, view skipped", views: back, packets: []forwardedPacket{{0, -1}, {1, 0}, {2, 0}}},
		{name: "diverted", views: two, packets: []forwardedPacket{{0, -1}, {1, 0}}, divert: true, maxLost: 1},
		{name: "diverted, three views", views: three, packets: []forwardedPacket{{0, -1}, {2, 0}}, divert: true},
		{name: "diverted, two packets", views: two, packets: []forwardedPacket{{0, -1}, {0, -1}, {1, -1}}, divert: true},
	}
	for _, m := range models {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			states, counterexample := m.explore()
			t.Logf("%d states", states)
			if counterexample != nil {
				m.trace(t, counterexample)
			}
			is.Equal(counterexample, []int(nil)) // choices after which two agents or none deliver the flow
		})
	}
}

func TestSinglePickViews(t *testing.T) {
	is := is.New(t)
	for i, v := range singlePickViews(0, 1, 2) {
		is.Equal(placement.Pick(tupleOf(1).Key(), v), i)
	}
}
