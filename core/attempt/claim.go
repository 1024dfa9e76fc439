package attempt

import (
	"cmp"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// ClaimStatus is the home's answer to a Claim or Refuse.
type ClaimStatus uint8

// The answers of the home of a key.
const (
	ClaimUnavailable ClaimStatus = iota // not the home, or holders cannot be reached
	ClaimGranted                        // the attempt holds the key
	ClaimExists                         // another attempt holds the key
	ClaimMismatch                       // the key was used for another request
	ClaimFenced                         // "not run" was said; earlier sends are refused
	ClaimTooOld                         // made before the oldest records, or before the holders started
	ClaimInvalid                        // made in the future
)

// UnixMillis is a time in milliseconds since the Unix epoch, as a UUID of version 7
// holds it.
type UnixMillis int64

// UnixMillisOf returns t in milliseconds.
func UnixMillisOf(t time.Time) UnixMillis { return UnixMillis(t.UnixMilli()) }

// Time returns m as a time.Time.
func (m UnixMillis) Time() time.Time { return time.UnixMilli(int64(m)) }

// Assignment is the attempt that may run for a key, and where.
type Assignment struct {
	ID     ID     `cbor:"1,keyasint"`
	Target Target `cbor:"2,keyasint"`
}

// Entry is what a holder keeps about a key.
type Entry struct {
	Key string `cbor:"1,keyasint"`
	// KeyTime is the time within the key.
	KeyTime UnixMillis `cbor:"2,keyasint"`
	Digest  Digest     `cbor:"3,keyasint"`
	// Owner is zero if no attempt holds the key.
	Owner Assignment `cbor:"4,keyasint"`
	// Version is the view under which the home made the last change.
	Version view.Version `cbor:"5,keyasint"`
	// Revision counts the changes; 0 is an entry that was never set.
	Revision uint64 `cbor:"6,keyasint"`
	// Fenced is set after a caller was told "not run".
	Fenced bool `cbor:"7,keyasint"`
	// FencedAge is the time since then, set while the entry travels.
	FencedAge time.Duration `cbor:"8,keyasint"`
}

// newer reports whether e is a later change than o. A change that was never
// granted loses to any that a newer home made.
func (e *Entry) newer(o *Entry) bool {
	if c := e.Version.Compare(o.Version); c != 0 {
		return c > 0
	}
	return e.Revision > o.Revision
}

// ClaimRequest asks the home to let Holder run, or, if Refuse is set, to hold
// back every send that a gateway received before now.
type ClaimRequest struct {
	Key      string        `cbor:"1,keyasint"`
	KeyTime  UnixMillis    `cbor:"2,keyasint"`
	Digest   Digest        `cbor:"3,keyasint"`
	Owner    Assignment    `cbor:"4,keyasint"`
	Replaces ID            `cbor:"5,keyasint"`
	Age      time.Duration `cbor:"6,keyasint"`
	Fence    bool          `cbor:"7,keyasint"`
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Status     ClaimStatus   `cbor:"1,keyasint"`
	Owner      Assignment    `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
}

// StoreRequest asks the second holder to keep an entry.
type StoreRequest struct {
	Version view.Version `cbor:"1,keyasint"`
	To      Target       `cbor:"2,keyasint"`
	Entry   Entry        `cbor:"3,keyasint"`
}

// StoreReply answers a HoldRequest.
type StoreReply struct {
	Stored bool `cbor:"1,keyasint"`
}

// LookupRequest asks an earlier holder for an entry, and keeps it from
// accepting changes under views older than Version.
type LookupRequest struct {
	Version view.Version `cbor:"1,keyasint"`
	To      Target       `cbor:"2,keyasint"`
	Key     string       `cbor:"3,keyasint"`
	KeyTime UnixMillis   `cbor:"4,keyasint"`
}

// LookupReply answers a LookupRequest.
type LookupReply struct {
	// Accepted is set if the answer comes from the incarnation that was asked.
	Accepted bool `cbor:"1,keyasint"`
	// Found is set if Entry is.
	Found bool  `cbor:"2,keyasint"`
	Entry Entry `cbor:"3,keyasint"`
}

// ClaimsConfig describes the holder of claims beside one backend server.
type ClaimsConfig struct {
	Self Target
	// KeyLifetime is how long after it was made a key can be used. Entries are
	// kept as long.
	KeyLifetime time.Duration
	// MaxClockSkew bounds the difference between the clocks of callers and agents.
	MaxClockSkew time.Duration
	// ReplyTimeout is how long other holders may take to answer.
	ReplyTimeout time.Duration
	// ViewLag is how long after a view was replaced some agent may still act on
	// it. Earlier pairs are asked about keys made up to ViewLag after.
	ViewLag time.Duration
	// ConfirmWithin is how old the last Confirm may be for this agent to
	// accept changes. It must not exceed Lag; 0 asks for no confirmation, and
	// then agents that a partition keeps on an old view for longer than Lag
	// may let a key run that another view lets run too.
	ConfirmWithin time.Duration
	// MaxEntries bounds the entries that are kept.
	MaxEntries int
}

type slot struct {
	entry Entry
	// refusedAt is the time of the last "not run".
	refusedAt time.Time
	// floor is the newest view under which a home asked for the entry.
	floor view.Version
}

// pair holds the two agents that keep the claims of a key.
type pair struct{ home, second Target }

// superseded is a view that was replaced, under which claims may stand.
type superseded struct {
	holders *holders
	at      time.Time
}

// Claims keeps the claims of the keys whose home or second holder is this
// agent. A claim counts once both hold it, so either one's word that it has
// none, given once and kept, proves that there is none.
type Claims struct {
	cfg ClaimsConfig
	// since is the time from which every view is in earlier or now.
	since     time.Time
	started   time.Time
	confirmed time.Time
	now       *holders
	earlier   []superseded
	slots     map[string]*slot
	order     []string // keys, oldest slot first
	ops       map[string]*op
	// bySeq finds the operation that waits for a reply.
	bySeq   map[uint64]*op
	lastSeq uint64
	out     []ClaimAction
}

// NewClaims returns a Claims without a view, which answers ClaimUnavailable.
func NewClaims(now time.Time, cfg ClaimsConfig) *Claims {
	return &Claims{
		cfg: cfg, since: now, started: now, confirmed: now,
		slots: make(map[string]*slot),
		ops:   make(map[string]*op),
		bySeq: make(map[uint64]*op),
	}
}

// Len returns the number of entries that are kept.
func (c *Claims) Len() int { return len(c.slots) }

// SetView adopts v if it is newer than the present view. Operations under way
// end as unavailable.
func (c *Claims) SetView(now time.Time, v *view.View) []ClaimAction {
	c.out = nil
	if c.now != nil && !v.Version.Newer(c.now.view.Version) {
		return nil
	}
	if c.now != nil {
		c.earlier = append(c.earlier, superseded{holders: c.now, at: now})
	}
	c.now = newHolders(v)
	c.confirmed = now
	for _, o := range c.pending() {
		c.endOp(now, o, ClaimReply{})
	}
	c.expire(now)
	return c.out
}

// pending returns the operations under way in the order of their requests.
func (c *Claims) pending() []*op {
	ops := make([]*op, 0, len(c.ops))
	for _, o := range c.ops {
		ops = append(ops, o)
	}
	slices.SortFunc(ops, func(a, b *op) int { return cmp.Compare(a.conversation, b.conversation) })
	return ops
}

// ConfirmView reports that the present view was found to be current.
func (c *Claims) ConfirmView(now time.Time) { c.confirmed = now }

func (c *Claims) stale(now time.Time) bool {
	return c.cfg.ConfirmWithin > 0 && now.Sub(c.confirmed) > c.cfg.ConfirmWithin
}

// History is what a member knows about the service's views, for one that has
// just started. Ages are relative to the time of the message.
type History struct {
	// Span is the age of the oldest knowledge.
	Span  time.Duration  `cbor:"1,keyasint"`
	Views []HistoricView `cbor:"2,keyasint"`
}

// HistoricView is a view and the time since it was replaced.
type HistoricView struct {
	View *view.View    `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
}

// History returns what this agent knows, the present view included.
func (c *Claims) History(now time.Time) History {
	c.expire(now)
	h := History{Span: now.Sub(c.since)}
	for _, e := range c.earlier {
		h.Views = append(h.Views, HistoricView{View: e.holders.view, Age: now.Sub(e.at)})
	}
	if c.now != nil {
		h.Views = append(h.Views, HistoricView{View: c.now.view})
	}
	return h
}

// AdoptHistory takes over what another member knows. Its views must have been
// prepared.
func (c *Claims) AdoptHistory(now time.Time, h History) {
	since := now.Add(-h.Span)
	if !since.Before(c.since) {
		return
	}
	c.since = since
	for _, v := range h.Views {
		c.earlier = append(c.earlier, superseded{holders: newHolders(v.View), at: now.Add(-v.Age)})
	}
	slices.SortStableFunc(c.earlier, func(a, b superseded) int { return a.at.Compare(b.at) })
}

// expire forgets keys that are refused for their age, and views under which
// no claim can stand.
func (c *Claims) expire(now time.Time) {
	n := 0
	for n < len(c.earlier) && now.Sub(c.earlier[n].at) > c.cfg.KeyLifetime+c.cfg.ViewLag {
		n++
	}
	c.earlier = c.earlier[n:]
	n = 0
	for n < len(c.order) && c.forgotten(now, c.slots[c.order[n]].entry.KeyTime) {
		delete(c.slots, c.order[n])
		n++
	}
	c.order = c.order[n:]
}

// old reports whether a key made at that time is refused.
func (c *Claims) old(now time.Time, made UnixMillis) bool {
	return now.Sub(made.Time()) > c.cfg.KeyLifetime
}

// forgotten reports whether entries of keys made at that time are no longer
// kept. That is later than any agent's clock accepts the key.
func (c *Claims) forgotten(now time.Time, made UnixMillis) bool {
	return now.Sub(made.Time()) > c.cfg.KeyLifetime+2*c.cfg.MaxClockSkew
}

func (c *Claims) slot(key string, made UnixMillis) *slot {
	s := c.slots[key]
	if s != nil {
		return s
	}
	if len(c.slots) >= c.cfg.MaxEntries {
		return nil
	}
	s = &slot{entry: Entry{Key: key, KeyTime: made}}
	c.slots[key] = s
	c.order = append(c.order, key)
	return s
}

// Store keeps an entry for its home, unless a newer home has asked for it.
func (c *Claims) Store(now time.Time, in StoreRequest) StoreReply {
	c.expire(now)
	if in.To != c.cfg.Self || c.stale(now) || c.forgotten(now, in.Entry.KeyTime) {
		return StoreReply{}
	}
	s := c.slot(in.Entry.Key, in.Entry.KeyTime)
	if s == nil || s.floor.Newer(in.Version) || s.entry.newer(&in.Entry) {
		return StoreReply{}
	}
	s.floor = in.Version
	s.set(now, in.Entry)
	return StoreReply{Stored: true}
}

// Lookup answers a newer home.
func (c *Claims) Lookup(now time.Time, in LookupRequest) LookupReply {
	c.expire(now)
	if in.To != c.cfg.Self || c.forgotten(now, in.KeyTime) {
		return LookupReply{}
	}
	s := c.slot(in.Key, in.KeyTime)
	if s == nil || s.floor.Newer(in.Version) {
		return LookupReply{}
	}
	s.floor = in.Version
	return LookupReply{Accepted: true, Found: s.entry.Revision > 0, Entry: s.travel(now)}
}

// set replaces the entry by one that travelled. The delay of the message makes
// the refusal later than it was, which errs on the safe side.
func (s *slot) set(now time.Time, e Entry) {
	if e.Fenced {
		s.refusedAt = now.Add(-e.FencedAge)
	}
	s.entry = e
}

func (s *slot) travel(now time.Time) Entry {
	e := s.entry
	if e.Fenced {
		e.FencedAge = now.Sub(s.refusedAt)
	}
	return e
}
