package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// A segment goes to a member without a question wherever it is likely to own the flow, and
// to agents that do not answer.
func TestOnlyFreshMembersAreAskedFirst(t *testing.T) {
	cases := []struct {
		name           string
		answers        bool
		firstAccepting uint64
		viewNumber     uint64
		isAsked        bool
	}{
		{"started in the epoch, its first views", true, 1, maxFreshView, true},
		{"an agent that does not answer", false, 1, 1, false},
		{"may have flows from an earlier epoch", true, 0, 1, false},
		{"many views after the start of the epoch", true, 1, maxFreshView + 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := server(1)
			s.AnswersQueries, s.FirstAccepting, s.AcceptingSince = c.answers, c.firstAccepting, 1
			b := newBalancer()
			b.SetTable(b.Table().WithView(0, view.New(testService, view.Version{Epoch: 1, Number: c.viewNumber}, []view.BackendServer{s})))
			d := b.Steer(testNow, data(1))
			is.Equal(d.Reason, ReasonSearched)
			is.Equal(d.Query, c.isAsked)
			is.True(!b.Steer(testNow, syn(2)).Query) // new flows are placed at once
		})
	}
}

// Only an agent that knows all flows of its backend server says that it does not own one,
// and only an established flow is surely here.
func TestAgentAnswersQueries(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, true)
	id := tuple(1).ID()
	is.Equal(a.Query(0, id, testIncarnation), NotOwned)
	is.Equal(a.Receive(0, syn(1), forwardInfo(5)).Refusal, RefusalNone)
	is.Equal(a.Query(0, id, testIncarnation), OwnershipUnknown) // its caller may have opened it elsewhere
	a.ObserveReply(0, reply(1, SYN|ACK, 0))
	is.Equal(a.Query(0, id, testIncarnation), OwnershipUnknown)
	a.ObserveReply(0, reply(1, ACK, 100))
	is.Equal(a.Query(0, id, testIncarnation), Owned)
	a.SetState(BackendDeregistered)
	is.Equal(a.Query(0, id, testIncarnation), OwnedByDown)
	is.Equal(a.Query(0, tuple(2).ID(), testIncarnation), NotOwned)

	restarted := newAgent(BackendServing, false)
	is.Equal(restarted.Query(time.Second, id, testIncarnation), OwnershipUnknown)
	restarted.ObserveReply(time.Second, reply(1, ACK, 100))
	is.Equal(restarted.Query(time.Second, id, testIncarnation), Owned)
	is.Equal(restarted.Query(MaxFlowLifetime+time.Second, tuple(2).ID(), testIncarnation), NotOwned)
}
