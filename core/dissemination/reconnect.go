package dissemination

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BackoffOptions configures a Backoff.
type BackoffOptions struct {
	// InitialRange is the range of the first delay. The longer it is, the slower a
	// crowd of daemons comes back. Zero means 2 s.
	InitialRange time.Duration
	// MaxRange bounds the range of later delays; zero means 1 minute.
	MaxRange time.Duration
	// Rand draws the delays. It is required.
	Rand *rand.Rand
}

// Backoff draws the delays between attempts to connect: uniform from zero to a
// range that doubles with every failure ("full jitter").
type Backoff struct {
	opts     BackoffOptions
	failures int
}

// maxDoublings bounds the growth of the range.
const maxDoublings = 20

// NewBackoff returns a Backoff without failures.
func NewBackoff(opts BackoffOptions) *Backoff {
	setDefault(&opts.InitialRange, 2*time.Second)
	setDefault(&opts.MaxRange, time.Minute)
	return &Backoff{opts: opts}
}

// Next returns the delay before the next attempt, and at least floor.
func (b *Backoff) Next(floor time.Duration) time.Duration {
	limit := min(b.opts.InitialRange<<min(b.failures, maxDoublings), b.opts.MaxRange)
	b.failures++
	return floor + time.Duration(b.opts.Rand.Int64N(int64(limit)+1))
}

// Reset makes the next delay short again.
func (b *Backoff) Reset() { b.failures = 0 }

// RelayOrder returns the order in which a daemon tries relays. It spreads
// daemons evenly, and those of a lost relay over all others.
func RelayOrder(daemon string, relays []string) []string {
	own := xxhash.Sum64String(daemon)
	order := slices.Clone(relays)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(mix(own, xxhash.Sum64String(b)), mix(own, xxhash.Sum64String(a))),
			cmp.Compare(a, b),
		)
	})
	return order
}
