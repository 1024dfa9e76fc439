package attempt

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"fulmarmount.org/core/view"
)

// faults are the fault probabilities of one simulation.
type faults struct {
	loss, duplication, truncation, shedding float64
	restartInterval                         time.Duration // mean time between restarts, 0 for none
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim simulates gateways and agents on a network that loses, delays and
// duplicates messages, and counts the runs of each key.
type sim struct {
	rng        *rand.Rand
	now        time.Time
	queue      events
	seq        int
	faults     faults
	agents     []*simAgent
	gateways   []*simGateway
	view       *view.View
	runCount   map[string]int
	notRunAt   map[string]time.Time
	outcomes   [3]int
	violations []string
	// skipClaims sends requests without claiming their keys.
	skipClaims bool
}

type simAgent struct {
	index         int
	target        Target
	registry      *Registry
	claims        *Claims
	pending       map[uint64]func(ClaimReply)
	lastRequestID uint64
}

type simGateway struct {
	name string
	view *view.View
	seq  uint64
}

const (
	simLifetime     = 10 * time.Minute
	simMaxClockSkew = 50 * time.Millisecond
	simViewLag      = 3 * time.Second
)

func newSim(seed uint64, f faults, skipClaims bool) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), faults: f, skipClaims: skipClaims,
		runCount: make(map[string]int), notRunAt: make(map[string]time.Time),
	}
	for i := range 5 {
		s.agents = append(s.agents, &simAgent{index: i})
		s.startAgent(s.agents[i], 1)
	}
	s.view = s.newView(1)
	for _, a := range s.agents {
		a.claims.SetView(s.now, s.view)
	}
	for i := range 3 {
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprint("g", i), view: s.view})
	}
	s.now = s.now.Add(time.Second)
	if f.restartInterval > 0 {
		s.after(s.randomDuration(f.restartInterval), s.restart)
	}
	return s
}

func (s *sim) startAgent(a *simAgent, inc view.Incarnation) {
	a.target = Target{Server: fmt.Sprint("s", a.index), Incarnation: inc}
	a.registry = NewRegistry(RegistryConfig{
		Incarnation: inc, Retention: simLifetime, MaxAttempts: 1000, MaxFences: 1000, MaxResponseBytes: 100, MaxTotalBytes: 10000,
	})
	a.claims = NewClaims(s.now, ClaimsConfig{
		Self: a.target, KeyLifetime: simLifetime, MaxClockSkew: simMaxClockSkew, ViewLag: simViewLag, MaxEntries: 1000,
		ReplyTimeout: 200 * time.Millisecond,
	})
	a.pending = make(map[uint64]func(ClaimReply))
}

func (s *sim) newView(number uint64) *view.View {
	var members []view.BackendServer
	for _, a := range s.agents {
		members = append(members, view.BackendServer{
			ID: a.target.Server, Zone: fmt.Sprint("z", a.index%3), Incarnation: a.target.Incarnation,
			State: view.Ready, Weight: view.FullWeight,
		})
	}
	return view.New(1, view.Version{Epoch: 1, Number: number}, members)
}

// restart gives one agent a new incarnation. The others receive the new view at
// random times within simViewLag.
func (s *sim) restart() {
	a := s.agents[s.rng.IntN(len(s.agents))]
	s.startAgent(a, a.target.Incarnation+1)
	s.view = s.newView(s.view.Version.Number + 1)
	v := s.view
	peer := s.agents[(a.index+1)%len(s.agents)].claims.History(s.now)
	a.claims.AdoptHistory(s.now, peer)
	for _, b := range s.agents {
		s.after(s.randomDuration(simViewLag-100*time.Millisecond), func() { s.perform(b, b.claims.SetView(s.now, v)) })
	}
	for _, g := range s.gateways {
		s.after(s.randomDuration(simViewLag), func() {
			if v.Version.Newer(g.view.Version) {
				g.view = v
			}
		})
	}
	s.after(s.randomDuration(2*s.faults.restartInterval), s.restart)
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *sim) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

func (s *sim) randomBool(p float64) bool { return s.rng.Float64() < p }

// deliver delivers one message once, never or twice, possibly late. A lost message
// is reported to the sender in half of the cases.
func (s *sim) deliver(do func(), lost func()) {
	delay := 3*time.Millisecond + s.randomDuration(4*time.Millisecond)
	if s.randomBool(s.faults.loss) {
		delay += s.randomDuration(3 * time.Second)
	}
	if s.randomBool(s.faults.loss) {
		if s.randomBool(0.5) {
			s.after(delay, lost)
		}
		return
	}
	s.after(delay, do)
	if s.randomBool(s.faults.duplication) {
		s.after(delay+s.randomDuration(3*time.Second), do)
	}
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// perform performs the actions of an agent's Claims.
func (s *sim) perform(a *simAgent, acts []ClaimAction) {
	claims := a.claims
	for _, act := range acts {
		switch act := act.(type) {
		case ReplyClaim:
			if reply := a.pending[act.RequestID]; reply != nil {
				reply(act.Reply)
			}
		case SendStore:
			done := func(r StoreReply) { s.perform(a, claims.HandleStoreReply(s.now, act.Seq, r)) }
			s.callAgent(func() { done(StoreReply{}) }, act.Request.To, func(b *simAgent) {
				r := b.claims.Store(s.now, act.Request)
				s.deliver(func() { done(r) }, func() { done(StoreReply{}) })
			})
		case SendLookup:
			done := func(r LookupReply) { s.perform(a, claims.HandleLookupReply(s.now, act.Seq, r)) }
			s.callAgent(func() { done(LookupReply{}) }, act.Request.To, func(b *simAgent) {
				r := b.claims.Lookup(s.now, act.Request)
				s.deliver(func() { done(r) }, func() { done(LookupReply{}) })
			})
		}
	}
}

func (s *sim) callAgent(lost func(), to Target, do func(*simAgent)) {
	for _, a := range s.agents {
		if a.target.Server == to.Server {
			s.deliver(func() { do(a) }, lost)
		}
	}
}

// simRequest is one request of a caller with a key.
type simRequest struct {
	sim         *sim
	gateway     *simGateway
	coordinator *Coordinator
	key         string
	keyTime     time.Time
	receivedAt  time.Time
	body        string
	done        func(Result)
}

func (s *sim) request(g *simGateway, key string, keyTime time.Time, done func(Result)) {
	r := &simRequest{sim: s, gateway: g, key: key, keyTime: keyTime, receivedAt: s.now, done: done}
	r.coordinator = New(Config{
		Key: key, Deadline: s.now.Add(8 * time.Second), SettleAfter: 200 * time.Millisecond,
		StallTimeout: 200 * time.Millisecond, ReplyTimeout: 300 * time.Millisecond, MaxSends: 3, Retries: unlimitedRetries{},
	})
	r.feed(Start{})
}

type unlimitedRetries struct{}

func (unlimitedRetries) Withdraw() bool { return true }

func (r *simRequest) feed(in Input) {
	acts := append([]Action(nil), r.coordinator.Step(r.sim.now, in)...)
	for _, act := range acts {
		r.perform(act)
	}
	if !r.coordinator.Finished() {
		delay := r.coordinator.NextTick().Sub(r.sim.now)
		r.sim.after(max(delay, time.Millisecond), func() {
			if !r.coordinator.Finished() && !r.coordinator.NextTick().After(r.sim.now) {
				r.feed(Tick{})
			}
		})
	}
}

func (r *simRequest) perform(act Action) {
	s := r.sim
	switch act := act.(type) {
	case Route:
		r.gateway.seq++
		m := r.gateway.view.Members[s.rng.IntN(len(r.gateway.view.Members))]
		id := ID{Gateway: r.gateway.name, Run: 1, Sequence: r.gateway.seq}
		r.feed(Routed{ID: id, Target: Target{Server: m.ID, Incarnation: m.Incarnation}})
	case Claim:
		r.claim(act.Stream, ClaimRequest{Owner: Assignment{act.ID, act.Target}, Replaces: act.Replaces, Age: act.Age})
	case FenceKey:
		r.claim(act.Stream, ClaimRequest{Replaces: act.Replaces, Fence: true})
	case Send:
		lost := func() { r.feed(Reset{act.Stream}) }
		s.callAgent(lost, act.Target, func(a *simAgent) { r.handleSend(a, act) })
	case Settle:
		lost := func() { r.feed(Reset{act.Stream}) }
		s.callAgent(lost, act.Target, func(a *simAgent) {
			state, response := a.registry.Settle(s.now, act.ID, act.Target.Incarnation)
			s.deliver(func() { r.feed(Settled{act.Stream, state, response != nil}) }, lost)
		})
	case Fetch:
		s.callAgent(func() { r.feed(Reset{act.Stream}) }, act.Target, func(a *simAgent) {
			if _, response := a.registry.Settle(s.now, act.ID, act.Target.Incarnation); response != nil {
				r.sendResponse(act.Stream, act.ID, response, act.Offset)
			}
		})
	case Finish:
		s.outcomes[act.Result.Outcome]++
		if act.Result.Outcome == NotRun {
			s.notRunAt[r.key] = s.now
			if s.runCount[r.key] > 0 {
				s.violations = append(s.violations, "reported as not run, but ran: "+r.key)
			}
		}
		if act.Result.Outcome == Answered && r.body != "answer to "+r.key {
			s.violations = append(s.violations, fmt.Sprintf("%s received response %q", r.key, r.body))
		}
		r.done(act.Result)
	}
}

func (r *simRequest) claim(stream uint32, in ClaimRequest) {
	in.Key, in.KeyTime = r.key, UnixMillisOf(r.keyTime)
	s := r.sim
	if s.skipClaims {
		r.feed(Claimed{Stream: stream, Status: ClaimGranted})
		return
	}
	primary, _ := Primary(r.key, r.gateway.view)
	s.callAgent(func() {}, primary, func(a *simAgent) {
		a.lastRequestID++
		a.pending[a.lastRequestID] = func(reply ClaimReply) {
			s.deliver(func() {
				r.feed(Claimed{Stream: stream, Status: reply.Status, Owner: reply.Owner, RetryAfter: reply.RetryAfter})
			}, func() {})
		}
		s.perform(a, a.claims.Claim(s.now, a.lastRequestID, in))
	})
}

// handleSend handles a Send at an agent.
func (r *simRequest) handleSend(a *simAgent, act Send) {
	s, registry := r.sim, a.registry
	reject := func(state State) {
		s.deliver(func() { r.feed(Rejected{Stream: act.Stream, State: state}) }, func() { r.feed(Reset{act.Stream}) })
	}
	verdict := registry.Begin(s.now, Arrival{
		ID: act.ID, Incarnation: act.Target.Incarnation, Key: r.key, Deadline: r.receivedAt.Add(8 * time.Second),
	})
	switch {
	case verdict == VerdictRun && s.randomBool(s.faults.shedding):
		registry.Fence(s.now, act.ID)
		reject(StateFenced)
		return
	case verdict == VerdictFenced:
		reject(StateFenced)
		return
	case verdict != VerdictRun:
		reject(StateUnknown)
		return
	}
	s.after(s.randomDuration(300*time.Millisecond), func() {
		if a.registry != registry {
			return
		}
		s.runCount[r.key]++
		if at, reported := s.notRunAt[r.key]; reported && !r.receivedAt.After(at) {
			s.violations = append(s.violations, "ran after it was reported as not run: "+r.key)
		}
		s.after(s.randomDuration(400*time.Millisecond), func() {
			response := &Response{Body: []byte("answer to " + r.key)}
			registry.Complete(s.now, act.ID, response)
			if a.registry == registry {
				r.sendResponse(act.Stream, act.ID, response, act.Offset)
			}
		})
	})
}

// sendResponse streams a response, which may be cut after its first half.
func (r *simRequest) sendResponse(num uint32, id ID, response *Response, offset int64) {
	s, half := r.sim, (int64(len(response.Body))+offset)/2
	lost := func() { r.feed(Reset{num}) }
	s.deliver(func() {
		if stream := r.coordinator.findStream(num); stream == nil || stream.hasHead {
			return
		}
		r.feed(Head{Stream: num, ID: id, Length: int64(len(response.Body)), Offset: offset})
		r.deliverBody(num, response.Body[offset:half])
		if s.randomBool(s.faults.truncation) {
			lost()
			return
		}
		s.after(time.Millisecond, func() {
			r.deliverBody(num, response.Body[half:])
			r.feed(End{Stream: num, Total: int64(len(response.Body))})
		})
	}, lost)
}

func (r *simRequest) deliverBody(num uint32, b []byte) {
	if stream := r.coordinator.findStream(num); stream != nil && stream.hasHead {
		r.body += string(b)
		r.feed(Body{Stream: num, N: int64(len(b))})
	}
}
