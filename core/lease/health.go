package lease

import (
	"math"
	"time"
)

// HealthEstimatorOptions configures a HealthEstimator. Zero values select the
// defaults.
type HealthEstimatorOptions struct {
	// HalfLife is the time after which an outcome or a report has half its weight.
	HalfLife time.Duration
	// MaxReportShare bounds the total weight of all reports, as a fraction of the
	// total weight of the observed outcomes.
	MaxReportShare float64
	// MinReportLimit is the lowest value of that bound, in outcomes. It applies
	// while few outcomes have been observed.
	MinReportLimit float64
}

func (o *HealthEstimatorOptions) setDefaults() {
	setDefault(&o.HalfLife, 10*time.Second)
	setDefault(&o.MaxReportShare, 0.25)
	setDefault(&o.MinReportLimit, 2)
}

// HealthEstimator estimates the fraction of requests to one backend server that
// succeed, from the outcomes that this process observes and from reports of other
// processes. Reports lag and may mislead, so observed outcomes outweigh them. The
// weight of both decays with age. It is not safe for concurrent use.
type HealthEstimator struct {
	options  HealthEstimatorOptions
	observed decayingCount
	reported decayingCount
}

// decayingCount is the exponentially decayed number of successes and of all
// samples as of updatedAt.
type decayingCount struct {
	successes, total float64
	updatedAt        time.Duration
}

// priorWeight is the weight, in outcomes, of the prior assumption that a backend
// server is healthy.
const priorWeight = 1

// NewHealthEstimator returns an estimator without samples, whose score is 1.
func NewHealthEstimator(o HealthEstimatorOptions) *HealthEstimator {
	o.setDefaults()
	return &HealthEstimator{options: o}
}

// RecordOutcome adds the outcome of a request that this process observed.
func (h *HealthEstimator) RecordOutcome(now time.Duration, ok bool) {
	h.observed.decay(now, h.options.HalfLife)
	h.observed.add(ok)
}

// RecordReport adds another process's report of whether the backend server is
// healthy. A report older than now has a decayed weight.
func (h *HealthEstimator) RecordReport(now, reportedAt time.Duration, ok bool) {
	h.reported.decay(now, h.options.HalfLife)
	weight := math.Exp2(-float64(max(0, now-reportedAt)) / float64(h.options.HalfLife))
	h.reported.total += weight
	if ok {
		h.reported.successes += weight
	}
}

// Score returns the estimated fraction of successes, from 0 to 1.
func (h *HealthEstimator) Score(now time.Duration) float64 {
	observed, reported := h.observed, h.reported
	observed.decay(now, h.options.HalfLife)
	reported.decay(now, h.options.HalfLife)
	if limit := max(h.options.MinReportLimit, h.options.MaxReportShare*observed.total); reported.total > limit {
		reported.successes *= limit / reported.total
		reported.total = limit
	}
	return (observed.successes + reported.successes + priorWeight) / (observed.total + reported.total + priorWeight)
}

func (c *decayingCount) decay(now, halfLife time.Duration) {
	if now <= c.updatedAt {
		return
	}
	factor := math.Exp2(-float64(now-c.updatedAt) / float64(halfLife))
	c.successes, c.total, c.updatedAt = c.successes*factor, c.total*factor, now
}

func (c *decayingCount) add(ok bool) {
	c.total++
	if ok {
		c.successes++
	}
}
