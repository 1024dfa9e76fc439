package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// newColdAgent returns an agent whose backend server is cold for a time.
func newColdAgent(limit uint32, remaining time.Duration) *Agent {
	a := newAgent(BackendServing, true)
	a.SetColdLimit(limit)
	a.SetWarmup(testNow, remaining)
	return a
}

// The naive version counts the earlier deliveries within a second before each SYN.
func TestColdLimitHoldsInEverySlidingSecond(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		limit := 1 + random.IntN(12)
		a := newColdAgent(uint32(limit), time.Hour)
		var delivered []time.Duration
		now, refused := testNow, 0
		for n := range 2000 {
			now += time.Duration(random.Int64N(int64(2 * time.Second / time.Duration(3*limit))))
			switch a.Receive(now, syn(n), forwardInfo(5)).Refusal {
			case RefusalNone:
				delivered = append(delivered, now)
			case RefusalColdLimit:
				refused++
				within := slices.IndexFunc(delivered, func(at time.Duration) bool { return now-at <= newFlowWindow })
				is.Equal(len(delivered)-within, limit) // no flow is refused that the limit allows
			default:
				t.Fatal("another refusal")
			}
		}
		for i := limit; i < len(delivered); i++ {
			is.True(delivered[i]-delivered[i-limit] > time.Second)
		}
		is.True(refused > 0)
	}
}

func TestColdLimit(t *testing.T) {
	is := is.New(t)
	a := newColdAgent(2, 5*time.Second)
	is.Equal(a.Load(), Load{IsCold: true, NewFlowAllowance: 2})
	is.Equal(a.Receive(testNow, syn(1), forwardInfo(5)).Refusal, RefusalNone)
	is.Equal(a.Receive(testNow, syn(2), forwardInfo(5)).Refusal, RefusalNone)
	is.Equal(a.Load().NewFlowAllowance, uint16(0))
	is.Equal(a.Receive(testNow, syn(3), forwardInfo(5)).Refusal, RefusalColdLimit)
	is.Equal(a.Receive(testNow, syn(2), forwardInfo(5)).Refusal, RefusalNone)  // a retransmission
	is.Equal(a.Receive(testNow, data(1), forwardInfo(5)).Refusal, RefusalNone) // an open flow goes on
	reopened := syn(1)
	reopened.Seq = 77
	is.Equal(a.Receive(testNow, reopened, forwardInfo(5)).Refusal, RefusalColdLimit) // a new flow from the same port

	a.Tick(testNow + newFlowWindow + 1)
	is.Equal(a.Load().NewFlowAllowance, uint16(2))
	a.Tick(testNow + 5*time.Second)
	a.SetState(BackendServing) // still reports
	is.True(!a.Load().IsCold)  // warm by the time counted since the report
	for n := range 50 {
		is.Equal(a.Receive(testNow+5*time.Second, syn(10+n), forwardInfo(5)).Refusal, RefusalNone)
	}
	a.SetWarmup(testNow+5*time.Second, time.Second) // cold again, by a later report
	is.Equal(a.Receive(testNow+5*time.Second, syn(100), forwardInfo(5)).Refusal, RefusalColdLimit)
	a.SetColdLimit(0)
	is.Equal(a.Receive(testNow+5*time.Second, syn(100), forwardInfo(5)).Refusal, RefusalNone)
	is.True(!a.Load().IsCold)
}

// An agent that starts beside a running backend server does not know what its earlier
// process has delivered within the second.
func TestRestartedAgentWaitsForAWindow(t *testing.T) {
	is := is.New(t)
	a := newAgent(BackendServing, false)
	a.SetColdLimit(4)
	a.SetWarmup(0, time.Hour)
	is.Equal(a.Receive(newFlowWindow, syn(1), forwardInfo(5)).Refusal, RefusalColdLimit)
	is.Equal(a.Receive(newFlowWindow+1, syn(1), forwardInfo(5)).Refusal, RefusalNone)
}

// Balancers know a cold backend server before its restarted agent hears from control, and
// the limit of another service says nothing about the next one.
func TestAgentWithoutConfigurationHoldsItsOwnLimit(t *testing.T) {
	is := is.New(t)
	a := NewAgent(0, AgentOptions{SilenceTimeout: time.Hour, IdleTimeout: time.Hour, ColdLimit: 3})
	a.StartIncarnation(testIncarnation, StartUnknown)
	a.SetWarmup(0, time.Hour)
	a.SetState(BackendServing)
	now, port := newFlowWindow, 0
	delivered := func() (n int) {
		for range 20 {
			port++
			if a.Receive(now, syn(port), forwardInfo(5)).Refusal == RefusalNone {
				n++
			}
		}
		return n
	}
	is.Equal(delivered(), 0) // what an earlier process has delivered is not known
	now++
	is.Equal(delivered(), 3)
	a.SetColdLimit(8)
	is.Equal(delivered(), 5) // with those before
	now += newFlowWindow + 1
	a.ClearService()
	is.Equal(delivered(), 3)
	a.SetColdLimit(0) // the service has no limit
	is.Equal(delivered(), 20)
	a.ClearService()
	a.SetWarmup(now, 0)
	is.Equal(delivered(), 20) // warm
}

func seedOf(n int) uint64 { return view.SeedOf(server(n).ID) }

func TestColdMembersGetWhatTheyReportToTake(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 2)...)
	b.ReportLoad(testNow, testService, seedOf(1), Load{IsCold: true, NewFlowAllowance: 3})
	b.ReportLoad(testNow, testService, seedOf(2), Load{Flows: 8, RunningRequests: 4})
	placed := make(map[uint64]int)
	for n := range 6 {
		placed[b.Steer(testNow, syn(n)).To.Seed]++
	}
	is.Equal(placed, map[uint64]int{seedOf(1): 3, seedOf(2): 3})
	is.Equal(b.ColdMembers(testNow), 1)
	b.ReportLoad(testNow, testService, seedOf(1), Load{IsCold: true, NewFlowAllowance: 1})
	is.Equal(b.Steer(testNow, syn(10)).To.Seed, seedOf(1))
}

// Callers are not reset while all candidates are cold: their retransmissions are served.
func TestFlowWaitsWhileAllCandidatesAreAtTheirLimit(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 3)...)
	for n := range 3 {
		b.ReportLoad(testNow, testService, seedOf(n+1), Load{IsCold: true})
	}
	is.Equal(b.Steer(testNow, syn(1)), Decision{Verdict: Drop, Reason: ReasonColdLimit})
	again := syn(1)
	again.Retransmits = 1
	later := testNow + 200*time.Millisecond
	b.ReportLoad(later, testService, seedOf(2), Load{IsCold: true, NewFlowAllowance: 1})
	is.Equal(b.Steer(later, again).To.Seed, seedOf(2))
}

// A refusal for the limit is not a failure: the member gets flows again with its next
// report, or once its report is too old to say anything about its limit.
func TestRefusalForTheLimitEndsWithTheNextReport(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 2)...)
	b.ReportLoad(testNow, testService, seedOf(2), Load{Flows: 40, RunningRequests: 4})
	d := b.Steer(testNow, syn(1))
	is.Equal(d.To.Seed, seedOf(1))
	b.ReportLoad(testNow, testService, seedOf(1), Load{IsCold: true})
	d = b.HandleReturn(testNow, syn(1), ReturnInfo{Service: testService, Seed: d.To.Seed, Hops: d.Hops})
	is.Equal(d.To.Seed, seedOf(2))
	is.Equal(b.Steer(testNow, syn(2)).To.Seed, seedOf(2))
	is.Equal(b.Steer(testNow+newFlowWindow+1, syn(3)).To.Seed, seedOf(1))
	b.ReportLoad(testNow+1, testService, seedOf(1), Load{IsCold: true, NewFlowAllowance: 1})
	is.Equal(b.Steer(testNow+1, syn(4)).To.Seed, seedOf(1))

	for n := range 2 {
		b.ReportLoad(testNow, testService, seedOf(n+1), Load{IsCold: true})
	}
	last := ReturnInfo{Service: testService, Seed: seedOf(1), Hops: maxPlacementAttempts - 1}
	is.Equal(b.HandleReturn(testNow, syn(5), last), Decision{Verdict: Drop, Reason: ReasonColdLimit})
}
