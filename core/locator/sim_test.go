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
	service  = view.ServiceID(1)
	stepTime = 5 * time.Millisecond

	reportEvery = time.Second

	window = 30 * time.Second
	lease  = 3 * time.Second
	zones  = 3
)

var address = netip.MustParseAddrPort("127.1.0.1:443")

// world is a fleet of one service with a naive table that knows every flow's
// owner.
type world struct {
	rng       *rand.Rand
	now       time.Duration
	hosts     []*host
	balancers []*flow.Balancer
	published []publication
	queue     queue
	order     int
	owners    map[flow.Tuple]owner
	baselines []*baselineRun

	loss       float64
	late       float64
	losePushes bool
	quiet      bool // every message arrives and every view is adopted at once
	delivered  int
	reached    map[flow.Tuple]bool
	doubled    []string
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
	diedAt      time.Duration
	joinedAt    view.Version // of the view in which this run first appeared
	agent       *flow.Agent
	pusher      *locator.Pusher
}

// baselineRun counts flows that a method of placement alone would have broken.
type baselineRun struct {
	pick   func(key uint64, v *view.View) int
	owners map[flow.Tuple]owner
	broken map[flow.Tuple]bool
}

type event struct {
	at     time.Duration
	order  int
	to     flow.Peer
	packet *flow.Packet
	batch  *locator.Batch
	ack    *locator.Ack
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
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

func newWorld(seed uint64, hosts, balancers int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), owners: map[flow.Tuple]owner{}, reached: map[flow.Tuple]bool{}, loss: 0.05, late: 0.02}
	for i := range hosts {
		h := &host{index: i, state: view.Ready, weight: view.FullWeight}
		w.hosts = append(w.hosts, h)
		w.run(h)
	}
	w.publish()
	for range balancers {
		w.balancers = append(w.balancers, nil)
		w.startBalancer(len(w.balancers) - 1)
	}
	w.quiet = true
	w.spread()
	w.quiet = false
	return w
}

// run starts a host's agent anew.
func (w *world) run(h *host) {
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

// publish makes a new view of the hosts' states.
func (w *world) publish() {
	version := view.Version{Epoch: 1, Number: uint64(len(w.published) + 1)}
	members := make([]view.BackendServer, len(w.hosts))
	for i, h := range w.hosts {
		if h.joinedAt == (view.Version{}) {
			h.joinedAt = version
		}
		members[i] = view.BackendServer{
			ID: h.id(), Zone: fmt.Sprint("zone-", i%zones), Incarnation: h.incarnation,
			Packets: h.addr(), State: h.state, Weight: h.weight,
		}
	}
	v := view.New(service, version, members)
	for i := len(w.published) - 1; i >= 0 && w.now-w.published[i].at <= window; i-- {
		old := w.published[i].view
		past := view.EarlierWeights{Version: old.Version, Weights: make([]uint32, len(members))}
		for m := range old.Members {
			past.Weights[m] = old.Members[m].PlacementWeight()
		}
		v.Earlier = append(v.Earlier, past)
	}
	v.Prepare()
	w.published = append(w.published, publication{at: w.now, view: v})
}

// adopt returns the view that a process gets hold of now, up to three seconds
// old.
func (w *world) adopt() *view.View {
	i := len(w.published) - 1
	for ; i > 0 && !w.quiet && w.now-w.published[i].at < time.Duration(w.rng.IntN(3000))*time.Millisecond; i-- {
	}
	return w.published[i].view
}

func (w *world) startBalancer(i int) {
	b := flow.NewBalancer(window)
	b.SetBindings(view.Version{Epoch: 1}, []flow.Binding{{Address: address, Service: service}})
	b.SetView(w.now, w.adopt())
	w.balancers[i] = b
}

// spread lets processes adopt views.
func (w *world) spread() {
	for _, b := range w.balancers {
		if w.quiet || w.rng.IntN(100) == 0 {
			b.SetView(w.now, w.adopt())
			b.ExpireEarlierViews(w.now)
		}
	}
	for _, h := range w.hosts {
		if !h.alive || !w.quiet && w.rng.IntN(100) != 0 {
			continue
		}
		if v := w.adopt(); h.agent.SetView(w.now, v) {
			h.pusher.SetView(w.now, v)
		}
	}
}

// expire ends the leases of dead hosts, restarts them, and lets joined hosts
// serve once they hold a view.
func (w *world) expire() {
	for _, h := range w.hosts {
		v := h.agent.View()
		switch {
		case !h.alive && h.state != view.Gone && w.now-h.diedAt > lease:
			h.state, h.weight = view.Gone, 0
		case !h.alive && h.state == view.Gone && w.now-h.diedAt > 3*lease:
			w.run(h)
			h.state, h.weight, h.joinedAt = view.Joining, 0, view.Version{}
		case h.alive && h.state == view.Joining && v != nil && !h.joinedAt.Newer(v.Version):
			h.state, h.weight = view.Ready, view.FullWeight
		default:
			continue
		}
		w.publish()
	}
}

// send puts a message on its way, or loses it.
func (w *world) send(e event) {
	if w.losePushes && e.batch != nil && e.batch.Sequence != 0 {
		return
	}
	delay := time.Duration(1+w.rng.IntN(20)) * time.Millisecond
	if !w.quiet {
		if w.rng.Float64() < w.loss {
			return
		}
		if w.rng.Float64() < w.late {
			delay += time.Duration(w.rng.IntN(1500)) * time.Millisecond
		}
	}
	w.order++
	e.at, e.order = w.now+delay, w.order
	heap.Push(&w.queue, e)
}

// call sends one packet of a flow through any balancer.
func (w *world) call(t flow.Tuple) {
	b := w.balancers[w.rng.IntN(len(w.balancers))]
	d, err := b.Forward(t)
	if err != nil {
		return
	}
	p := d.Packet(t)
	w.send(event{to: d.Target, packet: &p})
	for _, run := range w.baselines {
		run.call(w, t, b.View(service))
	}
}

func (r *baselineRun) call(w *world, t flow.Tuple, v *view.View) {
	i := r.pick(t.Key(), v)
	if i == placement.None || !w.hosts[i].alive {
		return
	}
	now := owner{i, w.hosts[i].incarnation}
	was, known := r.owners[t]
	if known && was != now && w.lives(was) {
		r.broken[t] = true
	}
	r.owners[t] = now
}

func (w *world) lives(o owner) bool {
	return w.hosts[o.host].alive && w.hosts[o.host].incarnation == o.incarnation
}

// step advances the time and handles what is due.
func (w *world) step() {
	w.now += stepTime
	if w.now%reportEvery == 0 {
		w.report()
	}
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		w.receive(heap.Pop(&w.queue).(event))
	}
	for _, h := range w.hosts {
		if !h.alive {
			continue
		}
		for _, m := range h.pusher.Tick(w.now) {
			w.send(event{to: m.To, batch: &m.Batch})
		}
	}
}

func (w *world) receive(e event) {
	h := w.hosts[e.to.Addr.Addr().As4()[3]]
	if !h.alive || e.to.Incarnation != h.incarnation && e.packet == nil {
		return
	}
	switch {
	case e.packet != nil:
		w.receivePacket(h, e.packet)
	case e.batch != nil:
		h.agent.StorePointers(w.now, e.batch.From, e.batch.Owner, e.batch.Flows)
		if e.batch.Sequence != 0 {
			self := flow.Peer{Seed: view.SeedOf(h.id()), Incarnation: h.incarnation}
			w.send(event{to: e.batch.From, ack: &locator.Ack{Sequence: e.batch.Sequence, From: self}})
		}
	default:
		h.agent.MarkResponsive(e.ack.From)
		h.pusher.HandleAck(*e.ack)
	}
}

func (w *world) receivePacket(h *host, p *flow.Packet) {
	t := p.Tuple
	action := h.agent.Receive(w.now, p)
	if !action.PointerRecipient.IsZero() {
		h.pusher.QueueAnswer(action.PointerRecipient, action.Owner, t.ID())
	}
	switch action.Verdict {
	case flow.Relay:
		w.send(event{to: action.To, packet: p})
	case flow.Deliver:
		if action.BecameOwner {
			h.pusher.AddFlow(t.ID())
		}
		w.deliver(h, t)
	}
}

// deliver compares a delivery with the naive table.
func (w *world) deliver(h *host, t flow.Tuple) {
	w.delivered++
	w.reached[t] = true
	now := owner{h.index, h.incarnation}
	was, known := w.owners[t]
	if known && was != now && w.lives(was) {
		w.doubled = append(w.doubled, fmt.Sprintf("%v: %v delivered at %v, owned at %v", w.now, t.Caller, now, was))
	}
	w.owners[t] = now
}
