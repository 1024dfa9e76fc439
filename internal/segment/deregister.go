package segment

import (
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/routing"
)

// reportFlightTime is how long a report may be on its way and still be acknowledged.
const reportFlightTime = time.Second

// Deregister handles the deregistration of the backend server with an ID. It names no start
// of the backend server and may be late, so it may be of an earlier start. A backend server
// that leaves has said before that it drains. One that has not may have left all the same,
// its reports lost: it gets no new flows until its next report, and its open flows go on.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id != a.report.ID {
		a.options.Log.Info("Ignored the deregistration of another backend server.", zap.String("id", id))
		return
	}
	state := routing.BackendDraining
	if a.report.Draining {
		state = routing.BackendDeregistered
		a.hasLeft, a.leftAt = true, a.elapsed()
	} else {
		a.mayHaveLeft = true
	}
	a.steer.SetState(state)
	a.options.Log.Info("Backend server's state changed by a deregistration.",
		zap.String("id", id), zap.Uint64("run", a.report.Incarnation), zap.Stringer("standing", state))
	a.requestAnnouncement()
}

// isOfLeftStart reports whether a report is of a start that has deregistered, and was on
// its way meanwhile. If the backend server goes on to report that it drains, the
// deregistration was of an earlier start. The caller holds the lock.
func (a *Agent) isOfLeftStart(r *BackendReport) bool {
	if !a.hasLeft || r.Incarnation != a.report.Incarnation || r.StartedAt.IsZero() {
		return false
	}
	isAlive := r.Draining && r.Sequence > a.report.Sequence && a.elapsed()-a.leftAt > reportFlightTime
	return !isAlive
}
