package segment

import (
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/routing"
)

const (
	// announceUnfitAfter is how long a backend server is unfit, or fit again, before
	// control learns it. Balancers that send it packets learn it from load reports.
	announceUnfitAfter = time.Second
	// logServiceTimeFactor is the change of the service time that is logged.
	logServiceTimeFactor = 1.5
)

// fitnessLog is what was last logged and announced of an agent's judgement.
type fitnessLog struct {
	unfitness routing.Unfitness
	// changedAt is when the backend server became unfit, or fit again.
	changedAt        time.Duration
	isAnnouncedUnfit bool
	serviceTime      time.Duration
}

// watchFitness logs changes of the agent's judgement, and announces those that last.
func (a *Agent) watchFitness(now time.Duration) {
	j := a.steer.Judgement()
	a.mu.Lock()
	before := a.fitness
	isDue := a.fitness.update(now, j)
	after := a.fitness
	a.mu.Unlock()
	if after.unfitness != before.unfitness {
		a.options.Log.Warn("Judged the backend server anew.", zap.Stringer("verdict", j.Unfitness), zap.Int("running", j.Running),
			zap.Duration("stalled", j.Stalled), zap.Float64("answered", j.Score), zap.Duration("service_time", j.ServiceTime))
	}
	if after.serviceTime != before.serviceTime {
		a.options.Log.Info("Backend server's service time changed.", zap.Duration("service_time", j.ServiceTime),
			zap.Duration("before", before.serviceTime), zap.Int("running", j.Running))
	}
	if isDue {
		a.options.Log.Info("Announcing a lasting judgement.", zap.Stringer("verdict", j.Unfitness), zap.Duration("since", now-after.changedAt))
		a.requestAnnouncement()
	}
}

// update adopts a judgement and reports whether it is to be announced.
func (f *fitnessLog) update(now time.Duration, j routing.Judgement) bool {
	wasUnfit, isUnfit := f.unfitness != routing.Fit, j.Unfitness != routing.Fit
	if isUnfit != wasUnfit {
		f.changedAt = now
	}
	f.unfitness = j.Unfitness
	if differsByFactor(j.ServiceTime, f.serviceTime, logServiceTimeFactor) {
		f.serviceTime = j.ServiceTime
	}
	if isUnfit == f.isAnnouncedUnfit || now-f.changedAt < announceUnfitAfter {
		return false
	}
	f.isAnnouncedUnfit = isUnfit
	return true
}

// differsByFactor reports whether one of two times is at least factor times the other.
func differsByFactor(a, b time.Duration, factor float64) bool {
	return a != b && float64(max(a, b)) >= factor*float64(min(a, b))
}
