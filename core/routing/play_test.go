package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"fulmarmount.org/core/view"
)

// The plays simulate a service in four availability zones: its callers, balancers, agents
// and backend servers, and the time that messages and views take between them.
const (
	playBalancers  = 8
	playZones      = 4
	playPerZone    = 6 // backend servers
	playSlots      = 3
	playWarmTime   = 40 * time.Millisecond // service time
	playColdTime   = 150 * time.Millisecond
	playColdFor    = 4 * time.Second
	playColdLimit  = 35 // new flows a second of a cold backend server
	playHop        = 4 * time.Millisecond
	playTick       = 100 * time.Millisecond // of agents
	playTickReport = 10                     // most reports of one tick
	playViewDelay  = 300 * time.Millisecond // the most that a view or an order takes
	playObjective  = 300 * time.Millisecond
	playTimeout    = 2500 * time.Millisecond
	playAttempts   = 3
	playRetryDelay = 6 * time.Millisecond
	// playCapacity is the number of requests a second that all warm backend servers bear.
	playCapacity = playZones * playPerZone * playSlots * int(time.Second/playWarmTime)
)

// playEvents are ordered by time, and by their numbers at the same time.
type playEvents []playEvent

type playEvent struct {
	at     time.Duration
	number int
	do     func()
}

func (e playEvents) Len() int      { return len(e) }
func (e playEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e playEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e *playEvents) Push(x any) { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type play struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	events    playEvents
	scheduled int
	balancers []*Balancer
	servers   []*playServer
	callers   []*playCaller
	views     uint64
	attempts  int
	evacuated map[string]bool
	// coldRefusals and zoneRefusals count the SYNs that agents have returned.
	coldRefusals, zoneRefusals int
	coldTime                   time.Duration // service time of a cold backend server
}

type playServer struct {
	listed     view.BackendServer
	agent      *Agent
	slotFreeAt []time.Duration
	coldUntil  time.Duration
	openedAt   []time.Duration // new flows while it was cold
	reportedAt []time.Duration // to each balancer
	reported   []Load
}

type playCaller struct {
	startedAt time.Duration
	balancer  int
	attempt   int // number of the flow of the latest attempt
	attempts  int
	isOpen    bool
	// answeredAt is 0 until the caller is answered; refusals counts its resets.
	answeredAt time.Duration
	refusals   int
}

func newPlay(t *testing.T, seed uint64) *play {
	t.Helper()
	p := &play{t: t, random: rand.New(rand.NewPCG(seed, 11)), evacuated: make(map[string]bool), coldTime: playColdTime}
	for n := range playZones * playPerZone {
		s := server(n + 1)
		s.Zone, s.Slots = zones[n/playPerZone], playSlots
		p.servers = append(p.servers, &playServer{listed: s})
		p.startServer(p.servers[n], 0)
	}
	for n := range playBalancers {
		b := NewBalancer(zones[n%playZones])
		b.SetTable(b.Table().WithRoutes(Routes{address: {Services: []WeightedService{{Service: testService, Weight: 1}}}}))
		b.ConfirmConfig()
		p.balancers = append(p.balancers, b)
	}
	p.install(p.nextView())
	for n := range p.servers {
		p.at(time.Duration(n)*playTick/time.Duration(len(p.servers)), func() { p.tick(p.servers[n]) })
	}
	return p
}

// startServer starts an incarnation of a backend server that is cold for a time.
func (p *play) startServer(s *playServer, cold time.Duration) {
	s.listed.Incarnation++
	s.agent = newAgent(BackendServing, true)
	s.agent.StartIncarnation(s.listed.Incarnation, 0)
	s.agent.lastTick = p.now
	s.agent.SetColdLimit(playColdLimit)
	s.agent.SetWarmup(p.now, cold)
	s.agent.SetZoneEvacuated(p.evacuated[s.listed.Zone])
	s.slotFreeAt, s.coldUntil = make([]time.Duration, playSlots), p.now+cold
	s.reportedAt, s.reported = make([]time.Duration, playBalancers), make([]Load, playBalancers)
}

func (p *play) at(at time.Duration, do func()) {
	p.scheduled++
	heap.Push(&p.events, playEvent{max(at, p.now), p.scheduled, do})
}

func (p *play) after(d time.Duration, do func()) { p.at(p.now+d, do) }

func (p *play) run(until time.Duration) {
	for len(p.events) > 0 && p.events[0].at <= until {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.do()
	}
	p.now = until
}

// addCallers adds callers at a rate, from one time to another.
func (p *play) addCallers(perSecond int, from, to time.Duration) {
	for n := range int(to-from) * perSecond / int(time.Second) {
		at := from + time.Duration(p.random.Int64N(int64(to-from)))
		c := &playCaller{startedAt: at, balancer: n % playBalancers}
		p.callers = append(p.callers, c)
		p.at(at, func() { p.startAttempt(c) })
	}
}

// nextView returns the next view of the service.
func (p *play) nextView() *view.View {
	p.views++
	members := make([]view.BackendServer, len(p.servers))
	for i, s := range p.servers {
		members[i] = s.listed
		if p.evacuated[s.listed.Zone] {
			members[i].State, members[i].Weight = view.Draining, 0
		}
	}
	return view.New(testService, view.Version{Epoch: 1, Number: p.views}, members)
}

// install lets every balancer have a view at once.
func (p *play) install(v *view.View) {
	for _, b := range p.balancers {
		b.SetTable(b.Table().WithView(p.now, v))
	}
}

// publish lets every balancer have the next view within playViewDelay.
func (p *play) publish() {
	v := p.nextView()
	for _, b := range p.balancers {
		p.after(p.viewDelay(), func() { b.SetTable(b.Table().WithView(p.now, v)) })
	}
}

func (p *play) viewDelay() time.Duration { return time.Duration(p.random.Int64N(int64(playViewDelay))) }

// order evacuates a zone or takes it back.
func (p *play) order(zone string, evacuated bool) {
	p.evacuated[zone] = evacuated
	p.publish()
	for _, s := range p.servers {
		if s.listed.Zone == zone {
			p.after(p.viewDelay(), func() { s.agent.SetZoneEvacuated(evacuated) })
		}
	}
}

// tick reports a server's load as the agent role does: at most to playTickReport
// balancers, the one with the oldest report first.
func (p *play) tick(s *playServer) {
	s.agent.SetState(BackendServing)
	s.agent.Tick(p.now)
	order := make([]int, playBalancers)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(s.reportedAt[a] - s.reportedAt[b]) })
	load, sent := s.agent.Load(), 0
	for _, i := range order {
		if sent < playTickReport && (s.reported[i] != load || p.now-s.reportedAt[i] >= time.Second) {
			s.reportedAt[i], s.reported[i] = p.now, load
			p.reportTo(i, s)
			sent++
		}
	}
	p.after(playTick, func() { p.tick(s) })
}

// reportTo sends a server's load to a balancer.
func (p *play) reportTo(balancer int, s *playServer) {
	load := s.agent.Load()
	p.after(playHop, func() { p.balancers[balancer].ReportLoad(p.now, testService, view.SeedOf(s.listed.ID), load) })
}

func (p *play) startAttempt(c *playCaller) {
	if c.answeredAt > 0 || c.attempts == playAttempts || p.now-c.startedAt >= playTimeout {
		return
	}
	p.attempts++
	c.attempts++
	c.attempt, c.isOpen = p.attempts, false
	attempt := p.attempts
	for copyNumber, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		p.after(delay, func() {
			if c.attempt != attempt || c.isOpen {
				return
			}
			s := syn(attempt)
			s.Retransmits = uint32(copyNumber)
			p.act(c, s, p.balancers[c.balancer].Steer(p.now, s))
		})
	}
	p.after(1400*time.Millisecond, func() {
		if c.attempt == attempt && !c.isOpen {
			p.startAttempt(c)
		}
	})
}

// act carries out a balancer's decision about a SYN.
func (p *play) act(c *playCaller, s *Segment, d Decision) {
	attempt := c.attempt
	switch d.Verdict {
	case Forward:
		p.after(playHop, func() { p.receive(c, s, d) })
	case Reset:
		p.after(playHop+playRetryDelay, func() {
			if c.attempt == attempt && !c.isOpen {
				c.refusals++
				p.startAttempt(c)
			}
		})
	}
}

func (p *play) server(seed uint64) *playServer {
	i := slices.IndexFunc(p.servers, func(s *playServer) bool { return view.SeedOf(s.listed.ID) == seed })
	return p.servers[i]
}

var playBalancerAddr = netip.MustParseAddrPort("10.0.1.1:7000")

// receive passes a SYN to the agent of a server.
func (p *play) receive(c *playCaller, syn *Segment, d Decision) {
	s := p.server(d.To.Seed)
	isNew := s.agent.flows[syn.Tuple.ID()] == nil
	info := ForwardInfo{Service: testService, ConfigVersion: view.Version{Epoch: 1, Number: 5}, Incarnation: d.To.Incarnation, Balancer: playBalancerAddr}
	if refusal := s.agent.Receive(p.now, syn, info).Refusal; refusal != RefusalNone {
		p.returnSYN(c, s, syn, d, refusal)
		return
	}
	if p.now < s.coldUntil && isNew {
		s.openedAt = append(s.openedAt, p.now)
	}
	s.agent.ObserveReply(p.now, &Segment{Tuple: syn.Tuple, Flags: SYN | ACK})
	load, id := s.agent.Load(), syn.Tuple.ID()
	p.after(playHop, func() {
		p.balancers[c.balancer].ReportLoad(p.now, testService, d.To.Seed, load)
		p.balancers[c.balancer].ConfirmOwner(p.now, id, testService, d.To.Seed)
		if syn.Tuple == tuple(c.attempt) && !c.isOpen {
			c.isOpen = true
			p.after(2*playHop, func() { p.serve(c, s, syn) })
		}
	})
}

func (p *play) returnSYN(c *playCaller, s *playServer, syn *Segment, d Decision, refusal Refusal) {
	switch refusal {
	case RefusalColdLimit:
		p.coldRefusals++
		p.reportTo(c.balancer, s)
	case RefusalZoneEvacuated:
		p.zoneRefusals++
	}
	p.after(playHop, func() {
		r := ReturnInfo{Service: testService, Seed: d.To.Seed, Hops: d.Hops}
		next := p.balancers[c.balancer].HandleReturn(p.now, syn, r)
		if syn.Tuple == tuple(c.attempt) {
			p.act(c, syn, next)
		}
	})
}

// serve runs the request of an open flow.
func (p *play) serve(c *playCaller, s *playServer, syn *Segment) {
	agent := s.agent
	agent.Receive(p.now, &Segment{Tuple: syn.Tuple, Flags: ACK, Seq: 1, Length: 100}, ForwardInfo{Service: testService, OwnerKnown: true})
	slot := slices.Index(s.slotFreeAt, slices.Min(s.slotFreeAt))
	start := max(s.slotFreeAt[slot], p.now)
	end := start + playWarmTime
	if start < s.coldUntil {
		end = start + p.coldTime
	}
	s.slotFreeAt[slot] = end
	p.at(end, func() {
		agent.ObserveReply(p.now, &Segment{Tuple: syn.Tuple, Flags: ACK | FIN, Length: 100})
		agent.Receive(p.now, &Segment{Tuple: syn.Tuple, Flags: ACK | FIN}, ForwardInfo{Service: testService, OwnerKnown: true})
	})
	p.at(end+2*playHop, func() { c.answeredAt = p.now })
}

// playResult is what the callers of a stretch of time got.
type playResult struct {
	callers, inTime, late, unanswered, refused int
	p99                                        time.Duration
}

func (r playResult) String() string {
	return fmt.Sprintf("%d callers: %.1f%% within the objective, %d late, %d not answered, %d reset; p99 %s",
		r.callers, 100*r.share(), r.late, r.unanswered, r.refused, r.p99.Round(time.Millisecond))
}

// share returns the share of callers that were answered within the objective.
func (r playResult) share() float64 { return float64(r.inTime) / float64(max(r.callers, 1)) }

func (p *play) result(from, to time.Duration) playResult {
	var r playResult
	var latencies []time.Duration
	for _, c := range p.callers {
		if c.startedAt < from || c.startedAt >= to {
			continue
		}
		r.callers++
		if c.refusals > 0 {
			r.refused++
		}
		latency := c.answeredAt - c.startedAt
		switch {
		case c.answeredAt == 0 || latency > playTimeout:
			r.unanswered++
			continue
		case latency > playObjective:
			r.late++
		default:
			r.inTime++
		}
		latencies = append(latencies, latency)
	}
	slices.Sort(latencies)
	if len(latencies) > 0 {
		r.p99 = latencies[len(latencies)*99/100]
	}
	return r
}

// checkColdLimit fails the test if a cold backend server took more new flows than its
// limit in any sliding second.
func (p *play) checkColdLimit() {
	p.t.Helper()
	for _, s := range p.servers {
		for i := playColdLimit; i < len(s.openedAt); i++ {
			if s.openedAt[i]-s.openedAt[i-playColdLimit] <= time.Second {
				p.t.Fatalf("%s took more than its limit in the second before %s", s.listed.ID, s.openedAt[i])
			}
		}
	}
}
