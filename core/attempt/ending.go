package attempt

import "time"

// retry routes the request to another backend server if the limits allow it, and
// ends it otherwise. mayHaveRun must already be set if an earlier attempt may
// have run.
func (c *Coordinator) retry(now time.Time, reason Reason, retryAfter time.Duration, bypassBudget bool) {
	if len(c.streams) > 0 {
		return // the other copy of a hedged request continues
	}
	if c.mayHaveRun && !c.cfg.Repeatable {
		c.finish(Result{Outcome: Unknown, Reason: reason})
		return
	}
	resumable := !c.delivery.started || c.delivery.validator != ""
	if c.sendCount < c.cfg.MaxSends && resumable && now.Before(c.cfg.Deadline) && (bypassBudget || c.cfg.Retries.Withdraw()) {
		c.route()
		return
	}
	c.fail(now, reason, retryAfter)
}

// fail ends a request that has no open streams.
func (c *Coordinator) fail(now time.Time, reason Reason, retryAfter time.Duration) {
	if c.mayHaveRun || c.delivery.started {
		c.finish(Result{Outcome: Unknown, Reason: reason, RetryAfter: retryAfter})
		return
	}
	c.result = Result{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter}
	if c.cfg.Key == "" || c.cfg.Repeatable {
		c.finish(c.result)
		return
	}
	c.fenceKey(now)
}

// fenceKey fences the key, so that NotRun holds for every request with the key
// that a gateway has received so far and not for this one alone.
func (c *Coordinator) fenceKey(now time.Time) {
	c.phase = phaseFencing
	c.keyCall.streamNum = c.nextStreamNum()
	c.keyCall.startedAt = now
	c.emit(FenceKey{Stream: c.keyCall.streamNum, Replaces: c.replaceableID})
}

func (c *Coordinator) handleFenceStatus(now time.Time, in Claimed) {
	switch in.Status {
	case ClaimFenced:
		r := c.result
		r.RetryAfter = max(r.RetryAfter, in.RetryAfter)
		c.finish(r)
	case ClaimExists:
		if c.result.Reason == ReasonCancelled || !now.Before(c.cfg.Deadline) {
			c.finish(Result{Outcome: Unknown, Reason: ReasonStillRunning})
			return
		}
		c.adoptOwner(now, in.Owner)
	case ClaimMismatch:
		c.finish(Result{Outcome: NotRun, Reason: ReasonKeyReused})
	case ClaimTooOld:
		c.finish(Result{Outcome: Unknown, Reason: ReasonKeyTooOld})
	case ClaimInvalid:
		c.finish(Result{Outcome: NotRun, Reason: ReasonKeyInvalid})
	default:
		c.finish(Result{Outcome: Unknown, Reason: ReasonKeyUnavailable, RetryAfter: c.result.RetryAfter})
	}
}

func (c *Coordinator) unroutable(now time.Time, in Unroutable) {
	if c.phase != phaseRouting {
		return
	}
	if len(c.streams) > 0 {
		c.phase = phaseWaiting
		return
	}
	c.fail(now, in.Reason, in.RetryAfter)
}

// abandon ends the request at its deadline or when the caller disconnects.
func (c *Coordinator) abandon(now time.Time, reason Reason) {
	switch {
	case c.phase == phaseFencing:
		if reason == ReasonCancelled {
			return
		}
		c.finish(Result{Outcome: Unknown, Reason: ReasonKeyUnavailable})
	case len(c.streams) > 0 && c.isAdopted:
		c.finish(Result{Outcome: Unknown, Reason: ReasonStillRunning})
	case len(c.streams) > 0:
		c.finish(Result{Outcome: Unknown, Reason: reason})
	case c.phase == phaseClaiming:
		c.finish(Result{Outcome: Unknown, Reason: c.claimTimeoutReason(reason)})
	case reason == ReasonCancelled && c.cfg.Key != "":
		c.finish(Result{Outcome: Unknown, Reason: reason})
	default:
		c.fail(now, reason, 0)
	}
}

// claimTimeoutReason returns the reason of a request that ended without a reply
// to its claim.
func (c *Coordinator) claimTimeoutReason(reason Reason) Reason {
	if reason == ReasonDeadline {
		return ReasonKeyUnavailable
	}
	return reason
}

func (c *Coordinator) tick(now time.Time) {
	replyTimedOut := now.Sub(c.keyCall.startedAt) >= c.cfg.ReplyTimeout
	if c.phase == phaseFencing {
		if replyTimedOut {
			c.abandon(now, ReasonDeadline)
		}
		return
	}
	if !now.Before(c.cfg.Deadline) {
		c.abandon(now, ReasonDeadline)
		return
	}
	if c.phase == phaseClaiming && replyTimedOut {
		c.sendClaim(now)
		return
	}
	c.checkStreamTimeouts(now)
	if c.canHedge() && now.Sub(c.streams[0].lastActive) >= c.cfg.HedgeAfter {
		c.hasHedged = true
		if c.cfg.Retries.Withdraw() {
			c.route()
		}
	}
}

func (c *Coordinator) canHedge() bool {
	return c.phase == phaseWaiting && c.cfg.Repeatable && c.cfg.HedgeAfter > 0 && !c.hasHedged &&
		c.sendCount < c.cfg.MaxSends && len(c.streams) == 1 &&
		c.streams[0].kind == kindSend && !c.streams[0].hasHead
}
