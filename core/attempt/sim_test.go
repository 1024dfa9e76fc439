package attempt

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"fulmarmount.org/core/view"
)

// faults are the probabilities of one schedule.
type faults struct {
	lose, double, cut, shed float64
	restart                 time.Duration // mean time between restarts, 0 for none
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

// sim joins gateways and agents by a network that loses, delays and doubles
// messages, and counts how often each key ran.
type sim struct {
	rng      *rand.Rand
	now      time.Time
	queue    events
	seq      int
	faults   faults
	agents   []*simAgent
	gateways []*simGateway
	view     *view.View
	runs     map[string]int
	notRun   map[string]time.Time
	outcomes [3]int
	bad      []string
	naive    bool
}

type simAgent struct {
	index   int
	target  Target
	record  *Registry
	claims  *Claims
	pending map[uint64]func(ClaimReply)
	conv    uint64
}

type simGateway struct {
	name string
	view *view.View
	seq  uint64
}

const (
	simLifetime = 10 * time.Minute
	simSkew     = 50 * time.Millisecond
	simLag      = 3 * time.Second
)

func newSim(seed uint64, f faults, naive bool) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), faults: f, naive: naive,
		runs: make(map[string]int), notRun: make(map[string]time.Time),
	}
	for i := range 5 {
		s.agents = append(s.agents, &simAgent{index: i})
		s.boot(s.agents[i], 1)
	}
	s.view = s.newView(1)
	for _, a := range s.agents {
		a.claims.SetView(s.now, s.view)
	}
	for i := range 3 {
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprint("g", i), view: s.view})
	}
	s.now = s.now.Add(time.Second)
	if f.restart > 0 {
		s.after(s.upTo(f.restart), s.restart)
	}
	return s
}

func (s *sim) boot(a *simAgent, inc view.Incarnation) {
	a.target = Target{Server: fmt.Sprint("s", a.index), Incarnation: inc}
	a.record = NewRegistry(RegistryConfig{
		Incarnation: inc, Retention: simLifetime, MaxAttempts: 1000, MaxFences: 1000, MaxResponseBytes: 100, MaxTotalBytes: 10000,
	})
	a.claims = NewClaims(s.now, ClaimsConfig{
		Self: a.target, KeyLifetime: simLifetime, MaxClockSkew: simSkew, ViewLag: simLag, MaxEntries: 1000,
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

// restart gives one agent a new incarnation, and the others the new view at
// uneven times within the lag.
func (s *sim) restart() {
	a := s.agents[s.rng.IntN(len(s.agents))]
	s.boot(a, a.target.Incarnation+1)
	s.view = s.newView(s.view.Version.Number + 1)
	v := s.view
	peer := s.agents[(a.index+1)%len(s.agents)].claims.History(s.now)
	a.claims.AdoptHistory(s.now, peer)
	for _, b := range s.agents {
		s.after(s.upTo(simLag-100*time.Millisecond), func() { s.perform(b, b.claims.SetView(s.now, v)) })
	}
	for _, g := range s.gateways {
		s.after(s.upTo(simLag), func() {
			if v.Version.Newer(g.view.Version) {
				g.view = v
			}
		})
	}
	s.after(s.upTo(2*s.faults.restart), s.restart)
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

// deliver carries one message: at most times, never, or twice.
func (s *sim) deliver(do func(), lost func()) {
	delay := 3*time.Millisecond + s.upTo(4*time.Millisecond)
	if s.chance(s.faults.lose) {
		delay += s.upTo(3 * time.Second)
	}
	if s.chance(s.faults.lose) {
		if s.chance(0.5) {
			s.after(delay, lost)
		}
		return
	}
	s.after(delay, do)
	if s.chance(s.faults.double) {
		s.after(delay+s.upTo(3*time.Second), do)
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

// perform carries out what an agent's Claims ask for.
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
			s.call(func() { done(StoreReply{}) }, act.Request.To, func(b *simAgent) {
				r := b.claims.Store(s.now, act.Request)
				s.deliver(func() { done(r) }, func() { done(StoreReply{}) })
			})
		case SendLookup:
			done := func(r LookupReply) { s.perform(a, claims.HandleLookupReply(s.now, act.Seq, r)) }
			s.call(func() { done(LookupReply{}) }, act.Request.To, func(b *simAgent) {
				r := b.claims.Lookup(s.now, act.Request)
				s.deliver(func() { done(r) }, func() { done(LookupReply{}) })
			})
		}
	}
}

func (s *sim) call(lost func(), to Target, do func(*simAgent)) {
	for _, a := range s.agents {
		if a.target.Server == to.Server {
			s.deliver(func() { do(a) }, lost)
		}
	}
}

// simRequest is one send of a key by its caller.
type simRequest struct {
	s        *sim
	g        *simGateway
	a        *Coordinator
	key      string
	made     time.Time
	received time.Time
	body     string
	done     func(Result)
}

func (s *sim) request(g *simGateway, key string, made time.Time, done func(Result)) {
	r := &simRequest{s: s, g: g, key: key, made: made, received: s.now, done: done}
	r.a = New(Config{
		Key: key, Deadline: s.now.Add(8 * time.Second), SettleAfter: 200 * time.Millisecond,
		StallTimeout: 200 * time.Millisecond, ReplyTimeout: 300 * time.Millisecond, MaxSends: 3, Retries: always{},
	})
	r.feed(Start{})
}

type always struct{}

func (always) Withdraw() bool { return true }

func (r *simRequest) feed(in Input) {
	acts := append([]Action(nil), r.a.Step(r.s.now, in)...)
	for _, act := range acts {
		r.act(act)
	}
	if !r.a.Finished() {
		wake := r.a.NextTick().Sub(r.s.now)
		r.s.after(max(wake, time.Millisecond), func() {
			if !r.a.Finished() && !r.a.NextTick().After(r.s.now) {
				r.feed(Tick{})
			}
		})
	}
}

func (r *simRequest) act(act Action) {
	s := r.s
	switch act := act.(type) {
	case Route:
		r.g.seq++
		m := r.g.view.Members[s.rng.IntN(len(r.g.view.Members))]
		id := ID{Gateway: r.g.name, Run: 1, Sequence: r.g.seq}
		r.feed(Routed{ID: id, Target: Target{Server: m.ID, Incarnation: m.Incarnation}})
	case Claim:
		r.claim(act.Stream, ClaimRequest{Owner: Assignment{act.ID, act.Target}, Replaces: act.Replaces, Age: act.Age})
	case FenceKey:
		r.claim(act.Stream, ClaimRequest{Replaces: act.Replaces, Fence: true})
	case Send:
		lost := func() { r.feed(Reset{act.Stream}) }
		s.call(lost, act.Target, func(a *simAgent) { r.arrive(a, act) })
	case Settle:
		lost := func() { r.feed(Reset{act.Stream}) }
		s.call(lost, act.Target, func(a *simAgent) {
			st, ans := a.record.Settle(s.now, act.ID, act.Target.Incarnation)
			s.deliver(func() { r.feed(Settled{act.Stream, st, ans != nil}) }, lost)
		})
	case Fetch:
		s.call(func() { r.feed(Reset{act.Stream}) }, act.Target, func(a *simAgent) {
			if _, ans := a.record.Settle(s.now, act.ID, act.Target.Incarnation); ans != nil {
				r.answer(act.Stream, act.ID, ans, act.Offset)
			}
		})
	case Finish:
		s.outcomes[act.Result.Outcome]++
		if act.Result.Outcome == NotRun {
			s.notRun[r.key] = s.now
			if s.runs[r.key] > 0 {
				s.bad = append(s.bad, "false not run of "+r.key)
			}
		}
		if act.Result.Outcome == Answered && r.body != "answer to "+r.key {
			s.bad = append(s.bad, fmt.Sprintf("%s got %q", r.key, r.body))
		}
		r.done(act.Result)
	}
}

func (r *simRequest) claim(stream uint32, in ClaimRequest) {
	in.Key, in.KeyTime = r.key, UnixMillisOf(r.made)
	s := r.s
	if s.naive {
		r.feed(Claimed{Stream: stream, Status: ClaimGranted})
		return
	}
	home, _ := Primary(r.key, r.g.view)
	s.call(func() {}, home, func(a *simAgent) {
		a.conv++
		a.pending[a.conv] = func(rep ClaimReply) {
			s.deliver(func() {
				r.feed(Claimed{Stream: stream, Status: rep.Status, Owner: rep.Owner, RetryAfter: rep.RetryAfter})
			}, func() {})
		}
		s.perform(a, a.claims.Claim(s.now, a.conv, in))
	})
}

// arrive runs a Send at an agent. The naive agent runs whatever arrives.
func (r *simRequest) arrive(a *simAgent, act Send) {
	s, rec := r.s, a.record
	refuse := func(st State) {
		s.deliver(func() { r.feed(Rejected{Stream: act.Stream, State: st}) }, func() { r.feed(Reset{act.Stream}) })
	}
	v := rec.Begin(s.now, Arrival{
		ID: act.ID, Incarnation: act.Target.Incarnation, Key: r.key, Deadline: r.received.Add(8 * time.Second),
	})
	switch {
	case v == VerdictRun && s.chance(s.faults.shed):
		rec.Fence(s.now, act.ID)
		refuse(StateFenced)
		return
	case v == VerdictFenced:
		refuse(StateFenced)
		return
	case v != VerdictRun:
		refuse(StateUnknown)
		return
	}
	s.after(s.upTo(300*time.Millisecond), func() {
		if a.record != rec {
			return
		}
		s.runs[r.key]++
		if at, told := s.notRun[r.key]; told && !r.received.After(at) {
			s.bad = append(s.bad, "ran after not run: "+r.key)
		}
		s.after(s.upTo(400*time.Millisecond), func() {
			ans := &Response{Body: []byte("answer to " + r.key)}
			rec.Complete(s.now, act.ID, ans)
			if a.record == rec {
				r.answer(act.Stream, act.ID, ans, act.Offset)
			}
		})
	})
}

// answer streams an answer, which may be cut anywhere.
func (r *simRequest) answer(num uint32, id ID, ans *Response, offset int64) {
	s, half := r.s, (int64(len(ans.Body))+offset)/2
	lost := func() { r.feed(Reset{num}) }
	s.deliver(func() {
		if st := r.a.find(num); st == nil || st.head {
			return
		}
		r.feed(Head{Stream: num, ID: id, Length: int64(len(ans.Body)), Offset: offset})
		r.pass(num, ans.Body[offset:half])
		if s.chance(s.faults.cut) {
			lost()
			return
		}
		s.after(time.Millisecond, func() {
			r.pass(num, ans.Body[half:])
			r.feed(End{Stream: num, Total: int64(len(ans.Body))})
		})
	}, lost)
}

func (r *simRequest) pass(num uint32, b []byte) {
	if st := r.a.find(num); st != nil && st.head {
		r.body += string(b)
		r.feed(Body{Stream: num, N: int64(len(b))})
	}
}
