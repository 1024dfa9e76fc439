package agent

import (
	"sync"
	"time"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/view"
)

// limits tell when flows end that carry nothing or whose backend server is to
// leave. It is safe for concurrent use.
type limits struct {
	mu sync.Mutex
	// idle ends a flow without packets, drain those that are left so long
	// after the backend server began to drain; 0 for never.
	idle, drain time.Duration
	// draining is when the drain began; the zero time without one.
	draining time.Time
}

// setService adopts the service's settings. The agent's own idle timeout holds
// where it is the shorter one.
func (l *limits) setService(s fleet.Settings, own time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle, l.drain = own, s.DrainLimit
	if s.IdleTimeout > 0 {
		l.idle = min(own, s.IdleTimeout)
	}
}

// setState notes the state of the backend server in the view in force.
func (l *limits) setState(state view.State, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case state != view.Draining:
		l.draining = time.Time{}
	case l.draining.IsZero():
		l.draining = now
	}
}

// expired returns the time since which a flow must have carried a packet to
// go on. It lies after now once the limit of a drain has passed.
func (l *limits) expired(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining.IsZero() && l.drain > 0 && now.Sub(l.draining) >= l.drain {
		return now.Add(l.drain)
	}
	return now.Add(-l.idle)
}
