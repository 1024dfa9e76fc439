package admission

import (
	"math"
	"slices"
	"time"
)

// BackendServer is one backend server of a service as the view has it.
type BackendServer struct {
	ID string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests it runs at once.
	Slots int
	// Weight is the share of new work, from 0 to 1.
	Weight float64
}

// PoolOptions describe a Pool.
type PoolOptions struct {
	// Zone is the availability zone of this process.
	Zone string
	// CrossZoneCost is the cost of leaving the zone, as time added to a request.
	CrossZoneCost time.Duration
	// ReportHalfLife is the time in which a report loses half of its weight.
	ReportHalfLife time.Duration
	// EjectAfterFailures is the number of failures in a row that eject a host.
	EjectAfterFailures int
	// BaseEjectionTime is the time until an ejected host is probed; it doubles with
	// every probe that fails.
	BaseEjectionTime time.Duration
	// MaxEjectedFraction is the greatest part of the hosts that is ejected.
	MaxEjectedFraction float64
	// SlowStartDuration is the time in which a host that returns comes to its full
	// weight.
	SlowStartDuration time.Duration
}

// Outcome says how a request to a host ended.
type Outcome uint8

// The endings that a Pool learns from.
const (
	Completed Outcome = iota
	Rejected          // shed: the host works but is full
	Failed            // no answer, or a broken one
	Canceled          // ended from this side; says nothing about the host
)

type host struct {
	BackendServer
	inFlight int
	latency  time.Duration
	// others is the load of other gateways at the time of the last report.
	others   float64
	reported time.Time
	// health falls with every refusal and rises with every answer.
	health   float64
	failures int
	ejected  bool
	probing  bool
	probeAt  time.Time
	backoff  time.Duration
	ramp     Ramp
}

// Pool chooses among the hosts of one service: the cheaper of two, by what this
// process has in flight, the hosts' decayed reports and the cost of the link.
type Pool struct {
	o     PoolOptions
	hosts []host
	near  []int // candidates of Pick, kept to save allocations
	all   []int
}

const (
	refusalFactor  = 0.7
	answerRecovery = 0.02
	minHealth      = 0.1
	rampFirst      = 0.1
	firstLatency   = 10 * time.Millisecond
	maxBackoff     = 32 // times EjectFor
)

// NewPool returns an empty pool.
func NewPool(o PoolOptions) *Pool { return &Pool{o: o} }

// SetBackendServers replaces the hosts. What is known of hosts that stay is kept.
func (p *Pool) SetBackendServers(hosts []BackendServer) {
	next := make([]host, len(hosts))
	for i, h := range hosts {
		next[i] = host{latency: firstLatency, health: 1}
		if old := p.find(h.ID); old != nil {
			next[i] = *old
		}
		next[i].BackendServer = h
	}
	p.hosts = next
}

func (p *Pool) find(id string) *host {
	for i := range p.hosts {
		if p.hosts[i].ID == id {
			return &p.hosts[i]
		}
	}
	return nil
}

// Pick chooses a host that is not in exclude; random decides on the candidates.
// If every host is ejected the ejected ones are candidates too. The choice must
// be ended by Done.
func (p *Pool) Pick(now time.Time, random uint64, exclude []string) (string, bool) {
	p.candidates(exclude, false)
	if len(p.all) == 0 {
		p.candidates(exclude, true)
	}
	if len(p.all) == 0 {
		return "", false
	}
	first := p.all
	if len(p.near) > 0 {
		first = p.near
	}
	i := first[int(random&math.MaxUint32)%len(first)]
	h := &p.hosts[i]
	if other := p.other(i, random>>32); other != nil && p.cost(now, other) < p.cost(now, h) {
		h = other
	}
	h.inFlight++
	return h.ID, true
}

// other returns a candidate apart from host i, or nil.
func (p *Pool) other(i int, random uint64) *host {
	n := len(p.all) - 1
	if n == 0 {
		return nil
	}
	j := p.all[int(random)%n]
	if j == i {
		j = p.all[n]
	}
	return &p.hosts[j]
}

func (p *Pool) candidates(exclude []string, ejected bool) {
	p.near, p.all = p.near[:0], p.all[:0]
	for i := range p.hosts {
		h := &p.hosts[i]
		if h.Weight <= 0 || h.ejected && !ejected || slices.Contains(exclude, h.ID) {
			continue
		}
		p.all = append(p.all, i)
		if h.Zone == p.o.Zone {
			p.near = append(p.near, i)
		}
	}
}

// cost is the expected time of one more request at h.
func (p *Pool) cost(now time.Time, h *host) float64 {
	age := now.Sub(h.reported)
	load := float64(h.inFlight) + h.others*math.Exp2(-float64(age)/float64(p.o.ReportHalfLife))
	capacity := float64(h.Slots) * h.Weight * h.health * h.ramp.FractionAt(now)
	cost := (load + 1) * float64(h.latency) / capacity
	if h.Zone != p.o.Zone {
		cost += float64(p.o.CrossZoneCost)
	}
	return cost
}

// ReportLoad takes the load that a host says it has.
func (p *Pool) ReportLoad(now time.Time, id string, load int) {
	if h := p.find(id); h != nil {
		h.others = float64(max(0, load-h.inFlight))
		h.reported = now
	}
}

// Done ends a request that was sent to a host. Latency counts if it was
// answered.
func (p *Pool) Done(now time.Time, id string, end Outcome, latency time.Duration) {
	h := p.find(id)
	if h == nil {
		return
	}
	h.inFlight = max(0, h.inFlight-1)
	switch end {
	case Completed:
		h.failures = 0
		h.health = min(1, h.health+answerRecovery)
		h.latency += (latency - h.latency) / smoothing
	case Rejected:
		h.failures = 0
		h.health = max(minHealth, h.health*refusalFactor)
	case Failed:
		h.failures++
		p.eject(now, h)
	case Canceled:
	}
}

func (p *Pool) eject(now time.Time, h *host) {
	if h.ejected || h.failures < p.o.EjectAfterFailures {
		return
	}
	ejected := 1
	for i := range p.hosts {
		if p.hosts[i].ejected {
			ejected++
		}
	}
	if float64(ejected) > p.o.MaxEjectedFraction*float64(len(p.hosts)) {
		return
	}
	h.ejected = true
	h.backoff = p.o.BaseEjectionTime
	h.probeAt = now.Add(h.backoff)
}

// NextProbe returns an ejected host that is to be probed now. The probe must be
// ended by Probed.
func (p *Pool) NextProbe(now time.Time) (string, bool) {
	for i := range p.hosts {
		h := &p.hosts[i]
		if h.ejected && !h.probing && !now.Before(h.probeAt) {
			h.probing = true
			return h.ID, true
		}
	}
	return "", false
}

// ProbeDone reports the result of a probe. A host that answers comes back by slow
// start.
func (p *Pool) ProbeDone(now time.Time, id string, ok bool) {
	h := p.find(id)
	if h == nil || !h.probing {
		return
	}
	h.probing = false
	if !ok {
		h.backoff = min(2*h.backoff, maxBackoff*p.o.BaseEjectionTime)
		h.probeAt = now.Add(h.backoff)
		return
	}
	h.ejected = false
	h.failures = 0
	h.ramp = Ramp{Start: now, Duration: p.o.SlowStartDuration, InitialFraction: rampFirst}
}

// EjectedCount returns the number of hosts that are ejected.
func (p *Pool) EjectedCount() int {
	n := 0
	for i := range p.hosts {
		if p.hosts[i].ejected {
			n++
		}
	}
	return n
}

// InFlight returns the number of requests this process has at a host.
func (p *Pool) InFlight(id string) int {
	if h := p.find(id); h != nil {
		return h.inFlight
	}
	return 0
}
