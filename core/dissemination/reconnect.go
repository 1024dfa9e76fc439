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
	// BaseDelay is the upper bound of the random delay after the first failure. A
	// higher bound lowers the rate at which many daemons reconnect after a common
	// failure. Zero means 2 s.
	BaseDelay time.Duration
	// MaxDelay is the upper bound of every random delay. Zero means 1 minute.
	MaxDelay time.Duration
	// Rand is the source of the delays. It is required.
	Rand *rand.Rand
}

// Backoff computes the delays between connection attempts. Each delay is uniformly
// distributed between zero and a bound that doubles with every failure ("full
// jitter").
type Backoff struct {
	opts     BackoffOptions
	failures int
}

// maxDoublings bounds the exponent of the backoff.
const maxDoublings = 20

// NewBackoff returns a Backoff without failures.
func NewBackoff(opts BackoffOptions) *Backoff {
	setDefault(&opts.BaseDelay, 2*time.Second)
	setDefault(&opts.MaxDelay, time.Minute)
	return &Backoff{opts: opts}
}

// Next returns the delay before the next attempt: floor plus a random duration.
func (b *Backoff) Next(floor time.Duration) time.Duration {
	limit := min(b.opts.BaseDelay<<min(b.failures, maxDoublings), b.opts.MaxDelay)
	b.failures++
	return floor + time.Duration(b.opts.Rand.Int64N(int64(limit)+1))
}

// Reset resets the backoff after a successful attempt.
func (b *Backoff) Reset() { b.failures = 0 }

// RelayOrder returns the order in which a daemon tries relays. The order is a
// rendezvous hash: it distributes daemons evenly over the relays, and those of a
// failed relay evenly over all others.
func RelayOrder(daemon string, relays []string) []string {
	daemonHash := xxhash.Sum64String(daemon)
	order := slices.Clone(relays)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(mix(daemonHash, xxhash.Sum64String(b)), mix(daemonHash, xxhash.Sum64String(a))),
			cmp.Compare(a, b),
		)
	})
	return order
}
