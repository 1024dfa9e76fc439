package agent

import (
	"sync"
	"time"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/view"
)

// flowLimits decides when the agent ends idle flows and, at the end of a drain,
// the remaining flows. It is safe for concurrent use.
type flowLimits struct {
	mu sync.Mutex
	// idleTimeout is the time without packets after which a flow ends. drainLimit
	// is the time after the start of a drain at which the remaining flows end; 0
	// sets no limit.
	idleTimeout, drainLimit time.Duration
	// drainStart is the time at which the drain started; zero while none is active.
	drainStart time.Time
}

// setSettings applies the service's settings. The idle timeout is the shorter of
// the agent's and the service's.
func (l *flowLimits) setSettings(s fleet.Settings, agentTimeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idleTimeout, l.drainLimit = agentTimeout, s.DrainLimit
	if s.IdleTimeout > 0 {
		l.idleTimeout = min(agentTimeout, s.IdleTimeout)
	}
}

// setState records the backend server's state in the active view and, with it,
// the start or the end of a drain.
func (l *flowLimits) setState(state view.State, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case state != view.Draining:
		l.drainStart = time.Time{}
	case l.drainStart.IsZero():
		l.drainStart = now
	}
}

// idleCutoff returns the time before which a flow's last packet makes it expired.
// Once a drain has reached its limit, the cutoff is after now, so that every flow
// expires.
func (l *flowLimits) idleCutoff(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.drainStart.IsZero() && l.drainLimit > 0 && now.Sub(l.drainStart) >= l.drainLimit {
		return now.Add(l.drainLimit)
	}
	return now.Add(-l.idleTimeout)
}
