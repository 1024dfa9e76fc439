package gateway

import (
	"context"
	"expvar"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/admission"
	"fulmarmount.org/core/attempt"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// Options configure a Gateway.
type Options struct {
	// Name is the VM's name.
	Name string
	// Zone is the availability zone.
	Zone string
	// Run numbers this run; it must be greater than any earlier run's.
	Run uint64
	// Slots is the number of requests in flight; zero stands for 256.
	Slots int
	// Pool reaches the agents.
	Pool *peer.Pool
	// Random returns random numbers for the choice of backend servers.
	Random func() uint64
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

// The timing of a gateway.
const (
	silence      = 2 * time.Second
	stall        = 3 * time.Second
	answerLimit  = time.Second
	maxSends     = 3
	retryBurst   = 20
	defaultSlots = 256
	gatewayQueue = 256 // requests of a class that may wait at a gateway
	// linkCost is what leaving the zone adds to a request.
	linkCost       = 6 * time.Millisecond
	reportHalfLife = time.Second
	ejectAfter     = 5
	ejectFor       = 2 * time.Second
	slowStart      = 10 * time.Second
	probeTimeout   = time.Second
)

// The limits of connections of callers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10 // bytes
)

// Server returns an HTTP server for callers, with a handler made of Handler.
func (g *Gateway) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          zap.NewStdLog(g.o.Log),
	}
}

// Service is a service in request mode as a gateway is told of it.
type Service struct {
	ID     view.ServiceID
	Name   string
	Policy Policy
}

// Gateway serves callers of services in request mode.
type Gateway struct {
	o        Options
	sequence atomic.Uint64
	stats    stats

	randomMu sync.Mutex

	mu       sync.RWMutex
	gate     *gate
	services map[view.ServiceID]*service

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// stats counts the requests of a gateway.
type stats struct {
	requests, answered, notRun, unknown, aborted, retries expvar.Int
}

// Counters are the counts of requests by how they ended.
type Counters struct {
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	// Aborted answers broke off after they had begun.
	Aborted int64 `json:"aborted"`
	// Retries are sends after the first.
	Retries int64 `json:"retries"`
}

// service is the state of one service. Its lock covers the pure parts.
type service struct {
	Service
	// firstClass is the index of the service's first class in the gate.
	firstClass int

	mu     sync.Mutex
	view   *view.View
	hosts  *admission.Pool
	budget *attempt.Budget
}

// New returns a gateway without services.
func New(o Options) *Gateway {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{o: o, services: make(map[view.ServiceID]*service), cancel: cancel}
	g.gate = newGate(o.Now, o.Slots, nil)
	g.tasks.Go(func() { g.tick(ctx) })
	return g
}

// Close ends what runs in the background.
func (g *Gateway) Close() {
	g.cancel()
	g.tasks.Wait()
}

// Counters returns the counts so far.
func (g *Gateway) Counters() Counters {
	return Counters{
		Requests: g.stats.requests.Value(),
		Answered: g.stats.answered.Value(),
		NotRun:   g.stats.notRun.Value(),
		Unknown:  g.stats.unknown.Value(),
		Aborted:  g.stats.aborted.Value(),
		Retries:  g.stats.retries.Value(),
	}
}

// SetServices replaces the services. What is known of those that stay is kept;
// requests in flight keep the slots that they have.
func (g *Gateway) SetServices(services []Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[view.ServiceID]*service, len(services))
	var classes []admission.Class
	parts := shares(services)
	for i, s := range services {
		state := &service{Service: s, firstClass: len(classes)}
		if old := g.services[s.ID]; old != nil {
			old.mu.Lock()
			state.view, state.hosts, state.budget = old.view, old.hosts, old.budget
			old.mu.Unlock()
		} else {
			state.hosts = g.newHosts(s.Policy)
			state.budget = attempt.NewBudget(s.Policy.RetryRatio, retryBurst)
		}
		classes = append(classes, s.Policy.admissionClasses(parts[i], s.Name+"/", gatewayQueue)...)
		next[s.ID] = state
	}
	g.services = next
	g.gate = newGate(g.o.Now, g.o.Slots, classes)
}

func (g *Gateway) newHosts(p Policy) *admission.Pool {
	return admission.NewPool(admission.PoolOptions{
		Zone:               g.o.Zone,
		CrossZoneCost:      linkCost,
		ReportHalfLife:     reportHalfLife,
		EjectAfterFailures: ejectAfter,
		BaseEjectionTime:   ejectFor,
		MaxEjectedFraction: p.MaxEjected,
		SlowStartDuration:  slowStart,
	})
}

// SetView adopts a view of a service.
func (g *Gateway) SetView(v *view.View) {
	s := g.service(v.Service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != nil && !v.Version.Newer(s.view.Version) {
		return
	}
	s.view = v
	hosts := make([]admission.BackendServer, 0, len(v.Members))
	for i := range v.Members {
		m := &v.Members[i]
		weight := 0.0
		if m.AcceptsNewFlows() {
			weight = float64(m.Weight) / view.FullWeight
		}
		hosts = append(hosts, admission.BackendServer{ID: m.ID, Zone: m.Zone, Slots: max(1, int(m.Slots)), Weight: weight})
	}
	s.hosts.SetBackendServers(hosts)
}

func (g *Gateway) service(id view.ServiceID) *service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.services[id]
}

func (g *Gateway) currentGate() *gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.gate
}

func (g *Gateway) random() uint64 {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return g.o.Random()
}

// tick sheds what waited too long and probes ejected hosts.
func (g *Gateway) tick(ctx context.Context) {
	pace.Every(ctx, tickInterval, func() {
		g.currentGate().tick()
		g.mu.RLock()
		for _, s := range g.services {
			g.probe(ctx, s)
		}
		g.mu.RUnlock()
	})
}

func (g *Gateway) probe(ctx context.Context, s *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, due := s.hosts.NextProbe(g.o.Now())
	if !due {
		return
	}
	addr := s.address(id)
	g.tasks.Go(func() {
		reply, err := call[probeReply](ctx, g.o.Pool, addr, KindProbe, probeRequest{}, probeTimeout)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.hosts.ProbeDone(g.o.Now(), id, err == nil && reply.Healthy)
	})
}

// address returns where an agent takes requests, or the zero value. The caller
// holds the lock.
func (s *service) address(id string) netip.AddrPort {
	if s.view == nil {
		return netip.AddrPort{}
	}
	if i := s.view.IndexOf(id); i >= 0 {
		return s.view.Members[i].Requests
	}
	return netip.AddrPort{}
}

// reach returns the address of a target.
func (s *service) reach(t attempt.Target) netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address(t.Server)
}

// route picks a backend server that is not in exclude.
func (s *service) route(now time.Time, random uint64, exclude []string) (attempt.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return attempt.Target{}, false
	}
	id, ok := s.hosts.Pick(now, random, exclude)
	if !ok {
		return attempt.Target{}, false
	}
	return attempt.Target{Server: id, Incarnation: s.view.Members[s.view.IndexOf(id)].Incarnation}, true
}

// home returns the agent that decides on a key.
func (s *service) home(key string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return netip.AddrPort{}, false
	}
	home, ok := attempt.Primary(key, s.view)
	return s.address(home.Server), ok
}

func (s *service) done(now time.Time, id string, end admission.Outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.Done(now, id, end, latency)
}

func (s *service) report(now time.Time, id string, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.ReportLoad(now, id, load)
}

// Withdraw takes a token of the service's retry budget.
func (s *service) Withdraw() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Withdraw()
}

func (s *service) deposit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Deposit()
}
