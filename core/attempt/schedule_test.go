package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// load lets callers send keys and send them again, at any gateway, after a
// refusal, an unknown outcome or none at all.
func load(s *sim, keys int) {
	for i := range keys {
		key := fmt.Sprint("k", i)
		s.after(s.upTo(40*time.Second), func() { send(s, key, s.now, 4) })
	}
}

func send(s *sim, key string, made time.Time, left int) {
	again := func() { send(s, key, made, left-1) }
	if left > 1 && s.chance(0.2) {
		s.after(s.upTo(4*time.Second), again)
	}
	s.request(s.gateways[s.rng.IntN(len(s.gateways))], key, made, func(r Result) {
		if r.Outcome != Answered && left > 1 {
			s.after(r.RetryAfter+s.upTo(2*time.Second), again)
		}
	})
}

// doubled counts the keys that ran more than once.
func doubled(s *sim) int {
	n := 0
	for _, runs := range s.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

func TestSeededSchedules(t *testing.T) {
	tables := []struct {
		name  string
		f     faults
		seeds int
	}{
		{"no faults", faults{}, 3},
		{"lossy", faults{lose: 0.1, double: 0.1, cut: 0.1}, 40},
		{"shedding", faults{lose: 0.05, double: 0.1, shed: 0.5}, 40},
		{"restarts", faults{lose: 0.02, restart: 6 * time.Second}, 30},
		{"everything", faults{lose: 0.15, double: 0.15, cut: 0.2, shed: 0.3, restart: 8 * time.Second}, 40},
	}
	for _, tt := range tables {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var outcomes [3]int
			naive := 0
			for seed := range tt.seeds {
				s := newSim(uint64(seed), tt.f, false)
				load(s, 60)
				s.run(5 * time.Minute)
				for o, n := range s.outcomes {
					outcomes[o] += n
				}
				if len(s.bad) > 0 || doubled(s) > 0 {
					t.Fatalf("seed %d: %v, %d keys ran twice", seed, s.bad, doubled(s))
				}
				n := newSim(uint64(seed), tt.f, true)
				load(n, 60)
				n.run(5 * time.Minute)
				naive += doubled(n)
			}
			t.Logf("unknown, answered, not run: %v; keys that ran twice without claims: %d", outcomes, naive)
			is.True(outcomes[Answered] > 0)
			if tt.f == (faults{}) {
				is.Equal(outcomes[Unknown]+outcomes[NotRun], 0)
			} else {
				is.True(naive > 0) // the schedules must be able to show a second run
			}
		})
	}
}
