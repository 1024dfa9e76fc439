package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

const (
	judgedTime = 40 * time.Millisecond // usual service time
	never      = time.Hour
)

// A judged server answers normally for 10 s, then as the case says for 3 s, then
// normally again.
func TestJudgement(t *testing.T) {
	const changeAt, changedFor = 10 * time.Second, 3 * time.Second
	for _, tt := range []struct {
		name    string
		rate    float64       // requests a second
		changed time.Duration // service time while changed
		share   float64       // of the requests that change
		want    Unfitness     // at the end of the change
		within  time.Duration // from the change to the judgement
	}{
		{"hangs under load", 60, never, 1, Hung, time.Second},
		{"hangs with few requests", 5, never, 1, Hung, 3 * time.Second},
		{"leaves half unanswered", 60, never, 0.5, Failing, 3 * time.Second},
		{"five times slower", 15, 5 * judgedTime, 1, Fit, 0},
		{"full", 60, 4 * judgedTime, 1, Fit, 0},
		{"idle", 0.001, judgedTime, 1, Fit, 0},
		{"usual", 60, judgedTime, 1, Fit, 0},
	} {
		for seed := range uint64(5) {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				var s *meteredServer
				s = newMeteredServer(seed, 4, func(now time.Duration) time.Duration {
					if now >= changeAt && now < changeAt+changedFor && s.random.Float64() < tt.share {
						return tt.changed
					}
					return judgedTime
				})
				s.unanswered = never
				s.agent.SetJudged(true)
				s.run(changeAt, 60)
				is.Equal(s.agent.Judgement().Unfitness, Fit)
				judgedAt := time.Duration(0)
				for s.now < changeAt+changedFor {
					s.run(50*time.Millisecond, tt.rate)
					if s.agent.Load().IsUnfit && judgedAt == 0 {
						judgedAt = s.now
					}
				}
				is.Equal(s.agent.Judgement().Unfitness, tt.want)
				is.Equal(s.agent.Load().IsUnfit, tt.want != Fit)
				if tt.want != Fit {
					t.Log("judged after", judgedAt-changeAt)
					is.True(judgedAt-changeAt <= tt.within)
				} else {
					is.Equal(judgedAt, time.Duration(0))
				}
				s.run(12*time.Second, 60)
				is.Equal(s.agent.Judgement().Unfitness, Fit)
			})
		}
	}
}

func TestJudgementOnlyWhereAskedFor(t *testing.T) {
	is := is.New(t)
	s := newMeteredServer(1, 4, constant(never))
	s.unanswered = never
	s.run(10*time.Second, 60)
	is.True(!s.agent.Load().IsUnfit)
	s = newMeteredServer(1, 4, constant(never))
	s.unanswered = never
	s.agent.SetJudged(true)
	s.run(10*time.Second, 60)
	is.True(s.agent.Load().IsUnfit)
	s.agent.SetState(BackendDraining)
	is.True(!s.agent.Load().IsUnfit) // it gets no new flows anyway
	s.agent.SetState(BackendServing)
	s.agent.StartIncarnation(testIncarnation+1, false)
	is.True(!s.agent.Load().IsUnfit)
}

func TestPauseOfAgentIsNoHang(t *testing.T) {
	is := is.New(t)
	s := newMeteredServer(1, 4, constant(judgedTime))
	s.agent.SetJudged(true)
	s.run(10*time.Second, 60)
	s.send(s.now)
	s.agent.Tick(s.now + time.Minute)
	is.True(!s.agent.Load().IsUnfit)
}

func TestUnfitMembersAreAvoidedWithinLimit(t *testing.T) {
	for _, tt := range []struct {
		name    string
		unfit   int // of 4 members
		limit   uint32
		avoided int
	}{{"one", 1, 25, 1}, {"three, one allowed", 3, 25, 1}, {"all, half allowed", 4, 50, 2}, {"not asked for", 2, 0, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(servers(1, 4)...)
			b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: {MaxUnfitPercent: tt.limit}})
			placed := make(map[uint64]int)
			for n := range 400 {
				now := time.Second + time.Duration(n)*2*placementTTL
				for member := range 4 {
					b.ReportLoad(now, testService, view.SeedOf(server(member+1).ID), Load{IsUnfit: member < tt.unfit, RunningRequests: 1})
				}
				placed[b.Steer(now, syn(n)).To.Seed]++
			}
			is.Equal(4-len(placed), tt.avoided)
		})
	}
}

// A member that no request tries gets a flow now and then, which shows if it is well.
func TestUnfitMemberIsTried(t *testing.T) {
	is := is.New(t)
	b := newBalancer(servers(1, 4)...)
	b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: {MaxUnfitPercent: 25}})
	unfit, tried := view.SeedOf(server(1).ID), 0
	for n := range 1000 {
		now := 10*time.Second + time.Duration(n)*10*time.Millisecond
		for member := range 4 {
			b.ReportLoad(now, testService, view.SeedOf(server(member+1).ID), Load{IsUnfit: member == 0, Flows: 50 * uint32(1-min(member, 1))})
		}
		if b.Steer(now, syn(n)).To.Seed == unfit {
			tried++
		}
	}
	t.Log("tried", tried)
	is.True(tried >= 1 && tried <= 5) // in 10 s
}
