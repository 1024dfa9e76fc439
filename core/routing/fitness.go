package routing

import (
	"time"

	"fulmarmount.org/core/lease"
)

const (
	// minStall is the shortest time without any response that counts as a hang while
	// several requests wait. A single one may take long by itself, see minOverdue.
	minStall = 400 * time.Millisecond
	// stalledRequests is the number of requests that the slots could have answered in
	// the time since the latest response from which the backend server counts as hung.
	stalledRequests = 32
	// minOverdue is the shortest time without a response that counts as a failure of
	// one request, and overdueRequests the least number of service times.
	minOverdue      = time.Second
	overdueRequests = 20
	// unmeasuredTime is the service time that is assumed before the first answers. It
	// is long, so that a backend server that starts slowly is not judged early.
	unmeasuredTime = 500 * time.Millisecond
	// failureHalfLife is the time after which an outcome has half its weight.
	failureHalfLife = time.Second
	// unfitScore is the share of answered requests below which the backend server is
	// unfit, and fitScore the one above which it is fit again.
	unfitScore = 0.7
	fitScore   = 0.85
	// minFailures is the number of failures from which the share counts.
	minFailures = 4
	// judgementTTL is how long a backend server that no request tries counts as hung.
	judgementTTL = 10 * time.Second
)

// Unfitness is the reason why a backend server is unfit for new flows.
type Unfitness uint8

// The reasons.
const (
	Fit     Unfitness = iota
	Hung              // it answers no request at all
	Failing           // it leaves many requests without an answer or resets them
)

var unfitnessNames = [...]string{"fit", "hung", "failing"}

// MarshalText returns the reason's name.
func (u Unfitness) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// String returns the reason's name in logs and dumps.
func (u Unfitness) String() string { return unfitnessNames[u] }

// Judgement is an agent's view of its backend server, with what it rests on.
type Judgement struct {
	Unfitness Unfitness `json:"unfitness"`
	// ServiceTime is the estimated time that a request occupies a slot; 0 while unknown.
	ServiceTime time.Duration `json:"service_time"`
	// Running is the number of requests without a response, Stalled the time since the
	// latest response while there were any, and Score the share of requests answered.
	Running int           `json:"running"`
	Stalled time.Duration `json:"stalled"`
	Score   float64       `json:"score"`
}

// fitness judges whether a backend server can serve new flows from what passes its
// agent, whatever its health check says. It answers a load of callers whose requests
// end at their deadlines at a server that looks idle. One that is slow or full answers
// and stays fit; so does an idle one.
type fitness struct {
	isEnabled bool
	health    *lease.HealthEstimator
	// failures counts the failed requests since the backend server was last found fit
	// for certain.
	failures int
	verdict  Unfitness
	hungAt   time.Duration // by the meter's clock; when verdict became Hung
}

func newFitness() fitness {
	return fitness{health: lease.NewHealthEstimator(lease.HealthEstimatorOptions{HalfLife: failureHalfLife})}
}

// reset forgets the judgement.
func (f *fitness) reset() {
	isEnabled := f.isEnabled
	*f = newFitness()
	f.isEnabled = isEnabled
}

// recordAnswer records a response. A hung backend server that answers is fit again.
func (f *fitness) recordAnswer(clock time.Duration) {
	f.health.RecordOutcome(clock, true)
	if f.verdict == Hung {
		f.verdict = Fit
	}
}

func (f *fitness) recordFailure(clock time.Duration) {
	f.health.RecordOutcome(clock, false)
	f.failures++
}

// judge updates the verdict from the outcomes and the meter.
func (f *fitness) judge(m *slotMeter) {
	score := f.health.Score(m.clock)
	switch {
	case f.verdict == Hung && (len(m.starts) > 0 || m.clock-f.hungAt <= judgementTTL):
	case f.isStalled(m):
		f.verdict, f.hungAt = Hung, m.clock
	case score < unfitScore && f.failures >= minFailures:
		f.verdict = Failing
	case score > fitScore:
		f.verdict, f.failures = Fit, 0
	case f.verdict == Hung:
		f.verdict = Fit
	}
}

// isStalled reports whether the backend server has answered nothing for much longer than
// its slots usually take for a request each.
func (f *fitness) isStalled(m *slotMeter) bool {
	shortest := minStall
	if len(m.starts) == 1 {
		shortest = minOverdue
	}
	return len(m.starts) > 0 && m.stalled >= shortest && m.sinceAnswer >= stalledRequests*m.usualTime()
}

// usualTime returns the service time before the present silence.
func (m *slotMeter) usualTime() time.Duration {
	if m.usual == 0 {
		return unmeasuredTime
	}
	return m.usual
}

// isOverdue reports whether the request that began at start has failed: it has no
// response for long, although a later one was answered. One that waits in the queue of a
// full backend server is not overtaken.
func (m *slotMeter) isOverdue(start time.Duration) bool {
	limit := max(minOverdue, overdueRequests*m.usualTime())
	return m.clock-start >= limit && m.latestServed > start
}

// SetJudged sets whether the agent judges if its backend server is fit for new flows.
func (a *Agent) SetJudged(isJudged bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fitness.isEnabled != isJudged {
		a.fitness.reset()
	}
	a.fitness.isEnabled = isJudged
}

// Judgement returns the agent's present judgement.
func (a *Agent) Judgement() Judgement {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := Judgement{ServiceTime: a.meter.serviceTime(), Running: len(a.meter.starts), Score: a.fitness.health.Score(a.meter.clock)}
	if j.Running > 0 {
		j.Stalled = a.meter.stalled
	}
	if a.isUnfit() {
		j.Unfitness = a.fitness.verdict
	}
	return j
}

// isUnfit reports whether new flows should avoid the backend server. One that drains
// gets none anyway.
func (a *Agent) isUnfit() bool {
	return a.fitness.isEnabled && a.state == BackendServing && a.fitness.verdict != Fit
}

// recordOverdue records a failure for a flow's request that has waited too long.
func (a *Agent) recordOverdue(f *backendFlow) {
	if !f.hasRequest || f.isOverdue || !a.meter.isOverdue(f.requestStart) {
		return
	}
	f.isOverdue = true
	a.meter.remove(f.requestStart) // it holds no slot
	a.fitness.recordFailure(a.meter.clock)
}

// recordReset records that the backend server has reset a flow.
func (a *Agent) recordReset(f *backendFlow) {
	if f != nil && f.hasRequest && !f.isOverdue {
		a.fitness.recordFailure(a.meter.clock)
	}
}
