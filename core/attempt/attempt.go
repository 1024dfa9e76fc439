package attempt

import (
	"slices"
	"time"
)

// GrantTimeout bounds the time from a Claim to its grant. The gateway ignores a
// later grant, and the primary of a key relies on that.
const GrantTimeout = time.Second

// Config describes one request and its timeouts and limits.
type Config struct {
	// Key is the Idempotency-Key, or empty.
	Key string
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Deadline ends the request. No send starts after it.
	Deadline time.Time
	// SettleAfter is how long a send may wait for its response head before the
	// agent is queried for the state of the attempt.
	SettleAfter time.Duration
	// StallTimeout is how long a response body may make no progress.
	StallTimeout time.Duration
	// ReplyTimeout bounds a Settle, Fetch, Claim or FenceKey without a reply.
	ReplyTimeout time.Duration
	// HedgeAfter is the delay before a second copy of a repeatable request is
	// sent; 0 disables hedging.
	HedgeAfter time.Duration
	// MaxSends bounds the sends of one request, including the first.
	MaxSends int
	// Retries limits the sends after the first across the service.
	Retries RetryLimiter
}

type phase uint8

const (
	phaseIdle     phase = iota
	phaseRouting        // Route was emitted
	phaseClaiming       // Claim was emitted
	phaseWaiting        // a send, settle or fetch is in progress
	phaseFencing        // FenceKey was emitted
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
	num     uint32
	kind    streamKind
	id      ID
	target  Target
	hasHead bool
	// lastActive is the time of the stream's start or last progress.
	lastActive time.Time
}

// delivery is the progress of the response to the caller.
type delivery struct {
	started   bool
	length    int64
	offset    int64
	validator string
}

// Coordinator is the state machine of one request at a gateway. Each send of
// the request is an attempt with its own ID. If the request is not repeatable,
// at most one of its IDs may run at any time.
type Coordinator struct {
	cfg          Config
	phase        phase
	receivedAt   time.Time
	streams      []stream
	delivery     delivery
	lastNum      uint32
	sendCount    int
	triedServers []string
	// current is the attempt that owns or claims the key, or was sent last.
	current Assignment
	// replaceableID is the owner of the key that a further Claim or FenceKey
	// replaces. By then it is fenced or was never sent.
	replaceableID ID
	// isAdopted is true while current belongs to an earlier request with the key.
	isAdopted bool
	// mayHaveRun is true if an attempt was abandoned without proof that it
	// did not run.
	mayHaveRun bool
	hasHedged  bool
	fetchCount int
	keyCall    keyCall
	result     Result
	actions    []Action
}

// keyCall is the last Claim or FenceKey to the primary of the key.
type keyCall struct {
	streamNum uint32
	startedAt time.Time
}

// maxFetches bounds the reads of stored responses for one request.
const maxFetches = 4

// New returns a Coordinator that expects Start as its first input.
func New(cfg Config) *Coordinator { return &Coordinator{cfg: cfg} }

// Finished reports whether the request has ended.
func (c *Coordinator) Finished() bool { return c.phase == phaseFinished }

// Step applies one input and returns the actions to perform, in order. The slice
// is valid until the next call. Inputs of streams that have ended are ignored.
func (c *Coordinator) Step(now time.Time, in Input) []Action {
	c.actions = c.actions[:0]
	if c.phase == phaseFinished {
		return nil
	}
	switch in := in.(type) {
	case Start:
		c.receivedAt = now
		c.route()
	case Routed:
		c.routed(now, in)
	case Unroutable:
		c.unroutable(now, in)
	case Claimed:
		c.claimed(now, in)
	case Tick:
		c.tick(now)
	case Cancel:
		c.abandon(now, ReasonCancelled)
	default:
		c.streamInput(now, in)
	}
	return c.actions
}

// NextTick returns the time at which the next Tick is due.
func (c *Coordinator) NextTick() time.Time {
	if c.phase == phaseFencing {
		return c.keyCall.startedAt.Add(c.cfg.ReplyTimeout)
	}
	next := c.cfg.Deadline
	if c.phase == phaseClaiming {
		next = earliest(next, c.keyCall.startedAt.Add(c.cfg.ReplyTimeout))
	}
	for i := range c.streams {
		s := &c.streams[i]
		next = earliest(next, s.lastActive.Add(c.inactivityTimeout(s)))
		if c.canHedge() {
			next = earliest(next, s.lastActive.Add(c.cfg.HedgeAfter))
		}
	}
	return next
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (c *Coordinator) emit(act Action) { c.actions = append(c.actions, act) }

func (c *Coordinator) nextStreamNum() uint32 {
	c.lastNum++
	return c.lastNum
}

func (c *Coordinator) route() {
	c.phase = phaseRouting
	c.emit(Route{Exclude: slices.Clone(c.triedServers)})
}

func (c *Coordinator) routed(now time.Time, in Routed) {
	if c.phase != phaseRouting {
		return
	}
	if !now.Before(c.cfg.Deadline) {
		c.abandon(now, ReasonDeadline)
		return
	}
	c.current = Assignment(in)
	if c.cfg.Key != "" && !c.cfg.Repeatable {
		c.sendClaim(now)
		return
	}
	c.send(now)
}

func (c *Coordinator) sendClaim(now time.Time) {
	c.phase = phaseClaiming
	c.keyCall.streamNum = c.nextStreamNum()
	c.keyCall.startedAt = now
	c.emit(Claim{
		Stream: c.keyCall.streamNum, ID: c.current.ID, Target: c.current.Target,
		Replaces: c.replaceableID, Age: now.Sub(c.receivedAt),
	})
}

func (c *Coordinator) claimed(now time.Time, in Claimed) {
	if in.Stream != c.keyCall.streamNum {
		return
	}
	switch c.phase {
	case phaseFencing:
		c.handleFenceStatus(now, in)
	case phaseClaiming:
		c.handleClaimStatus(now, in)
	default:
	}
}

func (c *Coordinator) handleClaimStatus(now time.Time, in Claimed) {
	switch in.Status {
	case ClaimGranted:
		c.replaceableID = c.current.ID
		if now.Sub(c.keyCall.startedAt) >= GrantTimeout {
			c.sendClaim(now)
			return
		}
		c.send(now)
	case ClaimExists:
		c.adoptOwner(now, in.Owner)
	case ClaimMismatch:
		c.finish(Result{Outcome: NotRun, Reason: ReasonKeyReused})
	case ClaimFenced:
		c.finish(Result{Outcome: NotRun, Reason: ReasonOverload, RetryAfter: in.RetryAfter})
	case ClaimTooOld:
		c.finish(Result{Outcome: Unknown, Reason: ReasonKeyTooOld})
	case ClaimInvalid:
		c.finish(Result{Outcome: NotRun, Reason: ReasonKeyInvalid})
	default:
		// The claim is sent again after ReplyTimeout, when the view may be newer.
	}
}

// adoptOwner continues with the attempt of an earlier request that owns the key.
func (c *Coordinator) adoptOwner(now time.Time, a Assignment) {
	c.current = a
	c.isAdopted = true
	c.settle(now, a)
}

func (c *Coordinator) send(now time.Time) {
	if !now.Before(c.cfg.Deadline) {
		c.abandon(now, ReasonDeadline)
		return
	}
	c.isAdopted = false
	c.sendCount++
	c.triedServers = append(c.triedServers, c.current.Target.Server)
	s := c.openStream(now, kindSend, c.current)
	c.emit(Send{
		Stream: s.num, ID: s.id, Target: s.target,
		Offset: c.delivery.offset, Validator: c.delivery.validator,
	})
}

func (c *Coordinator) settle(now time.Time, a Assignment) {
	s := c.openStream(now, kindSettle, a)
	c.emit(Settle{Stream: s.num, ID: s.id, Target: s.target})
}

func (c *Coordinator) fetch(now time.Time, a Assignment) {
	c.fetchCount++
	s := c.openStream(now, kindFetch, a)
	c.emit(Fetch{Stream: s.num, ID: s.id, Target: s.target, Offset: c.delivery.offset})
}

func (c *Coordinator) openStream(now time.Time, kind streamKind, a Assignment) *stream {
	c.phase = phaseWaiting
	c.streams = append(c.streams, stream{
		num: c.nextStreamNum(), kind: kind, id: a.ID, target: a.Target, lastActive: now,
	})
	return &c.streams[len(c.streams)-1]
}

func (c *Coordinator) findStream(num uint32) *stream {
	for i := range c.streams {
		if c.streams[i].num == num {
			return &c.streams[i]
		}
	}
	return nil
}

func (c *Coordinator) hasStream(id ID, kind streamKind) bool {
	return slices.ContainsFunc(c.streams, func(s stream) bool { return s.id == id && s.kind == kind })
}

// removeStream removes a stream that has ended.
func (c *Coordinator) removeStream(num uint32) {
	c.streams = slices.DeleteFunc(c.streams, func(s stream) bool { return s.num == num })
}

// closeStream removes a stream and emits its Stop.
func (c *Coordinator) closeStream(s stream) {
	c.removeStream(s.num)
	c.emit(Stop{Stream: s.num, Cancel: s.kind == kindSend && c.cfg.Repeatable})
}

func (c *Coordinator) finish(r Result) {
	abandoned := r.Reason == ReasonCancelled || r.Reason == ReasonDeadline
	for _, s := range c.streams {
		c.emit(Stop{Stream: s.num, Cancel: s.kind == kindSend && (abandoned || c.cfg.Repeatable)})
	}
	c.streams = nil
	r.Abort = c.delivery.started && r.Outcome != Answered
	c.result = r
	c.phase = phaseFinished
	c.emit(Finish{Result: r})
}
