package attempt

import (
	"slices"
	"time"
)

// patience is how long s may be inactive.
func (a *Coordinator) patience(s *stream) time.Duration {
	switch {
	case s.head:
		return a.cfg.StallTimeout
	case s.kind == kindSend:
		return a.cfg.SettleAfter
	default:
		return a.cfg.ReplyTimeout
	}
}

func (a *Coordinator) tickStreams(now time.Time) {
	for _, s := range slices.Clone(a.streams) {
		if a.phase != phaseWaiting || a.find(s.num) == nil || now.Sub(s.active) < a.patience(&s) {
			continue
		}
		if s.kind == kindSend && !s.head {
			a.silent(now, s)
			continue
		}
		a.drop(s)
		a.broken(now, s)
	}
}

// silent asks about a send that has said nothing. The send stays open: its
// answer is welcome if it comes first.
func (a *Coordinator) silent(now time.Time, s stream) {
	a.find(s.num).active = now
	if !a.has(s.id, kindSettle) {
		a.settle(now, Assignment{ID: s.id, Target: s.target})
	}
}

func (a *Coordinator) streamInput(now time.Time, in Input) {
	switch in := in.(type) {
	case NotSent:
		a.notSent(now, in)
	case Rejected:
		a.refusedSend(now, in)
	case Head:
		a.head(now, in)
	case Body:
		a.body(now, in)
	case End:
		a.end(now, in)
	case Reset:
		a.reset(now, in.Stream)
	case Settled:
		a.settled(now, in)
	}
}

func (a *Coordinator) notSent(now time.Time, in NotSent) {
	s := a.find(in.Stream)
	if s == nil {
		return
	}
	if s.kind != kindSend {
		a.reset(now, in.Stream)
		return
	}
	a.forget(in.Stream)
	a.again(now, ReasonNoServer, 0, true)
}

func (a *Coordinator) refusedSend(now time.Time, in Rejected) {
	s := a.find(in.Stream)
	if s == nil || s.kind != kindSend {
		return
	}
	id := s.id
	if in.State == StateFenced {
		a.dropAttempt(id)
		a.again(now, ReasonOverload, in.RetryAfter, false)
		return
	}
	a.lost(now, id)
}

// lost gives up an attempt without proof.
func (a *Coordinator) lost(now time.Time, id ID) {
	a.unproven = true
	a.dropAttempt(id)
	a.again(now, ReasonAgentLost, 0, false)
}

// dropAttempt forgets every stream of id.
func (a *Coordinator) dropAttempt(id ID) {
	for _, s := range slices.Clone(a.streams) {
		if s.id == id {
			a.drop(s)
		}
	}
}

func (a *Coordinator) head(now time.Time, in Head) {
	s := a.find(in.Stream)
	if s == nil || s.kind == kindSettle || s.head {
		return
	}
	if in.ID != s.id || !a.continues(in) {
		a.reset(now, in.Stream)
		return
	}
	s.head = true
	s.active = now
	a.phase = phaseWaiting
	for _, o := range slices.Clone(a.streams) {
		if o.num != in.Stream {
			a.drop(o)
		}
	}
	if !a.answer.begun {
		a.answer = answer{begun: true, length: in.Length, validator: in.Validator}
	}
	a.emit(Pass{Stream: in.Stream})
}

// continues reports whether a head may follow what was passed on so far.
func (a *Coordinator) continues(in Head) bool {
	if in.Offset != a.answer.passed {
		return false
	}
	return !a.answer.begun || in.Length == a.answer.length && in.Validator == a.answer.validator
}

func (a *Coordinator) body(now time.Time, in Body) {
	s := a.find(in.Stream)
	if s == nil || !s.head {
		return
	}
	s.active = now
	a.answer.passed += in.N
	if a.answer.length >= 0 && a.answer.passed > a.answer.length {
		a.finish(Result{Outcome: Unknown, Reason: ReasonTruncated})
	}
}

func (a *Coordinator) end(now time.Time, in End) {
	s := a.find(in.Stream)
	if s == nil || !s.head {
		return
	}
	whole := in.Total == a.answer.passed && (a.answer.length < 0 || a.answer.length == in.Total)
	if !whole {
		a.reset(now, in.Stream)
		return
	}
	a.forget(in.Stream)
	a.finish(Result{Outcome: Answered})
}

func (a *Coordinator) reset(now time.Time, num uint32) {
	s := a.find(num)
	if s == nil {
		return
	}
	if s.kind == kindSettle && !a.cfg.Repeatable {
		return // asked again when its time is over
	}
	was := *s
	a.forget(num)
	a.broken(now, was)
}

// broken handles the loss of a stream that is already forgotten.
func (a *Coordinator) broken(now time.Time, s stream) {
	h := Assignment{ID: s.id, Target: s.target}
	switch {
	case a.cfg.Repeatable:
		a.lost(now, s.id)
	case s.kind == kindFetch && a.fetches >= maxFetches:
		a.finish(Result{Outcome: Unknown, Reason: ReasonResponseDropped})
	case !a.has(s.id, kindSend) && !a.has(s.id, kindSettle):
		a.settle(now, h)
	}
}

func (a *Coordinator) settled(now time.Time, in Settled) {
	s := a.find(in.Stream)
	if s == nil || s.kind != kindSettle {
		return
	}
	was := *s
	h := Assignment{ID: was.id, Target: was.target}
	if in.State == StateRunning {
		a.keepWaiting(now, in.Stream)
		return
	}
	a.forget(in.Stream)
	switch in.State {
	case StateDone:
		a.dropAttempt(was.id)
		a.fetchDone(now, h, in.HasResponse)
	case StateFenced:
		a.dropAttempt(was.id)
		a.fenced = was.id
		a.again(now, ReasonAgentLost, 0, a.sends == 0)
	default:
		a.lost(now, was.id)
	}
}

// keepWaiting leaves a running attempt alone for a while. Where its own stream
// is gone the settle exchange is repeated when it is due.
func (a *Coordinator) keepWaiting(now time.Time, num uint32) {
	id := a.find(num).id
	if a.has(id, kindSend) {
		a.forget(num)
		return
	}
	a.find(num).active = now
}

func (a *Coordinator) fetchDone(now time.Time, h Assignment, held bool) {
	switch {
	case held:
		a.fetch(now, h)
	case a.cfg.Repeatable:
		a.lost(now, h.ID)
	default:
		a.finish(Result{Outcome: Unknown, Reason: ReasonResponseDropped})
	}
}
