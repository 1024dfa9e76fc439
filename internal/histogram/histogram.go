// Package histogram counts durations in buckets that double. It is cheap enough
// for every packet and safe for concurrent use.
package histogram

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// unit is the width of the first bucket.
const unit = 100 * time.Microsecond

// buckets reach from unit to about 50 s; the last one holds all that is longer.
const buckets = 20

// Histogram counts durations.
type Histogram struct {
	counts [buckets]atomic.Uint64
	sum    atomic.Int64 // nanoseconds
}

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) {
	d = max(d, 0)
	i := bits.Len64(uint64(d / unit))
	h.counts[min(i, buckets-1)].Add(1)
	h.sum.Add(int64(d))
}

// Summary is a Histogram at one time. Bounds are upper ends of buckets.
type Summary struct {
	Count  uint64        `json:"count"`
	Mean   time.Duration `json:"mean_ns"`
	Median time.Duration `json:"p50_ns"`
	P99    time.Duration `json:"p99_ns"`
	Max    time.Duration `json:"max_ns"`
}

// Summary returns what was counted.
func (h *Histogram) Summary() Summary {
	var counts [buckets]uint64
	var s Summary
	for i := range counts {
		counts[i] = h.counts[i].Load()
		s.Count += counts[i]
	}
	if s.Count == 0 {
		return s
	}
	s.Mean = time.Duration(h.sum.Load()) / time.Duration(s.Count)
	s.Median = quantile(counts[:], s.Count, 50)
	s.P99 = quantile(counts[:], s.Count, 99)
	s.Max = quantile(counts[:], s.Count, 100)
	return s
}

// quantile returns the upper end of the bucket that holds a percentile.
func quantile(counts []uint64, total, percent uint64) time.Duration {
	var seen uint64
	for i, n := range counts {
		seen += n
		if seen*100 >= total*percent {
			return unit << i
		}
	}
	return unit << (buckets - 1)
}
