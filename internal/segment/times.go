package segment

import (
	"sync"
	"time"

	"fulmarmount.org/core/flow"
)

// maxTimes bounds the flows whose placing is being measured.
const maxTimes = 4096

// times holds when something began for flows.
type times struct {
	mu *sync.Mutex
	at map[flow.ID]time.Duration
}

func newTimes() times { return times{mu: &sync.Mutex{}, at: make(map[flow.ID]time.Duration)} }

// put notes a beginning. Where too many never ended, all are forgotten.
func (t *times) put(now time.Duration, id flow.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.at) >= maxTimes {
		clear(t.at)
	}
	t.at[id] = now
}

// take returns a beginning and forgets it.
func (t *times) take(id flow.ID) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.at[id]
	delete(t.at, id)
	return at, ok
}
