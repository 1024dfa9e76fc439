package gateway

import (
	"context"
	"expvar"
	"io"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/admission"
	"fulmarmount.org/core/attempt"
	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// AgentOptions configure an Agent.
type AgentOptions struct {
	// Self is the backend server and this run of its agent.
	Self attempt.Target
	// Backend is the backend server's HTTP address.
	Backend netip.AddrPort
	// Slots is the number of requests the backend server runs at once.
	Slots int
	// Policy of the service.
	Policy Policy
	// SlowStart is the time in which a cold backend server comes to its slots.
	SlowStart time.Duration
	// ClockSkew bounds the difference between the clocks of callers and agents;
	// zero stands for 5 s.
	ClockSkew time.Duration
	// ConfirmWithin is how long after the last Confirm new idempotency keys are
	// still taken; zero asks for no confirmation. See attempt.ClaimsConfig.
	ConfirmWithin time.Duration
	// Pool reaches the other agents of the service.
	Pool *peer.Pool
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

// The bounds of an agent.
const (
	recordLifetime = 10 * time.Minute
	maxAttempts    = 100_000
	maxFences      = 100_000
	maxAnswer      = 256 << 10 // bytes of one answer that is kept
	maxAnswers     = 32 << 20  // bytes of all answers that are kept
	maxClaims      = 200_000
	defaultSkew    = 5 * time.Second
	viewLag        = 30 * time.Second
	holderAnswer   = 800 * time.Millisecond

	// MaxBody is the size in bytes of the largest request body.
	MaxBody = 1 << 20

	agentQueue   = 64 // requests of a class that may wait at an agent
	tickInterval = 20 * time.Millisecond
	firstSlots   = 0.25 // part of the slots of a cold backend server
)

// Agent runs requests for gateways beside one backend server.
type Agent struct {
	o       AgentOptions
	started time.Time
	// service is the ID of the service, or 0 before its first view.
	service atomic.Uint32
	backend *backend
	claims  *claims
	stats   agentStats

	mu     sync.Mutex
	policy Policy
	gate   *gate
	record *attempt.Registry
	// live are the repeatable attempts that are queued or run.
	live map[attempt.ID]bool

	// ctx ends what runs for no stream.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// agentStats counts what an agent did.
type agentStats struct {
	runs, shed, fenced, failed, settled, fetched expvar.Int
}

// NewAgent returns an agent that serves until Close.
func NewAgent(o AgentOptions) *Agent {
	if o.ClockSkew == 0 {
		o.ClockSkew = defaultSkew
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		o:       o,
		policy:  o.Policy,
		started: o.Now(),
		backend: newBackend(o.Backend),
		live:    make(map[attempt.ID]bool),
		ctx:     ctx,
		cancel:  cancel,
		record: attempt.NewRegistry(attempt.RegistryConfig{
			Incarnation:      o.Self.Incarnation,
			Retention:        recordLifetime,
			MaxAttempts:      maxAttempts,
			MaxFences:        maxFences,
			MaxResponseBytes: maxAnswer,
			MaxTotalBytes:    maxAnswers,
		}),
	}
	a.gate = newGate(o.Now, a.ramp().SlotsAt(a.started, o.Slots), o.Policy.admissionClasses(fleet.FullShare, "", agentQueue))
	a.claims = newClaims(ctx, o, &a.tasks)
	a.tasks.Go(func() { a.tick(ctx) })
	return a
}

func (a *Agent) ramp() admission.Ramp {
	return admission.Ramp{Start: a.started, Duration: a.o.SlowStart, InitialFraction: firstSlots}
}

// Close ends every request and what runs in the background. Call it before
// the peer server's Close, which waits for the handlers.
func (a *Agent) Close() {
	a.cancel()
	a.tasks.Wait()
	a.backend.close()
}

// SetView adopts a view of the agent's service.
func (a *Agent) SetView(v *view.View) {
	a.service.Store(uint32(v.Service))
	a.claims.setView(v)
}

// SetPolicy changes the policy of the service. Requests in flight keep the
// slots that they have.
func (a *Agent) SetPolicy(p Policy) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reflect.DeepEqual(a.policy, p) {
		return
	}
	a.policy = p
	a.gate = newGate(a.o.Now, a.ramp().SlotsAt(a.o.Now(), a.o.Slots), p.admissionClasses(fleet.FullShare, "", agentQueue))
}

// admission returns the gate in force and the class of an urgency in it.
func (a *Agent) admission(urgency uint8) (*gate, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate, a.policy.class(urgency)
}

func (a *Agent) load() int {
	g, _ := a.admission(0)
	return g.load()
}

// Confirm reports that the view in force was current at a time.
func (a *Agent) Confirm(asOf time.Time) { a.claims.confirm(asOf) }

// Busy reports whether requests run or wait.
func (a *Agent) Busy() bool { return a.load() > 0 }

// AgentState is the agent's part of a state dump.
type AgentState struct {
	Load        int `json:"load"`
	Recorded    int `json:"recorded"`
	AnswerBytes int `json:"answer_bytes"`
	Claims      int `json:"claims"`
	// Runs, Shed, Fenced, Failed, Settled and Fetched count attempts since
	// the start.
	Runs    int64 `json:"runs"`
	Shed    int64 `json:"shed"`
	Fenced  int64 `json:"fenced"`
	Failed  int64 `json:"failed"`
	Settled int64 `json:"settled"`
	Fetched int64 `json:"fetched"`
}

// State returns what the agent holds.
func (a *Agent) State() AgentState {
	load := a.load()
	a.mu.Lock()
	defer a.mu.Unlock()
	return AgentState{
		Load: load, Recorded: a.record.Len(), AnswerBytes: a.record.ResponseBytes(), Claims: a.claims.len(),
		Runs: a.stats.runs.Value(), Shed: a.stats.shed.Value(), Fenced: a.stats.fenced.Value(),
		Failed: a.stats.failed.Value(), Settled: a.stats.settled.Value(), Fetched: a.stats.fetched.Value(),
	}
}

// Handlers returns the handlers of the stream kinds that an agent serves.
func (a *Agent) Handlers() map[string]peer.Handler {
	gateways := []keys.Role{keys.Balancer, keys.Agent}
	return map[string]peer.Handler{
		KindRequest: allow(gateways, a.serveRequest),
		KindSettle:  allow(gateways, a.serveSettle),
		KindFetch:   allow(gateways, a.serveFetch),
		KindProbe:   allow(gateways, a.serveProbe),
		KindClaim:   allow(gateways, a.claims.serveClaim),
		KindHold:    allow([]keys.Role{keys.Agent}, a.claims.serveHold),
		KindLookup:  allow([]keys.Role{keys.Agent}, a.claims.serveLookup),
		KindHistory: allow([]keys.Role{keys.Agent}, a.claims.serveHistory),
	}
}

// allow refuses streams of peers without one of roles.
func allow(roles []keys.Role, handle func(context.Context, *peer.Stream)) peer.Handler {
	return func(ctx context.Context, from keys.Info, s *peer.Stream) {
		if !from.Allows(roles...) {
			s.Abort()
			return
		}
		handle(ctx, s)
	}
}

func (a *Agent) tick(ctx context.Context) {
	pace.Every(ctx, tickInterval, func() {
		g, _ := a.admission(0)
		g.setSlots(a.ramp().SlotsAt(a.o.Now(), a.o.Slots))
		g.tick()
		a.claims.tick()
	})
}

// serveRequest decides on one attempt and runs it.
func (a *Agent) serveRequest(_ context.Context, s *peer.Stream) {
	var open requestOpen
	if err := s.Recv(&open); err != nil {
		s.Abort()
		return
	}
	deadline := a.o.Now().Add(open.Timeout)
	_ = s.SetReadDeadline(time.Now().Add(open.Timeout))
	body, err := io.ReadAll(io.LimitReader(s, MaxBody+1))
	if err != nil || int64(len(body)) != open.Length {
		s.Abort()
		return
	}
	r := &run{a: a, s: s, open: open, body: body, deadline: deadline}
	r.serve()
}

func (a *Agent) serveSettle(_ context.Context, s *peer.Stream) {
	var in settleRequest
	if err := s.Recv(&in); err != nil {
		s.Abort()
		return
	}
	a.stats.settled.Add(1)
	a.mu.Lock()
	state, answer := attempt.StateUnknown, (*attempt.Response)(nil)
	switch {
	case a.live[in.ID] && in.Incarnation == a.o.Self.Incarnation:
		state = attempt.StateRunning
	case !in.Repeatable:
		state, answer = a.record.Settle(a.o.Now(), in.ID, in.Incarnation)
	}
	a.mu.Unlock()
	_ = s.Send(settleReply{State: state, Held: answer != nil})
}

func (a *Agent) serveFetch(_ context.Context, s *peer.Stream) {
	var in fetchRequest
	if err := s.Recv(&in); err != nil {
		s.Abort()
		return
	}
	a.mu.Lock()
	_, answer := a.record.Settle(a.o.Now(), in.ID, in.Incarnation)
	a.mu.Unlock()
	if answer == nil || in.Offset > int64(len(answer.Body)) {
		s.Abort()
		return
	}
	a.stats.fetched.Add(1)
	head, err := heldHead(in.ID, answer)
	if err != nil {
		s.Abort()
		return
	}
	head.Offset = in.Offset
	if s.Send(head) == nil {
		_, _ = s.Write(answer.Body[in.Offset:])
	}
}

func (a *Agent) serveProbe(ctx context.Context, s *peer.Stream) {
	var in probeRequest
	if err := s.Recv(&in); err != nil {
		s.Abort()
		return
	}
	_ = s.Send(probeReply{Healthy: a.backend.reachable(ctx)})
}
