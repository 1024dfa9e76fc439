package attempt

import "time"

// again sends the request to another backend server if it may, else ends it.
// Every earlier send that is not proven dead must be marked in a.unproven.
func (a *Coordinator) again(now time.Time, reason Reason, retryAfter time.Duration, free bool) {
	if len(a.streams) > 0 {
		return // the other copy of a hedged request goes on
	}
	if a.unproven && !a.cfg.Repeatable {
		a.finish(Result{Outcome: Unknown, Reason: reason})
		return
	}
	resumable := !a.answer.begun || a.answer.validator != ""
	if a.sends < a.cfg.MaxSends && resumable && now.Before(a.cfg.Deadline) && (free || a.cfg.Retries.Withdraw()) {
		a.route()
		return
	}
	a.fail(now, reason, retryAfter)
}

// fail ends a request that has no stream left.
func (a *Coordinator) fail(now time.Time, reason Reason, retryAfter time.Duration) {
	if a.unproven || a.answer.begun {
		a.finish(Result{Outcome: Unknown, Reason: reason, RetryAfter: retryAfter})
		return
	}
	a.result = Result{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter}
	if a.cfg.Key == "" || a.cfg.Repeatable {
		a.finish(a.result)
		return
	}
	a.refuse(now)
}

// refuse makes "not run" true for the key, not for this send alone.
func (a *Coordinator) refuse(now time.Time) {
	a.phase = phaseRefusing
	a.control.num = a.nextNum()
	a.control.since = now
	a.emit(FenceKey{Stream: a.control.num, Replaces: a.fenced})
}

func (a *Coordinator) refused(now time.Time, in Claimed) {
	switch in.Status {
	case ClaimFenced:
		r := a.result
		r.RetryAfter = max(r.RetryAfter, in.RetryAfter)
		a.finish(r)
	case ClaimExists:
		if a.result.Reason == ReasonCancelled || !now.Before(a.cfg.Deadline) {
			a.finish(Result{Outcome: Unknown, Reason: ReasonStillRunning})
			return
		}
		a.adopt(now, in.Owner)
	case ClaimMismatch:
		a.finish(Result{Outcome: NotRun, Reason: ReasonKeyReused})
	case ClaimTooOld:
		a.finish(Result{Outcome: Unknown, Reason: ReasonKeyTooOld})
	case ClaimInvalid:
		a.finish(Result{Outcome: NotRun, Reason: ReasonKeyInvalid})
	default:
		a.finish(Result{Outcome: Unknown, Reason: ReasonKeyUnavailable, RetryAfter: a.result.RetryAfter})
	}
}

func (a *Coordinator) unroutable(now time.Time, in Unroutable) {
	if a.phase != phaseRouting {
		return
	}
	if len(a.streams) > 0 {
		a.phase = phaseWaiting
		return
	}
	a.fail(now, in.Reason, in.RetryAfter)
}

// giveUp ends the attempt at the deadline or when the caller goes away.
func (a *Coordinator) giveUp(now time.Time, reason Reason) {
	switch {
	case a.phase == phaseRefusing:
		if reason == ReasonCancelled {
			return
		}
		a.finish(Result{Outcome: Unknown, Reason: ReasonKeyUnavailable})
	case len(a.streams) > 0 && a.foreign:
		a.finish(Result{Outcome: Unknown, Reason: ReasonStillRunning})
	case len(a.streams) > 0:
		a.finish(Result{Outcome: Unknown, Reason: reason})
	case a.phase == phaseClaiming:
		a.finish(Result{Outcome: Unknown, Reason: a.claimReason(reason)})
	case reason == ReasonCancelled && a.cfg.Key != "":
		a.finish(Result{Outcome: Unknown, Reason: reason})
	default:
		a.fail(now, reason, 0)
	}
}

// claimReason is why a claim that was not answered in time failed.
func (a *Coordinator) claimReason(reason Reason) Reason {
	if reason == ReasonDeadline {
		return ReasonKeyUnavailable
	}
	return reason
}

func (a *Coordinator) tick(now time.Time) {
	late := now.Sub(a.control.since) >= a.cfg.ReplyTimeout
	if a.phase == phaseRefusing {
		if late {
			a.giveUp(now, ReasonDeadline)
		}
		return
	}
	if !now.Before(a.cfg.Deadline) {
		a.giveUp(now, ReasonDeadline)
		return
	}
	if a.phase == phaseClaiming && late {
		a.claim(now)
		return
	}
	a.tickStreams(now)
	if a.mayHedge() && now.Sub(a.streams[0].active) >= a.cfg.HedgeAfter {
		a.hedged = true
		if a.cfg.Retries.Withdraw() {
			a.route()
		}
	}
}

func (a *Coordinator) mayHedge() bool {
	return a.phase == phaseWaiting && a.cfg.Repeatable && a.cfg.HedgeAfter > 0 && !a.hedged &&
		a.sends < a.cfg.MaxSends && len(a.streams) == 1 &&
		a.streams[0].kind == kindSend && !a.streams[0].head
}
