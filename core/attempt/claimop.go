package attempt

import (
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// ClaimAction is what Claims asks for. The concrete types are ReplyClaim,
// SendHold and SendLookup.
type ClaimAction interface{ claimAction() }

// ReplyClaim answers the ClaimRequest that was given with Conversation.
type ReplyClaim struct {
	RequestID uint64
	Reply     ClaimReply
}

// SendStore carries a HoldRequest to its target. Its reply, or its loss, is
// reported by HoldAnswered.
type SendStore struct {
	Seq     uint64
	Request StoreRequest
}

// SendLookup carries a LookupRequest to its target. Its reply, or its loss, is
// reported by LookupAnswered.
type SendLookup struct {
	Seq     uint64
	Request LookupRequest
}

func (ReplyClaim) claimAction() {}
func (SendStore) claimAction()  {}
func (SendLookup) claimAction() {}

// historyWait is how many answers' time a home waits for the history of other
// members.
const historyWait = 4

// waiting is a request for a key on which an operation is under way.
type waiting struct {
	conversation uint64
	request      ClaimRequest
}

// op is an operation of a home on one key.
type op struct {
	waiting
	since   time.Time
	version view.Version
	// asked maps each open lookup to its pair in pairs.
	asked map[uint64]int
	// pairs tells which earlier pairs have answered.
	pairs []bool
	best  Entry
	reply ClaimReply
	seqs  []uint64
	queue []waiting
}

// Claim handles a request to the home of a key. Refusals may fill half of the
// entries, so that they do not keep out claims.
func (c *Claims) Claim(now time.Time, conversation uint64, in ClaimRequest) []ClaimAction {
	c.out = nil
	c.expire(now)
	if o := c.ops[in.Key]; o != nil && now.Sub(o.since) >= c.cfg.ReplyTimeout {
		c.endOp(now, o, ClaimReply{})
	}
	c.start(now, waiting{conversation: conversation, request: in})
	return c.out
}

// Tick ends the operations whose other holders have not answered in time.
func (c *Claims) Tick(now time.Time) []ClaimAction {
	c.out = nil
	c.expire(now)
	for _, o := range c.pending() {
		if now.Sub(o.since) >= c.cfg.ReplyTimeout {
			c.endOp(now, o, ClaimReply{})
		}
	}
	return c.out
}

func (c *Claims) start(now time.Time, w waiting) {
	if o := c.ops[w.request.Key]; o != nil {
		o.queue = append(o.queue, w)
		return
	}
	if status, bad := c.inadmissible(now, w.request); bad {
		c.answer(w.conversation, ClaimReply{Status: status})
		return
	}
	if w.request.Fence && len(c.slots) >= c.cfg.MaxEntries/2 && c.slots[w.request.Key] == nil {
		c.answer(w.conversation, ClaimReply{})
		return
	}
	s := c.slot(w.request.Key, w.request.KeyTime)
	if s == nil || s.floor.Newer(c.now.view.Version) {
		c.answer(w.conversation, ClaimReply{})
		return
	}
	o := &op{waiting: w, since: now, version: c.now.view.Version, asked: make(map[uint64]int)}
	c.ops[w.request.Key] = o
	if s.floor == o.version {
		c.decide(now, o)
		return
	}
	c.lookUp(now, o, s)
}

func (c *Claims) inadmissible(now time.Time, in ClaimRequest) (ClaimStatus, bool) {
	switch {
	case c.old(now, in.KeyTime):
		return ClaimTooOld, true
	case in.KeyTime.Time().Sub(now) > c.cfg.MaxClockSkew:
		return ClaimInvalid, true
	case c.now == nil || c.stale(now):
		return ClaimUnavailable, true
	}
	p, ok := c.now.pair(in.Key)
	return ClaimUnavailable, !ok || p.home != c.cfg.Self
}

// lookUp asks every earlier pair of the key that may hold a claim. Pairs that
// this agent is part of are answered by its own slot.
func (c *Claims) lookUp(now time.Time, o *op, s *slot) {
	o.best = s.travel(now)
	present, _ := c.now.pair(o.request.Key)
	seen := []pair{present}
	for _, e := range c.earlier {
		p, ok := e.holders.pair(o.request.Key)
		own := p.home == c.cfg.Self || p.second == c.cfg.Self
		if !ok || own || slices.Contains(seen, p) || c.retired(e, o.request.KeyTime) {
			continue
		}
		seen = append(seen, p)
		o.pairs = append(o.pairs, false)
		c.ask(o, p.home)
		c.ask(o, p.second)
	}
	if len(o.pairs) == 0 {
		c.lookedUp(now, o)
	}
}

// retired reports whether no agent acts on e any longer when a key made at
// that time is first used.
func (c *Claims) retired(e superseded, made UnixMillis) bool {
	return made.Time().Add(-c.cfg.MaxClockSkew).After(e.at.Add(c.cfg.ViewLag))
}

func (c *Claims) ask(o *op, t Target) {
	if t == (Target{}) {
		return
	}
	seq := c.nextSeq(o)
	o.asked[seq] = len(o.pairs) - 1
	c.out = append(c.out, SendLookup{Seq: seq, Request: LookupRequest{
		Version: o.version, To: t, Key: o.request.Key, KeyTime: o.request.KeyTime,
	}})
}

func (c *Claims) nextSeq(o *op) uint64 {
	c.lastSeq++
	c.bySeq[c.lastSeq] = o
	o.seqs = append(o.seqs, c.lastSeq)
	return c.lastSeq
}

// HandleLookupReply reports the reply to a SendLookup, or a zero reply if none
// will come.
func (c *Claims) HandleLookupReply(now time.Time, seq uint64, in LookupReply) []ClaimAction {
	c.out = nil
	o := c.bySeq[seq]
	if o == nil {
		return nil
	}
	i, asked := o.asked[seq]
	if !asked {
		return nil
	}
	delete(c.bySeq, seq)
	delete(o.asked, seq)
	if in.Accepted {
		o.pairs[i] = true
		o.merge(in)
	}
	switch {
	case !slices.Contains(o.pairs, false):
		c.lookedUp(now, o)
	case len(o.asked) == 0:
		c.endOp(now, o, ClaimReply{})
	}
	return c.out
}

func (o *op) merge(in LookupReply) {
	if in.Found && in.Entry.newer(&o.best) {
		o.best = in.Entry
	}
}

// lookedUp adopts what the earlier holders had. Where they had nothing, the
// home must know every view of the key's life.
func (c *Claims) lookedUp(now time.Time, o *op) {
	covered := o.request.KeyTime.Time().Add(-c.cfg.MaxClockSkew).After(c.since)
	s := c.slot(o.request.Key, o.request.KeyTime)
	if s == nil || s.floor.Newer(o.version) {
		c.endOp(now, o, ClaimReply{})
		return
	}
	if o.best.newer(&s.entry) {
		s.set(now, o.best)
	}
	if s.entry.Revision == 0 && !covered {
		c.endOp(now, o, ClaimReply{Status: c.uncovered(now)})
		return
	}
	s.floor = o.version
	c.decide(now, o)
}

// uncovered is the answer about a key from before the history of this home. The
// history of other members is awaited for a while.
func (c *Claims) uncovered(now time.Time) ClaimStatus {
	if now.Sub(c.started) < historyWait*c.cfg.ReplyTimeout {
		return ClaimUnavailable
	}
	return ClaimTooOld
}

// decide answers the request from the home's own slot, which is up to date.
func (c *Claims) decide(now time.Time, o *op) {
	s := c.slots[o.request.Key]
	in := o.request
	reply, change := s.judge(now, in)
	if !change {
		c.endOp(now, o, reply)
		return
	}
	s.entry.Version = o.version
	s.entry.Revision++
	s.entry.Digest = in.Digest
	if reply.Status == ClaimFenced {
		s.entry.Fenced = true
		s.refusedAt = now
	} else {
		s.entry.Owner = in.Owner
	}
	o.reply = reply
	c.replicate(now, o, s)
}

// judge returns the answer to in, and whether it takes a change of the entry.
func (s *slot) judge(now time.Time, in ClaimRequest) (ClaimReply, bool) {
	e := &s.entry
	mine := e.Owner.ID.IsZero() || e.Owner.ID == in.Replaces || e.Owner.ID == in.Owner.ID
	switch {
	case e.Revision > 0 && e.Digest != in.Digest:
		return ClaimReply{Status: ClaimMismatch}, false
	case !mine:
		return ClaimReply{Status: ClaimExists, Owner: e.Owner}, false
	case in.Fence || s.heldBack(now, in.Age):
		return ClaimReply{Status: ClaimFenced, RetryAfter: GrantTimeout}, true
	default:
		return ClaimReply{Status: ClaimGranted}, true
	}
}

// heldBack reports whether a gateway may have received the request before the
// last "not run". The request travelled for less than GrantBound, else its
// grant is not used.
func (s *slot) heldBack(now time.Time, age time.Duration) bool {
	return s.entry.Fenced && !now.Add(-age-GrantTimeout).After(s.refusedAt)
}

func (c *Claims) replicate(now time.Time, o *op, s *slot) {
	p, _ := c.now.pair(o.request.Key)
	if p.second == (Target{}) {
		c.endOp(now, o, o.reply)
		return
	}
	seq := c.nextSeq(o)
	c.out = append(c.out, SendStore{Seq: seq, Request: StoreRequest{
		Version: o.version, To: p.second, Entry: s.travel(now),
	}})
}

// HandleStoreReply reports the reply to a SendHold, or a zero reply if none will
// come.
func (c *Claims) HandleStoreReply(now time.Time, seq uint64, in StoreReply) []ClaimAction {
	c.out = nil
	o := c.bySeq[seq]
	if o == nil {
		return nil
	}
	reply := ClaimReply{}
	if in.Stored {
		reply = o.reply
	}
	c.endOp(now, o, reply)
	return c.out
}

// endOp answers the request of o and goes on with the next one for its key.
func (c *Claims) endOp(now time.Time, o *op, reply ClaimReply) {
	for _, seq := range o.seqs {
		delete(c.bySeq, seq)
	}
	delete(c.ops, o.request.Key)
	c.answer(o.conversation, reply)
	for i, w := range o.queue {
		c.start(now, w)
		if next := c.ops[o.request.Key]; next != nil {
			next.queue = append(next.queue, o.queue[i+1:]...)
			return
		}
	}
}

func (c *Claims) answer(conversation uint64, reply ClaimReply) {
	c.out = append(c.out, ReplyClaim{RequestID: conversation, Reply: reply})
}
