package locator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

const (
	service      = view.ServiceID(1)
	stepDuration = 5 * time.Millisecond

	loadReportInterval = time.Second

	historyWindow = 30 * time.Second
	leaseDuration = 3 * time.Second
	zoneCount     = 3
)

var address = netip.MustParseAddrPort("127.1.0.1:443")

// simulation is a fleet of one service, with a reference table of every flow's owner.
type simulation struct {
	rng        *rand.Rand
	now        time.Duration
	hosts      []*host
	balancers  []*flow.Balancer
	published  []publication
	queue      queue
	eventCount int
	owners     map[flow.Tuple]owner
	baselines  []*baselineRun

	lossRate   float64 // share of the messages that are lost
	delayRate  float64 // share of the messages with a long delay
	dropPushes bool    // every push is lost
	reliable   bool    // no message is lost or delayed, and views are adopted at once
	delivered  int
	reached    map[flow.Tuple]bool
	conflicts  []string // deliveries at an agent while another owned the flow
}

type owner struct {
	host        int
	incarnation view.Incarnation
}

type publication struct {
	at   time.Duration
	view *view.View
}

// host is one backend server with its agent.
type host struct {
	index       int
	incarnation view.Incarnation
	state       view.State
	weight      uint32
	alive       bool
	failedAt    time.Duration
	joinVersion view.Version // of the first view with this incarnation
	agent       *flow.Agent
	pusher      *locator.Pusher
}

// baselineRun records the flows that a placement method without pointers would break.
type baselineRun struct {
	pick   func(key uint64, v *view.View) int
	owners map[flow.Tuple]owner
	broken map[flow.Tuple]bool
}

type event struct {
	at       time.Duration
	sequence int // orders events of the same time
	to       flow.Peer
	packet   *flow.Packet
	batch    *locator.Batch
	ack      *locator.Ack
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func tupleOf(i int) flow.Tuple {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4000)
	return flow.Tuple{Caller: caller, Service: address}
}

func newSimulation(seed uint64, hosts, balancers int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), owners: map[flow.Tuple]owner{}, reached: map[flow.Tuple]bool{}, lossRate: 0.05, delayRate: 0.02}
	for i := range hosts {
		h := &host{index: i, state: view.Ready, weight: view.FullWeight}
		sim.hosts = append(sim.hosts, h)
		sim.startAgent(h)
	}
	sim.publish()
	for range balancers {
		sim.balancers = append(sim.balancers, nil)
		sim.startBalancer(len(sim.balancers) - 1)
	}
	sim.reliable = true
	sim.adoptViews()
	sim.reliable = false
	return sim
}

// startAgent starts a new incarnation of a host's agent.
func (sim *simulation) startAgent(h *host) {
	h.incarnation++
	h.alive = true
	self := flow.Peer{Seed: view.SeedOf(h.id()), Incarnation: h.incarnation, Addr: h.addr()}
	h.agent = flow.NewAgent(flow.AgentOptions{Self: self, IdleTimeout: time.Hour, PointerTTL: 2 * time.Hour})
	h.agent.SetService(service, view.Version{}, []netip.AddrPort{address})
	h.pusher = locator.NewPusher(locator.Options{Self: self, Flows: h.agent})
}

func (h *host) id() string { return fmt.Sprintf("host-%d", h.index) }

func (h *host) addr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(h.index)}), 7000)
}

// publish publishes a view of the hosts' current states.
func (sim *simulation) publish() {
	version := view.Version{Epoch: 1, Number: uint64(len(sim.published) + 1)}
	members := make([]view.BackendServer, len(sim.hosts))
	for i, h := range sim.hosts {
		if h.joinVersion == (view.Version{}) {
			h.joinVersion = version
		}
		members[i] = view.BackendServer{
			ID: h.id(), Zone: fmt.Sprint("zone-", i%zoneCount), Incarnation: h.incarnation,
			Packets: h.addr(), State: h.state, Weight: h.weight,
		}
	}
	v := view.New(service, version, members)
	for i := len(sim.published) - 1; i >= 0 && sim.now-sim.published[i].at <= historyWindow; i-- {
		old := sim.published[i].view
		earlier := view.EarlierWeights{Version: old.Version, Weights: make([]uint32, len(members))}
		for m := range old.Members {
			earlier.Weights[m] = old.Members[m].PlacementWeight()
		}
		v.Earlier = append(v.Earlier, earlier)
	}
	v.Prepare()
	sim.published = append(sim.published, publication{at: sim.now, view: v})
}

// availableView returns the view that a process receives now: the newest one if reliable,
// else possibly one that was superseded up to three seconds ago.
func (sim *simulation) availableView() *view.View {
	i := len(sim.published) - 1
	for ; i > 0 && !sim.reliable && sim.now-sim.published[i].at < time.Duration(sim.rng.IntN(3000))*time.Millisecond; i-- {
	}
	return sim.published[i].view
}

func (sim *simulation) startBalancer(i int) {
	b := flow.NewBalancer(historyWindow)
	b.SetBindings(view.Version{Epoch: 1}, []flow.Binding{{Address: address, Service: service}})
	b.SetView(sim.now, sim.availableView())
	sim.balancers[i] = b
}

// adoptViews lets a random selection of processes adopt views; all of them if reliable.
func (sim *simulation) adoptViews() {
	for _, b := range sim.balancers {
		if sim.reliable || sim.rng.IntN(100) == 0 {
			b.SetView(sim.now, sim.availableView())
			b.ExpireEarlierViews(sim.now)
		}
	}
	for _, h := range sim.hosts {
		if !h.alive || !sim.reliable && sim.rng.IntN(100) != 0 {
			continue
		}
		if v := sim.availableView(); h.agent.SetView(sim.now, v) {
			h.pusher.SetView(sim.now, v)
		}
	}
}

// expireLeases ends the leases of failed hosts, restarts them later, and makes joining
// hosts ready once they have adopted a view that lists them.
func (sim *simulation) expireLeases() {
	for _, h := range sim.hosts {
		v := h.agent.View()
		switch {
		case !h.alive && h.state != view.Gone && sim.now-h.failedAt > leaseDuration:
			h.state, h.weight = view.Gone, 0
		case !h.alive && h.state == view.Gone && sim.now-h.failedAt > 3*leaseDuration:
			sim.startAgent(h)
			h.state, h.weight, h.joinVersion = view.Joining, 0, view.Version{}
		case h.alive && h.state == view.Joining && v != nil && !h.joinVersion.Newer(v.Version):
			h.state, h.weight = view.Ready, view.FullWeight
		default:
			continue
		}
		sim.publish()
	}
}

// send queues a message with a random delay, or loses it.
func (sim *simulation) send(e event) {
	if sim.dropPushes && e.batch != nil && e.batch.Sequence != 0 {
		return
	}
	delay := time.Duration(1+sim.rng.IntN(20)) * time.Millisecond
	if !sim.reliable {
		if sim.rng.Float64() < sim.lossRate {
			return
		}
		if sim.rng.Float64() < sim.delayRate {
			delay += time.Duration(sim.rng.IntN(1500)) * time.Millisecond
		}
	}
	sim.eventCount++
	e.at, e.sequence = sim.now+delay, sim.eventCount
	heap.Push(&sim.queue, e)
}

// sendPacket sends one packet of a flow through a random balancer.
func (sim *simulation) sendPacket(t flow.Tuple) {
	b := sim.balancers[sim.rng.IntN(len(sim.balancers))]
	d, err := b.Forward(t)
	if err != nil {
		return
	}
	p := d.Packet(t)
	sim.send(event{to: d.Target, packet: &p})
	for _, run := range sim.baselines {
		run.place(sim, t, b.View(service))
	}
}

// place places one packet and records whether that breaks its flow.
func (r *baselineRun) place(sim *simulation, t flow.Tuple, v *view.View) {
	i := r.pick(t.Key(), v)
	if i == placement.None || !sim.hosts[i].alive {
		return
	}
	current := owner{i, sim.hosts[i].incarnation}
	previous, ok := r.owners[t]
	if ok && previous != current && sim.isAlive(previous) {
		r.broken[t] = true
	}
	r.owners[t] = current
}

func (sim *simulation) isAlive(o owner) bool {
	return sim.hosts[o.host].alive && sim.hosts[o.host].incarnation == o.incarnation
}

// step advances the time and processes the events that are due.
func (sim *simulation) step() {
	sim.now += stepDuration
	if sim.now%loadReportInterval == 0 {
		sim.reportLoads()
	}
	for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
		sim.receive(heap.Pop(&sim.queue).(event))
	}
	for _, h := range sim.hosts {
		if !h.alive {
			continue
		}
		for _, m := range h.pusher.Tick(sim.now) {
			sim.send(event{to: m.To, batch: &m.Batch})
		}
	}
}

func (sim *simulation) receive(e event) {
	h := sim.hosts[e.to.Addr.Addr().As4()[3]]
	if !h.alive || e.to.Incarnation != h.incarnation && e.packet == nil {
		return
	}
	switch {
	case e.packet != nil:
		sim.receivePacket(h, e.packet)
	case e.batch != nil:
		h.agent.StorePointers(sim.now, e.batch.From, e.batch.Owner, e.batch.Flows)
		if e.batch.Sequence != 0 {
			self := flow.Peer{Seed: view.SeedOf(h.id()), Incarnation: h.incarnation}
			sim.send(event{to: e.batch.From, ack: &locator.Ack{Sequence: e.batch.Sequence, From: self}})
		}
	default:
		h.agent.MarkResponsive(e.ack.From)
		h.pusher.HandleAck(*e.ack)
	}
}

func (sim *simulation) receivePacket(h *host, p *flow.Packet) {
	t := p.Tuple
	action := h.agent.Receive(sim.now, p)
	if !action.PointerRecipient.IsZero() {
		h.pusher.QueueAnswer(action.PointerRecipient, action.Owner, t.ID())
	}
	switch action.Verdict {
	case flow.Relay:
		sim.send(event{to: action.To, packet: p})
	case flow.Deliver:
		if action.BecameOwner {
			h.pusher.AddFlow(t.ID())
		}
		sim.deliver(h, t)
	}
}

// deliver checks a delivery against the reference table.
func (sim *simulation) deliver(h *host, t flow.Tuple) {
	sim.delivered++
	sim.reached[t] = true
	current := owner{h.index, h.incarnation}
	previous, ok := sim.owners[t]
	if ok && previous != current && sim.isAlive(previous) {
		sim.conflicts = append(sim.conflicts, fmt.Sprintf("%v: %v delivered at %v, owned at %v", sim.now, t.Caller, current, previous))
	}
	sim.owners[t] = current
}
