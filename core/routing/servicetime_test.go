package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func (s *sim) estimate() time.Duration {
	return time.Duration(s.servers[0].agent.Load().ServiceTime) * time.Microsecond
}

// The estimate must be the same whether the backend server is nearly idle, busy, or so
// full that requests wait or are rejected, and it is kept while the server is idle.
func TestServiceTimeDoesNotDependOnLoad(t *testing.T) {
	for name, rate := range map[string]float64{"nearly idle": 6, "busy": 80, "overloaded": 150} {
		for seed := range uint64(4) {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				s := measured{rate, 0, usualWork, 0}.sim(seed)
				is.Equal(s.estimate(), time.Duration(0)) // nothing was measured yet
				s.run(changeAt)
				t.Log("estimate", s.estimate())
				is.True(s.estimate() > usualWork*2/3 && s.estimate() < usualWork*3/2)
				s.run(changeAt + time.Second) // the last responses
				before := s.estimate()
				s.run(changeAt + changeTime)
				is.Equal(s.estimate(), before)
			})
		}
	}
}

// A backend server four times slower, and as fast as usual again, is known for it after
// two seconds and some 40 requests. One that hangs is not slow: if it looked slow
// afterwards it would get too few flows to show otherwise.
func TestServiceTimeFollowsChange(t *testing.T) {
	const between = 2 * usualWork // the geometric mean of both
	for seed := range uint64(4) {
		is := is.New(t)
		s := measured{20, 20, 4 * usualWork, 0}.sim(seed)
		s.run(changeAt)
		is.True(s.estimate() > 0 && s.estimate() < between)
		s.run(changeAt + 2*time.Second)
		t.Log("slower", s.estimate())
		is.True(s.estimate() > between)
		s.run(changeAt + changeTime + 3*time.Second)
		t.Log("as before", s.estimate())
		is.True(s.estimate() < between)

		s = measured{20, 20, usualWork, 1}.sim(seed)
		s.run(changeAt + 500*time.Millisecond)
		before := s.estimate()
		s.run(changeAt + changeTime)
		is.Equal(s.estimate(), before)
		s.run(changeAt + changeTime + simDeadline + time.Second) // its callers have given up
		is.True(s.estimate() < between)
	}
}

func TestServiceTimeIsReportedInSteps(t *testing.T) {
	is := is.New(t)
	s := measured{50, 50, usualWork, 0}.sim(1)
	s.run(changeAt)
	changes, last := 0, s.estimate()
	for range 100 {
		s.run(s.now + 100*time.Millisecond)
		if s.estimate() != last {
			changes, last = changes+1, s.estimate()
		}
	}
	t.Log("changes in 10 s", changes)
	is.True(changes <= 10)
}
