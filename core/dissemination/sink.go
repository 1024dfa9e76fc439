package dissemination

import (
	"slices"
	"time"
)

// SinkOptions configures a Sink.
type SinkOptions struct {
	// DaemonID names the daemon.
	DaemonID string
	// Keys restricts what is adopted; empty means every key.
	Keys []string
	// IsRelay is set where a Source serves the same store.
	IsRelay bool
	// ProbeInterval is the interval at which the state is confirmed. Zero means
	// 2 s.
	ProbeInterval time.Duration
	// SyncProbeInterval replaces ProbeEvery until the state was first confirmed. Zero
	// means 250 ms.
	SyncProbeInterval time.Duration
	// SourceTimeout is when a silent Source is given up; zero means 10 s.
	SourceTimeout time.Duration
}

// Output is what a Sink asks of its caller.
type Output struct {
	// Messages go to the Source.
	Messages []UpstreamMessage
	// Applied is now in force, in this order. Every version is newer than the
	// one that was in force for its key; only a deletion may repeat it.
	Applied []Item
	// RetryAfter, if not 0, tells that the Source refused the session: connect
	// to another one, and not to this before RetryAfter.
	RetryAfter time.Duration
}

// Bounds of what a Sink remembers.
const (
	maxProbes = 16
	maxGoals  = 8
)

// firstCheck is the time between the first two probes of a session; it doubles up
// to SinkOptions.CheckEvery.
const firstCheck = 50 * time.Millisecond

// probe is a question about the Source's state.
type probe struct {
	nonce  uint64
	sentAt time.Duration
}

// goal is a position that, once held, includes everything published before a
// time.
type goal struct {
	head Position
	asOf time.Duration
}

// Sink adopts what one Source after another sends. It is not safe for
// concurrent use.
type Sink struct {
	opts    SinkOptions
	store   *Store
	started time.Duration

	session  uint64
	open     bool
	nonce    uint64
	probes   []probe
	probedAt time.Duration
	// checkAfter is the time until the next probe while the state is not confirmed.
	checkAfter time.Duration
	heardAt    time.Duration

	transfer uint32   // the whole-state transfer last seen in the session
	cursor   Position // its progress

	checked bool
	goals   []goal // not yet reached, oldest first
	asOf    time.Duration
	dated   bool // asOf is valid
}

// NewSink returns a Sink that fills a store. The time is that of the process's
// start or later.
func NewSink(now time.Duration, store *Store, opts SinkOptions) *Sink {
	setDefault(&opts.ProbeInterval, 2*time.Second)
	setDefault(&opts.SyncProbeInterval, 250*time.Millisecond)
	setDefault(&opts.SourceTimeout, 10*time.Second)
	return &Sink{opts: opts, store: store, started: now}
}

// Store returns the store that is filled.
func (s *Sink) Store() *Store { return s.store }

// HasSynced reports whether the state is in force: it was confirmed, after the
// start, to be no older than the start.
func (s *Sink) HasSynced() bool { return s.checked }

// Applied returns the position of which everything is in force.
func (s *Sink) Applied() Position {
	if !s.checked {
		return Position{}
	}
	return s.store.complete
}

// AsOf returns a time such that everything published before it is held. ok is
// false until the state was first confirmed.
func (s *Sink) AsOf() (at time.Duration, ok bool) { return s.asOf, s.dated }

// SourceTimedOut reports whether the Source should be given up for another.
func (s *Sink) SourceTimedOut(now time.Duration) bool {
	return s.open && now-s.heardAt >= s.opts.SourceTimeout
}

// Connect opens a session with a Source. The session number must not have been
// used by this daemon before.
func (s *Sink) Connect(now time.Duration, session uint64) Output {
	s.session, s.open, s.heardAt = session, true, now
	s.transfer, s.cursor, s.probes = 0, Position{}, nil
	s.checkAfter = min(firstCheck, s.opts.SyncProbeInterval)
	var out Output
	out.Messages = append(out.Messages, s.up(UpstreamMessage{Subscribe: &Subscribe{
		DaemonID:     s.opts.DaemonID,
		Position:     s.store.position,
		Keys:         s.opts.Keys,
		IsRelay:      s.opts.IsRelay,
		FullTransfer: s.store.rebuilding,
	}}))
	out.Messages = append(out.Messages, s.probe(now))
	return out
}

// Disconnect tells that the connection was lost. What is in force stays.
func (s *Sink) Disconnect() { s.open = false }

// Tick sends a probe when one is due.
func (s *Sink) Tick(now time.Duration) Output {
	every := s.opts.ProbeInterval
	if !s.checked {
		every = s.checkAfter
	}
	if !s.open || now-s.probedAt < every {
		return Output{}
	}
	s.checkAfter = min(2*s.checkAfter, s.opts.SyncProbeInterval)
	return Output{Messages: []UpstreamMessage{s.probe(now)}}
}

// Receive takes a message of the Source.
func (s *Sink) Receive(now time.Duration, m DownstreamMessage) Output {
	if !s.open || m.Session != s.session {
		return Output{}
	}
	s.heardAt = now
	switch {
	case m.Batch != nil:
		return s.batch(m.Batch)
	case m.Status != nil:
		return s.status(m.Status)
	case m.Repair != nil:
		return s.repair(m.Repair)
	case m.Refusal != nil:
		s.open = false
		return Output{RetryAfter: m.Refusal.RetryAfter}
	}
	return Output{}
}

// batch adopts a batch that continues what is held, and acknowledges it.
func (s *Sink) batch(b *Batch) Output {
	var adopted []Item
	var ok bool
	if b.TransferID != 0 {
		adopted, ok = s.rebuild(b)
	} else {
		adopted, ok = s.continueWith(b)
	}
	if !ok {
		return Output{}
	}
	out := s.release(adopted)
	out.Messages = append(out.Messages, s.ack(Ack{Received: b.To, TransferID: b.TransferID}))
	return out
}

// continueWith applies a delta. ok is false if something before it is missing.
func (s *Sink) continueWith(b *Batch) (adopted []Item, ok bool) {
	if s.store.rebuilding || b.From.Newer(s.store.position) {
		return nil, false
	}
	if !b.To.Newer(s.store.position) {
		return nil, true
	}
	s.store.enterEpochs(b.Epochs)
	for _, c := range b.Changes {
		if s.store.put(c) {
			adopted = append(adopted, c.Item)
		}
	}
	s.store.advance(b.To, b.HasMore)
	return adopted, true
}

// rebuild applies one batch of a whole-state transfer.
func (s *Sink) rebuild(b *Batch) (adopted []Item, ok bool) {
	if b.TransferID < s.transfer || b.TransferID > s.transfer && b.From != (Position{}) {
		return nil, false
	}
	if b.TransferID > s.transfer {
		s.transfer, s.cursor = b.TransferID, Position{}
		s.store.beginRebuild()
	}
	if !s.store.rebuilding { // The end was sent again, with later changes.
		return s.continueWith(b)
	}
	if b.From.Newer(s.cursor) {
		return nil, false
	}
	if !b.To.Newer(s.cursor) {
		return nil, true
	}
	s.cursor = b.To
	s.store.enterEpochs(b.Epochs)
	for _, c := range b.Changes {
		if s.store.rebuild(c) {
			adopted = append(adopted, c.Item)
		}
	}
	if b.HasMore {
		return adopted, true
	}
	adopted = append(adopted, s.store.endRebuild(b.To)...)
	s.store.advance(b.To, false)
	return adopted, true
}

// status dates the state and finds divergence.
func (s *Sink) status(st *Status) Output {
	sent, ok := s.answered(st.Nonce)
	if !ok {
		return Output{}
	}
	if st.Confirmed {
		s.aim(goal{head: st.Head, asOf: sent.sentAt - widen(st.ConfirmationAge)})
	}
	if !s.store.rebuilding && !st.From.Newer(s.store.position) && st.To.Newer(s.store.position) {
		s.store.advance(st.To, false)
	}
	checked := s.checked
	out := s.release(nil)
	if s.checked != checked {
		out.Messages = append(out.Messages, s.ack(Ack{Received: s.store.position}))
	}
	if s.diverged(st) {
		out.Messages = append(out.Messages, s.up(UpstreamMessage{Compare: &Compare{
			Position:      s.store.position,
			BucketDigests: append([]uint64(nil), s.store.buckets[:]...),
		}}))
	}
	return out
}

func (s *Sink) diverged(st *Status) bool {
	return st.HasDigest && s.store.whole() && st.To == s.store.position && st.Digest != s.store.Digest()
}

// repair takes the Source's content of buckets that differed.
func (s *Sink) repair(r *Repair) Output {
	if r.Position != s.store.position || !s.store.whole() {
		return Output{}
	}
	adopted, ahead := s.store.applyRepair(r)
	out := s.release(adopted)
	if len(ahead) > 0 {
		out.Messages = append(out.Messages, s.ack(Ack{
			Received:      s.store.position,
			NewerVersions: ahead[:min(len(ahead), maxAhead)],
		}))
	}
	return out
}

// release puts adopted items in force, or withholds them until the state was
// confirmed to be no older than the start.
func (s *Sink) release(adopted []Item) Output {
	s.reach()
	if !s.checked {
		if !s.dated || s.asOf < s.started || !s.store.whole() {
			return Output{}
		}
		s.checked = true
		adopted = s.store.Items()
	}
	s.store.adopted(adopted)
	return Output{Applied: adopted}
}

// aim adds a goal. Goals beyond the bound are left out, so that a stream of
// changes cannot keep moving the only one away.
func (s *Sink) aim(g goal) {
	if len(s.goals) < maxGoals {
		s.goals = append(s.goals, g)
	}
}

// reach dates the state by the goals whose heads are held.
func (s *Sink) reach() {
	if s.store.rebuilding {
		return
	}
	s.goals = slices.DeleteFunc(s.goals, func(g goal) bool {
		if g.head.Newer(s.store.complete) {
			return false
		}
		if !s.dated || g.asOf > s.asOf {
			s.dated, s.asOf = true, g.asOf
		}
		return true
	})
}

func (s *Sink) up(m UpstreamMessage) UpstreamMessage {
	m.Session = s.session
	return m
}

func (s *Sink) ack(a Ack) UpstreamMessage {
	a.Applied = s.Applied()
	return s.up(UpstreamMessage{Ack: &a})
}

func (s *Sink) probe(now time.Duration) UpstreamMessage {
	s.nonce++
	s.probedAt = now
	s.probes = append(s.probes, probe{nonce: s.nonce, sentAt: now})
	if extra := len(s.probes) - maxProbes; extra > 0 {
		s.probes = slices.Delete(s.probes, 0, extra)
	}
	return s.ack(Ack{Received: s.store.position, Nonce: s.nonce})
}

// answered returns the probe that a status answers, once.
func (s *Sink) answered(nonce uint64) (p probe, ok bool) {
	i := slices.IndexFunc(s.probes, func(p probe) bool { return p.nonce == nonce })
	if i < 0 {
		return probe{}, false
	}
	p = s.probes[i]
	s.probes = slices.Delete(s.probes, i, i+1)
	return p, true
}
