package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

const usualWork = 40 * time.Millisecond

// measured simulates one backend server, which differs from changeAt on for changeTime.
type measured struct {
	rate, changedRate float64 // requests a second; 100 is the usual capacity
	changedWork       time.Duration
	muted             float64
}

const (
	changeAt   = 10 * time.Second
	changeTime = 3 * time.Second
)

func (m measured) sim(seed uint64) *sim {
	isChanged := func(now time.Duration) bool { return now >= changeAt && now < changeAt+changeTime }
	return newSim(seed, simOptions{
		servers: 1, balancers: 1, zones: 1, flowsPerZone: 10, isRandom: true, rules: PlacementRules{MaxUnfitPercent: 100}, peak: 200,
		demand: func(now time.Duration, _ int) float64 {
			if isChanged(now) {
				return m.changedRate
			}
			return m.rate
		},
		work: func(now time.Duration, _ int) time.Duration {
			if isChanged(now) {
				return m.changedWork
			}
			return usualWork
		},
		mute: func(now time.Duration, _ int) float64 { return m.muted * toFloat(isChanged(now)) },
	})
}

func TestJudgement(t *testing.T) {
	for _, tt := range []struct {
		name    string
		changed measured
		want    Unfitness     // at the end of the change
		within  time.Duration // from the change to the judgement
	}{
		{"hangs under load", measured{60, 60, usualWork, 1}, Hung, time.Second},
		{"hangs with few requests", measured{60, 5, usualWork, 1}, Hung, changeTime},
		{"leaves half unanswered", measured{60, 60, usualWork, 0.5}, Failing, changeTime},
		{"five times slower", measured{60, 15, 5 * usualWork, 0}, Fit, 0},
		{"full", measured{60, 60, 4 * usualWork, 0}, Fit, 0},
		{"idle", measured{60, 0, usualWork, 0}, Fit, 0},
	} {
		for seed := range uint64(4) {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				s := tt.changed.sim(seed)
				agent, judgedAt := s.servers[0].agent, time.Duration(0)
				for s.now < changeAt+changeTime {
					s.run(s.now + 50*time.Millisecond)
					if agent.Load().IsUnfit && judgedAt == 0 {
						judgedAt = s.now
					}
				}
				is.Equal(agent.Judgement().Unfitness, tt.want)
				is.Equal(judgedAt > changeAt, tt.want != Fit)
				is.True(judgedAt <= changeAt+tt.within)
				t.Log("judged after", max(0, judgedAt-changeAt))
				s.run(25 * time.Second)
				is.Equal(agent.Judgement().Unfitness, Fit)
			})
		}
	}
}

// A backend server that drains gets no new flows anyway, a new incarnation is not judged
// by the one before, a pause of the agent proves nothing, and judging can be switched off.
func TestNoJudgement(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(a *Agent)
	}{
		{"draining", func(a *Agent) { a.SetState(BackendDraining) }},
		{"another incarnation", func(a *Agent) { a.StartIncarnation(testIncarnation+1, changeAt) }},
		{"not asked for", func(a *Agent) { a.SetJudged(false) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := measured{60, 60, usualWork, 1}.sim(1)
			s.run(changeAt + time.Second)
			is.True(s.servers[0].agent.Load().IsUnfit)
			tt.change(s.servers[0].agent)
			is.True(!s.servers[0].agent.Load().IsUnfit)
		})
	}
	t.Run("pause", func(t *testing.T) {
		is := is.New(t)
		s := measured{80, 80, usualWork, 0}.sim(1)
		s.run(5 * time.Second)
		before := s.servers[0].agent.Load().ServiceTime
		s.servers[0].agent.Tick(s.now + time.Minute)
		is.True(!s.servers[0].agent.Load().IsUnfit)
		is.Equal(s.servers[0].agent.Load().ServiceTime, before)
	})
}

func TestUnfitMembersAreAvoidedWithinLimit(t *testing.T) {
	for _, tt := range []struct {
		name    string
		unfit   int // of 4 members
		limit   uint32
		running uint32 // requests on each
		avoided int
	}{
		{"one", 1, 25, 1, 1},
		{"three, one allowed", 3, 25, 1, 1},
		{"all, half allowed", 4, 50, 1, 2},
		{"not asked for", 2, 0, 1, 0},
		{"one that no request tries", 1, 25, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(servers(1, 4)...)
			b.SetPlacementRules(map[view.ServiceID]PlacementRules{testService: {MaxUnfitPercent: tt.limit}})
			placed := make(map[uint64]int)
			for n := range 400 { // in 8 s
				now := 10*time.Second + time.Duration(n)*20*time.Millisecond
				for member := range 4 {
					load := Load{IsUnfit: member < tt.unfit, RunningRequests: tt.running}
					if load.IsUnfit && tt.running == 0 {
						load.Flows = 50 // a trial is placed whatever the load
					}
					b.ReportLoad(now, testService, view.SeedOf(server(member+1).ID), load)
				}
				placed[b.Steer(now, syn(n)).To.Seed]++
			}
			is.Equal(4-len(placed), tt.avoided)
			if tt.running == 0 {
				is.True(placed[view.SeedOf(server(1).ID)] <= 4) // a trial every two seconds
			}
		})
	}
}
