package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/view"
)

func TestFlowExpiresByIdleTimeoutOrDrainLimit(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	lastPacket := now.Add(-time.Minute)
	settings := fleet.Settings{IdleTimeout: 10 * time.Minute, DrainLimit: time.Hour}
	for _, tt := range []struct {
		name         string
		settings     fleet.Settings
		states       []view.State // half an hour apart, the last one now
		agentTimeout time.Duration
		wantExpired  bool
	}{
		{"active", settings, []view.State{view.Ready}, time.Hour, false},
		{"idle beyond the agent's timeout", settings, []view.State{view.Ready}, 50 * time.Second, true},
		{"idle beyond the service's timeout", fleet.Settings{IdleTimeout: 50 * time.Second}, []view.State{view.Ready}, time.Hour, true},
		{"without service settings", fleet.Settings{}, []view.State{view.Ready}, time.Hour, false},
		{"draining within the limit", settings, []view.State{view.Draining, view.Draining}, time.Hour, false},
		{"draining beyond the limit", settings, []view.State{view.Draining, view.Draining, view.Draining}, time.Hour, true},
		{"drain cancelled and restarted", settings, []view.State{view.Draining, view.Ready, view.Draining}, time.Hour, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l flowLimits
			l.setSettings(tt.settings, tt.agentTimeout)
			for i, state := range tt.states {
				l.setState(state, now.Add(-time.Duration(len(tt.states)-1-i)*30*time.Minute))
			}
			is.Equal(lastPacket.Before(l.idleCutoff(now)), tt.wantExpired)
		})
	}
}
