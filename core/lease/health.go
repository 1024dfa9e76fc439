package lease

import (
	"math"
	"time"
)

// HealthOptions configure a Health. Zero values take defaults.
type HealthOptions struct {
	// HalfLife is the time in which evidence loses half its weight.
	HalfLife time.Duration
	// ReportShare is the weight of all reports together, as a part of the
	// weight of the outcomes seen here, at most.
	ReportShare float64
	// ReportFloor is the weight that reports may have, in outcomes, where
	// little has been seen here.
	ReportFloor float64
}

func (o *HealthOptions) setDefaults() {
	setDefault(&o.HalfLife, 10*time.Second)
	setDefault(&o.ReportShare, 0.25)
	setDefault(&o.ReportFloor, 2)
}

// Health estimates the share of requests to one backend server that succeed,
// from the outcomes this process has seen and from reports of others. Reports
// lag and may mislead: seen outcomes outweigh them, and both fade with age.
// It is not safe for concurrent use.
type Health struct {
	options HealthOptions
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

// NewHealth returns the estimate of a backend server about which nothing is
// known: it works.
func NewHealth(o HealthOptions) *Health {
	o.setDefaults()
	return &Health{options: o}
}

// Seen adds an outcome that this process saw itself.
func (h *Health) Seen(now time.Duration, ok bool) {
	h.seen.fade(now, h.options.HalfLife)
	h.seen.add(ok)
}

// Told adds a report, made at the given time, of whether the backend server
// works.
func (h *Health) Told(now, made time.Duration, ok bool) {
	h.told.fade(now, h.options.HalfLife)
	weight := math.Exp2(-float64(max(0, now-made)) / float64(h.options.HalfLife))
	h.told.all += weight
	if ok {
		h.told.good += weight
	}
}

// Score returns the estimated share of successes, from 0 to 1.
func (h *Health) Score(now time.Duration) float64 {
	seen, told := h.seen, h.told
	seen.fade(now, h.options.HalfLife)
	told.fade(now, h.options.HalfLife)
	if limit := max(h.options.ReportFloor, h.options.ReportShare*seen.all); told.all > limit {
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
