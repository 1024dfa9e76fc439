package routing

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// The simulated backend servers and callers.
const (
	simSlots     = 4
	simQueue     = 16
	simFlowLife  = 8 * time.Second
	simDeadline  = 2 * time.Second
	simObjective = 300 * time.Millisecond
	simAttempts  = 3
	simTick      = 100 * time.Millisecond
)

// simOptions describe a service and the load on it.
type simOptions struct {
	servers, balancers, zones int
	flowsPerZone              int // kept open by callers
	rules                     PlacementRules
	// isRandom is set if flows are placed at random instead of by a Balancer.
	isRandom bool
	// demand is the requests a second of a zone, peak the most of it.
	demand func(now time.Duration, zone int) float64
	peak   float64
	// work is the mean service time of the server in a position, mute the share of its
	// requests that get no answer.
	work func(now time.Duration, position int) time.Duration
	mute func(now time.Duration, position int) float64
}

// sim simulates backend servers with slots and first-come queues beside their agents,
// and callers that keep flows open for many requests, without a network or a clock.
type sim struct {
	simOptions
	now       time.Duration
	random    *rand.Rand
	events    simEvents
	servers   []*simServer
	balancers []*Balancer
	idle      [][]*simFlow // by zone
	flowCount int
	scheduled int
	version   uint64
	requests  []*simRequest
	misjudged int // ticks at which a server that answers was called unfit
}

type simEvent struct {
	at time.Duration
	n  int // in the order of scheduling
	do func()
}

// simEvents is a heap of events, the next one first.
type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].n, e[j].n)) < 0
}
func (e *simEvents) Push(event any) { *e = append(*e, event.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simServer struct {
	entry     view.BackendServer
	seed      uint64
	agent     *Agent
	position  int
	freeAt    [simSlots]time.Duration
	inSystem  int
	busy      []time.Duration // by second
	isRetired bool
	mutedAt   time.Duration
}

type simFlow struct {
	n, zone  int
	server   *simServer
	openedAt time.Duration
	sent     uint32
}

type simRequest struct {
	flow   *simFlow
	zone   int
	at     time.Duration
	took   time.Duration // 0 until it is answered or given up
	tries  int
	isLost bool
}

func newSim(seed uint64, o simOptions) *sim {
	s := &sim{simOptions: o, random: rand.New(rand.NewPCG(seed, 3)), idle: make([][]*simFlow, o.zones)}
	for n := range o.servers {
		s.addServer(n)
	}
	for n := range o.balancers {
		b := NewBalancer(fmt.Sprint("zone-", n%o.zones))
		b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: o.rules})
		b.SetTable(b.Table().WithRoutes(Routes{address: {Services: []WeightedService{{Service: testService, Weight: 1}}}}))
		b.ConfirmConfig()
		s.balancers = append(s.balancers, b)
	}
	s.publish()
	for n := range o.zones * o.flowsPerZone {
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), func() {
			if f := s.open(n % o.zones); f != nil {
				f.openedAt -= time.Duration(s.random.Int64N(int64(simFlowLife)))
				s.idle[f.zone] = append(s.idle[f.zone], f)
			}
		})
	}
	for zone := range o.zones {
		s.after(0, func() { s.arrive(zone) })
	}
	s.after(0, s.tick)
	return s
}

func (s *sim) addServer(position int) {
	entry := server(len(s.servers) + 1)
	entry.Zone = fmt.Sprint("zone-", position%s.zones)
	agent := newAgent(BackendServing, true)
	agent.StartIncarnation(entry.Incarnation, 0)
	agent.SetSlots(simSlots)
	agent.SetJudged(s.rules.MaxUnfitPercent > 0)
	s.servers = append(s.servers, &simServer{entry: entry, seed: view.SeedOf(entry.ID), agent: agent, position: position, mutedAt: -time.Hour})
}

// replace drains a server and starts another one in its position.
func (s *sim) replace(n int) {
	s.servers[n].isRetired = true
	s.servers[n].entry.State, s.servers[n].entry.Weight = view.Draining, 0
	s.servers[n].agent.SetState(BackendDraining)
	s.addServer(n)
	s.publish()
}

func (s *sim) publish() {
	s.version++
	var members []view.BackendServer
	for _, server := range s.servers {
		members = append(members, server.entry)
	}
	for _, b := range s.balancers {
		b.SetTable(b.Table().WithView(s.now, view.New(testService, view.Version{Epoch: 1, Number: s.version}, members)))
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, simEvent{s.now + d, s.scheduled, do})
}

func (s *sim) run(until time.Duration) {
	for s.events[0].at <= until {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// tick advances the agents and reports their loads.
func (s *sim) tick() {
	for _, server := range s.servers {
		server.agent.Tick(s.now)
		server.agent.SetState(server.agent.State()) // its regular report
		load := server.agent.Load()
		if load.IsUnfit && s.now-server.mutedAt > 2*simDeadline {
			s.misjudged++
		}
		for _, b := range s.balancers {
			b.ReportLoad(s.now, testService, server.seed, load)
		}
	}
	s.after(simTick, s.tick)
}

func (s *sim) arrive(zone int) {
	s.after(time.Duration(s.random.ExpFloat64()/s.peak*float64(time.Second)), func() { s.arrive(zone) })
	if s.random.Float64() >= s.demand(s.now, zone)/s.peak {
		return
	}
	r := &simRequest{zone: zone, at: s.now}
	s.requests = append(s.requests, r)
	s.after(simDeadline, func() { s.giveUp(r) })
	s.try(r)
}

// try sends a request on an idle flow of its zone, or on a new one.
func (s *sim) try(r *simRequest) {
	r.tries++
	r.flow = nil
	if idle := s.idle[r.zone]; r.tries == 1 && len(idle) > 0 {
		i := s.random.IntN(len(idle))
		r.flow = idle[i]
		s.idle[r.zone] = slices.Delete(idle, i, i+1)
		if s.now-r.flow.openedAt > simFlowLife || r.flow.server.isRetired {
			s.close(r.flow)
			r.flow = nil
		}
	}
	if r.flow == nil {
		r.flow = s.open(r.zone)
	}
	if r.flow == nil {
		s.retry(200*time.Millisecond, r)
		return
	}
	s.send(r)
}

func (s *sim) retry(after time.Duration, r *simRequest) {
	s.after(after, func() {
		if r.took == 0 && r.tries < simAttempts {
			s.try(r)
		}
	})
}

// open places a new flow through a balancer of the zone. It returns nil if the SYN is
// dropped or refused.
func (s *sim) open(zone int) *simFlow {
	s.flowCount++
	b := s.balancers[zone+s.zones*s.random.IntN(s.simOptions.balancers/s.zones)]
	f := &simFlow{n: s.flowCount, zone: zone, openedAt: s.now}
	first := f.segment(SYN, 0)
	var seed uint64
	if s.isRandom {
		candidates := b.Table().placementCandidates(first.Tuple.ID().Key, testService)
		seed = candidates[s.random.IntN(len(candidates))].peer.Seed
	} else {
		seed = b.Steer(s.now, first).To.Seed
	}
	i := slices.IndexFunc(s.servers, func(server *simServer) bool { return server.seed == seed })
	if i < 0 {
		return nil
	}
	f.server = s.servers[i]
	info := forwardInfo(5)
	info.Incarnation = f.server.entry.Incarnation
	if f.server.agent.Receive(s.now, first, info).Refusal != RefusalNone {
		return nil
	}
	f.server.agent.ObserveReply(s.now, f.segment(SYN|ACK, 0))
	b.ReportLoad(s.now, testService, seed, f.server.agent.Load())
	b.ConfirmOwner(s.now, first.Tuple.ID(), testService, seed)
	return f
}

func (f *simFlow) segment(flags Flags, length int) *Segment {
	s := &Segment{Tuple: tuple(1), Flags: flags, Length: length, Seq: 1 + f.sent*uint32(length)}
	s.Tuple.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(f.n >> 16), byte(f.n >> 8)}), uint16(1024+f.n&0xff))
	return s
}

func (s *sim) close(f *simFlow) { f.server.agent.ObserveReply(s.now, f.segment(RST, 0)) }

func (s *sim) send(r *simRequest) {
	server := r.flow.server
	r.flow.sent++
	server.agent.Receive(s.now, r.flow.segment(ACK, 100), forwardInfo(5))
	switch {
	case server.inSystem >= simSlots+simQueue: // rejected at once
		server.agent.ObserveReply(s.now, r.flow.segment(ACK, 100))
		s.close(r.flow)
		s.retry(10*time.Millisecond, r)
		return
	case s.mute != nil && s.random.Float64() < s.mute(s.now, server.position):
		server.mutedAt = s.now
		return
	}
	server.inSystem++
	i := slices.Index(server.freeAt[:], slices.Min(server.freeAt[:]))
	took := time.Duration(s.random.ExpFloat64() * float64(s.work(s.now, server.position)))
	server.freeAt[i] = max(server.freeAt[i], s.now) + took
	server.busy = append(server.busy, took)
	s.after(server.freeAt[i]-s.now, func() { s.finish(r, server) })
}

func (s *sim) finish(r *simRequest, server *simServer) {
	server.inSystem--
	if r.took > 0 {
		return
	}
	r.took = max(s.now-r.at, 1)
	server.agent.ObserveReply(s.now, r.flow.segment(ACK, 500))
	s.idle[r.zone] = append(s.idle[r.zone], r.flow)
}

// giveUp ends a request at its deadline; its caller closes the flow.
func (s *sim) giveUp(r *simRequest) {
	if r.took > 0 {
		return
	}
	r.took, r.isLost = simDeadline, true
	if r.flow != nil {
		r.flow.server.agent.Receive(s.now, r.flow.segment(RST, 0), forwardInfo(5))
		s.close(r.flow)
	}
}
