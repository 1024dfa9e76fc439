package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarmount.org/core/attempt"
)

// floodClass is one class of requests of a deployment.
type floodClass struct {
	name        string
	service     int
	share       int
	meanService time.Duration // mean time in a slot, exponentially distributed
}

// deployment has the sizes of one of the two users' deployments.
type deployment struct {
	name         string
	zones        int
	serverCounts []int // per service
	classes      []floodClass
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
	serverSlots     = 4
	gateways        = 3
	gatewaySlots    = 128
	processingTime  = 5 * time.Microsecond   // per request at a gateway's processor
	callerLinkDelay = 3 * time.Millisecond   // one way, between caller and gateway
	sameZoneDelay   = 500 * time.Microsecond // one way, between gateway and backend server
	crossZoneDelay  = 3500 * time.Microsecond
	floodDeadline   = 2 * time.Second
	normalLoad      = 0.5 // fraction of a class's share of the slots
	floodWarmUp     = time.Second
	retryRatio      = 0.1
	naiveRetries    = 3
	naiveTimeout    = time.Second
)

type floodEventKind uint8

const (
	evGatewayArrival floodEventKind = iota
	evProcessed                     // by the gateway's processor
	evServerArrival
	evServed // the request releases its slot
	evResponse
	evRejected
	evTimeout
)

type floodEvent struct {
	at   time.Duration
	kind floodEventKind
	req  int32
	try  int32
}

// floodHeap is a binary heap; it avoids the interface calls of container/heap.
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
	class, gateway      int32
	createdAt           time.Duration
	tries               int32
	server              int32
	sentAt, serviceTime time.Duration
	triedServers        []string
	done                bool
}

type floodServer struct {
	id, zone string
	limiter  *Limiter
	busy     int // busy slots, in the naive version
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
	offered, completed int
	// firstSends and sends count the whole run, not only the measured span.
	firstSends, sends int
	// slotTime is the slot time of the responses that arrived by their
	// deadline.
	slotTime  time.Duration
	latencies []time.Duration
}

func (c *classResult) goodput() float64 { return float64(c.completed) / float64(c.offered) }

func (c *classResult) p99() time.Duration {
	if len(c.latencies) == 0 {
		return 0
	}
	slices.Sort(c.latencies)
	return c.latencies[len(c.latencies)*99/100]
}

// floodRun simulates callers, gateways, links and backend servers in virtual
// time.
type floodRun struct {
	d        deployment
	naive    bool // without admission control
	rng      *rand.Rand
	now      time.Duration
	events   floodHeap
	requests []floodRequest
	servers  [][]floodServer
	gateways []floodGateway
	// span is the measured time after the warm-up.
	span time.Duration
	// normalRates are the request rates during the warm-up, rates those after
	// it, in requests per second.
	normalRates, rates []float64
	results            []classResult
}

func timeAt(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// runFlood simulates d with one class flooded at factor times the capacity of
// its whole service; with factor 0 all classes run at normal load.
func runFlood(d deployment, flooded int, factor float64, span time.Duration, naive bool) []classResult {
	f := &floodRun{d: d, span: span, naive: naive, rng: rand.New(rand.NewPCG(1, 2)), results: make([]classResult, len(d.classes))}
	f.build()
	for i, c := range d.classes {
		capacity := float64(d.serverCounts[c.service]*serverSlots) / c.meanService.Seconds()
		normal := normalLoad * capacity * float64(c.share) / float64(f.shares(c.service))
		rate := normal
		if i == flooded && factor > 0 {
			rate = factor * capacity
		}
		f.normalRates = append(f.normalRates, normal)
		f.rates = append(f.rates, rate)
		f.scheduleArrival(i)
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
	var gatewayClasses []Class
	for _, c := range f.d.classes {
		gatewayClasses = append(gatewayClasses, Class{Name: c.name, Share: c.share, MaxWait: 100 * time.Millisecond, MaxQueue: 64})
	}
	members := make([][]BackendServer, len(f.d.serverCounts))
	for s, n := range f.d.serverCounts {
		serverClasses := slices.Clone(gatewayClasses)
		for i := range serverClasses {
			if f.d.classes[i].service != s {
				serverClasses[i].Share = 0 // no request of the class arrives at this server
			}
			serverClasses[i].MaxQueue = 16
		}
		var servers []floodServer
		for i := range n {
			servers = append(servers, floodServer{id: fmt.Sprint(i), zone: zone(i), limiter: NewLimiter(serverSlots, serverClasses)})
			members[s] = append(members[s], BackendServer{ID: fmt.Sprint(i), Zone: zone(i), Slots: serverSlots, Weight: 1})
		}
		f.servers = append(f.servers, servers)
	}
	for g := range gateways {
		gw := floodGateway{zone: zone(g), scheduler: NewScheduler[int32](4096, 1), limiter: NewLimiter(gatewaySlots, gatewayClasses)}
		for s := range f.d.serverCounts {
			p := NewPool(PoolOptions{Zone: zone(g), CrossZoneCost: 2 * (crossZoneDelay - sameZoneDelay), ReportHalfLife: time.Second, EjectAfterFailures: 5, BaseEjectionTime: time.Second, MaxEjectedFraction: 0.5})
			p.SetBackendServers(members[s])
			gw.pools = append(gw.pools, p)
			gw.budgets = append(gw.budgets, attempt.NewBudget(retryRatio, 10))
		}
		f.gateways = append(f.gateways, gw)
	}
}

func (f *floodRun) schedule(d time.Duration, kind floodEventKind, req int32) {
	f.events.push(floodEvent{at: f.now + d, kind: kind, req: req, try: f.requests[req].tries})
}

// scheduleArrival schedules the next request of a class.
func (f *floodRun) scheduleArrival(class int) {
	rate := f.rates[class]
	if f.now < floodWarmUp {
		rate = f.normalRates[class]
	}
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	f.requests = append(f.requests, floodRequest{
		class: int32(class), gateway: int32(f.rng.IntN(gateways)), createdAt: f.now + gap - callerLinkDelay,
	})
	f.schedule(gap, evGatewayArrival, int32(len(f.requests)-1))
}

func (f *floodRun) isMeasured(r *floodRequest) bool {
	return r.createdAt >= floodWarmUp && r.createdAt < floodWarmUp+f.span
}

func (f *floodRun) handle(e floodEvent) {
	r := &f.requests[e.req]
	switch e.kind {
	case evGatewayArrival:
		if f.isMeasured(r) {
			f.results[r.class].offered++
		}
		class := int(r.class)
		if r.createdAt < floodWarmUp+f.span {
			f.scheduleArrival(class)
		}
		f.enqueue(e.req)
	case evProcessed:
		f.gateways[r.gateway].busy = false
		f.admit(e.req)
		f.process(int(r.gateway))
	case evServerArrival:
		f.handleServerArrival(e)
	case evServed:
		f.handleServed(e)
	case evResponse:
		f.handleResponse(e)
	case evRejected:
		f.handleRejection(e.req)
	case evTimeout:
		if !r.done && r.tries == e.try && r.tries <= naiveRetries {
			f.send(e.req)
		}
	}
}

// enqueue adds a request to the queue of its gateway's processor.
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
	f.schedule(processingTime, evProcessed, req)
}

func (f *floodRun) admit(req int32) {
	r := &f.requests[req]
	if f.naive {
		f.send(req)
		return
	}
	g := &f.gateways[r.gateway]
	f.startAdmitted(g.limiter.Acquire(timeAt(f.now), Request{
		ID: uint64(req), Class: int(r.class), Deadline: timeAt(r.createdAt + floodDeadline),
	}), f.sendFirst)
}

// startAdmitted calls start for the admitted requests.
func (f *floodRun) startAdmitted(ds []Decision, start func(int32)) {
	for _, d := range slices.Clone(ds) {
		if d.Verdict == Admit {
			start(int32(d.ID))
		}
	}
}

func (f *floodRun) sendFirst(req int32) {
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
		f.results[r.class].firstSends++
	}
	if f.naive {
		r.server = int32(f.rng.IntN(len(f.servers[service])))
		f.schedule(naiveTimeout, evTimeout, req)
	} else {
		id, ok := g.pools[service].Pick(timeAt(f.now), f.rng.Uint64(), r.triedServers)
		if !ok {
			f.releaseGatewaySlot(req)
			return
		}
		r.server = int32(id[0] - '0')
		r.triedServers = append(r.triedServers, id)
	}
	r.sentAt = f.now
	f.schedule(f.linkDelay(r), evServerArrival, req)
}

func (f *floodRun) server(r *floodRequest) *floodServer {
	return &f.servers[f.d.classes[r.class].service][r.server]
}

func (f *floodRun) linkDelay(r *floodRequest) time.Duration {
	if f.server(r).zone == f.gateways[r.gateway].zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

func (f *floodRun) handleServerArrival(e floodEvent) {
	r := &f.requests[e.req]
	server := f.server(r)
	if f.naive {
		server.queue = append(server.queue, e)
		f.serveNaive(server)
		return
	}
	ds := server.limiter.Acquire(timeAt(f.now), Request{
		ID: uint64(e.req), Class: int(r.class), Deadline: timeAt(r.createdAt + floodDeadline - callerLinkDelay - f.linkDelay(r)),
	})
	f.applyServerDecisions(ds)
}

// applyServerDecisions applies the decisions of a backend server's limiter.
func (f *floodRun) applyServerDecisions(ds []Decision) {
	for _, d := range ds {
		req := int32(d.ID)
		switch d.Verdict {
		case Admit:
			f.schedule(f.drawServiceTime(req), evServed, req)
		case Shed:
			f.schedule(f.linkDelay(&f.requests[req]), evRejected, req)
		case Queue:
		}
	}
}

func (f *floodRun) drawServiceTime(req int32) time.Duration {
	mean := f.d.classes[f.requests[req].class].meanService
	held := time.Duration(f.rng.ExpFloat64() * float64(mean))
	f.requests[req].serviceTime = held
	return held
}

func (f *floodRun) serveNaive(server *floodServer) {
	for server.busy < serverSlots && len(server.queue) > 0 {
		e := server.queue[0]
		server.queue = server.queue[1:]
		server.busy++
		f.events.push(floodEvent{at: f.now + f.drawServiceTime(e.req), kind: evServed, req: e.req, try: e.try})
	}
}

func (f *floodRun) handleServed(e floodEvent) {
	r := &f.requests[e.req]
	server := f.server(r)
	if f.naive {
		server.busy--
		f.serveNaive(server)
	} else {
		f.applyServerDecisions(server.limiter.Release(timeAt(f.now), uint64(e.req)))
	}
	f.events.push(floodEvent{at: f.now + f.linkDelay(r), kind: evResponse, req: e.req, try: e.try})
}

func (f *floodRun) handleResponse(e floodEvent) {
	r := &f.requests[e.req]
	latency := f.now + callerLinkDelay - r.createdAt
	c := &f.results[r.class]
	inTime := !r.done && latency <= floodDeadline
	if inTime && f.now >= floodWarmUp && f.now < floodWarmUp+f.span {
		c.slotTime += r.serviceTime
	}
	if inTime && f.isMeasured(r) {
		c.completed++
		c.latencies = append(c.latencies, latency)
	}
	if !f.naive {
		f.pool(r).Done(timeAt(f.now), f.server(r).id, Completed, f.now-r.sentAt)
		f.releaseGatewaySlot(e.req)
	}
	r.done = true
}

func (f *floodRun) pool(r *floodRequest) *Pool {
	return f.gateways[r.gateway].pools[f.d.classes[r.class].service]
}

func (f *floodRun) handleRejection(req int32) {
	r := &f.requests[req]
	g := &f.gateways[r.gateway]
	f.pool(r).Done(timeAt(f.now), f.server(r).id, Rejected, 0)
	if r.tries < 3 && f.now < r.createdAt+floodDeadline && g.budgets[f.d.classes[r.class].service].Withdraw() {
		f.send(req)
		return
	}
	f.releaseGatewaySlot(req)
}

// releaseGatewaySlot ends a request and frees its slot at the gateway.
func (f *floodRun) releaseGatewaySlot(req int32) {
	r := &f.requests[req]
	r.done = true
	f.startAdmitted(f.gateways[r.gateway].limiter.Release(timeAt(f.now), uint64(req)), f.sendFirst)
}
