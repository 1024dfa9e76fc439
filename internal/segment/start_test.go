package segment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/routing"
)

// Guards against a backend server that is older than the agent's knowledge of it and
// counts as new, so that open flows are taken for lost.
func TestEarliestStartOfBackendServer(t *testing.T) {
	agentStart := time.Unix(1_800_000_000, 0)
	for _, tt := range []struct {
		name    string
		steps   map[time.Duration]time.Duration // of the VM's clock, by the time since the agent's start
		start   time.Duration                   // since the agent's start
		report  time.Duration
		noStart bool
		want    time.Duration
	}{
		{"after the agent", nil, 2 * time.Second, 3 * time.Second, false, 2 * time.Second},
		{"before the agent", nil, -60 * time.Millisecond, time.Second, false, -60 * time.Millisecond},
		{"without a start", nil, time.Second, 2 * time.Second, true, routing.StartUnknown},
		{"the clock stepped ahead", map[time.Duration]time.Duration{3 * time.Second: time.Second}, 2 * time.Second, 4 * time.Second, false, time.Second},
		{"the clock stepped back", map[time.Duration]time.Duration{3 * time.Second: -time.Second}, 2 * time.Second, 5 * time.Second, false, 2 * time.Second},
		{"the clock stepped back by more than the age", map[time.Duration]time.Duration{3 * time.Second: -time.Hour}, 2 * time.Second, 5 * time.Second, false, routing.StartUnknown},
		{"the clock had stepped back long before", map[time.Duration]time.Duration{3 * time.Second: -time.Second}, time.Minute, time.Minute + 2*time.Second, false, time.Minute + time.Second},
		{"the clock stepped back twice", map[time.Duration]time.Duration{3 * time.Second: -time.Second, 5 * time.Second: -time.Second}, 2 * time.Second, 9 * time.Second, false, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var clock startClock
			startedAt := agentStart.Add(tt.start)
			wall := agentStart
			for at := time.Duration(0); at <= tt.report; at += tickInterval {
				wall = wall.Add(tt.steps[at])
				if at > 0 {
					wall = wall.Add(tickInterval)
				}
				clock.observe(wall, at)
			}
			if tt.noStart {
				startedAt = time.Time{}
			}
			is.Equal(clock.earliestStart(startedAt), tt.want)
		})
	}
}

// An agent knows all flows of a backend server only if that has started after every
// earlier process of the agent has ended, whatever the numbers of its reports say.
func TestAgentKnowsAllFlowsOfYoungerBackendServersOnly(t *testing.T) {
	for _, tt := range []struct {
		name     string
		sequence uint64
		lead     time.Duration // from the start of the backend server to that of the agent's process
		noStart  bool
		want     bool
	}{
		{"started after the process", 1, -time.Millisecond, false, true},
		{"started after the process, first reports failed", 3, -time.Second, false, true},
		{"a low number, but older than the process", 1, time.Hour, false, false},
		{"the number 0, but older than the process", 0, time.Millisecond, false, false},
		{"a low number without a start", 1, 0, true, false},
		{"started with the process, first reports failed", 3, 60 * time.Millisecond, false, false},
		{"an earlier process of the agent may have announced it", 2, 2 * time.Second, false, false},
		{"many reports, with a stepped clock", 9, -time.Hour, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := manualClock{start: time.Now()}
			a, backend := startTestAgentAt(t, "", clock.now)
			startedAt := clock.now().Add(-tt.lead).Truncate(time.Millisecond).Add(time.Millisecond)
			clock.advance(2 * time.Hour)
			r := BackendReport{ID: "host", Service: "desk", Address: backend, Incarnation: 9, StartedAt: startedAt, Sequence: tt.sequence, Slots: 2}
			if tt.noStart {
				r.StartedAt = time.Time{}
			}
			is.NoErr(a.HandleReport(r))
			is.Equal(a.steer.PastUse() == routing.UseNone, tt.want)
		})
	}
}
