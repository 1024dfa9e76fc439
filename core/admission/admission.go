// Package admission controls the use of scarce resources under load: the slots
// of a backend server or gateway (Limiter), the packet processing of a balancer
// (Scheduler), the concurrency that a backend server sustains
// (ConcurrencyLimit), and the choice among the backend servers of a service
// (Pool).
//
// The types have no clock or random source of their own: time and random
// numbers are arguments. None of them is safe for concurrent use.
package admission

import (
	"math"
	"slices"
	"time"
)

// Class describes one class of requests that shares slots with other classes.
type Class struct {
	// Name is the display name of the class.
	Name string
	// Share is the weight of the class in the division of the slots among all
	// classes. It must be positive.
	Share int
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// MaxQueue is the maximum length of the queue.
	MaxQueue int
}

// Request is one request for a slot.
type Request struct {
	// ID is unique among the requests that are queued or admitted.
	ID uint64
	// Class is the index of the class.
	Class int
	// Deadline is the time by which the request must end. The request is shed
	// if it is not expected to end by then.
	Deadline time.Time
}

// Verdict is the decision on a Request.
type Verdict uint8

// The verdicts of a Limiter.
const (
	Admit Verdict = iota // the request has a slot
	Queue                // the request waits in the queue of its class
	Shed                 // the request was rejected and holds no slot
)

// Decision is the verdict on one request.
type Decision struct {
	ID      uint64
	Verdict Verdict
	// RetryAfter is the time after which a shed request may be admitted.
	RetryAfter time.Duration
}

type queuedRequest struct {
	id      uint64
	expires time.Time
}

// classState is the state of a class: its queue and its use of slots.
type classState struct {
	Class
	queue []queuedRequest
	inUse int
	// meanHoldTime is the moving mean of the time that a slot is held.
	meanHoldTime time.Duration
	// meanInUse is the exponentially decayed mean of inUse at meanUpdatedAt.
	meanInUse     float64
	meanUpdatedAt time.Time
}

// updateMean decays meanInUse up to now.
func (c *classState) updateMean(now time.Time) {
	elapsed := now.Sub(c.meanUpdatedAt)
	if elapsed <= 0 {
		return
	}
	c.meanInUse += (float64(c.inUse) - c.meanInUse) * -math.Expm1(-float64(elapsed)/float64(meanTimeConstant))
	c.meanUpdatedAt = now
}

// relativeUsage returns the use of slots relative to the class's share: the sum
// of the current and the mean number of slots in use, divided by the share. A
// class that has stayed below its share may exceed it briefly; a class that
// starts to flood is limited at once.
func (c *classState) relativeUsage(now time.Time) float64 {
	c.updateMean(now)
	return (float64(c.inUse) + c.meanInUse) / float64(c.Share)
}

// Limiter assigns slots to requests. A class may use idle slots beyond its
// share. A slot that becomes free goes to the class with the lowest use
// relative to its share.
type Limiter struct {
	slots       int
	inUse       int
	classes     []classState
	totalShares int
	// queuedClasses are the classes with queued requests, in the order in which
	// their queues became nonempty. Some of the queues may be empty again.
	queuedClasses []int
	admitted      map[uint64]admittedRequest
	decisions     []Decision
}

type admittedRequest struct {
	class      int
	admittedAt time.Time
}

const (
	// initialHoldTime is the hold time that is assumed before the first request
	// has ended.
	initialHoldTime = 10 * time.Millisecond
	// meanTimeConstant is the time constant of meanInUse.
	meanTimeConstant = time.Second
	// smoothingDivisor is the divisor of the moving means.
	smoothingDivisor = 16
	// minRetryAfter is the shortest Decision.RetryAfter.
	minRetryAfter = time.Second
)

// NewLimiter returns a limiter with the given number of slots and classes.
func NewLimiter(slots int, classes []Class) *Limiter {
	l := &Limiter{slots: slots, admitted: make(map[uint64]admittedRequest)}
	for _, c := range classes {
		l.classes = append(l.classes, classState{Class: c, meanHoldTime: initialHoldTime})
		l.totalShares += c.Share
	}
	return l
}

// InUse returns the number of slots in use.
func (l *Limiter) InUse() int { return l.inUse }

// Slots returns the number of slots.
func (l *Limiter) Slots() int { return l.slots }

// QueueLength returns the number of queued requests of a class.
func (l *Limiter) QueueLength(class int) int { return len(l.classes[class].queue) }

// SetSlots changes the number of slots, for example while a backend server
// warms up or when its limit is adapted. Slots in use are not revoked. The
// slice is valid until the next call.
func (l *Limiter) SetSlots(now time.Time, slots int) []Decision {
	l.decisions = l.decisions[:0]
	l.slots = slots
	l.admitQueued(now)
	return l.decisions
}

// Acquire decides on a new request. The last decision is on the request itself;
// the decisions before it are on requests of its class that exceeded their time
// in the queue. The slice is valid until the next call.
func (l *Limiter) Acquire(now time.Time, r Request) []Decision {
	l.decisions = l.decisions[:0]
	c := &l.classes[r.Class]
	l.shedExpiredOf(now, c)
	if l.inUse < l.slots && l.leastServedClass(now) < 0 {
		l.admit(now, r.ID, r.Class)
		l.decisions = append(l.decisions, Decision{ID: r.ID, Verdict: Admit})
		return l.decisions
	}
	wait := l.expectedWait(c)
	maxWait := min(c.MaxWait, r.Deadline.Sub(now)-c.meanHoldTime)
	if len(c.queue) >= c.MaxQueue || wait > maxWait {
		l.decisions = append(l.decisions, Decision{ID: r.ID, Verdict: Shed, RetryAfter: max(wait, minRetryAfter)})
		return l.decisions
	}
	if len(c.queue) == 0 {
		isThisClass := func(class int) bool { return class == r.Class }
		l.queuedClasses = append(slices.DeleteFunc(l.queuedClasses, isThisClass), r.Class)
	}
	c.queue = append(c.queue, queuedRequest{id: r.ID, expires: now.Add(maxWait)})
	l.decisions = append(l.decisions, Decision{ID: r.ID, Verdict: Queue})
	return l.decisions
}

// expectedWait returns the time until a request that is queued in c now would
// be admitted, if the class keeps the greater of the slots in use and its
// share.
func (l *Limiter) expectedWait(c *classState) time.Duration {
	reserved := float64(l.slots*c.Share) / float64(l.totalShares)
	usable := max(reserved, float64(c.inUse))
	return time.Duration(float64(c.meanHoldTime) * float64(len(c.queue)) / usable)
}

func (l *Limiter) admit(now time.Time, id uint64, class int) {
	c := &l.classes[class]
	c.updateMean(now)
	c.inUse++
	l.inUse++
	l.admitted[id] = admittedRequest{class: class, admittedAt: now}
}

// Release frees the slot of a request that ended, or removes a queued request
// from its queue. The decisions are on queued requests; the slice is valid
// until the next call.
func (l *Limiter) Release(now time.Time, id uint64) []Decision {
	l.decisions = l.decisions[:0]
	r, ok := l.admitted[id]
	if !ok {
		l.removeQueued(id)
		return l.decisions
	}
	delete(l.admitted, id)
	c := &l.classes[r.class]
	c.updateMean(now)
	c.inUse--
	l.inUse--
	c.meanHoldTime += (now.Sub(r.admittedAt) - c.meanHoldTime) / smoothingDivisor
	l.admitQueued(now)
	return l.decisions
}

func (l *Limiter) removeQueued(id uint64) {
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

// ShedExpired sheds the queued requests that exceeded their time in the queue.
// The slice is valid until the next call.
func (l *Limiter) ShedExpired(now time.Time) []Decision {
	l.decisions = l.decisions[:0]
	for _, i := range l.queuedClasses {
		l.shedExpiredOf(now, &l.classes[i])
	}
	return l.decisions
}

// shedExpiredOf sheds the expired requests at the head of c's queue.
func (l *Limiter) shedExpiredOf(now time.Time, c *classState) {
	n := 0
	for n < len(c.queue) && !c.queue[n].expires.After(now) {
		l.decisions = append(l.decisions, Decision{ID: c.queue[n].id, Verdict: Shed, RetryAfter: max(l.expectedWait(c), minRetryAfter)})
		n++
	}
	c.queue = c.queue[n:]
}

// admitQueued admits queued requests while slots are free.
func (l *Limiter) admitQueued(now time.Time) {
	for l.inUse < l.slots {
		i := l.leastServedClass(now)
		if i < 0 {
			return
		}
		c := &l.classes[i]
		id := c.queue[0].id
		c.queue = c.queue[1:]
		l.admit(now, id, i)
		l.decisions = append(l.decisions, Decision{ID: id, Verdict: Admit})
	}
}

// leastServedClass returns the class with queued requests whose use relative to
// its share is lowest, or -1. Ties go to the class that has had a queue for
// longest.
func (l *Limiter) leastServedClass(now time.Time) int {
	best, least, nonempty := -1, 0.0, 0
	for _, i := range l.queuedClasses {
		c := &l.classes[i]
		l.shedExpiredOf(now, c)
		if len(c.queue) == 0 {
			continue
		}
		l.queuedClasses[nonempty] = i
		nonempty++
		if usage := c.relativeUsage(now); best < 0 || usage < least {
			best, least = i, usage
		}
	}
	l.queuedClasses = l.queuedClasses[:nonempty]
	return best
}
