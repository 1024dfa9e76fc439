package attempt

import (
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// ClaimAction is an action that Claims requests. The concrete types are
// ReplyClaim, SendStore and SendLookup.
type ClaimAction interface{ claimAction() }

// ReplyClaim replies to the ClaimRequest that Claim received with RequestID.
type ReplyClaim struct {
	RequestID uint64
	Reply     ClaimReply
}

// SendStore sends a StoreRequest to its target. HandleStoreReply reports its
// reply or loss.
type SendStore struct {
	Seq     uint64
	Request StoreRequest
}

// SendLookup sends a LookupRequest to its target. HandleLookupReply reports its
// reply or loss.
type SendLookup struct {
	Seq     uint64
	Request LookupRequest
}

func (ReplyClaim) claimAction() {}
func (SendStore) claimAction()  {}
func (SendLookup) claimAction() {}

// historyWaitTimeouts is the time, in units of ReplyTimeout, for which a started
// agent waits for the history of other members.
const historyWaitTimeouts = 4

// queuedClaim is a claim request and its ID.
type queuedClaim struct {
	requestID uint64
	request   ClaimRequest
}

// operation is the handling of a claim request by the primary of its key.
// Further requests for the key wait in queue.
type operation struct {
	queuedClaim
	startedAt time.Time
	version   view.Version
	// openLookups maps the sequence number of each open lookup to the index of
	// its replica pair in pairReplied.
	openLookups map[uint64]int
	// pairReplied holds, for each earlier replica pair, whether it has replied.
	pairReplied []bool
	newest      Entry
	reply       ClaimReply
	seqs        []uint64
	queue       []queuedClaim
}

// Claim handles a request to the primary of a key. Once half of the entries are in
// use, it rejects fences of new keys, so that there is room for claims.
func (c *Claims) Claim(now time.Time, requestID uint64, in ClaimRequest) []ClaimAction {
	c.actions = nil
	c.expire(now)
	if o := c.ops[in.Key]; o != nil && now.Sub(o.startedAt) >= c.cfg.ReplyTimeout {
		c.endOp(now, o, ClaimReply{})
	}
	c.startOp(now, queuedClaim{requestID: requestID, request: in})
	return c.actions
}

// Tick ends the operations whose other replicas have not replied in time.
func (c *Claims) Tick(now time.Time) []ClaimAction {
	c.actions = nil
	c.expire(now)
	for _, o := range c.pendingOps() {
		if now.Sub(o.startedAt) >= c.cfg.ReplyTimeout {
			c.endOp(now, o, ClaimReply{})
		}
	}
	return c.actions
}

func (c *Claims) startOp(now time.Time, queued queuedClaim) {
	if o := c.ops[queued.request.Key]; o != nil {
		o.queue = append(o.queue, queued)
		return
	}
	if status, rejected := c.rejectionStatus(now, queued.request); rejected {
		c.sendReply(queued.requestID, ClaimReply{Status: status})
		return
	}
	if queued.request.Fence && len(c.slots) >= c.cfg.MaxEntries/2 && c.slots[queued.request.Key] == nil {
		c.sendReply(queued.requestID, ClaimReply{})
		return
	}
	s := c.ensureSlot(queued.request.Key, queued.request.KeyTime)
	if s == nil || s.minVersion.Newer(c.current.view.Version) {
		c.sendReply(queued.requestID, ClaimReply{})
		return
	}
	o := &operation{queuedClaim: queued, startedAt: now, version: c.current.view.Version, openLookups: make(map[uint64]int)}
	c.ops[queued.request.Key] = o
	if s.minVersion == o.version {
		c.decide(now, o)
		return
	}
	c.sendLookups(now, o, s)
}

func (c *Claims) rejectionStatus(now time.Time, in ClaimRequest) (ClaimStatus, bool) {
	switch {
	case c.isTooOld(now, in.KeyTime):
		return ClaimTooOld, true
	case in.KeyTime.Time().Sub(now) > c.cfg.MaxClockSkew:
		return ClaimInvalid, true
	case c.current == nil || c.isStale(now):
		return ClaimUnavailable, true
	}
	p, ok := c.current.replicas(in.Key)
	return ClaimUnavailable, !ok || p.primary != c.cfg.Self
}

// sendLookups queries the earlier replicas of the key that may store a claim.
// For pairs that include this agent its own slot is sufficient.
func (c *Claims) sendLookups(now time.Time, o *operation, s *slot) {
	o.newest = s.exportEntry(now)
	currentPair, _ := c.current.replicas(o.request.Key)
	seen := []replicaPair{currentPair}
	for _, superseded := range c.previous {
		p, ok := superseded.selector.replicas(o.request.Key)
		isMember := p.primary == c.cfg.Self || p.backup == c.cfg.Self
		if !ok || isMember || slices.Contains(seen, p) || c.isRetired(superseded, o.request.KeyTime) {
			continue
		}
		seen = append(seen, p)
		o.pairReplied = append(o.pairReplied, false)
		c.sendLookup(o, p.primary)
		c.sendLookup(o, p.backup)
	}
	if len(o.pairReplied) == 0 {
		c.finishLookups(now, o)
	}
}

// isRetired reports whether no agent acts on the view e any longer when a key
// with this time is first used.
func (c *Claims) isRetired(superseded supersededView, keyTime UnixMillis) bool {
	return keyTime.Time().Add(-c.cfg.MaxClockSkew).After(superseded.replacedAt.Add(c.cfg.ViewLag))
}

func (c *Claims) sendLookup(o *operation, t Target) {
	if t == (Target{}) {
		return
	}
	seq := c.nextSeq(o)
	o.openLookups[seq] = len(o.pairReplied) - 1
	c.actions = append(c.actions, SendLookup{Seq: seq, Request: LookupRequest{
		Version: o.version, To: t, Key: o.request.Key, KeyTime: o.request.KeyTime,
	}})
}

func (c *Claims) nextSeq(o *operation) uint64 {
	c.lastSeq++
	c.bySeq[c.lastSeq] = o
	o.seqs = append(o.seqs, c.lastSeq)
	return c.lastSeq
}

// HandleLookupReply handles the reply to a SendLookup, or a zero reply if the
// reply is lost.
func (c *Claims) HandleLookupReply(now time.Time, seq uint64, in LookupReply) []ClaimAction {
	c.actions = nil
	o := c.bySeq[seq]
	if o == nil {
		return nil
	}
	i, isOpen := o.openLookups[seq]
	if !isOpen {
		return nil
	}
	delete(c.bySeq, seq)
	delete(o.openLookups, seq)
	if in.Accepted {
		o.pairReplied[i] = true
		o.merge(in)
	}
	switch {
	case !slices.Contains(o.pairReplied, false):
		c.finishLookups(now, o)
	case len(o.openLookups) == 0:
		c.endOp(now, o, ClaimReply{})
	}
	return c.actions
}

func (o *operation) merge(in LookupReply) {
	if in.Found && in.Entry.isNewer(&o.newest) {
		o.newest = in.Entry
	}
}

// finishLookups adopts the newest entry of the earlier replicas. If there is
// none, the operation continues only if the primary's history covers the time
// since the key was created.
func (c *Claims) finishLookups(now time.Time, o *operation) {
	isCovered := o.request.KeyTime.Time().Add(-c.cfg.MaxClockSkew).After(c.historyStart)
	s := c.ensureSlot(o.request.Key, o.request.KeyTime)
	if s == nil || s.minVersion.Newer(o.version) {
		c.endOp(now, o, ClaimReply{})
		return
	}
	if o.newest.isNewer(&s.entry) {
		s.importEntry(now, o.newest)
	}
	if s.entry.Revision == 0 && !isCovered {
		c.endOp(now, o, ClaimReply{Status: c.uncoveredStatus(now)})
		return
	}
	s.minVersion = o.version
	c.decide(now, o)
}

// uncoveredStatus returns the status of a key that is older than the history of
// this primary. For a time after its start it may still adopt a longer one.
func (c *Claims) uncoveredStatus(now time.Time) ClaimStatus {
	if now.Sub(c.startedAt) < historyWaitTimeouts*c.cfg.ReplyTimeout {
		return ClaimUnavailable
	}
	return ClaimTooOld
}

// decide handles the request with the primary's own slot, which is up to date.
func (c *Claims) decide(now time.Time, o *operation) {
	s := c.slots[o.request.Key]
	in := o.request
	reply, changesEntry := s.evaluate(now, in)
	if !changesEntry {
		c.endOp(now, o, reply)
		return
	}
	s.entry.Version = o.version
	s.entry.Revision++
	s.entry.Digest = in.Digest
	if reply.Status == ClaimFenced {
		s.entry.Fenced = true
		s.fencedAt = now
	} else {
		s.entry.Owner = in.Owner
	}
	o.reply = reply
	c.replicate(now, o, s)
}

// evaluate returns the reply to in, and whether the reply requires a change of
// the entry.
func (s *slot) evaluate(now time.Time, in ClaimRequest) (ClaimReply, bool) {
	e := &s.entry
	isAvailable := e.Owner.ID.IsZero() || e.Owner.ID == in.Replaces || e.Owner.ID == in.Owner.ID
	switch {
	case e.Revision > 0 && e.Digest != in.Digest:
		return ClaimReply{Status: ClaimMismatch}, false
	case !isAvailable:
		return ClaimReply{Status: ClaimExists, Owner: e.Owner}, false
	case in.Fence || s.isFenced(now, in.Age):
		return ClaimReply{Status: ClaimFenced, RetryAfter: GrantTimeout}, true
	default:
		return ClaimReply{Status: ClaimGranted}, true
	}
}

// isFenced reports whether a gateway may have received the request before the
// last fence. It assumes that the claim arrived within GrantTimeout; otherwise
// the gateway ignores the grant.
func (s *slot) isFenced(now time.Time, age time.Duration) bool {
	return s.entry.Fenced && !now.Add(-age-GrantTimeout).After(s.fencedAt)
}

func (c *Claims) replicate(now time.Time, o *operation, s *slot) {
	p, _ := c.current.replicas(o.request.Key)
	if p.backup == (Target{}) {
		c.endOp(now, o, o.reply)
		return
	}
	seq := c.nextSeq(o)
	c.actions = append(c.actions, SendStore{Seq: seq, Request: StoreRequest{
		Version: o.version, To: p.backup, Entry: s.exportEntry(now),
	}})
}

// HandleStoreReply handles the reply to a SendStore, or a zero reply if the reply
// is lost.
func (c *Claims) HandleStoreReply(now time.Time, seq uint64, in StoreReply) []ClaimAction {
	c.actions = nil
	o := c.bySeq[seq]
	if o == nil {
		return nil
	}
	reply := ClaimReply{}
	if in.Stored {
		reply = o.reply
	}
	c.endOp(now, o, reply)
	return c.actions
}

// endOp replies to the request of o and starts the next one for its key.
func (c *Claims) endOp(now time.Time, o *operation, reply ClaimReply) {
	for _, seq := range o.seqs {
		delete(c.bySeq, seq)
	}
	delete(c.ops, o.request.Key)
	c.sendReply(o.requestID, reply)
	for i, queued := range o.queue {
		c.startOp(now, queued)
		if next := c.ops[o.request.Key]; next != nil {
			next.queue = append(next.queue, o.queue[i+1:]...)
			return
		}
	}
}

func (c *Claims) sendReply(requestID uint64, reply ClaimReply) {
	c.actions = append(c.actions, ReplyClaim{RequestID: requestID, Reply: reply})
}
