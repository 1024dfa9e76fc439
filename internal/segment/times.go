package segment

import (
	"sync"
	"time"

	"fulmarmount.org/core/flow"
)

// maxStartTimes bounds the flows whose latency is being measured.
const maxStartTimes = 4096

// startTimes holds the start times of latency measurements by flow.
type startTimes struct {
	mu     *sync.Mutex
	byFlow map[flow.ID]time.Duration
}

func newStartTimes() startTimes {
	return startTimes{mu: &sync.Mutex{}, byFlow: make(map[flow.ID]time.Duration)}
}

// record stores a start time. If maxStartTimes measurements are open, it clears all.
func (t *startTimes) record(now time.Duration, id flow.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byFlow) >= maxStartTimes {
		clear(t.byFlow)
	}
	t.byFlow[id] = now
}

// take returns and removes a start time.
func (t *startTimes) take(id flow.ID) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.byFlow[id]
	delete(t.byFlow, id)
	return at, ok
}
