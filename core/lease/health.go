package lease

import (
	"math"
	"time"
)

// HealthEstimatorOptions configure a Health. Zero values take defaults.
type HealthEstimatorOptions struct {
	// HalfLife is the time in which evidence loses half its weight.
	HalfLife time.Duration
	// MaxReportShare is the weight of all reports together, as a part of the
	// weight of the outcomes seen here, at most.
	MaxReportShare float64
	// MinReportLimit is the weight that reports may have, in outcomes, where
	// little has been seen here.
	MinReportLimit float64
}

func (o *HealthEstimatorOptions) setDefaults() {
	setDefault(&o.HalfLife, 10*time.Second)
	setDefault(&o.MaxReportShare, 0.25)
	setDefault(&o.MinReportLimit, 2)
}

// HealthEstimator estimates the share of requests to one backend server that succeed,
// from the outcomes this process has seen and from reports of others. Reports
// lag and may mislead: seen outcomes outweigh them, and both fade with age.
// It is not safe for concurrent use.
type HealthEstimator struct {
	options HealthEstimatorOptions
	seen    evidence
	told    evidence
}

// evidence is a weight of successes among a weight of all, as of a time.
type evidence struct {
	good, all float64
	at        time.Duration
}

// prior is the weight, in outcomes, of the assumption that a backend server
// about which nothing is known works.
const prior = 1

// NewHealthEstimator returns the estimate of a backend server about which nothing is
// known: it works.
func NewHealthEstimator(o HealthEstimatorOptions) *HealthEstimator {
	o.setDefaults()
	return &HealthEstimator{options: o}
}

// RecordOutcome adds an outcome that this process saw itself.
func (h *HealthEstimator) RecordOutcome(now time.Duration, ok bool) {
	h.seen.fade(now, h.options.HalfLife)
	h.seen.add(ok)
}

// RecordReport adds a report, made at the given time, of whether the backend server
// works.
func (h *HealthEstimator) RecordReport(now, made time.Duration, ok bool) {
	h.told.fade(now, h.options.HalfLife)
	weight := math.Exp2(-float64(max(0, now-made)) / float64(h.options.HalfLife))
	h.told.all += weight
	if ok {
		h.told.good += weight
	}
}

// Score returns the estimated share of successes, from 0 to 1.
func (h *HealthEstimator) Score(now time.Duration) float64 {
	seen, told := h.seen, h.told
	seen.fade(now, h.options.HalfLife)
	told.fade(now, h.options.HalfLife)
	if limit := max(h.options.MinReportLimit, h.options.MaxReportShare*seen.all); told.all > limit {
		told.good *= limit / told.all
		told.all = limit
	}
	return (seen.good + told.good + prior) / (seen.all + told.all + prior)
}

func (e *evidence) fade(now, halfLife time.Duration) {
	if now <= e.at {
		return
	}
	f := math.Exp2(-float64(now-e.at) / float64(halfLife))
	e.good, e.all, e.at = e.good*f, e.all*f, now
}

func (e *evidence) add(ok bool) {
	e.all++
	if ok {
		e.good++
	}
}
