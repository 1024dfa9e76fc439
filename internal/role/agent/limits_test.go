package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/view"
)

func TestLimits(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	seen := start.Add(-time.Minute) // of a flow's last packet
	settings := fleet.Settings{IdleTimeout: 10 * time.Minute, DrainLimit: time.Hour}
	for _, tt := range []struct {
		name     string
		settings fleet.Settings
		states   []view.State // one each half hour, the last one now
		own      time.Duration
		ended    bool
	}{
		{"active", settings, []view.State{view.Ready}, time.Hour, false},
		{"idle by the agent's own timeout", settings, []view.State{view.Ready}, 50 * time.Second, true},
		{"idle by the fleet's", fleet.Settings{IdleTimeout: 50 * time.Second}, []view.State{view.Ready}, time.Hour, true},
		{"no settings yet", fleet.Settings{}, []view.State{view.Ready}, time.Hour, false},
		{"draining", settings, []view.State{view.Draining, view.Draining}, time.Hour, false},
		{"draining beyond the limit", settings, []view.State{view.Draining, view.Draining, view.Draining}, time.Hour, true},
		{"drain cancelled and begun anew", settings, []view.State{view.Draining, view.Ready, view.Draining}, time.Hour, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l limits
			l.setService(tt.settings, tt.own)
			for i, state := range tt.states {
				l.setState(state, start.Add(-time.Duration(len(tt.states)-1-i)*30*time.Minute))
			}
			is.Equal(seen.Before(l.expired(start)), tt.ended)
		})
	}
}
