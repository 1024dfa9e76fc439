// Package phases measures how long the phases of a start, or of a change of leader,
// take, so that operators see which one a recovery waits for.
package phases

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Phase is a phase that has ended.
type Phase struct {
	Name string `json:"phase"`
	// Milliseconds is the time from the tracker's start to the end of the phase.
	Milliseconds int64 `json:"ms"`
}

// Tracker records when each phase ended for the first time. It is safe for concurrent
// use, and cheap to call once a phase is recorded.
type Tracker struct {
	began time.Time
	now   func() time.Time
	log   *zap.Logger
	names []string
	ended []atomic.Bool // by the index of names

	mu     sync.Mutex
	phases []Phase
}

// New returns a Tracker that counts from now on. It knows the phases in names only.
func New(now func() time.Time, log *zap.Logger, names ...string) *Tracker {
	return &Tracker{began: now(), now: now, log: log, names: names, ended: make([]atomic.Bool, len(names))}
}

// End records and logs that a phase has ended. Later calls for the same phase, and
// calls for an unknown one, do nothing.
func (t *Tracker) End(name string) {
	i := slices.Index(t.names, name)
	if i < 0 || t.ended[i].Load() || t.ended[i].Swap(true) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Phase{Name: name, Milliseconds: t.now().Sub(t.began).Milliseconds()}
	t.phases = append(t.phases, p)
	t.log.Info("A phase has ended.", zap.String("phase", p.Name), zap.Int64("ms", p.Milliseconds))
}

// Ended returns the phases that have ended, in the order of their ends.
func (t *Tracker) Ended() []Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.phases)
}
