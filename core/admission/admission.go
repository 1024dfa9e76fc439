// Package admission shares out what is scarce under load: the slots of a
// backend server and of a gateway (Limiter), the packets a balancer can handle
// (Scheduler), the concurrency a host really bears (Concurrency), and the hosts
// of a service (Pool).
//
// All types are pure: time and randomness are passed in. None is safe for
// concurrent use.
package admission

import (
	"math"
	"time"
)

// Class describes one class of work that shares slots with others.
type Class struct {
	// Name of the class, for people.
	Name string
	// Share is the class's part of the slots relative to the other classes'.
	// It must be positive.
	Share int
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// MaxQueue bounds the length of the queue.
	MaxQueue int
}

// Request is one unit of work that asks for a slot.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID uint64
	// Class is the index of the class.
	Class int
	// Deadline ends the request. It is shed if it could not finish by then.
	Deadline time.Time
}

// Verdict is the decision on a Request.
type Verdict uint8

// The verdicts of a Limiter.
const (
	Admit Verdict = iota // it has a slot
	Queue                // it is queued
	Shed                 // it was refused and holds nothing
)

// Decision is a verdict on one request.
type Decision struct {
	ID      uint64
	Verdict Verdict
	// RetryAfter is when a shed request may find room.
	RetryAfter time.Duration
}

type queued struct {
	id      uint64
	expires time.Time
}

// classState is a class with its queue and what it uses.
type classState struct {
	Class
	queue []queued
	inUse int
	// service is the mean time a slot is held.
	service time.Duration
	// usage is the decayed mean of inUse, as of the time used.
	usage float64
	used  time.Time
}

// settle brings the mean usage up to now.
func (c *classState) settle(now time.Time) {
	passed := now.Sub(c.used)
	if passed <= 0 {
		return
	}
	c.usage += (float64(c.inUse) - c.usage) * -math.Expm1(-float64(passed)/float64(usageTime))
	c.used = now
}

// claim is the part of its share that c takes: the mean of what it holds now
// and what it held lately. A class that stays below its share may go beyond it
// for a moment; one that begins to flood is stopped at once.
func (c *classState) claim(now time.Time) float64 {
	c.settle(now)
	return (float64(c.inUse) + c.usage) / float64(c.Share)
}

// Limiter hands out slots. A class may use slots that are idle beyond its
// share; as soon as a slot comes free it goes to the class that takes the
// smallest part of its share.
type Limiter struct {
	slots   int
	inUse   int
	classes []classState
	shares  int
	// waiting holds the classes with a queue, and may hold some without.
	waiting []int
	started map[uint64]running
	out     []Decision
}

type running struct {
	class int
	since time.Time
}

const (
	// firstService is the service time that is assumed before the first
	// request has ended.
	firstService = 10 * time.Millisecond
	// usageTime is the time constant of a class's mean usage.
	usageTime = time.Second
	// smoothing is the divisor of the moving means.
	smoothing = 16
	// minRetryAfter is the shortest pause that is asked of callers.
	minRetryAfter = time.Second
)

// NewLimiter returns a limiter with the given slots and classes.
func NewLimiter(slots int, classes []Class) *Limiter {
	l := &Limiter{slots: slots, started: make(map[uint64]running)}
	for _, c := range classes {
		l.classes = append(l.classes, classState{Class: c, service: firstService})
		l.shares += c.Share
	}
	return l
}

// InUse returns the number of slots in use.
func (l *Limiter) InUse() int { return l.inUse }

// Slots returns the number of slots.
func (l *Limiter) Slots() int { return l.slots }

// QueueLength returns the number of requests of a class that wait.
func (l *Limiter) QueueLength(class int) int { return len(l.classes[class].queue) }

// SetSlots changes the number of slots, as a host warms up or its limit is
// adapted. Slots in use are not taken back.
func (l *Limiter) SetSlots(now time.Time, slots int) []Decision {
	l.out = l.out[:0]
	l.slots = slots
	l.fill(now)
	return l.out
}

// Acquire decides on a new request. The last decision is on the request itself;
// any before it are on requests of its class that waited too long. The slice
// is valid until the next call.
func (l *Limiter) Acquire(now time.Time, r Request) []Decision {
	l.out = l.out[:0]
	c := &l.classes[r.Class]
	l.purge(now, c)
	if l.inUse < l.slots && l.neediest(now) < 0 {
		l.start(now, r.ID, r.Class)
		l.out = append(l.out, Decision{ID: r.ID, Verdict: Admit})
		return l.out
	}
	wait := l.expectedWait(c)
	limit := min(c.MaxWait, r.Deadline.Sub(now)-c.service)
	if len(c.queue) >= c.MaxQueue || wait > limit {
		l.out = append(l.out, Decision{ID: r.ID, Verdict: Shed, RetryAfter: max(wait, minRetryAfter)})
		return l.out
	}
	if len(c.queue) == 0 {
		l.waiting = append(l.waiting, r.Class)
	}
	c.queue = append(c.queue, queued{id: r.ID, expires: now.Add(limit)})
	l.out = append(l.out, Decision{ID: r.ID, Verdict: Queue})
	return l.out
}

// expectedWait is the time until a request that joins c now would start, if
// the class keeps the slots it has or is entitled to.
func (l *Limiter) expectedWait(c *classState) time.Duration {
	reserve := float64(l.slots*c.Share) / float64(l.shares)
	rate := max(reserve, float64(c.inUse))
	return time.Duration(float64(c.service) * float64(len(c.queue)) / rate)
}

func (l *Limiter) start(now time.Time, id uint64, class int) {
	c := &l.classes[class]
	c.settle(now)
	c.inUse++
	l.inUse++
	l.started[id] = running{class: class, since: now}
}

// Release returns the slot of a request that ended, or takes one that waits
// out of its queue. The decisions are on requests that waited; the slice is
// valid until the next call.
func (l *Limiter) Release(now time.Time, id uint64) []Decision {
	l.out = l.out[:0]
	r, ok := l.started[id]
	if !ok {
		l.withdraw(id)
		return l.out
	}
	delete(l.started, id)
	c := &l.classes[r.class]
	c.settle(now)
	c.inUse--
	l.inUse--
	c.service += (now.Sub(r.since) - c.service) / smoothing
	l.fill(now)
	return l.out
}

func (l *Limiter) withdraw(id uint64) {
	for i := range l.classes {
		c := &l.classes[i]
		for j := range c.queue {
			if c.queue[j].id == id {
				c.queue = append(c.queue[:j], c.queue[j+1:]...)
				return
			}
		}
	}
}

// ShedExpired sheds requests that have waited too long.
func (l *Limiter) ShedExpired(now time.Time) []Decision {
	l.out = l.out[:0]
	for _, i := range l.waiting {
		l.purge(now, &l.classes[i])
	}
	return l.out
}

// purge sheds the requests at the head of c's queue whose time is over.
func (l *Limiter) purge(now time.Time, c *classState) {
	n := 0
	for n < len(c.queue) && !c.queue[n].expires.After(now) {
		l.out = append(l.out, Decision{ID: c.queue[n].id, Verdict: Shed, RetryAfter: max(l.expectedWait(c), minRetryAfter)})
		n++
	}
	c.queue = c.queue[n:]
}

// fill starts requests that wait while slots are free.
func (l *Limiter) fill(now time.Time) {
	for l.inUse < l.slots {
		i := l.neediest(now)
		if i < 0 {
			return
		}
		c := &l.classes[i]
		id := c.queue[0].id
		c.queue = c.queue[1:]
		l.start(now, id, i)
		l.out = append(l.out, Decision{ID: id, Verdict: Admit})
	}
}

// neediest returns the class that waits and takes the smallest part of its
// share, or -1. Ties go to the class that began to wait first.
func (l *Limiter) neediest(now time.Time) int {
	best, least, kept := -1, 0.0, 0
	for _, i := range l.waiting {
		c := &l.classes[i]
		l.purge(now, c)
		if len(c.queue) == 0 {
			continue
		}
		l.waiting[kept] = i
		kept++
		if claim := c.claim(now); best < 0 || claim < least {
			best, least = i, claim
		}
	}
	l.waiting = l.waiting[:kept]
	return best
}
