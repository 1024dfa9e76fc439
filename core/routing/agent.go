package routing

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

// BackendState is the state that a backend server has last reported.
type BackendState uint8

// The states of a backend server.
const (
	BackendUnknown      BackendState = iota // has not reported yet
	BackendServing                          // accepts new flows
	BackendDraining                         // serves existing flows only
	BackendDeregistered                     // has reported its shutdown
)

var backendStateNames = [...]string{"unheard", "serving", "draining", "left"}

// String returns the state's name in logs and dumps.
func (s BackendState) String() string { return backendStateNames[s] }

// ForwardInfo describes how a balancer has forwarded a segment to an agent.
type ForwardInfo struct {
	Service view.ServiceID
	// ConfigVersion is the version of the service's configuration that the balancer
	// has used.
	ConfigVersion view.Version
	// Incarnation is the incarnation of the backend server that the balancer has
	// selected.
	Incarnation view.Incarnation
	// Balancer is the address to return the segment to.
	Balancer netip.AddrPort
	// Hops and OwnerKnown are those of the balancer's Decision.
	Hops       uint8
	OwnerKnown bool
}

// Refusal is the reason why an agent returns a segment.
type Refusal uint8

// The refusals.
const (
	RefusalNone         Refusal = iota
	RefusalWrongService         // the backend server serves another service
	RefusalNotRouted            // the service is not routed at this address
	RefusalNotServing           // the backend server accepts no new flows
	RefusalUnknownFlow          // the backend server does not own the flow
	RefusalBackendDown          // the backend server is down, and its flows are lost
	// RefusalOtherIncarnation means that the balancer has selected another incarnation
	// of the backend server. Searches rely on it, see possibleOwners.
	RefusalOtherIncarnation
	RefusalZoneEvacuated // operators have evacuated the agent's zone
	RefusalColdLimit     // the backend server is cold and has taken as many new flows as its limit allows now
	// RefusalCount is the number of refusals.
	RefusalCount = iota
)

var refusalNames = [RefusalCount]string{"none", "other_service", "not_routed", "not_taking", "unknown_flow", "ended", "other_run", "zone_evacuated", "cold_limit"}

// String returns the refusal's name in logs.
func (r Refusal) String() string { return refusalNames[r] }

// AgentDecision is an agent's decision about one segment.
type AgentDecision struct {
	// Refusal is RefusalNone if the segment is to be delivered to the backend server.
	// Otherwise it is returned to the balancer.
	Refusal Refusal
	// Token identifies the delivery if the backend server bounces the segment.
	Token uint32
	// NotifyBalancer is set if the balancer is to be notified that the flow is owned
	// here.
	NotifyBalancer bool
}

// backendFlow is a flow that the backend server owns.
type backendFlow struct {
	lastSeen  time.Duration
	balancer  netip.AddrPort // forwarded the latest SYN; notified when it is answered
	isRunning bool           // the caller waits for a response
	// isEstablished is set once the backend server has sent more than an answer to the
	// SYN. Until then the caller may have opened the flow at another one.
	isEstablished bool
	// requestEnd is the sequence number after the last byte received from the caller.
	requestEnd uint32
	openSeq    uint32 // sequence number of the latest SYN delivered
	backendFIN bool
	callerFIN  bool
	// shownAt is the latest time at which the backend server was sent a SYN of the flow or
	// has sent a segment of it.
	shownAt time.Duration
	// hasRequest is set while a request has no response. It began at requestStart by the
	// meter's clock. isOverdue is set once it has waited too long.
	hasRequest, isOverdue bool
	requestStart          time.Duration
}

const (
	// maxDeliveries is the number of delivered segments that a bounce can be matched
	// with.
	maxDeliveries = 4096
	// maxSilencePerTick bounds the silence that one tick adds: a pause of this process
	// proves nothing about the backend server.
	maxSilencePerTick = 200 * time.Millisecond
	// closedFlowTTL is how long a flow is kept after both ends have closed it.
	closedFlowTTL = 2 * time.Second
	// openingTime is how long after its last segment an opened flow without a request
	// counts as a running request.
	openingTime = 300 * time.Millisecond
	// maxProbes bounds the probed flows whose balancers wait for a notification.
	maxProbes = 8192
)

// Agent decides about the segments of one backend server. It is safe for concurrent
// use.
type Agent struct {
	mu          sync.Mutex
	incarnation view.Incarnation
	service     view.ServiceID
	// isConfigMissing is set until the service's configuration is known.
	isConfigMissing bool
	routedAddrs     map[netip.AddrPort]bool
	configVersion   view.Version
	state           BackendState
	isZoneEvacuated bool
	coldLimit       coldLimit
	// silence is the time since the last message from the backend server, as counted by
	// Tick.
	silence time.Duration
	// silenceTimeout is the silence after which the backend server is considered down.
	silenceTimeout time.Duration
	lastTick       time.Duration
	startedAt      time.Duration
	idleTimeout    time.Duration
	// hasAllFlows is set if flows holds every flow of the backend server.
	hasAllFlows bool
	// lastSYN is when the latest SYN was delivered, to whatever incarnation.
	lastSYN time.Duration
	pastUse PastUse
	// startedWithProcess is set if the incarnation has started just before this process.
	startedWithProcess bool
	flows              map[flow.ID]*backendFlow
	// probes holds the probes for flows that the backend server may own.
	probes          map[flow.ID]receivedProbe
	runningRequests uint32
	deliveries      [maxDeliveries]delivery
	lastToken       uint32
	// meter measures how long requests occupy the slots of the backend server.
	meter   slotMeter
	fitness fitness
}

// receivedProbe is a balancer's probe for a flow.
type receivedProbe struct {
	balancer netip.AddrPort // to notify if the backend server replies
	at       time.Duration
}

// delivery is a segment that was delivered to the backend server.
type delivery struct {
	token       uint32
	forwardInfo ForwardInfo
}

// AgentOptions configure an Agent.
type AgentOptions struct {
	// SilenceTimeout is the silence after which a backend server is considered down.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a flow is kept after its last segment.
	IdleTimeout time.Duration
	// ColdLimit is the cold limit until that of the service is known; 0 for none.
	ColdLimit uint32
}

// NewAgent returns an Agent of a process that has started at now. Earlier processes have
// delivered segments before now, and none after it.
func NewAgent(now time.Duration, o AgentOptions) *Agent {
	a := &Agent{
		silenceTimeout: o.SilenceTimeout, idleTimeout: o.IdleTimeout, startedAt: now, lastTick: now, lastSYN: never, isConfigMissing: true, fitness: newFitness(),
		flows: make(map[flow.ID]*backendFlow), probes: make(map[flow.ID]receivedProbe), routedAddrs: make(map[netip.AddrPort]bool),
	}
	a.coldLimit.setUnconfigured(o.ColdLimit)
	return a
}

// SetService activates a version of the service's configuration with the addresses that
// are routed to the service. The ID 0 stands for a service that was removed.
func (a *Agent) SetService(id view.ServiceID, version view.Version, addrs []netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service, a.configVersion, a.isConfigMissing = id, version, false
	clear(a.routedAddrs)
	for _, addr := range addrs {
		a.routedAddrs[addr] = true
	}
}

// ClearService records that the backend server serves another service, whose
// configuration is not known yet.
func (a *Agent) ClearService() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service, a.configVersion, a.isConfigMissing = 0, view.Version{}, true
	a.coldLimit.resetLimit()
	clear(a.routedAddrs)
}

// SetState records the state that the backend server has reported.
func (a *Agent) SetState(s BackendState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state, a.silence = s, 0
}

// State returns the state that the backend server has last reported.
func (a *Agent) State() BackendState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Load returns the current load of the backend server.
func (a *Agent) Load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := Load{
		Flows: uint32(len(a.flows)), RunningRequests: a.runningRequests, ServiceTime: toMicroseconds(a.meter.serviceTime()),
		IsUnfit: a.isUnfit(),
	}
	load.IsCold, load.NewFlowAllowance = a.coldAllowance()
	return load
}

// IsDown reports whether the backend server has deregistered or exceeded the silence
// timeout.
func (a *Agent) IsDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isDown()
}

func (a *Agent) isDown() bool {
	return a.state == BackendDeregistered || a.state != BackendUnknown && a.silence > a.silenceTimeout
}

// Receive decides about a segment that a balancer has forwarded.
func (a *Agent) Receive(now time.Duration, s *Segment, info ForwardInfo) AgentDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := s.Tuple.ID()
	f := a.flows[id]
	if refusal := a.checkSegment(now, f, s, info); refusal != RefusalNone {
		return AgentDecision{Refusal: refusal}
	}
	notify := f != nil && !info.OwnerKnown
	a.trackCaller(now, f, s)
	switch {
	case s.OpensFlow():
		a.pastUse, a.lastSYN = UsePossible, now
		a.recordOpening(now, f, s)
		f = a.touchFlow(now, id)
		f.balancer, f.openSeq, f.shownAt = info.Balancer, s.Seq, now
	case f == nil && len(a.probes) < maxProbes:
		a.probes[id] = receivedProbe{balancer: info.Balancer, at: now}
	}
	return AgentDecision{Token: a.recordDelivery(info), NotifyBalancer: notify}
}

// checkSegment returns the reason not to deliver a segment. f is its flow, or nil if
// the agent has no record of the flow.
func (a *Agent) checkSegment(now time.Duration, f *backendFlow, s *Segment, info ForwardInfo) Refusal {
	if s.OpensFlow() {
		if refusal := a.checkSYN(info, s); refusal != RefusalNone {
			return refusal
		}
		return a.checkColdLimit(now, f, s)
	}
	switch {
	case f != nil && f.isEstablished && a.isDown():
		return RefusalBackendDown
	case a.isDown():
		return RefusalUnknownFlow
	case f != nil:
		return RefusalNone
	case a.hasAllFlows || now-a.startedAt > MaxFlowLifetime:
		return RefusalUnknownFlow
	}
	return RefusalNone // the backend server bounces the segment if it does not own the flow
}

// checkSYN checks a SYN against the newer of the balancer's and the agent's
// configuration. While the agent has none, it relies on the balancer, which has the
// service of the incarnation from a view.
func (a *Agent) checkSYN(info ForwardInfo, s *Segment) Refusal {
	switch {
	case !a.isConfigMissing && (a.service == 0 || info.Service != a.service):
		return RefusalWrongService
	case a.incarnation == 0 || info.Incarnation != a.incarnation:
		return RefusalOtherIncarnation
	case a.state != BackendServing || a.isDown():
		return RefusalNotServing
	case a.isZoneEvacuated:
		return RefusalZoneEvacuated
	case !a.routedAddrs[s.Tuple.Service] && !info.ConfigVersion.Newer(a.configVersion):
		return RefusalNotRouted
	}
	return RefusalNone
}

// touchFlow returns the record of a flow, which it creates if necessary, and sets
// lastSeen to now.
func (a *Agent) touchFlow(now time.Duration, id flow.ID) *backendFlow {
	f := a.flows[id]
	if f == nil {
		f = &backendFlow{}
		a.flows[id] = f
	}
	f.lastSeen = now
	return f
}

// trackCaller updates a flow from a segment sent by its caller.
func (a *Agent) trackCaller(now time.Duration, f *backendFlow, s *Segment) {
	if f == nil {
		return
	}
	f.lastSeen = now
	f.callerFIN = f.callerFIN || s.Flags&(FIN|RST) != 0
	switch {
	case f.callerFIN:
		a.setRunning(f, false) // the caller no longer waits for a response
		a.endRequest(now, f, false)
	case s.Length > 0 && f.advanceRequest(s):
		a.setRunning(f, true)
		a.beginRequest(now, f)
	}
}

// advanceRequest reports whether a segment carries bytes beyond requestEnd, and advances
// requestEnd past them.
func (f *backendFlow) advanceRequest(s *Segment) bool {
	end := s.Seq + uint32(s.Length)
	if int32(end-f.requestEnd) <= 0 && f.requestEnd != 0 {
		return false
	}
	f.requestEnd = end
	return true
}

// setRunning sets whether a flow has a running request, and updates the count.
func (a *Agent) setRunning(f *backendFlow, running bool) {
	switch {
	case running && !f.isRunning:
		a.runningRequests++
	case !running && f.isRunning:
		a.runningRequests--
	}
	f.isRunning = running
}

// recordDelivery stores the origin of a delivered segment in case it bounces, and
// returns a token that is never 0.
func (a *Agent) recordDelivery(info ForwardInfo) uint32 {
	a.lastToken++
	if a.lastToken == 0 {
		a.lastToken = 1
	}
	a.deliveries[a.lastToken%maxDeliveries] = delivery{token: a.lastToken, forwardInfo: info}
	return a.lastToken
}

// HandleBounce returns how a segment that the backend server has bounced was forwarded.
// It returns false if the delivery is no longer on record.
func (a *Agent) HandleBounce(s *Segment, token uint32) (ForwardInfo, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silence = 0
	id := s.Tuple.ID()
	a.removeFlow(a.lastTick, id)
	delete(a.probes, id)
	d := a.deliveries[token%maxDeliveries]
	return d.forwardInfo, token != 0 && d.token == token
}

func (a *Agent) removeFlow(now time.Duration, id flow.ID) {
	f := a.flows[id]
	if f == nil {
		return
	}
	a.endRequest(now, f, false)
	a.setRunning(f, false)
	delete(a.flows, id)
}

// ObserveReply updates a flow from a segment sent by the backend server. It returns the
// balancer to notify that the flow is owned here, if any.
func (a *Agent) ObserveReply(now time.Duration, s *Segment) (notify netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silence = 0
	id := s.Tuple.ID()
	if s.HasFlags(RST) {
		a.recordReset(a.flows[id])
		a.removeFlow(now, id)
		return netip.AddrPort{}
	}
	f := a.touchFlow(now, id)
	f.shownAt = now
	if s.Length > 0 {
		a.setRunning(f, false)
		a.endRequest(now, f, true)
	}
	f.backendFIN = f.backendFIN || s.HasFlags(FIN)
	if s.HasFlags(SYN) {
		a.setRunning(f, true) // the caller's request is about to arrive
		return f.balancer
	}
	f.isEstablished = true
	notify = a.probes[id].balancer
	delete(a.probes, id)
	return notify
}

// Tick advances the backend server's silence and removes closed and idle flows and
// unanswered probes. It reports whether the silence timeout has just expired.
func (a *Agent) Tick(now time.Duration) (wentDown bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasDown := a.isDown()
	a.silence += min(now-a.lastTick, maxSilencePerTick)
	a.lastTick, a.coldLimit.latest = now, now
	a.meter.advance(now)
	for id, f := range a.flows {
		age := now - f.lastSeen
		a.recordOverdue(f)
		if f.isRunning && f.requestEnd == 0 && age > openingTime {
			a.setRunning(f, false)
		}
		if age > a.idleTimeout || f.backendFIN && f.callerFIN && age > closedFlowTTL {
			a.removeFlow(now, id)
		}
	}
	a.fitness.judge(&a.meter)
	maps.DeleteFunc(a.probes, func(_ flow.ID, p receivedProbe) bool { return now-p.at > searchTTL })
	return a.isDown() && !wasDown
}
