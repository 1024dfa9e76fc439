package segment

import (
	"time"

	"fulmarmount.org/core/routing"
)

const (
	// maxFirstSequence is the highest sequence number of the first report that an agent
	// may receive from a backend server that has started after it: a few reports fail
	// while the agent's socket is not open yet. A higher one shows that the backend server
	// is older than its start and the VM's clock say.
	maxFirstSequence = 3
	// minClockStep is the least change of the VM's clock against the monotonic one that
	// counts as a step.
	minClockStep = time.Millisecond
)

// startClock converts starts of the backend server, which are of the VM's clock, to times
// since the start of the agent. It is not safe for concurrent use.
type startClock struct {
	wall    time.Time     // the VM's clock at the latest observation
	elapsed time.Duration // the time since the agent's start at the latest observation
	// steppedBackAt is when the VM's clock was last seen to step back, and steppedBackBy
	// the sum of all such steps.
	steppedBackAt, steppedBackBy time.Duration
}

// observe records the VM's clock at a time since the agent's start. Steps are seen between
// two observations.
func (c *startClock) observe(now time.Time, elapsed time.Duration) {
	wall := now.Round(0) // without its monotonic reading
	if !c.wall.IsZero() {
		step := wall.Sub(c.wall) - (elapsed - c.elapsed)
		if step <= -minClockStep {
			c.steppedBackAt = elapsed
			c.steppedBackBy -= step
		}
	}
	c.wall, c.elapsed = wall, elapsed
}

// earliestStart returns the earliest time since the agent's start at which the backend
// server may have started that reports startedAt, or routing.StartUnknown. Steps forward
// and suspensions of the VM make the time earlier than the start. A start from before a
// step back looks later than it is by the step.
func (c *startClock) earliestStart(startedAt time.Time) time.Duration {
	age := c.wall.Sub(startedAt)
	if startedAt.IsZero() || age < 0 {
		return routing.StartUnknown
	}
	start := c.elapsed - age
	if start-c.steppedBackBy < c.steppedBackAt {
		start -= c.steppedBackBy
	}
	return start
}

// observeClock looks for a step of the VM's clock.
func (a *Agent) observeClock() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe()
}

// observe is observeClock for a caller that holds the lock.
func (a *Agent) observe() {
	now := a.options.Now()
	a.clock.observe(now, now.Sub(a.started))
}

// earliestStart returns the earliest start of the backend server that sent the report. The
// caller holds the lock.
func (a *Agent) earliestStart(r *BackendReport) time.Duration {
	if r.Sequence > maxFirstSequence {
		return routing.StartUnknown
	}
	a.observe()
	return a.clock.earliestStart(r.StartedAt)
}
