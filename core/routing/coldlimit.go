package routing

import (
	"math"
	"time"
)

const (
	// newFlowWindow is the time in which a cold backend server takes no more new flows
	// than its limit. It is a second and the most that the arrival of a SYN at the backend
	// server varies against the agent's decision.
	newFlowWindow = time.Second + 50*time.Millisecond
	// maxNewFlowTimes bounds the remembered times of new flows. It is the greatest limit
	// that can be set.
	maxNewFlowTimes = 10_000
)

// coldLimit holds the new flows of a cold backend server below a limit in any window of
// newFlowWindow. A backend server that has just started is slow, and answers late whatever
// it takes beyond what it bears. Only its agent sees the flows of all balancers.
type coldLimit struct {
	limit int // 0 for none
	// unconfigured is the limit while that of the service is not known; 0 for none. It
	// answers a release and a loss of power: agents that start beside cold backend servers
	// get flows from balancers that know them before they hear from control.
	unconfigured int
	coldUntil    time.Duration // end of the warm-up
	latest       time.Duration // the latest time that the agent was told
	// openedAt are the times of the new flows delivered within newFlowWindow, ascending.
	openedAt []time.Duration
}

// recent returns the number of new flows within the window that ends at now, and forgets
// earlier ones.
func (c *coldLimit) recent(now time.Duration) int {
	first := 0
	for first < len(c.openedAt) && now-c.openedAt[first] > newFlowWindow {
		first++
	}
	c.openedAt = c.openedAt[first:]
	return len(c.openedAt)
}

func (c *coldLimit) record(now time.Duration) {
	if c.recent(now) == maxNewFlowTimes {
		c.openedAt = c.openedAt[1:]
	}
	c.openedAt = append(c.openedAt, now)
}

// isCold reports whether the limit holds at now.
func (c *coldLimit) isCold(now time.Duration) bool { return c.limit > 0 && now < c.coldUntil }

func (c *coldLimit) setUnconfigured(limit uint32) {
	c.unconfigured = int(min(limit, maxNewFlowTimes))
	c.limit = c.unconfigured
}

// resetLimit forgets the limit of a service, unless nothing is known to hold instead.
func (c *coldLimit) resetLimit() {
	if c.unconfigured > 0 {
		c.limit = c.unconfigured
	}
}

// SetColdLimit sets the number of new flows that a cold backend server takes in any
// second; 0 for no limit.
func (a *Agent) SetColdLimit(limit uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coldLimit.limit = int(min(limit, maxNewFlowTimes))
}

// SetWarmup records at now the remaining time that the backend server has reported until
// it is warm.
func (a *Agent) SetWarmup(now, remaining time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coldLimit.latest, a.coldLimit.coldUntil = now, now+remaining
}

// isNewFlow reports whether a SYN opens a flow that was not delivered before. f is the
// record of the SYN's flow, or nil.
func isNewFlow(f *backendFlow, s *Segment) bool { return f == nil || f.openSeq != s.Seq }

// checkColdLimit refuses a SYN that would bring a cold backend server above its limit.
func (a *Agent) checkColdLimit(now time.Duration, f *backendFlow, s *Segment) Refusal {
	a.coldLimit.latest = now
	if isCold, allowance := a.coldAllowance(); isCold && allowance == 0 && isNewFlow(f, s) {
		return RefusalColdLimit
	}
	return RefusalNone
}

// recordOpening records the delivery of a SYN.
func (a *Agent) recordOpening(now time.Duration, f *backendFlow, s *Segment) {
	if isNewFlow(f, s) {
		a.coldLimit.record(now)
	}
}

// coldAllowance returns whether the limit holds, and the number of new flows that the
// backend server takes at the latest time. An agent that does not know what an earlier
// process has delivered waits for a window.
func (a *Agent) coldAllowance() (isCold bool, allowance uint16) {
	c := &a.coldLimit
	switch {
	case !c.isCold(c.latest):
		return false, 0
	case !a.hasAllFlows && c.latest-a.startedAt <= newFlowWindow:
		return true, 0
	}
	return true, uint16(min(max(c.limit-c.recent(c.latest), 0), math.MaxUint16))
}
