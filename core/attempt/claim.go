package attempt

import (
	"cmp"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// ClaimStatus is the reply of a key's primary to a Claim or FenceKey.
type ClaimStatus uint8

// The statuses of a claim.
const (
	ClaimUnavailable ClaimStatus = iota // not the primary, or a replica cannot be reached
	ClaimGranted                        // the attempt owns the key
	ClaimExists                         // another attempt owns the key
	ClaimMismatch                       // the key was used for another request
	ClaimFenced                         // the key is fenced; requests received before the fence are rejected
	ClaimTooOld                         // the key is older than KeyLifetime or than the replicas' history
	ClaimInvalid                        // the time of the key is in the future
)

// UnixMillis is a time in milliseconds since the Unix epoch, as in a UUID of
// version 7.
type UnixMillis int64

// UnixMillisOf returns t as UnixMillis.
func UnixMillisOf(t time.Time) UnixMillis { return UnixMillis(t.UnixMilli()) }

// Time returns m as a time.Time.
func (m UnixMillis) Time() time.Time { return time.UnixMilli(int64(m)) }

// Assignment is an attempt and the agent that it is assigned to.
type Assignment struct {
	ID     ID     `cbor:"1,keyasint"`
	Target Target `cbor:"2,keyasint"`
}

// Entry is the state of a key at its replicas.
type Entry struct {
	Key string `cbor:"1,keyasint"`
	// KeyTime is the timestamp in the key, a UUID of version 7.
	KeyTime UnixMillis `cbor:"2,keyasint"`
	Digest  Digest     `cbor:"3,keyasint"`
	// Owner is the attempt that owns the key, or zero.
	Owner Assignment `cbor:"4,keyasint"`
	// Version is the view under which the primary made the last change.
	Version view.Version `cbor:"5,keyasint"`
	// Revision counts the changes; an entry with revision 0 is empty.
	Revision uint64 `cbor:"6,keyasint"`
	// Fenced is true if the key was fenced, as NotRun was returned for it.
	Fenced bool `cbor:"7,keyasint"`
	// FencedAge is the time since the last fence of the key. It is set in messages only.
	FencedAge time.Duration `cbor:"8,keyasint"`
}

// isNewer reports whether e is a later change than o. The change of a primary
// under a newer view overrides an earlier one that was never granted.
func (e *Entry) isNewer(o *Entry) bool {
	if c := e.Version.Compare(o.Version); c != 0 {
		return c > 0
	}
	return e.Revision > o.Revision
}

// ClaimRequest claims a key for Owner at the key's primary. If Fence is set, it
// instead fences the key: the primary then rejects every request with the key
// that a gateway has received before. Replaces is as in Claim.
type ClaimRequest struct {
	Key      string        `cbor:"1,keyasint"`
	KeyTime  UnixMillis    `cbor:"2,keyasint"`
	Digest   Digest        `cbor:"3,keyasint"`
	Owner    Assignment    `cbor:"4,keyasint"`
	Replaces ID            `cbor:"5,keyasint"`
	Age      time.Duration `cbor:"6,keyasint"`
	Fence    bool          `cbor:"7,keyasint"`
}

// ClaimReply is the reply to a ClaimRequest.
type ClaimReply struct {
	Status     ClaimStatus   `cbor:"1,keyasint"`
	Owner      Assignment    `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
}

// StoreRequest replicates an entry from the primary of its key to the backup.
type StoreRequest struct {
	Version view.Version `cbor:"1,keyasint"`
	To      Target       `cbor:"2,keyasint"`
	Entry   Entry        `cbor:"3,keyasint"`
}

// StoreReply is the reply to a StoreRequest.
type StoreReply struct {
	Stored bool `cbor:"1,keyasint"`
}

// LookupRequest reads an entry from a replica of its key under an earlier view.
// The replica then rejects changes under views older than Version.
type LookupRequest struct {
	Version view.Version `cbor:"1,keyasint"`
	To      Target       `cbor:"2,keyasint"`
	Key     string       `cbor:"3,keyasint"`
	KeyTime UnixMillis   `cbor:"4,keyasint"`
}

// LookupReply is the reply to a LookupRequest.
type LookupReply struct {
	// Accepted is true if the requested incarnation accepted the lookup. Only
	// then does a false Found prove that it has no entry.
	Accepted bool `cbor:"1,keyasint"`
	// Found is true if Entry is set.
	Found bool  `cbor:"2,keyasint"`
	Entry Entry `cbor:"3,keyasint"`
}

// ClaimsConfig configures Claims at one agent.
type ClaimsConfig struct {
	Self Target
	// KeyLifetime is the maximum age of a key that can be used. Entries are
	// stored at least as long.
	KeyLifetime time.Duration
	// MaxClockSkew bounds the difference between the clocks of callers and agents.
	MaxClockSkew time.Duration
	// ReplyTimeout bounds an operation that waits for other replicas.
	ReplyTimeout time.Duration
	// ViewLag bounds the time for which some agent may still act on a view that
	// was replaced. Lookups of keys created up to ViewLag after the replacement
	// include the replicas under the old view.
	ViewLag time.Duration
	// ConfirmWithin is the maximum age of the last ConfirmView for this agent to
	// accept changes. It must not exceed ViewLag. 0 requires no confirmation:
	// then an agent that a partition leaves on an old view for longer than
	// ViewLag may grant a key that is also granted under a newer view.
	ConfirmWithin time.Duration
	// MaxEntries bounds the stored entries.
	MaxEntries int
}

type slot struct {
	entry Entry
	// fencedAt is the time of the last fence of the key.
	fencedAt time.Time
	// minVersion is the newest view under which a primary changed or looked up
	// the entry. Changes under older views are rejected.
	minVersion view.Version
}

// replicaPair is the primary and the backup of a key.
type replicaPair struct{ primary, backup Target }

// supersededView is a view that was replaced, under which claims may still exist.
type supersededView struct {
	selector   *replicaSelector
	replacedAt time.Time
}

// Claims stores the claims of the keys whose primary or backup is this agent. A
// claim is valid once both have stored it. An accepted lookup that finds no
// entry at either one therefore proves that there is no claim, because that
// agent then rejects changes under older views.
type Claims struct {
	cfg ClaimsConfig
	// historyStart is the time since which every view is in previous or current.
	historyStart time.Time
	startedAt    time.Time
	confirmedAt  time.Time
	current      *replicaSelector
	previous     []supersededView
	slots        map[string]*slot
	expiry       expiryQueue // the keys of slots
	ops          map[string]*operation
	// bySeq maps the sequence number of an open message to its operation.
	bySeq   map[uint64]*operation
	lastSeq uint64
	actions []ClaimAction
}

// NewClaims returns a Claims without a view, which replies ClaimUnavailable.
func NewClaims(now time.Time, cfg ClaimsConfig) *Claims {
	return &Claims{
		cfg: cfg, historyStart: now, startedAt: now, confirmedAt: now,
		slots: make(map[string]*slot),
		ops:   make(map[string]*operation),
		bySeq: make(map[uint64]*operation),
	}
}

// Len returns the number of stored entries.
func (c *Claims) Len() int { return len(c.slots) }

// SetView adopts v if it is newer than the current view. Operations in progress
// end with ClaimUnavailable.
func (c *Claims) SetView(now time.Time, v *view.View) []ClaimAction {
	c.actions = nil
	if c.current != nil && !v.Version.Newer(c.current.view.Version) {
		return nil
	}
	if c.current != nil {
		c.previous = append(c.previous, supersededView{selector: c.current, replacedAt: now})
	}
	c.current = newReplicaSelector(v)
	c.confirmedAt = now
	for _, o := range c.pendingOps() {
		c.endOp(now, o, ClaimReply{})
	}
	c.expire(now)
	return c.actions
}

// pendingOps returns the operations in progress in the order of their requests.
func (c *Claims) pendingOps() []*operation {
	ops := make([]*operation, 0, len(c.ops))
	for _, o := range c.ops {
		ops = append(ops, o)
	}
	slices.SortFunc(ops, func(a, b *operation) int { return cmp.Compare(a.requestID, b.requestID) })
	return ops
}

// ConfirmView records that the adopted view was current at now.
func (c *Claims) ConfirmView(now time.Time) { c.confirmedAt = now }

func (c *Claims) isStale(now time.Time) bool {
	return c.cfg.ConfirmWithin > 0 && now.Sub(c.confirmedAt) > c.cfg.ConfirmWithin
}

// History lists the service's views that a member has seen. A member that has
// just started adopts it. Ages are relative to the time of the message.
type History struct {
	// Span is the length of the period for which Views is complete.
	Span  time.Duration  `cbor:"1,keyasint"`
	Views []HistoricView `cbor:"2,keyasint"`
}

// HistoricView is a view and the time since it was replaced, 0 for the current one.
type HistoricView struct {
	View *view.View    `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
}

// History returns the views that this agent has seen, including the current one.
func (c *Claims) History(now time.Time) History {
	c.expire(now)
	h := History{Span: now.Sub(c.historyStart)}
	for _, superseded := range c.previous {
		h.Views = append(h.Views, HistoricView{View: superseded.selector.view, Age: now.Sub(superseded.replacedAt)})
	}
	if c.current != nil {
		h.Views = append(h.Views, HistoricView{View: c.current.view})
	}
	return h
}

// AdoptHistory adds the views of another member if its history is longer. The
// views must be prepared, see view.View.Prepare.
func (c *Claims) AdoptHistory(now time.Time, h History) {
	since := now.Add(-h.Span)
	if !since.Before(c.historyStart) {
		return
	}
	c.historyStart = since
	for _, v := range h.Views {
		c.previous = append(c.previous, supersededView{selector: newReplicaSelector(v.View), replacedAt: now.Add(-v.Age)})
	}
	slices.SortStableFunc(c.previous, func(a, b supersededView) int { return a.replacedAt.Compare(b.replacedAt) })
}

// expire removes keys that are rejected for their age, and views under which no
// claim can exist.
func (c *Claims) expire(now time.Time) {
	n := 0
	for n < len(c.previous) && now.Sub(c.previous[n].replacedAt) > c.cfg.KeyLifetime+c.cfg.ViewLag {
		n++
	}
	c.previous = c.previous[n:]
	for len(c.expiry) > 0 && c.isExpired(now, c.expiry[0].time) {
		delete(c.slots, c.expiry.pop().key)
	}
}

// isTooOld reports whether a key with this time is rejected for its age.
func (c *Claims) isTooOld(now time.Time, keyTime UnixMillis) bool {
	return now.Sub(keyTime.Time()) > c.cfg.KeyLifetime
}

// isExpired reports whether the entry of a key with this time is removed. By
// then every agent rejects the key, whatever the skew of its clock.
func (c *Claims) isExpired(now time.Time, keyTime UnixMillis) bool {
	return now.Sub(keyTime.Time()) > c.cfg.KeyLifetime+2*c.cfg.MaxClockSkew
}

func (c *Claims) ensureSlot(key string, keyTime UnixMillis) *slot {
	s := c.slots[key]
	if s != nil {
		return s
	}
	if len(c.slots) >= c.cfg.MaxEntries {
		return nil
	}
	s = &slot{entry: Entry{Key: key, KeyTime: keyTime}}
	c.slots[key] = s
	c.expiry.push(timedKey{time: keyTime, key: key})
	return s
}

// Store stores an entry at the backup of its key, unless a primary under a newer
// view has looked it up.
func (c *Claims) Store(now time.Time, in StoreRequest) StoreReply {
	c.expire(now)
	if in.To != c.cfg.Self || c.isStale(now) || c.isExpired(now, in.Entry.KeyTime) {
		return StoreReply{}
	}
	s := c.ensureSlot(in.Entry.Key, in.Entry.KeyTime)
	if s == nil || s.minVersion.Newer(in.Version) || s.entry.isNewer(&in.Entry) {
		return StoreReply{}
	}
	s.minVersion = in.Version
	s.importEntry(now, in.Entry)
	return StoreReply{Stored: true}
}

// Lookup returns the entry of a key to its primary under a newer view.
func (c *Claims) Lookup(now time.Time, in LookupRequest) LookupReply {
	c.expire(now)
	if in.To != c.cfg.Self || c.isExpired(now, in.KeyTime) {
		return LookupReply{}
	}
	s := c.ensureSlot(in.Key, in.KeyTime)
	if s == nil || s.minVersion.Newer(in.Version) {
		return LookupReply{}
	}
	s.minVersion = in.Version
	return LookupReply{Accepted: true, Found: s.entry.Revision > 0, Entry: s.exportEntry(now)}
}

// importEntry replaces the entry by one from a message. The delay of the message
// sets the fence later than it was, which rejects more and is therefore safe.
func (s *slot) importEntry(now time.Time, e Entry) {
	if e.Fenced {
		s.fencedAt = now.Add(-e.FencedAge)
	}
	s.entry = e
}

// exportEntry returns the entry for a message.
func (s *slot) exportEntry(now time.Time) Entry {
	e := s.entry
	if e.Fenced {
		e.FencedAge = now.Sub(s.fencedAt)
	}
	return e
}
