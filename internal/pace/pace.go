// Package pace holds the waits of the daemons' loops.
package pace

import (
	"context"
	"math/rand/v2"
	"time"
)

// Every calls f at each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// Jitter draws a delay between half of d and d.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// Sleep waits for d and reports whether ctx has not ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
