package steer

import (
	"net/netip"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

// BackendState is what a backend server says of itself.
type BackendState uint8

// The standings.
const (
	BackendUnknown      BackendState = iota // has not said anything yet
	BackendServing                          // takes new flows
	BackendDraining                         // keeps its flows
	BackendDeregistered                     // has said that it is gone
)

var standingNames = [...]string{"unheard", "serving", "draining", "left"}

// String returns the standing's name.
func (s BackendState) String() string { return standingNames[s] }

// ForwardInfo is how a segment has come to a host.
type ForwardInfo struct {
	Service view.ServiceID
	// ConfigVersion is the version of the service's configuration that the balancer
	// has decided by.
	ConfigVersion view.Version
	// Incarnation is the run of the backend server that the balancer has chosen.
	Incarnation view.Incarnation
	// Balancer is where a return goes.
	Balancer   netip.AddrPort
	Hops       uint8
	OwnerKnown bool
}

// Refusal tells why a host returns a segment.
type Refusal uint8

// The refusals.
const (
	RefusalNone         Refusal = iota
	RefusalWrongService         // the backend server serves another service
	RefusalNotRouted            // no caller may reach the service by this address
	RefusalNotServing           // the backend server takes no new flows
	RefusalUnknownFlow          // the backend server does not hold the flow
	RefusalBackendDown          // the backend server has ended, and its flows with it
	refusalsCount       = iota
)

var refusalNames = [refusalsCount]string{"none", "other_service", "not_routed", "not_taking", "unknown_flow", "ended"}

// String returns the refusal's name.
func (r Refusal) String() string { return refusalNames[r] }

// AgentDecision is what to do with one segment.
type AgentDecision struct {
	// Refusal is NoRefusal where the segment goes to the backend server; others
	// return it to the balancer.
	Refusal Refusal
	// Token comes back with the segment if the backend server bounces it.
	Token uint32
	// NotifyBalancer asks that the balancer be told that the flow is here.
	NotifyBalancer bool
}

// hostFlow is a flow that the backend server holds.
type hostFlow struct {
	seen     time.Duration
	balancer netip.AddrPort // that brought the newest SYN, to be told when it is answered
	running  bool
	// asked is the sequence number after the newest bytes of the caller.
	asked     uint32
	hostFIN   bool
	callerFIN bool
}

const (
	// pendingSize is the number of delivered segments that a bounce can be
	// matched with.
	pendingSize = 4096
	// longestStep is the most silence that one tick counts: time in which this
	// process did not run says nothing about the backend server.
	longestStep = 200 * time.Millisecond
	// closedTime is how long a flow is kept after both ends have closed it.
	closedTime = 2 * time.Second
	// openingTime is how long after it was opened a flow counts as a request.
	openingTime = 300 * time.Millisecond
	// maxProbes bounds the balancers that wait to be told about a flow.
	maxProbes = 8192
)

// Agent decides about the segments of one backend server. It is safe for
// concurrent use.
type Agent struct {
	mu      sync.Mutex
	run     view.Incarnation
	service view.ServiceID
	// untold is set while the service's configuration is not known yet.
	untold   bool
	routed   map[netip.AddrPort]bool
	position view.Version
	standing BackendState
	// silence is how long nothing was heard of the backend server.
	silence time.Duration
	// patience is the silence after which it has ended.
	patience time.Duration
	ticked   time.Duration
	started  time.Duration
	idle     time.Duration
	// whole is set where every flow of the backend server is in flows.
	whole bool
	flows map[flow.ID]*hostFlow
	// probes are the balancers that have brought segments of flows that the
	// backend server may hold.
	probes  map[flow.ID]netip.AddrPort
	running uint32
	pending [pendingSize]pending
	next    uint32
}

// pending is a segment that was delivered.
type pending struct {
	token   uint32
	arrival ForwardInfo
}

// AgentOptions configure a Host.
type AgentOptions struct {
	// SilenceTimeout is how long a backend server may be silent.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a flow may be silent.
	IdleTimeout time.Duration
}

// NewAgent returns a Host that was started at now.
func NewAgent(now time.Duration, o AgentOptions) *Agent {
	return &Agent{
		patience: o.SilenceTimeout, idle: o.IdleTimeout, started: now, ticked: now, untold: true,
		flows: make(map[flow.ID]*hostFlow), probes: make(map[flow.ID]netip.AddrPort), routed: make(map[netip.AddrPort]bool),
	}
}

// SetService puts the service's configuration in force: the addresses that lead
// to it, as of position; 0 for a service that was removed.
func (h *Agent) SetService(id view.ServiceID, position view.Version, routed []netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service, h.position, h.untold = id, position, false
	clear(h.routed)
	for _, addr := range routed {
		h.routed[addr] = true
	}
}

// ClearService notes that the backend server serves another service, whose
// configuration is not known yet.
func (h *Agent) ClearService() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service, h.position, h.untold = 0, view.Version{}, true
	clear(h.routed)
}

// StartIncarnation notes a new run of the backend server, which holds no flow. Where it is
// first, the run may have begun before this process did.
func (h *Agent) StartIncarnation(run view.Incarnation, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.run = run
	clear(h.flows)
	clear(h.probes)
	h.running = 0
	h.whole = !first
}

// SetState notes what the backend server says of itself.
func (h *Agent) SetState(s BackendState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standing, h.silence = s, 0
}

// State returns what the backend server has last said of itself.
func (h *Agent) State() BackendState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.standing
}

// Load returns the load to report.
func (h *Agent) Load() Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Load{Flows: uint32(len(h.flows)), RunningRequests: h.running}
}

// IsDown reports whether the backend server is taken to have ended.
func (h *Agent) IsDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended()
}

func (h *Agent) ended() bool {
	return h.standing == BackendDeregistered || h.standing != BackendUnknown && h.silence > h.patience
}

// Receive decides about a segment from a balancer.
func (h *Agent) Receive(now time.Duration, s *Segment, a ForwardInfo) AgentDecision {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := s.Tuple.ID()
	f := h.flows[id]
	if refusal := h.refuses(now, f, s, a); refusal != RefusalNone {
		return AgentDecision{Refusal: refusal}
	}
	tell := f != nil && !a.OwnerKnown
	h.note(now, f, s)
	switch {
	case s.OpensFlow():
		h.held(now, id).balancer = a.Balancer
	case f == nil && len(h.probes) < maxProbes:
		h.probes[id] = a.Balancer
	}
	return AgentDecision{Token: h.remember(a), NotifyBalancer: tell}
}

// refuses returns why a segment is not delivered. f is its flow, nil where the
// flow is not known here.
func (h *Agent) refuses(now time.Duration, f *hostFlow, s *Segment, a ForwardInfo) Refusal {
	if s.OpensFlow() {
		return h.refusesNew(a, s)
	}
	switch {
	case f != nil && h.ended():
		return RefusalBackendDown
	case f != nil:
		return RefusalNone
	case h.ended():
		return RefusalUnknownFlow
	case h.whole || now-h.started > MaxFlowLifetime:
		return RefusalUnknownFlow
	}
	return RefusalNone // the backend server knows
}

// refusesNew judges a new flow by the newer of both configurations. While none is
// known here, the balancer's counts if it has chosen this run of the backend server,
// whose service it then knows from a view.
func (h *Agent) refusesNew(a ForwardInfo, s *Segment) Refusal {
	chosen := h.untold && a.Incarnation != 0 && a.Incarnation == h.run
	switch {
	case !chosen && (h.service == 0 || a.Service != h.service):
		return RefusalWrongService
	case h.standing != BackendServing || h.ended():
		return RefusalNotServing
	case !h.routed[s.Tuple.Service] && !a.ConfigVersion.Newer(h.position):
		return RefusalNotRouted
	}
	return RefusalNone
}

// held returns a flow of which a segment was just seen.
func (h *Agent) held(now time.Duration, id flow.ID) *hostFlow {
	f := h.flows[id]
	if f == nil {
		f = &hostFlow{}
		h.flows[id] = f
	}
	f.seen = now
	return f
}

// note follows a flow by a segment of its caller.
func (h *Agent) note(now time.Duration, f *hostFlow, s *Segment) {
	if f == nil {
		return
	}
	f.seen = now
	f.callerFIN = f.callerFIN || s.Flags&(FIN|RST) != 0
	switch {
	case f.callerFIN:
		h.setRunning(f, false) // the caller waits no longer
	case s.Length > 0 && f.advances(s):
		h.setRunning(f, true)
	}
}

// advances reports whether a segment carries bytes that the caller has not sent
// before, and notes them.
func (f *hostFlow) advances(s *Segment) bool {
	end := s.Seq + uint32(s.Length)
	if int32(end-f.asked) <= 0 && f.asked != 0 {
		return false
	}
	f.asked = end
	return true
}

// setRunning notes whether a flow's caller waits for an answer.
func (h *Agent) setRunning(f *hostFlow, running bool) {
	switch {
	case running && !f.running:
		h.running++
	case !running && f.running:
		h.running--
	}
	f.running = running
}

// remember stores an arrival until its segment may bounce. Tokens are never 0.
func (h *Agent) remember(a ForwardInfo) uint32 {
	h.next++
	if h.next == 0 {
		h.next = 1
	}
	h.pending[h.next%pendingSize] = pending{token: h.next, arrival: a}
	return h.next
}

// HandleBounce returns how a segment that the backend server does not take had come.
// It is false where that is forgotten.
func (h *Agent) HandleBounce(s *Segment, token uint32) (ForwardInfo, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silence = 0
	id := s.Tuple.ID()
	h.forget(id)
	delete(h.probes, id)
	p := h.pending[token%pendingSize]
	return p.arrival, token != 0 && p.token == token
}

func (h *Agent) forget(id flow.ID) {
	f := h.flows[id]
	if f == nil {
		return
	}
	h.setRunning(f, false)
	delete(h.flows, id)
}

// ObserveReply notes a segment of the backend server. It returns the balancer that is to
// be told that the flow is here, if any.
func (h *Agent) ObserveReply(now time.Duration, s *Segment) (tell netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silence = 0
	id := s.Tuple.ID()
	if s.HasFlags(RST) {
		h.forget(id)
		return netip.AddrPort{}
	}
	f := h.held(now, id)
	if s.Length > 0 {
		h.setRunning(f, false)
	}
	f.hostFIN = f.hostFIN || s.HasFlags(FIN)
	if s.HasFlags(SYN) {
		h.setRunning(f, true) // its caller is about to ask
		return f.balancer
	}
	tell = h.probes[id]
	delete(h.probes, id)
	return tell
}

// Tick lets time pass: it counts the backend server's silence and forgets flows
// that have ended. It reports whether the backend server has just ended.
func (h *Agent) Tick(now time.Duration) (ended bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.ended()
	h.silence += min(now-h.ticked, longestStep)
	h.ticked = now
	for id, f := range h.flows {
		age := now - f.seen
		if f.running && f.asked == 0 && age > openingTime {
			h.setRunning(f, false)
		}
		if age > h.idle || f.hostFIN && f.callerFIN && age > closedTime {
			h.forget(id)
		}
	}
	return h.ended() && !before
}
