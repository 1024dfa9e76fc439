package admission

import "time"

// ConcurrencyLimitOptions describe a Concurrency.
type ConcurrencyLimitOptions struct {
	// Min and Max bound the limit. Max is also where it starts.
	Min, Max int
	// MaxLatencyRatio is how many times the unloaded latency is still acceptable.
	MaxLatencyRatio float64
	// SampleWindow is the number of requests after which the limit is adapted.
	SampleWindow int
}

// ConcurrencyLimit finds how many requests a host bears at once, where its own
// report of slots misleads: additive increase while latency stays near the
// unloaded one, multiplicative decrease when it grows or requests fail.
type ConcurrencyLimit struct {
	o        ConcurrencyLimitOptions
	limit    float64
	unloaded time.Duration
	sum      time.Duration
	samples  int
	failed   bool
	full     bool
}

const (
	// decrease is the factor applied to the limit of an overloaded host.
	decrease = 0.75
	// drift lets the unloaded latency follow a host that became slower for
	// good: the divisor by which it rises towards each window's mean.
	drift = 64
)

// NewConcurrencyLimit returns a limit that starts at o.Max.
func NewConcurrencyLimit(o ConcurrencyLimitOptions) *ConcurrencyLimit {
	return &ConcurrencyLimit{o: o, limit: float64(o.Max)}
}

// Limit returns the number of requests that may run at once.
func (c *ConcurrencyLimit) Limit() int { return int(c.limit) }

// Observe reports a request that ended after latency while inFlight others ran.
func (c *ConcurrencyLimit) Observe(latency time.Duration, inFlight int, failed bool) {
	c.sum += latency
	c.samples++
	c.failed = c.failed || failed
	c.full = c.full || inFlight+1 >= c.Limit()
	if c.samples >= c.o.SampleWindow {
		c.adapt()
	}
}

func (c *ConcurrencyLimit) adapt() {
	mean := c.sum / time.Duration(c.samples)
	if c.unloaded == 0 || mean < c.unloaded {
		c.unloaded = mean
	}
	switch {
	case c.failed || float64(mean) > c.o.MaxLatencyRatio*float64(c.unloaded):
		c.limit = max(c.limit*decrease, float64(c.o.Min))
	case c.full:
		c.limit = min(c.limit+1, float64(c.o.Max))
	}
	c.unloaded += (mean - c.unloaded) / drift
	c.sum, c.samples, c.failed, c.full = 0, 0, false, false
}

// Ramp raises a cold host from a first part of its capacity to the whole.
type Ramp struct {
	// Start is when the host began.
	Start time.Time
	// Duration is the time to full capacity; 0 is full at once.
	Duration time.Duration
	// InitialFraction is the part of the capacity at the start, from 0 to 1.
	InitialFraction float64
}

// FractionAt returns the part of the capacity that may be used, from First to 1.
func (r Ramp) FractionAt(now time.Time) float64 {
	passed := now.Sub(r.Start)
	if r.Duration <= 0 || passed >= r.Duration {
		return 1
	}
	return r.InitialFraction + (1-r.InitialFraction)*max(0, float64(passed)/float64(r.Duration))
}

// SlotsAt returns the slots that may be used, at least one.
func (r Ramp) SlotsAt(now time.Time, slots int) int {
	return max(1, int(r.FractionAt(now)*float64(slots)))
}
