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

// step is an input after a delay. It applies to the latest stream.
type step struct {
	after time.Duration
	in    Input
}

// harness drives a Coordinator: it replies to Route with server a, then b, then
// Unroutable, and sets the latest stream in inputs.
type harness struct {
	coordinator *Coordinator
	now         time.Time
	stream      uint32
	id          ID
	routeCount  int
	servers     []string
	lastAction  string
	result      *Result
}

func (h *harness) feed(in Input) {
	acts := append([]Action(nil), h.coordinator.Step(h.now, in)...)
	for _, act := range acts {
		switch act := act.(type) {
		case Route:
			h.routeCount++
			targets := []Target{ta, tb}
			if h.routeCount > len(targets) {
				h.feed(Unroutable{Reason: ReasonNoServer})
				continue
			}
			h.feed(Routed{ID: testID(uint64(h.routeCount)), Target: targets[h.routeCount-1]})
		case Send:
			h.stream, h.id, h.lastAction = act.Stream, act.ID, "send"
			h.servers = append(h.servers, act.Target.Server)
		case Settle:
			h.stream, h.id, h.lastAction = act.Stream, act.ID, "settle"
		case Fetch:
			h.stream, h.id, h.lastAction = act.Stream, act.ID, "fetch"
		case Claim:
			h.stream, h.lastAction = act.Stream, "claim"
		case FenceKey:
			h.stream, h.lastAction = act.Stream, "fence"
		case Finish:
			h.result = &act.Result
		}
	}
}

// withStream returns in for the latest stream and its ID.
func (h *harness) withStream(in Input) Input {
	switch in := in.(type) {
	case Claimed:
		in.Stream = h.stream
		return in
	case NotSent:
		return NotSent{h.stream}
	case Rejected:
		in.Stream = h.stream
		return in
	case Head:
		in.Stream = h.stream
		if in.ID.IsZero() {
			in.ID = h.id
		}
		return in
	case Body:
		in.Stream = h.stream
		return in
	case End:
		in.Stream = h.stream
		return in
	case Reset:
		return Reset{h.stream}
	case Settled:
		in.Stream = h.stream
		return in
	}
	return in
}

func TestOutcomesOfFaults(t *testing.T) {
	const settleAfter, stallTimeout, replyTimeout, deadline = time.Second, time.Second, time.Second, 20 * time.Second
	complete := []step{{0, Head{Length: 4}}, {0, Body{N: 4}}, {0, End{Total: 4}}}
	withValidator := Head{Length: 4, Validator: "v"}
	resumed := Head{Length: 4, Validator: "v", Offset: 2}
	fetched := []step{{0, Settled{State: StateDone, HasResponse: true}}}
	tick := Tick{}
	concat := func(s ...[]step) (out []step) {
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
		{"not sent, retried at another server", "", false, concat([]step{{0, NotSent{}}}, complete), Result{Outcome: Answered}, "ab"},
		{"not sent to any server", "", false, []step{{0, NotSent{}}, {0, NotSent{}}}, Result{Outcome: NotRun, Reason: ReasonNoServer}, "ab"},
		{"no response, fenced, retried at another server", "", false, concat([]step{{settleAfter, tick}, {0, Settled{State: StateFenced}}}, complete), Result{Outcome: Answered}, "ab"},
		{"no response, agent unreachable until the deadline", "", false, []step{{settleAfter, tick}, {replyTimeout, tick}, {deadline, tick}}, Result{Outcome: Unknown, Reason: ReasonDeadline}, "a"},
		{"repeatable, no response, agent unreachable, retried", "", true, concat([]step{{settleAfter, tick}, {replyTimeout, tick}}, complete), Result{Outcome: Answered}, "ab"},
		{"repeatable, reset, retried", "", true, concat([]step{{0, Reset{}}}, complete), Result{Outcome: Answered}, "ab"},
		{"repeatable, every send reset", "", true, []step{{0, Reset{}}, {0, Reset{}}}, Result{Outcome: Unknown, Reason: ReasonNoServer}, "ab"},
		// The response is lost, late, broken or of another attempt.
		{"response lost, fetched", "", false, concat([]step{{settleAfter, tick}}, fetched, complete), Result{Outcome: Answered}, "a"},
		{"connection reset, still running, fetched later", "", false, concat([]step{{0, Reset{}}, {0, Settled{State: StateRunning}}, {replyTimeout, tick}}, fetched, complete), Result{Outcome: Answered}, "a"},
		{"response lost and not stored", "", false, []step{{0, Reset{}}, {0, Settled{State: StateDone}}}, Result{Outcome: Unknown, Reason: ReasonResponseDropped}, "a"},
		{"response broken, rest fetched", "", false, concat([]step{{0, Head{Length: 4}}, {0, Body{N: 2}}, {0, Reset{}}}, fetched, []step{{0, Head{Length: 4, Offset: 2}}, {0, Body{N: 2}}, {0, End{Total: 4}}}), Result{Outcome: Answered}, "a"},
		{"end before the length is reached", "", true, []step{{0, Head{Length: 4}}, {0, Body{N: 2}}, {0, End{Total: 2}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost, Abort: true}, "a"},
		{"end without the last bytes", "", true, []step{{0, Head{Length: -1}}, {0, Body{N: 2}}, {0, End{Total: 4}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost, Abort: true}, "a"},
		{"body longer than its length", "", true, []step{{0, Head{Length: 1}}, {0, Body{N: 2}}}, Result{Outcome: Unknown, Reason: ReasonTruncated, Abort: true}, "a"},
		{"stalled, resumed at another server", "", true, []step{{0, withValidator}, {0, Body{N: 2}}, {stallTimeout, tick}, {0, resumed}, {0, Body{N: 2}}, {0, End{Total: 4}}}, Result{Outcome: Answered}, "ab"},
		{"stalled, other version at another server", "", true, []step{{0, withValidator}, {0, Body{N: 2}}, {stallTimeout, tick}, {0, Head{Length: 4, Validator: "w", Offset: 2}}}, Result{Outcome: Unknown, Reason: ReasonNoServer, Abort: true}, "ab"},
		{"slow caller does not count as a stall", "", true, []step{{0, Head{Length: 4}}, {stallTimeout / 2, Body{}}, {stallTimeout / 2, tick}, {0, Body{N: 4}}, {0, End{Total: 4}}}, Result{Outcome: Answered}, "a"},
		{"response of another attempt ignored", "", false, concat([]step{{0, Head{Length: 9, ID: testID(77)}}}, fetched, complete), Result{Outcome: Answered}, "a"},
		// The agent rejects the request or restarts.
		{"rejected, retried at another server", "", false, concat([]step{{0, Rejected{State: StateFenced}}}, complete), Result{Outcome: Answered}, "ab"},
		{"rejected by every server", "", false, []step{{0, Rejected{State: StateFenced}}, {0, Rejected{State: StateFenced, RetryAfter: 5}}}, Result{Outcome: NotRun, Reason: ReasonNoServer}, "ab"},
		{"rejected by one server, lost at the other", "", false, []step{{0, Rejected{State: StateFenced}}, {0, Reset{}}, {0, Settled{}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost}, "ab"},
		{"agent restarted before the send", "", false, []step{{0, Rejected{}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost}, "a"},
		{"agent restarted during the request", "", false, []step{{0, Reset{}}, {0, Settled{State: StateUnknown}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost}, "a"},
		// The caller disconnects or the deadline passes.
		{"cancelled", "", false, []step{{0, Cancel{}}}, Result{Outcome: Unknown, Reason: ReasonCancelled}, "a"},
		{"deadline during the body", "", true, []step{{0, Head{Length: 4}}, {deadline, tick}}, Result{Outcome: Unknown, Reason: ReasonDeadline, Abort: true}, "a"},
		// Requests with a key.
		{"claimed", "k", false, concat([]step{{0, Claimed{Status: ClaimGranted}}}, complete), Result{Outcome: Answered}, "a"},
		{"claim lost, sent again", "k", false, concat([]step{{replyTimeout, tick}, {0, Claimed{Status: ClaimGranted}}}, complete), Result{Outcome: Answered}, "a"},
		{"late grant ignored, then fenced", "k", false, []step{{GrantTimeout, Claimed{Status: ClaimGranted}}, {0, Claimed{Status: ClaimFenced}}}, Result{Outcome: NotRun, Reason: ReasonOverload}, ""},
		{"response of the first request fetched", "k", false, concat([]step{{0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}}, fetched, complete), Result{Outcome: Answered}, ""},
		{"first request still running", "k", false, []step{{0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}, {0, Settled{State: StateRunning}}, {deadline, tick}}, Result{Outcome: Unknown, Reason: ReasonStillRunning}, ""},
		{"agent of the first request lost", "k", false, []step{{0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}, {0, Settled{}}}, Result{Outcome: Unknown, Reason: ReasonAgentLost}, ""},
		{"first request fenced", "k", false, concat([]step{{0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}, {0, Settled{State: StateFenced}}, {0, Claimed{Status: ClaimGranted}}}, complete), Result{Outcome: Answered}, "b"},
		{"replicas unavailable", "k", false, []step{{0, Claimed{}}, {deadline, tick}}, Result{Outcome: Unknown, Reason: ReasonKeyUnavailable}, ""},
		{"key used for another request", "k", false, []step{{0, Claimed{Status: ClaimMismatch}}}, Result{Outcome: NotRun, Reason: ReasonKeyReused}, ""},
		{"rejected by every server, key fenced", "k", false, []step{{0, Claimed{Status: ClaimGranted}}, {0, Rejected{State: StateFenced}}, {0, Claimed{Status: ClaimGranted}}, {0, Rejected{State: StateFenced}}, {0, Claimed{Status: ClaimFenced, RetryAfter: 7}}}, Result{Outcome: NotRun, Reason: ReasonNoServer, RetryAfter: 7}, "ab"},
		{"not sent, fence without reply", "k", false, []step{{0, Claimed{Status: ClaimGranted}}, {0, NotSent{}}, {0, Claimed{Status: ClaimGranted}}, {0, NotSent{}}, {replyTimeout, tick}}, Result{Outcome: Unknown, Reason: ReasonKeyUnavailable}, "ab"},
		{"not sent, key owned by an earlier request", "k", false, concat([]step{{0, Claimed{Status: ClaimGranted}}, {0, NotSent{}}, {0, Claimed{Status: ClaimGranted}}, {0, NotSent{}}, {0, Claimed{Status: ClaimExists, Owner: Assignment{testID(9), tb}}}}, fetched, complete), Result{Outcome: Answered}, "ab"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := &harness{now: t0, coordinator: New(Config{
				Key: tt.key, Repeatable: tt.repeatable, Deadline: t0.Add(deadline),
				SettleAfter: settleAfter, StallTimeout: stallTimeout, ReplyTimeout: replyTimeout, MaxSends: 3, Retries: unlimitedRetries{},
			})}
			h.feed(Start{})
			for i, st := range tt.steps {
				if h.result != nil {
					t.Fatalf("ended before step %d: %+v", i, *h.result)
				}
				h.now = h.now.Add(st.after)
				h.feed(h.withStream(st.in))
			}
			is.True(h.result != nil)
			is.Equal(*h.result, tt.want)
			sends := ""
			for _, name := range h.servers {
				sends += name
			}
			is.Equal(sends, tt.sends)
			is.Equal(len(h.coordinator.Step(h.now, Head{Stream: h.stream})), 0) // input after the end is ignored
		})
	}
}

func TestFirstResponseHeadStopsOtherHedgeCopy(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(0.5, 10)
	budget.Deposit()
	budget.Deposit()
	h := &harness{now: t0, coordinator: New(Config{
		Repeatable: true, Deadline: t0.Add(time.Minute), SettleAfter: time.Second, StallTimeout: time.Second,
		ReplyTimeout: time.Second, HedgeAfter: 100 * time.Millisecond, MaxSends: 3, Retries: budget,
	})}
	h.feed(Start{})
	first := h.stream
	is.Equal(h.coordinator.NextTick(), t0.Add(100*time.Millisecond))
	h.now = h.coordinator.NextTick()
	h.feed(Tick{})
	is.Equal(len(h.servers), 2)
	acts := h.coordinator.Step(h.now, Head{Stream: first, ID: testID(1), Length: 0})
	is.Equal(acts, []Action{Stop{Stream: h.stream, Cancel: true}, Pass{Stream: first}})
	h.feed(End{Stream: first})
	is.Equal(h.result.Outcome, Answered)
}

func TestBudgetBoundsRetries(t *testing.T) {
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
