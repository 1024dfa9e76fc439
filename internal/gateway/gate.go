package gateway

import (
	"context"
	"sync"
	"time"

	"fulmarmount.org/core/admission"
)

// gate lets goroutines wait for slots of a Limiter. It is safe for concurrent
// use.
type gate struct {
	now     func() time.Time
	mu      sync.Mutex
	limiter *admission.Limiter
	waiting map[uint64]chan admission.Decision
	lastID  uint64
}

func newGate(now func() time.Time, slots int, classes []admission.Class) *gate {
	return &gate{
		now:     now,
		limiter: admission.NewLimiter(slots, classes),
		waiting: make(map[uint64]chan admission.Decision),
	}
}

// enter asks for a slot and waits for the decision. With Admit, leave must be
// called. If ctx ends first the request is withdrawn and shed.
func (g *gate) enter(ctx context.Context, class int, deadline time.Time) (leave func(), d admission.Decision) {
	g.mu.Lock()
	g.lastID++
	id := g.lastID
	ds := g.limiter.Acquire(g.now(), admission.Request{ID: id, Class: class, Deadline: deadline})
	d = ds[len(ds)-1]
	g.wake(ds[:len(ds)-1])
	var decided chan admission.Decision
	if d.Verdict == admission.Queue {
		decided = make(chan admission.Decision, 1)
		g.waiting[id] = decided
	}
	g.mu.Unlock()
	if decided != nil {
		d = g.await(ctx, id, decided)
	}
	if d.Verdict != admission.Admit {
		return nil, d
	}
	return func() { g.release(id) }, d
}

func (g *gate) await(ctx context.Context, id uint64, decided chan admission.Decision) admission.Decision {
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	}
	g.mu.Lock()
	_, waits := g.waiting[id]
	delete(g.waiting, id)
	g.mu.Unlock()
	if waits {
		g.release(id)
		return admission.Decision{ID: id, Verdict: admission.Shed}
	}
	d := <-decided
	if d.Verdict == admission.Admit {
		g.release(id)
	}
	return admission.Decision{ID: id, Verdict: admission.Shed}
}

func (g *gate) release(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.limiter.Release(g.now(), id))
}

// wake tells those whose wait is decided. The caller holds the lock.
func (g *gate) wake(ds []admission.Decision) {
	for _, d := range ds {
		if ch := g.waiting[d.ID]; ch != nil {
			delete(g.waiting, d.ID)
			ch <- d
		}
	}
}

// tick sheds what waited too long.
func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.limiter.ShedExpired(g.now()))
}

// load returns the number of requests that run or wait.
func (g *gate) load() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.InUse() + len(g.waiting)
}

// setSlots changes the number of slots.
func (g *gate) setSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots != g.limiter.Slots() {
		g.wake(g.limiter.SetSlots(g.now(), slots))
	}
}
