package attempt

import (
	"slices"
	"time"
)

// GrantTimeout is the longest time a Claim may take. The gateway does not use a
// later grant, and the home of a key relies on that.
const GrantTimeout = time.Second

// Config describes one request and how it is handled.
type Config struct {
	// Key is the Idempotency-Key, or empty.
	Key string
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Deadline ends the attempt. No send starts after it.
	Deadline time.Time
	// SettleAfter is how long an agent may say nothing before it is asked what
	// became of the attempt.
	SettleAfter time.Duration
	// StallTimeout is how long a body may stand still.
	StallTimeout time.Duration
	// ReplyTimeout is how long a Settle, Claim or Refuse may take.
	ReplyTimeout time.Duration
	// HedgeAfter is when a second copy of a repeatable request is sent; 0
	// sends none.
	HedgeAfter time.Duration
	// MaxSends bounds the sends of one request, the first included.
	MaxSends int
	// Retries is the service's budget for sends after the first.
	Retries RetryLimiter
}

type phase uint8

const (
	phaseIdle     phase = iota
	phaseRouting        // Route asked
	phaseClaiming       // Claim asked
	phaseWaiting        // a send, settle or fetch is under way
	phaseRefusing       // Refuse asked
	phaseFinished
)

type streamKind uint8

const (
	kindSend streamKind = iota
	kindSettle
	kindFetch
)

// stream is one exchange with an agent.
type stream struct {
	num    uint32
	kind   streamKind
	id     ID
	target Target
	head   bool
	// active is the time of the stream's start or last progress.
	active time.Time
}

// answer is what was passed on to the caller so far.
type answer struct {
	begun     bool
	length    int64
	passed    int64
	validator string
}

// Coordinator is the life of one request at a gateway. A request that is not
// repeatable has at most one ID that may run at any time.
type Coordinator struct {
	cfg      Config
	phase    phase
	received time.Time
	streams  []stream
	answer   answer
	lastNum  uint32
	sends    int
	tried    []string
	// current is the ID that holds or asks for the key, or was sent last.
	current Assignment
	// fenced is the proven dead attempt that still holds the key.
	fenced ID
	// foreign is set while current belongs to an earlier send of the key.
	foreign bool
	// unproven is set if some send was given up without proof.
	unproven bool
	hedged   bool
	fetches  int
	control  control
	result   Result
	out      []Action
}

// control is the exchange with the home of the key.
type control struct {
	num   uint32
	since time.Time
}

// maxFetches bounds how often a held answer is read for one attempt.
const maxFetches = 4

// New returns an attempt that waits for Start.
func New(cfg Config) *Coordinator { return &Coordinator{cfg: cfg} }

// Finished reports whether the attempt has ended.
func (a *Coordinator) Finished() bool { return a.phase == phaseFinished }

// Step applies one input and returns what is to be done, in order. The slice is
// valid until the next call. Inputs of streams that are no longer of interest
// are dropped.
func (a *Coordinator) Step(now time.Time, in Input) []Action {
	a.out = a.out[:0]
	if a.phase == phaseFinished {
		return nil
	}
	switch in := in.(type) {
	case Start:
		a.received = now
		a.route()
	case Routed:
		a.routed(now, in)
	case Unroutable:
		a.unroutable(now, in)
	case Claimed:
		a.claimed(now, in)
	case Tick:
		a.tick(now)
	case Cancel:
		a.giveUp(now, ReasonCancelled)
	default:
		a.streamInput(now, in)
	}
	return a.out
}

// NextTick returns when the next Tick is due.
func (a *Coordinator) NextTick() time.Time {
	if a.phase == phaseRefusing {
		return a.control.since.Add(a.cfg.ReplyTimeout)
	}
	wake := a.cfg.Deadline
	if a.phase == phaseClaiming {
		wake = earlier(wake, a.control.since.Add(a.cfg.ReplyTimeout))
	}
	for i := range a.streams {
		s := &a.streams[i]
		wake = earlier(wake, s.active.Add(a.patience(s)))
		if a.mayHedge() {
			wake = earlier(wake, s.active.Add(a.cfg.HedgeAfter))
		}
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (a *Coordinator) emit(act Action) { a.out = append(a.out, act) }

func (a *Coordinator) nextNum() uint32 {
	a.lastNum++
	return a.lastNum
}

func (a *Coordinator) route() {
	a.phase = phaseRouting
	a.emit(Route{Exclude: slices.Clone(a.tried)})
}

func (a *Coordinator) routed(now time.Time, in Routed) {
	if a.phase != phaseRouting {
		return
	}
	if !now.Before(a.cfg.Deadline) {
		a.giveUp(now, ReasonDeadline)
		return
	}
	a.current = Assignment(in)
	if a.cfg.Key != "" && !a.cfg.Repeatable {
		a.claim(now)
		return
	}
	a.send(now)
}

func (a *Coordinator) claim(now time.Time) {
	a.phase = phaseClaiming
	a.control.num = a.nextNum()
	a.control.since = now
	a.emit(Claim{
		Stream: a.control.num, ID: a.current.ID, Target: a.current.Target,
		Replaces: a.fenced, Age: now.Sub(a.received),
	})
}

func (a *Coordinator) claimed(now time.Time, in Claimed) {
	if in.Stream != a.control.num {
		return
	}
	switch a.phase {
	case phaseRefusing:
		a.refused(now, in)
	case phaseClaiming:
		a.grantOrNot(now, in)
	default:
	}
}

func (a *Coordinator) grantOrNot(now time.Time, in Claimed) {
	switch in.Status {
	case ClaimGranted:
		a.fenced = a.current.ID
		if now.Sub(a.control.since) >= GrantTimeout {
			a.claim(now)
			return
		}
		a.send(now)
	case ClaimExists:
		a.adopt(now, in.Owner)
	case ClaimMismatch:
		a.finish(Result{Outcome: NotRun, Reason: ReasonKeyReused})
	case ClaimFenced:
		a.finish(Result{Outcome: NotRun, Reason: ReasonOverload, RetryAfter: in.RetryAfter})
	case ClaimTooOld:
		a.finish(Result{Outcome: Unknown, Reason: ReasonKeyTooOld})
	case ClaimInvalid:
		a.finish(Result{Outcome: NotRun, Reason: ReasonKeyInvalid})
	default:
		// Asked again when its time is over: the view may have moved by then.
	}
}

// adopt turns to the attempt of an earlier send that holds the key.
func (a *Coordinator) adopt(now time.Time, h Assignment) {
	a.current = h
	a.foreign = true
	a.settle(now, h)
}

func (a *Coordinator) send(now time.Time) {
	if !now.Before(a.cfg.Deadline) {
		a.giveUp(now, ReasonDeadline)
		return
	}
	a.foreign = false
	a.sends++
	a.tried = append(a.tried, a.current.Target.Server)
	s := a.open(now, kindSend, a.current)
	a.emit(Send{
		Stream: s.num, ID: s.id, Target: s.target,
		Offset: a.answer.passed, Validator: a.answer.validator,
	})
}

func (a *Coordinator) settle(now time.Time, h Assignment) {
	s := a.open(now, kindSettle, h)
	a.emit(Settle{Stream: s.num, ID: s.id, Target: s.target})
}

func (a *Coordinator) fetch(now time.Time, h Assignment) {
	a.fetches++
	s := a.open(now, kindFetch, h)
	a.emit(Fetch{Stream: s.num, ID: s.id, Target: s.target, Offset: a.answer.passed})
}

func (a *Coordinator) open(now time.Time, kind streamKind, h Assignment) *stream {
	a.phase = phaseWaiting
	a.streams = append(a.streams, stream{
		num: a.nextNum(), kind: kind, id: h.ID, target: h.Target, active: now,
	})
	return &a.streams[len(a.streams)-1]
}

func (a *Coordinator) find(num uint32) *stream {
	for i := range a.streams {
		if a.streams[i].num == num {
			return &a.streams[i]
		}
	}
	return nil
}

func (a *Coordinator) has(id ID, kind streamKind) bool {
	return slices.ContainsFunc(a.streams, func(s stream) bool { return s.id == id && s.kind == kind })
}

// forget removes a stream that has ended.
func (a *Coordinator) forget(num uint32) {
	a.streams = slices.DeleteFunc(a.streams, func(s stream) bool { return s.num == num })
}

// drop ends a stream and removes it.
func (a *Coordinator) drop(s stream) {
	a.forget(s.num)
	a.emit(Stop{Stream: s.num, Cancel: s.kind == kindSend && a.cfg.Repeatable})
}

func (a *Coordinator) finish(r Result) {
	gone := r.Reason == ReasonCancelled || r.Reason == ReasonDeadline
	for _, s := range a.streams {
		a.emit(Stop{Stream: s.num, Cancel: s.kind == kindSend && (gone || a.cfg.Repeatable)})
	}
	a.streams = nil
	r.Abort = a.answer.begun && r.Outcome != Answered
	a.result = r
	a.phase = phaseFinished
	a.emit(Finish{Result: r})
}
