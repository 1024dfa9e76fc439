package attempt

import (
	"slices"
	"time"
)

// inactivityTimeout returns how long s may make no progress.
func (c *Coordinator) inactivityTimeout(s *stream) time.Duration {
	switch {
	case s.hasHead:
		return c.cfg.StallTimeout
	case s.kind == kindSend:
		return c.cfg.SettleAfter
	default:
		return c.cfg.ReplyTimeout
	}
}

func (c *Coordinator) checkStreamTimeouts(now time.Time) {
	for _, s := range slices.Clone(c.streams) {
		if c.phase != phaseWaiting || c.findStream(s.num) == nil || now.Sub(s.lastActive) < c.inactivityTimeout(&s) {
			continue
		}
		if s.kind == kindSend && !s.hasHead {
			c.querySilentSend(now, s)
			continue
		}
		c.closeStream(s)
		c.handleBrokenStream(now, s)
	}
}

// querySilentSend queries the agent for the state of a send that has no response
// head. The send stays open, because its response may arrive before the reply.
func (c *Coordinator) querySilentSend(now time.Time, s stream) {
	c.findStream(s.num).lastActive = now
	if !c.hasStream(s.id, kindSettle) {
		c.settle(now, Assignment{ID: s.id, Target: s.target})
	}
}

func (c *Coordinator) streamInput(now time.Time, in Input) {
	switch in := in.(type) {
	case NotSent:
		c.notSent(now, in)
	case Rejected:
		c.rejectedSend(now, in)
	case Head:
		c.head(now, in)
	case Body:
		c.body(now, in)
	case End:
		c.end(now, in)
	case Reset:
		c.reset(now, in.Stream)
	case Settled:
		c.settled(now, in)
	}
}

func (c *Coordinator) notSent(now time.Time, in NotSent) {
	s := c.findStream(in.Stream)
	if s == nil {
		return
	}
	if s.kind != kindSend {
		c.reset(now, in.Stream)
		return
	}
	c.removeStream(in.Stream)
	c.retry(now, ReasonNoServer, 0, true)
}

func (c *Coordinator) rejectedSend(now time.Time, in Rejected) {
	s := c.findStream(in.Stream)
	if s == nil || s.kind != kindSend {
		return
	}
	id := s.id
	if in.State == StateFenced {
		c.closeAttemptStreams(id)
		c.retry(now, ReasonOverload, in.RetryAfter, false)
		return
	}
	c.abandonAttempt(now, id)
}

// abandonAttempt abandons an attempt that may have run.
func (c *Coordinator) abandonAttempt(now time.Time, id ID) {
	c.mayHaveRun = true
	c.closeAttemptStreams(id)
	c.retry(now, ReasonAgentLost, 0, false)
}

// closeAttemptStreams closes every stream of id.
func (c *Coordinator) closeAttemptStreams(id ID) {
	for _, s := range slices.Clone(c.streams) {
		if s.id == id {
			c.closeStream(s)
		}
	}
}

func (c *Coordinator) head(now time.Time, in Head) {
	s := c.findStream(in.Stream)
	if s == nil || s.kind == kindSettle || s.hasHead {
		return
	}
	if in.ID != s.id || !c.isContinuation(in) {
		c.reset(now, in.Stream)
		return
	}
	s.hasHead = true
	s.lastActive = now
	c.phase = phaseWaiting
	for _, o := range slices.Clone(c.streams) {
		if o.num != in.Stream {
			c.closeStream(o)
		}
	}
	if !c.delivery.started {
		c.delivery = delivery{started: true, length: in.Length, validator: in.Validator}
	}
	c.emit(Pass{Stream: in.Stream})
}

// isContinuation reports whether the body of in continues the delivered part of
// the response.
func (c *Coordinator) isContinuation(in Head) bool {
	if in.Offset != c.delivery.offset {
		return false
	}
	return !c.delivery.started || in.Length == c.delivery.length && in.Validator == c.delivery.validator
}

func (c *Coordinator) body(now time.Time, in Body) {
	s := c.findStream(in.Stream)
	if s == nil || !s.hasHead {
		return
	}
	s.lastActive = now
	c.delivery.offset += in.N
	if c.delivery.length >= 0 && c.delivery.offset > c.delivery.length {
		c.finish(Result{Outcome: Unknown, Reason: ReasonTruncated})
	}
}

func (c *Coordinator) end(now time.Time, in End) {
	s := c.findStream(in.Stream)
	if s == nil || !s.hasHead {
		return
	}
	isComplete := in.Total == c.delivery.offset && (c.delivery.length < 0 || c.delivery.length == in.Total)
	if !isComplete {
		c.reset(now, in.Stream)
		return
	}
	c.removeStream(in.Stream)
	c.finish(Result{Outcome: Answered})
}

func (c *Coordinator) reset(now time.Time, num uint32) {
	s := c.findStream(num)
	if s == nil {
		return
	}
	if s.kind == kindSettle && !c.cfg.Repeatable {
		return // the query is repeated after ReplyTimeout
	}
	removed := *s
	c.removeStream(num)
	c.handleBrokenStream(now, removed)
}

// handleBrokenStream handles the loss of a stream that is already removed.
func (c *Coordinator) handleBrokenStream(now time.Time, s stream) {
	a := Assignment{ID: s.id, Target: s.target}
	switch {
	case c.cfg.Repeatable:
		c.abandonAttempt(now, s.id)
	case s.kind == kindFetch && c.fetchCount >= maxFetches:
		c.finish(Result{Outcome: Unknown, Reason: ReasonResponseDropped})
	case !c.hasStream(s.id, kindSend) && !c.hasStream(s.id, kindSettle):
		c.settle(now, a)
	}
}

func (c *Coordinator) settled(now time.Time, in Settled) {
	s := c.findStream(in.Stream)
	if s == nil || s.kind != kindSettle {
		return
	}
	settle := *s
	a := Assignment{ID: settle.id, Target: settle.target}
	if in.State == StateRunning {
		c.waitForRunning(now, in.Stream)
		return
	}
	c.removeStream(in.Stream)
	switch in.State {
	case StateDone:
		c.closeAttemptStreams(settle.id)
		c.fetchResponse(now, a, in.HasResponse)
	case StateFenced:
		c.closeAttemptStreams(settle.id)
		c.replaceableID = settle.id
		c.retry(now, ReasonAgentLost, 0, c.sendCount == 0)
	default:
		c.abandonAttempt(now, settle.id)
	}
}

// waitForRunning waits for an attempt that still runs. If its send stream has
// ended, the Settle is repeated after ReplyTimeout.
func (c *Coordinator) waitForRunning(now time.Time, num uint32) {
	id := c.findStream(num).id
	if c.hasStream(id, kindSend) {
		c.removeStream(num)
		return
	}
	c.findStream(num).lastActive = now
}

func (c *Coordinator) fetchResponse(now time.Time, a Assignment, hasResponse bool) {
	switch {
	case hasResponse:
		c.fetch(now, a)
	case c.cfg.Repeatable:
		c.abandonAttempt(now, a.ID)
	default:
		c.finish(Result{Outcome: Unknown, Reason: ReasonResponseDropped})
	}
}
