package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarmount.org/core/attempt"
)

// floodClass is one kind of work of a deployment.
type floodClass struct {
	name    string
	service int
	share   int
	mean    time.Duration // mean time in a slot, exponentially distributed
}

// deployment has the sizes of one of the two users.
type deployment struct {
	name    string
	zones   int
	hosts   []int // per service
	classes []floodClass
}

var deployments = []deployment{
	{"registry", 4, []int{7, 4}, []floodClass{
		{"amendments", 0, 2, 20 * time.Millisecond},
		{"status", 0, 1, 10 * time.Millisecond},
		{"catalogue", 1, 1, 80 * time.Millisecond},
	}},
	{"prismas", 3, []int{7, 3}, []floodClass{
		{"pass records", 0, 1, 20 * time.Millisecond},
		{"telemetry", 0, 1, 10 * time.Millisecond},
		{"fringe images", 1, 1, 60 * time.Millisecond},
	}},
}

const (
	hostSlots     = 4
	gateways      = 3
	gatewaySlots  = 128
	handling      = 5 * time.Microsecond // of a gateway's processor per request
	clientLink    = 3 * time.Millisecond
	nearLink      = 500 * time.Microsecond
	farLink       = 3500 * time.Microsecond
	floodDeadline = 2 * time.Second
	normalLoad    = 0.5 // of a class's reserved slots
	floodWarmUp   = time.Second
	retryRatio    = 0.1
	naiveRetries  = 3
	naiveTimeout  = time.Second
)

type floodEventKind uint8

const (
	evArrive floodEventKind = iota // at the gateway
	evHandled
	evReachHost
	evServed
	evAnswer
	evRefused
	evTimeout
)

type floodEvent struct {
	at   time.Duration
	kind floodEventKind
	req  int32
	try  int32
}

// floodHeap is a binary heap without interfaces, for speed.
type floodHeap []floodEvent

func (h *floodHeap) push(e floodEvent) {
	*h = append(*h, e)
	q := *h
	for i := len(q) - 1; i > 0; {
		p := (i - 1) / 2
		if q[p].at <= q[i].at {
			return
		}
		q[p], q[i] = q[i], q[p]
		i = p
	}
}

func (h *floodHeap) pop() floodEvent {
	q := *h
	top, n := q[0], len(q)-1
	q[0] = q[n]
	*h = q[:n]
	for i := 0; 2*i+1 < n; {
		c := 2*i + 1
		if c+1 < n && q[c+1].at < q[c].at {
			c++
		}
		if q[i].at <= q[c].at {
			break
		}
		q[i], q[c] = q[c], q[i]
		i = c
	}
	return top
}

type floodRequest struct {
	class, gateway int32
	born           time.Duration
	tries          int32
	host           int32
	sent, held     time.Duration
	tried          []string
	done           bool
}

type floodHost struct {
	id, zone string
	limiter  *Limiter
	busy     int // of the naive host
	queue    []floodEvent
}

type floodGateway struct {
	zone      string
	scheduler *Scheduler[int32]
	fifo      []int32
	busy      bool
	limiter   *Limiter
	pools     []*Pool
	budgets   []*attempt.Budget
}

type classResult struct {
	offered, answered int
	// first and sends count the whole run, not its measured part.
	first, sends int
	// busy is the slot time of answers that came in time.
	busy      time.Duration
	latencies []time.Duration
}

func (c *classResult) goodput() float64 { return float64(c.answered) / float64(c.offered) }

func (c *classResult) p99() time.Duration {
	if len(c.latencies) == 0 {
		return 0
	}
	slices.Sort(c.latencies)
	return c.latencies[len(c.latencies)*99/100]
}

// floodRun is one run in virtual time: callers, gateways, links and hosts.
type floodRun struct {
	d        deployment
	naive    bool
	rng      *rand.Rand
	now      time.Duration
	events   floodHeap
	requests []floodRequest
	hosts    [][]floodHost
	gateways []floodGateway
	// span is the measured time after the warm-up.
	span time.Duration
	// calm are the rates of normal load, rates those from the end of the
	// warm-up on, in requests per second.
	calm, rates []float64
	results     []classResult
}

func epoch(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// floodOf runs d with class flooded at factor times the capacity of its whole
// service; factor 0 is normal load of all classes.
func floodOf(d deployment, flooded int, factor float64, span time.Duration, naive bool) []classResult {
	f := &floodRun{d: d, span: span, naive: naive, rng: rand.New(rand.NewPCG(1, 2)), results: make([]classResult, len(d.classes))}
	f.build()
	for i, c := range d.classes {
		capacity := float64(d.hosts[c.service]*hostSlots) / c.mean.Seconds()
		calm := normalLoad * capacity * float64(c.share) / float64(f.shares(c.service))
		rate := calm
		if i == flooded && factor > 0 {
			rate = factor * capacity
		}
		f.calm = append(f.calm, calm)
		f.rates = append(f.rates, rate)
		f.arrival(i)
	}
	for len(f.events) > 0 {
		e := f.events.pop()
		f.now = e.at
		if f.now > floodWarmUp+f.span+floodDeadline {
			break
		}
		f.handle(e)
	}
	return f.results
}

func (f *floodRun) shares(service int) int {
	n := 0
	for _, c := range f.d.classes {
		if c.service == service {
			n += c.share
		}
	}
	return n
}

func (f *floodRun) build() {
	zone := func(i int) string { return fmt.Sprint("z", i%f.d.zones) }
	var all []Class
	for _, c := range f.d.classes {
		all = append(all, Class{Name: c.name, Share: c.share, MaxWait: 100 * time.Millisecond, MaxQueue: 64})
	}
	members := make([][]BackendServer, len(f.d.hosts))
	for s, n := range f.d.hosts {
		own := slices.Clone(all)
		for i := range own {
			if f.d.classes[i].service != s {
				own[i].Share = 0
			}
			own[i].MaxQueue = 16
		}
		var hosts []floodHost
		for i := range n {
			hosts = append(hosts, floodHost{id: fmt.Sprint(i), zone: zone(i), limiter: NewLimiter(hostSlots, own)})
			members[s] = append(members[s], BackendServer{ID: fmt.Sprint(i), Zone: zone(i), Slots: hostSlots, Weight: 1})
		}
		f.hosts = append(f.hosts, hosts)
	}
	for g := range gateways {
		gw := floodGateway{zone: zone(g), scheduler: NewScheduler[int32](4096, 1), limiter: NewLimiter(gatewaySlots, all)}
		for s := range f.d.hosts {
			p := NewPool(PoolOptions{Zone: zone(g), CrossZoneCost: 2 * (farLink - nearLink), ReportHalfLife: time.Second, EjectAfterFailures: 5, BaseEjectionTime: time.Second, MaxEjectedFraction: 0.5})
			p.SetBackendServers(members[s])
			gw.pools = append(gw.pools, p)
			gw.budgets = append(gw.budgets, attempt.NewBudget(retryRatio, 10))
		}
		f.gateways = append(f.gateways, gw)
	}
}

func (f *floodRun) at(d time.Duration, kind floodEventKind, req int32) {
	f.events.push(floodEvent{at: f.now + d, kind: kind, req: req, try: f.requests[req].tries})
}

// arrival schedules the next request of a class.
func (f *floodRun) arrival(class int) {
	rate := f.rates[class]
	if f.now < floodWarmUp {
		rate = f.calm[class]
	}
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	f.requests = append(f.requests, floodRequest{
		class: int32(class), gateway: int32(f.rng.IntN(gateways)), born: f.now + gap - clientLink,
	})
	f.at(gap, evArrive, int32(len(f.requests)-1))
}

func (f *floodRun) measured(r *floodRequest) bool {
	return r.born >= floodWarmUp && r.born < floodWarmUp+f.span
}

func (f *floodRun) handle(e floodEvent) {
	r := &f.requests[e.req]
	switch e.kind {
	case evArrive:
		if f.measured(r) {
			f.results[r.class].offered++
		}
		class := int(r.class)
		if r.born < floodWarmUp+f.span {
			f.arrival(class)
		}
		f.enqueue(e.req)
	case evHandled:
		f.gateways[r.gateway].busy = false
		f.admit(e.req)
		f.process(int(r.gateway))
	case evReachHost:
		f.reachHost(e)
	case evServed:
		f.served(e)
	case evAnswer:
		f.answer(e)
	case evRefused:
		f.refused(e.req)
	case evTimeout:
		if !r.done && r.tries == e.try && r.tries <= naiveRetries {
			f.send(e.req)
		}
	}
}

// enqueue puts a request into the queue of its gateway's processor.
func (f *floodRun) enqueue(req int32) {
	r := &f.requests[req]
	g := &f.gateways[r.gateway]
	if f.naive {
		g.fifo = append(g.fifo, req)
	} else if !g.scheduler.Enqueue(uint32(r.class), 1, req) {
		r.done = true
		return
	}
	f.process(int(r.gateway))
}

func (f *floodRun) process(gateway int) {
	g := &f.gateways[gateway]
	if g.busy {
		return
	}
	var req int32
	if f.naive {
		if len(g.fifo) == 0 {
			return
		}
		req = g.fifo[0]
		g.fifo = g.fifo[1:]
	} else {
		var ok bool
		if req, _, ok = g.scheduler.Dequeue(); !ok {
			return
		}
	}
	g.busy = true
	f.at(handling, evHandled, req)
}

func (f *floodRun) admit(req int32) {
	r := &f.requests[req]
	if f.naive {
		f.send(req)
		return
	}
	g := &f.gateways[r.gateway]
	f.decide(g.limiter.Acquire(epoch(f.now), Request{
		ID: uint64(req), Class: int(r.class), Deadline: epoch(r.born + floodDeadline),
	}), f.first)
}

// decide acts on decisions: what starts goes on by start.
func (f *floodRun) decide(ds []Decision, start func(int32)) {
	for _, d := range slices.Clone(ds) {
		if d.Verdict == Admit {
			start(int32(d.ID))
		}
	}
}

func (f *floodRun) first(req int32) {
	r := &f.requests[req]
	f.gateways[r.gateway].budgets[f.d.classes[r.class].service].Deposit()
	f.send(req)
}

func (f *floodRun) send(req int32) {
	r := &f.requests[req]
	g := &f.gateways[r.gateway]
	service := f.d.classes[r.class].service
	r.tries++
	f.results[r.class].sends++
	if r.tries == 1 {
		f.results[r.class].first++
	}
	if f.naive {
		r.host = int32(f.rng.IntN(len(f.hosts[service])))
		f.at(naiveTimeout, evTimeout, req)
	} else {
		id, ok := g.pools[service].Pick(epoch(f.now), f.rng.Uint64(), r.tried)
		if !ok {
			f.leave(req)
			return
		}
		r.host = int32(id[0] - '0')
		r.tried = append(r.tried, id)
	}
	r.sent = f.now
	f.at(f.link(r), evReachHost, req)
}

func (f *floodRun) host(r *floodRequest) *floodHost {
	return &f.hosts[f.d.classes[r.class].service][r.host]
}

func (f *floodRun) link(r *floodRequest) time.Duration {
	if f.host(r).zone == f.gateways[r.gateway].zone {
		return nearLink
	}
	return farLink
}

func (f *floodRun) reachHost(e floodEvent) {
	r := &f.requests[e.req]
	h := f.host(r)
	if f.naive {
		h.queue = append(h.queue, e)
		f.serveNaive(h)
		return
	}
	ds := h.limiter.Acquire(epoch(f.now), Request{
		ID: uint64(e.req), Class: int(r.class), Deadline: epoch(r.born + floodDeadline - clientLink - f.link(r)),
	})
	f.atHost(ds)
}

// atHost acts on the decisions of a host's limiter.
func (f *floodRun) atHost(ds []Decision) {
	for _, d := range ds {
		req := int32(d.ID)
		switch d.Verdict {
		case Admit:
			f.at(f.serviceTime(req), evServed, req)
		case Shed:
			f.at(f.link(&f.requests[req]), evRefused, req)
		case Queue:
		}
	}
}

func (f *floodRun) serviceTime(req int32) time.Duration {
	mean := f.d.classes[f.requests[req].class].mean
	held := time.Duration(f.rng.ExpFloat64() * float64(mean))
	f.requests[req].held = held
	return held
}

func (f *floodRun) serveNaive(h *floodHost) {
	for h.busy < hostSlots && len(h.queue) > 0 {
		e := h.queue[0]
		h.queue = h.queue[1:]
		h.busy++
		f.events.push(floodEvent{at: f.now + f.serviceTime(e.req), kind: evServed, req: e.req, try: e.try})
	}
}

func (f *floodRun) served(e floodEvent) {
	r := &f.requests[e.req]
	h := f.host(r)
	if f.naive {
		h.busy--
		f.serveNaive(h)
	} else {
		f.atHost(h.limiter.Release(epoch(f.now), uint64(e.req)))
	}
	f.events.push(floodEvent{at: f.now + f.link(r), kind: evAnswer, req: e.req, try: e.try})
}

func (f *floodRun) answer(e floodEvent) {
	r := &f.requests[e.req]
	latency := f.now + clientLink - r.born
	c := &f.results[r.class]
	inTime := !r.done && latency <= floodDeadline
	if inTime && f.now >= floodWarmUp && f.now < floodWarmUp+f.span {
		c.busy += r.held
	}
	if inTime && f.measured(r) {
		c.answered++
		c.latencies = append(c.latencies, latency)
	}
	if !f.naive {
		f.pool(r).Done(epoch(f.now), f.host(r).id, Completed, f.now-r.sent)
		f.leave(e.req)
	}
	r.done = true
}

func (f *floodRun) pool(r *floodRequest) *Pool {
	return f.gateways[r.gateway].pools[f.d.classes[r.class].service]
}

func (f *floodRun) refused(req int32) {
	r := &f.requests[req]
	g := &f.gateways[r.gateway]
	f.pool(r).Done(epoch(f.now), f.host(r).id, Rejected, 0)
	if r.tries < 3 && f.now < r.born+floodDeadline && g.budgets[f.d.classes[r.class].service].Withdraw() {
		f.send(req)
		return
	}
	f.leave(req)
}

// leave frees the request's slot at its gateway.
func (f *floodRun) leave(req int32) {
	r := &f.requests[req]
	r.done = true
	f.decide(f.gateways[r.gateway].limiter.Release(epoch(f.now), uint64(req)), f.first)
}
