package admission

import "time"

// ConcurrencyOptions describe a Concurrency.
type ConcurrencyOptions struct {
	// Min and Max bound the limit. Max is also where it starts.
	Min, Max int
	// Tolerance is how many times the unloaded latency is still acceptable.
	Tolerance float64
	// Window is the number of requests after which the limit is adapted.
	Window int
}

// Concurrency finds how many requests a host bears at once, where its own
// report of slots misleads: additive increase while latency stays near the
// unloaded one, multiplicative decrease when it grows or requests fail.
type Concurrency struct {
	o        ConcurrencyOptions
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

// NewConcurrency returns a limit that starts at o.Max.
func NewConcurrency(o ConcurrencyOptions) *Concurrency {
	return &Concurrency{o: o, limit: float64(o.Max)}
}

// Limit returns the number of requests that may run at once.
func (c *Concurrency) Limit() int { return int(c.limit) }

// Observe reports a request that ended after latency while inFlight others ran.
func (c *Concurrency) Observe(latency time.Duration, inFlight int, failed bool) {
	c.sum += latency
	c.samples++
	c.failed = c.failed || failed
	c.full = c.full || inFlight+1 >= c.Limit()
	if c.samples >= c.o.Window {
		c.adapt()
	}
}

func (c *Concurrency) adapt() {
	mean := c.sum / time.Duration(c.samples)
	if c.unloaded == 0 || mean < c.unloaded {
		c.unloaded = mean
	}
	switch {
	case c.failed || float64(mean) > c.o.Tolerance*float64(c.unloaded):
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
	// First is the part of the capacity at the start, from 0 to 1.
	First float64
}

// At returns the part of the capacity that may be used, from First to 1.
func (r Ramp) At(now time.Time) float64 {
	passed := now.Sub(r.Start)
	if r.Duration <= 0 || passed >= r.Duration {
		return 1
	}
	return r.First + (1-r.First)*max(0, float64(passed)/float64(r.Duration))
}

// Slots returns the slots that may be used, at least one.
func (r Ramp) Slots(now time.Time, slots int) int {
	return max(1, int(r.At(now)*float64(slots)))
}
