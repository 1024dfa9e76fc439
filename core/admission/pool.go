package admission

import (
	"math"
	"slices"
	"time"
)

// BackendServer is one backend server of a service, as listed by the view.
type BackendServer struct {
	ID string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Weight is its relative weight for new requests, from 0 to 1.
	Weight float64
}

// PoolOptions configure a Pool.
type PoolOptions struct {
	// Zone is the availability zone of this process.
	Zone string
	// CrossZoneCost is added to the expected time of a request to another
	// availability zone.
	CrossZoneCost time.Duration
	// ReportHalfLife is the half-life of the weight of a load report.
	ReportHalfLife time.Duration
	// EjectAfterFailures is the number of consecutive failures after which a
	// backend server is ejected.
	EjectAfterFailures int
	// BaseEjectionTime is the time until an ejected backend server is probed
	// first. It doubles with every failed probe.
	BaseEjectionTime time.Duration
	// MaxEjectedFraction is the maximum fraction of backend servers ejected at
	// a time.
	MaxEjectedFraction float64
	// SlowStartDuration is the time in which a backend server returns to its
	// full weight after an ejection.
	SlowStartDuration time.Duration
}

// Outcome is the result of a request to a backend server.
type Outcome uint8

// The outcomes of a request.
const (
	Completed Outcome = iota // the whole response was received
	Rejected                 // shed: the backend server works but is full
	Failed                   // no response, or an incomplete one
	Canceled                 // ended by this process; says nothing about the server
)

type serverState struct {
	BackendServer
	inFlight int
	latency  time.Duration
	// otherLoad is the load of other gateways at reportedAt.
	otherLoad  float64
	reportedAt time.Time
	// health is the fraction of the capacity that cost assumes. It falls with
	// every rejection and rises with every completion.
	health    float64
	failures  int
	isEjected bool
	isProbing bool
	probeAt   time.Time
	backoff   time.Duration
	ramp      Ramp
}

// Pool chooses among the backend servers of one service by the power of two
// choices, with a first candidate in its own availability zone if there is one.
// The cost of a candidate depends on the requests of this process in flight,
// the decayed load reports, and the cost of crossing zones.
type Pool struct {
	options  PoolOptions
	servers  []serverState
	sameZone []int // candidates of Pick; fields to avoid allocations
	eligible []int
}

const (
	rejectionFactor     = 0.7  // multiplies health at a rejection
	completionRecovery  = 0.02 // added to health at a completion
	minHealth           = 0.1
	initialRampFraction = 0.1                   // of the slow start after an ejection
	initialLatency      = 10 * time.Millisecond // until the first request has completed
	maxBackoffFactor    = 32                    // times BaseEjectionTime
)

// NewPool returns an empty pool.
func NewPool(o PoolOptions) *Pool { return &Pool{options: o} }

// SetBackendServers replaces the backend servers. The state of those that stay
// is kept.
func (p *Pool) SetBackendServers(servers []BackendServer) {
	next := make([]serverState, len(servers))
	for i, s := range servers {
		next[i] = serverState{latency: initialLatency, health: 1}
		if old := p.find(s.ID); old != nil {
			next[i] = *old
		}
		next[i].BackendServer = s
	}
	p.servers = next
}

func (p *Pool) find(id string) *serverState {
	for i := range p.servers {
		if p.servers[i].ID == id {
			return &p.servers[i]
		}
	}
	return nil
}

// Pick chooses a backend server that is not in exclude, using random to select
// the candidates. If all others are ejected, ejected backend servers are
// candidates too. Every pick must be followed by a call of Done.
func (p *Pool) Pick(now time.Time, random uint64, exclude []string) (string, bool) {
	p.findCandidates(exclude, false)
	if len(p.eligible) == 0 {
		p.findCandidates(exclude, true)
	}
	if len(p.eligible) == 0 {
		return "", false
	}
	candidates := p.eligible
	if len(p.sameZone) > 0 {
		candidates = p.sameZone
	}
	i := candidates[int(random&math.MaxUint32)%len(candidates)]
	s := &p.servers[i]
	if other := p.secondCandidate(i, random>>32); other != nil && p.cost(now, other) < p.cost(now, s) {
		s = other
	}
	s.inFlight++
	return s.ID, true
}

// secondCandidate returns a candidate other than server i, or nil.
func (p *Pool) secondCandidate(i int, random uint64) *serverState {
	n := len(p.eligible) - 1
	if n == 0 {
		return nil
	}
	j := p.eligible[int(random)%n]
	if j == i {
		j = p.eligible[n]
	}
	return &p.servers[j]
}

func (p *Pool) findCandidates(exclude []string, ejected bool) {
	p.sameZone, p.eligible = p.sameZone[:0], p.eligible[:0]
	for i := range p.servers {
		s := &p.servers[i]
		if s.Weight <= 0 || s.isEjected && !ejected || slices.Contains(exclude, s.ID) {
			continue
		}
		p.eligible = append(p.eligible, i)
		if s.Zone == p.options.Zone {
			p.sameZone = append(p.sameZone, i)
		}
	}
}

// cost returns the expected time of one more request at a backend server.
func (p *Pool) cost(now time.Time, s *serverState) float64 {
	age := now.Sub(s.reportedAt)
	load := float64(s.inFlight) + s.otherLoad*math.Exp2(-float64(age)/float64(p.options.ReportHalfLife))
	capacity := float64(s.Slots) * s.Weight * s.health * s.ramp.FractionAt(now)
	cost := (load + 1) * float64(s.latency) / capacity
	if s.Zone != p.options.Zone {
		cost += float64(p.options.CrossZoneCost)
	}
	return cost
}

// ReportLoad records the load that a backend server reports.
func (p *Pool) ReportLoad(now time.Time, id string, load int) {
	if s := p.find(id); s != nil {
		s.otherLoad = float64(max(0, load-s.inFlight))
		s.reportedAt = now
	}
}

// Done records the outcome of a picked request. The latency is used only if the
// request completed.
func (p *Pool) Done(now time.Time, id string, outcome Outcome, latency time.Duration) {
	s := p.find(id)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	switch outcome {
	case Completed:
		s.failures = 0
		s.health = min(1, s.health+completionRecovery)
		s.latency += (latency - s.latency) / smoothingDivisor
	case Rejected:
		s.failures = 0
		s.health = max(minHealth, s.health*rejectionFactor)
	case Failed:
		s.failures++
		p.eject(now, s)
	case Canceled:
	}
}

func (p *Pool) eject(now time.Time, s *serverState) {
	if s.isEjected || s.failures < p.options.EjectAfterFailures {
		return
	}
	ejected := 1
	for i := range p.servers {
		if p.servers[i].isEjected {
			ejected++
		}
	}
	if float64(ejected) > p.options.MaxEjectedFraction*float64(len(p.servers)) {
		return
	}
	s.isEjected = true
	s.backoff = p.options.BaseEjectionTime
	s.probeAt = now.Add(s.backoff)
}

// NextProbe returns an ejected backend server whose probe is due. The probe
// must be followed by a call of ProbeDone.
func (p *Pool) NextProbe(now time.Time) (string, bool) {
	for i := range p.servers {
		s := &p.servers[i]
		if s.isEjected && !s.isProbing && !now.Before(s.probeAt) {
			s.isProbing = true
			return s.ID, true
		}
	}
	return "", false
}

// ProbeDone records the result of a probe. After a successful one the backend
// server returns with a slow start.
func (p *Pool) ProbeDone(now time.Time, id string, ok bool) {
	s := p.find(id)
	if s == nil || !s.isProbing {
		return
	}
	s.isProbing = false
	if !ok {
		s.backoff = min(2*s.backoff, maxBackoffFactor*p.options.BaseEjectionTime)
		s.probeAt = now.Add(s.backoff)
		return
	}
	s.isEjected = false
	s.failures = 0
	s.ramp = Ramp{Start: now, Duration: p.options.SlowStartDuration, InitialFraction: initialRampFraction}
}

// EjectedCount returns the number of ejected backend servers.
func (p *Pool) EjectedCount() int {
	n := 0
	for i := range p.servers {
		if p.servers[i].isEjected {
			n++
		}
	}
	return n
}

// InFlight returns the number of this process's requests in flight at a backend
// server.
func (p *Pool) InFlight(id string) int {
	if s := p.find(id); s != nil {
		return s.inFlight
	}
	return 0
}
