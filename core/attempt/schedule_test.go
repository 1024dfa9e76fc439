package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scheduleRequests schedules requests with distinct keys. Callers resend them at any
// gateway, after a rejection or an unknown outcome, or without waiting for one.
func scheduleRequests(s *sim, keys int) {
	for i := range keys {
		key := fmt.Sprint("k", i)
		s.after(s.randomDuration(40*time.Second), func() { sendRequest(s, key, s.now, 4) })
	}
}

func sendRequest(s *sim, key string, keyTime time.Time, remaining int) {
	resend := func() { sendRequest(s, key, keyTime, remaining-1) }
	if remaining > 1 && s.randomBool(0.2) {
		s.after(s.randomDuration(4*time.Second), resend)
	}
	s.request(s.gateways[s.rng.IntN(len(s.gateways))], key, keyTime, func(r Result) {
		if r.Outcome != Answered && remaining > 1 {
			s.after(r.RetryAfter+s.randomDuration(2*time.Second), resend)
		}
	})
}

// countDuplicateRuns counts the keys that ran more than once.
func countDuplicateRuns(s *sim) int {
	n := 0
	for _, runs := range s.runCount {
		if runs > 1 {
			n++
		}
	}
	return n
}

func TestKeyRunsAtMostOnceUnderRandomFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
		seeds  int
	}{
		{"no faults", faults{}, 3},
		{"lossy", faults{loss: 0.1, duplication: 0.1, truncation: 0.1}, 40},
		{"shedding", faults{loss: 0.05, duplication: 0.1, shedding: 0.5}, 40},
		{"restarts", faults{loss: 0.02, restartInterval: 6 * time.Second}, 30},
		{"all faults", faults{loss: 0.15, duplication: 0.15, truncation: 0.2, shedding: 0.3, restartInterval: 8 * time.Second}, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var outcomes [3]int
			duplicateRuns := 0
			for seed := range tt.seeds {
				s := newSim(uint64(seed), tt.faults, false)
				scheduleRequests(s, 60)
				s.run(5 * time.Minute)
				for o, n := range s.outcomes {
					outcomes[o] += n
				}
				if len(s.violations) > 0 || countDuplicateRuns(s) > 0 {
					t.Fatalf("seed %d: %v, %d keys ran more than once", seed, s.violations, countDuplicateRuns(s))
				}
				withoutClaims := newSim(uint64(seed), tt.faults, true)
				scheduleRequests(withoutClaims, 60)
				withoutClaims.run(5 * time.Minute)
				duplicateRuns += countDuplicateRuns(withoutClaims)
			}
			t.Logf("unknown, answered, not run: %v; keys that ran more than once without claims: %d", outcomes, duplicateRuns)
			is.True(outcomes[Answered] > 0)
			if tt.faults == (faults{}) {
				is.Equal(outcomes[Unknown]+outcomes[NotRun], 0)
			} else {
				is.True(duplicateRuns > 0) // the faults must cause a second run if claims are skipped
			}
		})
	}
}
