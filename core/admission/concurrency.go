package admission

import "time"

// ConcurrencyLimitOptions configure a ConcurrencyLimit.
type ConcurrencyLimitOptions struct {
	// Min and Max bound the limit. Max is also the initial limit.
	Min, Max int
	// MaxLatencyRatio is the acceptable ratio of the mean latency to the
	// unloaded latency.
	MaxLatencyRatio float64
	// SampleWindow is the number of requests after which the limit is adapted.
	SampleWindow int
}

// ConcurrencyLimit estimates how many concurrent requests a backend server
// sustains, for servers whose reported number of slots is wrong. It uses
// additive increase while the latency stays near the unloaded latency, and
// multiplicative decrease when the latency grows or a request fails.
type ConcurrencyLimit struct {
	options     ConcurrencyLimitOptions
	limit       float64
	baseLatency time.Duration
	latencySum  time.Duration
	samples     int
	hasFailure  bool
	isSaturated bool
}

const (
	// decreaseFactor is applied to the limit of an overloaded backend server.
	decreaseFactor = 0.75
	// driftDivisor is the divisor by which the unloaded latency approaches the
	// mean of each window, so that it adapts to a permanently slower backend
	// server.
	driftDivisor = 64
)

// NewConcurrencyLimit returns a limit that starts at o.Max.
func NewConcurrencyLimit(o ConcurrencyLimitOptions) *ConcurrencyLimit {
	return &ConcurrencyLimit{options: o, limit: float64(o.Max)}
}

// Limit returns the maximum number of concurrent requests.
func (c *ConcurrencyLimit) Limit() int { return int(c.limit) }

// Observe records a request that ended after latency, while inFlight other
// requests were running.
func (c *ConcurrencyLimit) Observe(latency time.Duration, inFlight int, failed bool) {
	c.latencySum += latency
	c.samples++
	c.hasFailure = c.hasFailure || failed
	c.isSaturated = c.isSaturated || inFlight+1 >= c.Limit()
	if c.samples >= c.options.SampleWindow {
		c.adapt()
	}
}

func (c *ConcurrencyLimit) adapt() {
	mean := c.latencySum / time.Duration(c.samples)
	if c.baseLatency == 0 || mean < c.baseLatency {
		c.baseLatency = mean
	}
	switch {
	case c.hasFailure || float64(mean) > c.options.MaxLatencyRatio*float64(c.baseLatency):
		c.limit = max(c.limit*decreaseFactor, float64(c.options.Min))
	case c.isSaturated:
		c.limit = min(c.limit+1, float64(c.options.Max))
	}
	c.baseLatency += (mean - c.baseLatency) / driftDivisor
	c.latencySum, c.samples, c.hasFailure, c.isSaturated = 0, 0, false, false
}

// Ramp is the slow start of a backend server that has just started or returned
// after an ejection: its capacity rises linearly from an initial fraction to
// all of it.
type Ramp struct {
	// Start is the time at which the ramp begins.
	Start time.Time
	// Duration is the time until full capacity; 0 means full capacity at once.
	Duration time.Duration
	// InitialFraction is the fraction of the capacity at Start, from 0 to 1.
	InitialFraction float64
}

// FractionAt returns the fraction of the capacity that may be used, from
// InitialFraction to 1.
func (r Ramp) FractionAt(now time.Time) float64 {
	elapsed := now.Sub(r.Start)
	if r.Duration <= 0 || elapsed >= r.Duration {
		return 1
	}
	return r.InitialFraction + (1-r.InitialFraction)*max(0, float64(elapsed)/float64(r.Duration))
}

// SlotsAt returns the number of slots that may be used, at least one.
func (r Ramp) SlotsAt(now time.Time, slots int) int {
	return max(1, int(r.FractionAt(now)*float64(slots)))
}
