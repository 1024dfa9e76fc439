package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	t0 = time.Unix(1000, 0)
	ta = Target{Server: "a", Incarnation: 1}
	tb = Target{Server: "b", Incarnation: 1}
)

func testID(n uint64) ID { return ID{Gateway: "g", Run: 1, Sequence: n} }

// step is an input after a pause. Its stream is filled in with the latest.
type step struct {
	after time.Duration
	in    Input
}

// script drives an attempt: it answers Route with a, then b, then nothing, and
// fills the number of the latest stream into inputs.
type script struct {
	a      *Coordinator
	now    time.Time
	stream uint32
	id     ID
	routes int
	sends  []string
	last   string
	result *Result
}

func (s *script) feed(in Input) {
	acts := append([]Action(nil), s.a.Step(s.now, in)...)
	for _, act := range acts {
		switch act := act.(type) {
		case Route:
			s.routes++
			targets := []Target{ta, tb}
			if s.routes > len(targets) {
				s.feed(Unroutable{Reason: ReasonNoServer})
				continue
			}
			s.feed(Routed{ID: testID(uint64(s.routes)), Target: targets[s.routes-1]})
		case Send:
			s.stream, s.id, s.last = act.Stream, act.ID, "send"
			s.sends = append(s.sends, act.Target.Server)
		case Settle:
			s.stream, s.id, s.last = act.Stream, act.ID, "settle"
		case Fetch:
			s.stream, s.id, s.last = act.Stream, act.ID, "fetch"
		case Claim:
			s.stream, s.last = act.Stream, "claim"
		case FenceKey:
			s.stream, s.last = act.Stream, "refuse"
		case Finish:
			s.result = &act.Result
		}
	}
}

// on fills the live stream and ID into in.
func (s *script) on(in Input) Input {
	switch in := in.(type) {
	case Claimed:
		in.Stream = s.stream
		return in
	case NotSent:
		return NotSent{s.stream}
	case Rejected:
		in.Stream = s.stream
		return in
	case Head:
		in.Stream = s.stream
		if in.ID.IsZero() {
			in.ID = s.id
		}
		return in
	case Body:
		in.Stream = s.stream
		return in
	case End:
		in.Stream = s.stream
		return in
	case Reset:
		return Reset{s.stream}
	case Settled:
		in.Stream = s.stream
		return in
	}
	return in
}

func TestFaultTable(t *testing.T) {
	const silence, stall, answer, deadline = time.Second, time.Second, time.Second, 20 * time.Second
	whole := []step{{0, Head{Length: 4}}, {0, Body{N: 4}}, {0, End{Total: 4}}}
	tagged := Head{Length: 4, Validator: "v"}
	resumed := Head{Length: 4, Validator: "v", Offset: 2}
	fetched := []step{{0, Settled{State: StateDone, HasResponse: true}}}
	tick := Tick{}
	cat := func(s ...[]step) (out []step) {
		for _, x := range s {
			out = append(out, x...)
		}
		return out
	}
	tests := []struct {
		name       string
		key        string
		repeatable bool
		steps      []step
		want       Result
		sends      string
	}{
		// The request is lost.
		{"never sent, then elsewhere", "", false, cat([]step{{0, NotSent{}}}, whole), Result{Outcome: Answered}, "ab"},
		{"never sent anywhere", "", false, []step{{0, NotSent{}}, {0, NotSent{}}}, Result{Outcome: NotRun, Reason: ReasonNoServer}, "ab"},
		{"lost silently, fenced, elsewhere", "", false, cat([]step{{silence, tick}, {0, Settled{State: StateFenced}}}, whole), Result{Outcome: Answered}, "ab"},
		{"lost, agent cut off for good", "", false, []step{{silence, tick}, {answer, tick}, {deadline, tick}}, Result{Outcome: Unknown, Reason: ReasonDeadline}, "a"},
		{"repeatable, lost, agent cut off", "", true, cat([]step{{silence, tick}, {answer, tick}}, whole), Result{Outcome: Answered}, "ab"},
		{"repeatable, reset", "", true, cat([]step{{0, Reset{}}}, whole), Result{Outcome: Answered}, "ab"},
		{"repeatable, all lost", "", true, []step{{0, Reset{}}, {0, Reset{}}}, Result{Outcome: Unknown, Reason: ReasonNoServer}, "ab"},
		// The answer is lost, late, crossed or cut.
		{"answer lost, fetched", "", false, cat([]step{{silence, tick}}, fetched, whole), Result{Outcome: Answered}, "a"},
		{"connection reset, still running, fetched later", "", false, cat([]step{{0, Reset{}}, {0, Settled{State: StateRunning}}, {answer, tick}}, fetched, whole), Result{Outcome: Answered}, "a"},
		{"answer lost and not held", "", false, []step{{0, Reset{}}, {0, Settled{State: StateDone}}}, Result{Outcome: Unknown, Reason: ReasonResponseDropped}, "a"},
		{"cut, rest fetched", "", false, cat([]step{{0, Head{Length: 4}}, {0, Body{N: 2}}, {0, Reset{}}}, fetched, []step{{0, Head{Length: 4, Offset: 2}}, {0, Body{N: 2}}, {0, End{Total: 4}}}), Result{Outcome: Answered}, "a"},
		{"end before the length is reached", "", true, []step{{0, Head{Length: 4}}, {0, Body{N: 2}}, {0, End{Total: 2}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost, Abort: true}, "a"},
		{"end without the last bytes", "", true, []step{{0, Head{Length: -1}}, {0, Body{N: 2}}, {0, End{Total: 4}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost, Abort: true}, "a"},
		{"more than the length", "", true, []step{{0, Head{Length: 1}}, {0, Body{N: 2}}}, Result{Outcome: Unknown, Reason: ReasonTruncated, Abort: true}, "a"},
		{"stalled, resumed elsewhere", "", true, []step{{0, tagged}, {0, Body{N: 2}}, {stall, tick}, {0, resumed}, {0, Body{N: 2}}, {0, End{Total: 4}}}, Result{Outcome: Answered}, "ab"},
		{"stalled, other version elsewhere", "", true, []step{{0, tagged}, {0, Body{N: 2}}, {stall, tick}, {0, Head{Length: 4, Validator: "w", Offset: 2}}}, Result{Outcome: Unknown, Reason: ReasonNoServer, Abort: true}, "ab"},
		{"slow caller is not a stall", "", true, []step{{0, Head{Length: 4}}, {stall / 2, Body{}}, {stall / 2, tick}, {0, Body{N: 4}}, {0, End{Total: 4}}}, Result{Outcome: Answered}, "a"},
		{"crossed answer dropped", "", false, cat([]step{{0, Head{Length: 9, ID: testID(77)}}}, fetched, whole), Result{Outcome: Answered}, "a"},
		// The agent refuses, restarts or forgets.
		{"shed, elsewhere", "", false, cat([]step{{0, Rejected{State: StateFenced}}}, whole), Result{Outcome: Answered}, "ab"},
		{"shed everywhere", "", false, []step{{0, Rejected{State: StateFenced}}, {0, Rejected{State: StateFenced, RetryAfter: 5}}}, Result{Outcome: NotRun, Reason: ReasonNoServer}, "ab"},
		{"shed here, lost there", "", false, []step{{0, Rejected{State: StateFenced}}, {0, Reset{}}, {0, Settled{}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost}, "ab"},
		{"agent restarted before the send", "", false, []step{{0, Rejected{}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost}, "a"},
		{"agent restarted midway", "", false, []step{{0, Reset{}}, {0, Settled{State: StateUnknown}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost}, "a"},
		// The caller goes or the deadline passes.
		{"cancelled", "", false, []step{{0, Cancel{}}}, Result{Outcome: Unknown, Reason: ReasonCancelled}, "a"},
		{"deadline in the body", "", true, []step{{0, Head{Length: 4}}, {deadline, tick}}, Result{Outcome: Unknown, Reason: ReasonDeadline, Abort: true}, "a"},
		// Keys.
		{"claimed", "k", false, cat([]step{{0, Claimed{Status: ClaimGranted}}}, whole), Result{Outcome: Answered}, "a"},
		{"claim lost, asked again", "k", false, cat([]step{{answer, tick}, {0, Claimed{Status: ClaimGranted}}}, whole), Result{Outcome: Answered}, "a"},
		{"grant too late to use, then held back", "k", false, []step{{GrantTimeout, Claimed{Status: ClaimGranted}}, {0, Claimed{Status: ClaimFenced}}}, Result{Outcome: NotRun, Reason: ReasonOverload}, ""},
		{"first answer again", "k", false, cat([]step{{0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}}, fetched, whole), Result{Outcome: Answered}, ""},
		{"first send still running", "k", false, []step{{0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}, {0, Settled{State: StateRunning}}, {deadline, tick}}, Result{Outcome: Unknown, Reason: ReasonStillRunning}, ""},
		{"first send's agent gone", "k", false, []step{{0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}, {0, Settled{}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost}, ""},
		{"first send never ran", "k", false, cat([]step{{0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}, {0, Settled{State: StateFenced}}, {0, Claimed{Status: ClaimGranted}}}, whole), Result{Outcome: Answered}, "b"},
		{"holders gone", "k", false, []step{{0, Claimed{}}, {deadline, tick}}, Result{Outcome: Unknown, Reason: ReasonKeyUnavailable}, ""},
		{"key of another request", "k", false, []step{{0, Claimed{Status: ClaimMismatch}}}, Result{Outcome: NotRun, Reason: ReasonKeyReused}, ""},
		{"shed, said for the key", "k", false, []step{{0, Claimed{Status: ClaimGranted}}, {0, Rejected{State: StateFenced}}, {0, Claimed{Status: ClaimGranted}}, {0, Rejected{State: StateFenced}}, {0, Claimed{Status: ClaimFenced, RetryAfter: 7}}}, Result{Outcome: NotRun, Reason: ReasonNoServer, RetryAfter: 7}, "ab"},
		{"shed, key not told", "k", false, []step{{0, Claimed{Status: ClaimGranted}}, {0, NotSent{}}, {0, Claimed{Status: ClaimGranted}}, {0, NotSent{}}, {answer, tick}}, Result{Outcome: Unknown, Reason: ReasonKeyUnavailable}, "ab"},
		{"shed, but an earlier send holds the key", "k", false, cat([]step{{0, Claimed{Status: ClaimGranted}}, {0, NotSent{}}, {0, Claimed{Status: ClaimGranted}}, {0, NotSent{}}, {0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}}, fetched, whole), Result{Outcome: Answered}, "ab"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &script{now: t0, a: New(Config{
				Key: tt.key, Repeatable: tt.repeatable, Deadline: t0.Add(deadline),
				SettleAfter: silence, StallTimeout: stall, ReplyTimeout: answer, MaxSends: 3, Retries: always{},
			})}
			s.feed(Start{})
			for i, st := range tt.steps {
				if s.result != nil {
					t.Fatalf("ended before step %d: %+v", i, *s.result)
				}
				s.now = s.now.Add(st.after)
				s.feed(s.on(st.in))
			}
			is.True(s.result != nil)
			is.Equal(*s.result, tt.want)
			sends := ""
			for _, name := range s.sends {
				sends += name
			}
			is.Equal(sends, tt.sends)
			is.Equal(len(s.a.Step(s.now, Head{Stream: s.stream})), 0) // late input is dropped
		})
	}
}

func TestHedgeTakesFirstHead(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(0.5, 10)
	budget.Deposit()
	budget.Deposit()
	s := &script{now: t0, a: New(Config{
		Repeatable: true, Deadline: t0.Add(time.Minute), SettleAfter: time.Second, StallTimeout: time.Second,
		ReplyTimeout: time.Second, HedgeAfter: 100 * time.Millisecond, MaxSends: 3, Retries: budget,
	})}
	s.feed(Start{})
	first := s.stream
	is.Equal(s.a.NextTick(), t0.Add(100*time.Millisecond))
	s.now = s.a.NextTick()
	s.feed(Tick{})
	is.Equal(len(s.sends), 2)
	acts := s.a.Step(s.now, Head{Stream: first, ID: testID(1), Length: 0})
	is.Equal(acts, []Action{Stop{Stream: s.stream, Cancel: true}, Pass{Stream: first}})
	s.feed(End{Stream: first})
	is.Equal(s.result.Outcome, Answered)
}

func TestBudgetBoundsFurtherSends(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 50)
	sends := 0
	for range 1000 {
		b.Deposit()
		for b.Withdraw() {
			sends++
		}
	}
	is.Equal(sends, 100)
	for range 10000 {
		b.Deposit()
	}
	for sends = 0; b.Withdraw(); sends++ {
	}
	is.Equal(sends, 50)
}
