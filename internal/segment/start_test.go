package segment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBackendServerStartedAfterAgent(t *testing.T) {
	agentStart := time.Unix(1_800_000_000, 0)
	for _, tt := range []struct {
		name     string
		sequence uint64
		lead     time.Duration // from the start of the backend server to that of the agent
		noStart  bool
		want     bool
	}{
		{"first report", 1, time.Hour, false, true},
		{"first report without a start", 1, 0, true, true},
		{"started with the agent, first reports failed", 3, 60 * time.Millisecond, false, true},
		{"started after the agent, first reports failed", 2, -time.Second, false, true},
		{"an earlier process of the agent may have announced it", 2, 2 * time.Second, false, false},
		{"many reports, with a stepped clock", 9, -time.Hour, false, false},
		{"without a start", 2, 0, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := BackendReport{Sequence: tt.sequence, StartedAt: agentStart.Add(-tt.lead)}
			if tt.noStart {
				r.StartedAt = time.Time{}
			}
			is.Equal(r.startedAfter(agentStart), tt.want)
		})
	}
}
