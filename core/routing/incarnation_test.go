package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// Guards against resets of flows that a new incarnation has accepted before the agent knew
// of it, and against flows of the one before that nobody owns any more.
func TestFlowsAtTheStartOfAnIncarnation(t *testing.T) {
	const (
		crash = 10 * time.Second
		start = 11 * time.Second
	)
	for _, tt := range []struct {
		name     string
		earliest time.Duration
		synAt    time.Duration
		replyAt  time.Duration // 0 for no reply
		want     Refusal
	}{
		{"opened before the crash", start, crash - time.Second, crash - time.Second, RefusalUnknownFlow},
		{"SYN after the start", start, start + 1, 0, RefusalNone},
		{"SYN just before the reported start", start, start - startMargin, 0, RefusalNone},
		{"SYN into the void between", start, crash + 1, 0, RefusalUnknownFlow},
		{"used after the start", start, crash - time.Second, start + 1, RefusalNone},
		{"the start is unknown", StartUnknown, crash - time.Second, crash - time.Second, RefusalNone},
		{"the start may be older than this process", -1, crash - time.Second, 0, RefusalNone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent(BackendServing, true)
			a.Receive(tt.synAt, syn(1), forwardInfo(5))
			if tt.replyAt > 0 {
				a.ObserveReply(tt.synAt, reply(1, SYN|ACK, 0))
				a.ObserveReply(tt.replyAt, reply(1, ACK, 10))
			}
			a.StartIncarnation(testIncarnation+1, tt.earliest)
			a.SetState(BackendServing)
			is.Equal(a.Receive(start+time.Second, data(1), forwardInfo(5)).Refusal, tt.want)
			is.Equal(a.Load().RunningRequests == 0, tt.want != RefusalNone)
		})
	}
}

// What the agent tells of an incarnation decides which members a search may leave out.
func TestPastUseOfAnIncarnation(t *testing.T) {
	for _, tt := range []struct {
		name     string
		earliest time.Duration
		synAt    time.Duration // 0 for none
		want     PastUse
	}{
		{"no SYN", time.Second, 0, UseNone},
		{"SYN for the incarnation before", time.Minute, time.Second, UseNone},
		{"SYN before the first report", time.Minute, time.Minute + time.Second, UsePossible},
		{"started with this process", -maxStartLead, 0, UseBeforeProcess},
		{"started with this process, SYN before the first report", -maxStartLead, time.Second, UsePossible},
		{"older than this process", -maxStartLead - 1, 0, UsePossible},
		{"unknown start", StartUnknown, 0, UsePossible},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent(BackendServing, true)
			if tt.synAt > 0 {
				is.Equal(a.Receive(tt.synAt, syn(1), forwardInfo(5)).Refusal, RefusalNone)
			}
			a.StartIncarnation(testIncarnation+1, tt.earliest)
			is.Equal(a.PastUse(), tt.want)
			is.Equal(a.AnswersQueries(), tt.earliest >= -maxStartLead)
			a.SetState(BackendServing)
			next := forwardInfo(5)
			next.Incarnation++
			is.Equal(a.Receive(2*time.Minute, syn(2), next).Refusal, RefusalNone)
			is.Equal(a.PastUse(), UsePossible)
		})
	}
}

// A query about a flow that may have been lost with the incarnation before is answered by
// the backend server, not from the record.
func TestQueryAboutUncertainFlowAsksTheBackendServer(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, true)
	a.Receive(time.Second, syn(1), forwardInfo(5))
	a.ObserveReply(time.Second, reply(1, ACK, 10))
	is.Equal(a.Query(time.Second, tuple(1).ID(), testIncarnation), Owned)
	a.StartIncarnation(testIncarnation+1, StartUnknown)
	a.SetState(BackendServing)
	is.Equal(a.Query(time.Second, tuple(1).ID(), testIncarnation+1), OwnershipUnknown)
	d := a.Receive(time.Second, data(1), forwardInfo(5))
	a.HandleBounce(data(1), d.Token)
	is.Equal(a.Load(), Load{}) // it is lost
}

// A query tells an agent that the whole fleet has restarted, and with it the backend
// server that has started just before this process.
func TestQueryShowsThatEarlierFlowsAreLost(t *testing.T) {
	for _, tt := range []struct {
		name     string
		earliest time.Duration
		asked    view.Incarnation
		want     Ownership
	}{
		{"started with this process", -maxStartLead, testIncarnation + 1, NotOwned},
		{"another incarnation", -maxStartLead, testIncarnation, OwnershipUnknown},
		{"older than this process", -maxStartLead - 1, testIncarnation + 1, OwnershipUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent(BackendServing, true)
			a.StartIncarnation(testIncarnation+1, tt.earliest)
			a.SetState(BackendServing)
			is.Equal(a.Query(testNow, tuple(1).ID(), tt.asked), tt.want)
			refusal := a.Receive(testNow, data(1), forwardInfo(5)).Refusal
			is.Equal(refusal == RefusalUnknownFlow, tt.want == NotOwned)
		})
	}
}
