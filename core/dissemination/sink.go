package dissemination

import (
	"slices"
	"time"
)

// SinkOptions configures a Sink.
type SinkOptions struct {
	// DaemonID identifies the daemon within the fleet.
	DaemonID string
	// Keys restricts the subscription to these keys. Empty means every key.
	Keys []string
	// IsRelay is set if a Source serves the same store.
	IsRelay bool
	// ProbeInterval is the interval of the probes that confirm the state. Zero means
	// 2 s.
	ProbeInterval time.Duration
	// SyncProbeInterval is the longest probe interval until HasSynced reports
	// true. Zero means 250 ms.
	SyncProbeInterval time.Duration
	// SourceTimeout is how long nothing may be received from a Source before
	// SourceTimedOut reports true. Zero means 10 s.
	SourceTimeout time.Duration
}

// Output holds the messages and items that a Sink passes to its caller.
type Output struct {
	// Messages are to be sent to the Source.
	Messages []UpstreamMessage
	// Applied lists the items to apply, in this order. The version of an item is
	// newer than the one applied before for its key. Only a deletion may repeat it.
	Applied []Item
	// RetryAfter, if not 0, reports that the Source refused the session: connect to
	// another Source, and to this one not before RetryAfter.
	RetryAfter time.Duration
}

// Bounds of the pending probes and of the confirmed heads of a Sink.
const (
	maxProbes         = 16
	maxConfirmedHeads = 8
)

// initialSyncProbeInterval is the time between the first two probes of a session
// that has not synced. It doubles up to SinkOptions.SyncProbeInterval.
const initialSyncProbeInterval = 50 * time.Millisecond

// probe is a request for the Source's Status that awaits a response.
type probe struct {
	nonce  uint64
	sentAt time.Duration
}

// confirmedHead is a position of the Source that includes everything published
// before asOf.
type confirmedHead struct {
	head Position
	asOf time.Duration
}

// Sink stores and applies the changes received from a Source, and from another one
// after a reconnect. It is not safe for concurrent use.
type Sink struct {
	opts      SinkOptions
	store     *Store
	startedAt time.Duration

	session       uint64
	isConnected   bool
	lastNonce     uint64
	pendingProbes []probe
	lastProbeAt   time.Duration
	// syncProbeInterval is the current probe interval until hasSynced is set.
	syncProbeInterval time.Duration
	receivedAt        time.Duration

	transferID       uint32   // latest full transfer of the session
	transferPosition Position // end of the stored part of that transfer

	hasSynced      bool
	confirmedHeads []confirmedHead // newer than the store, oldest first
	asOf           time.Duration
	hasAsOf        bool // whether asOf is valid
}

// NewSink returns a Sink that writes to a store. The time is that of the process's
// start or later.
func NewSink(now time.Duration, store *Store, opts SinkOptions) *Sink {
	setDefault(&opts.ProbeInterval, 2*time.Second)
	setDefault(&opts.SyncProbeInterval, 250*time.Millisecond)
	setDefault(&opts.SourceTimeout, 10*time.Second)
	return &Sink{opts: opts, store: store, startedAt: now}
}

// Store returns the store that the Sink writes to.
func (s *Sink) Store() *Store { return s.store }

// HasSynced reports whether the state was confirmed, after the start of the Sink, to
// be no older than that start. Nothing is applied before.
func (s *Sink) HasSynced() bool { return s.hasSynced }

// Applied returns the latest position up to which every change is applied.
func (s *Sink) Applied() Position {
	if !s.hasSynced {
		return Position{}
	}
	return s.store.completePosition
}

// AsOf returns a time such that the store contains everything published before it.
// ok is false before the first confirmation.
func (s *Sink) AsOf() (at time.Duration, ok bool) { return s.asOf, s.hasAsOf }

// SourceTimedOut reports whether nothing was received from the Source for
// SinkOptions.SourceTimeout. The caller should connect to another one then.
func (s *Sink) SourceTimedOut(now time.Duration) bool {
	return s.isConnected && now-s.receivedAt >= s.opts.SourceTimeout
}

// Connect opens a session with a Source. The session number must not have been
// used by this daemon before.
func (s *Sink) Connect(now time.Duration, session uint64) Output {
	s.session, s.isConnected, s.receivedAt = session, true, now
	s.transferID, s.transferPosition, s.pendingProbes = 0, Position{}, nil
	s.syncProbeInterval = min(initialSyncProbeInterval, s.opts.SyncProbeInterval)
	var out Output
	out.Messages = append(out.Messages, s.newMessage(UpstreamMessage{Subscribe: &Subscribe{
		DaemonID:     s.opts.DaemonID,
		Position:     s.store.resumePosition,
		Keys:         s.opts.Keys,
		IsRelay:      s.opts.IsRelay,
		FullTransfer: s.store.inFullTransfer,
	}}))
	out.Messages = append(out.Messages, s.newProbe(now))
	return out
}

// Disconnect ends the session after a lost connection. Applied items stay applied.
func (s *Sink) Disconnect() { s.isConnected = false }

// Tick sends a probe when one is due.
func (s *Sink) Tick(now time.Duration) Output {
	interval := s.opts.ProbeInterval
	if !s.hasSynced {
		interval = s.syncProbeInterval
	}
	if !s.isConnected || now-s.lastProbeAt < interval {
		return Output{}
	}
	s.syncProbeInterval = min(2*s.syncProbeInterval, s.opts.SyncProbeInterval)
	return Output{Messages: []UpstreamMessage{s.newProbe(now)}}
}

// Receive processes a message from the Source.
func (s *Sink) Receive(now time.Duration, m DownstreamMessage) Output {
	if !s.isConnected || m.Session != s.session {
		return Output{}
	}
	s.receivedAt = now
	switch {
	case m.Batch != nil:
		return s.handleBatch(m.Batch)
	case m.Status != nil:
		return s.handleStatus(m.Status)
	case m.Repair != nil:
		return s.handleRepair(m.Repair)
	case m.Refusal != nil:
		s.isConnected = false
		return Output{RetryAfter: m.Refusal.RetryAfter}
	}
	return Output{}
}

// handleBatch stores and acknowledges a batch that continues the store or the
// current full transfer.
func (s *Sink) handleBatch(b *Batch) Output {
	var changed []Item
	var ok bool
	if b.TransferID != 0 {
		changed, ok = s.applyTransfer(b)
	} else {
		changed, ok = s.applyDelta(b)
	}
	if !ok {
		return Output{}
	}
	out := s.applyChanges(changed)
	out.Messages = append(out.Messages, s.newAck(Ack{Received: b.To, TransferID: b.TransferID}))
	return out
}

// applyDelta stores a delta. ok is false if the store lacks changes before it.
func (s *Sink) applyDelta(b *Batch) (changed []Item, ok bool) {
	if s.store.inFullTransfer || b.From.Newer(s.store.resumePosition) {
		return nil, false
	}
	if !b.To.Newer(s.store.resumePosition) {
		return nil, true
	}
	s.store.mergeEpochs(b.Epochs)
	for _, c := range b.Changes {
		if s.store.put(c) {
			changed = append(changed, c.Item)
		}
	}
	s.store.advancePosition(b.To, b.HasMore)
	return changed, true
}

// applyTransfer stores one batch of a full transfer. ok is false if the batch does
// not continue the transfer.
func (s *Sink) applyTransfer(b *Batch) (changed []Item, ok bool) {
	if b.TransferID < s.transferID || b.TransferID > s.transferID && b.From != (Position{}) {
		return nil, false
	}
	if b.TransferID > s.transferID {
		s.transferID, s.transferPosition = b.TransferID, Position{}
		s.store.beginFullTransfer()
	}
	if !s.store.inFullTransfer { // The last batch was sent again, with later changes.
		return s.applyDelta(b)
	}
	if b.From.Newer(s.transferPosition) {
		return nil, false
	}
	if !b.To.Newer(s.transferPosition) {
		return nil, true
	}
	s.transferPosition = b.To
	s.store.mergeEpochs(b.Epochs)
	for _, c := range b.Changes {
		if s.store.putFromTransfer(c) {
			changed = append(changed, c.Item)
		}
	}
	if b.HasMore {
		return changed, true
	}
	changed = append(changed, s.store.finishFullTransfer(b.To)...)
	s.store.advancePosition(b.To, false)
	return changed, true
}

// handleStatus updates the time of the latest confirmation and requests a repair if
// the digests differ.
func (s *Sink) handleStatus(st *Status) Output {
	answered, ok := s.takeProbe(st)
	if !ok {
		return Output{}
	}
	if st.Confirmed {
		s.addConfirmedHead(confirmedHead{head: st.Head, asOf: answered.sentAt - addClockRateError(st.ConfirmationAge)})
	}
	if !s.store.inFullTransfer && !st.From.Newer(s.store.resumePosition) && st.To.Newer(s.store.resumePosition) {
		s.store.advancePosition(st.To, false)
	}
	hadSynced := s.hasSynced
	out := s.applyChanges(nil)
	if s.hasSynced != hadSynced {
		out.Messages = append(out.Messages, s.newAck(Ack{Received: s.store.resumePosition}))
	}
	if s.hasDiverged(st) {
		out.Messages = append(out.Messages, s.newMessage(UpstreamMessage{Compare: &Compare{
			Position:      s.store.resumePosition,
			BucketDigests: append([]uint64(nil), s.store.bucketDigests[:]...),
		}}))
	}
	return out
}

func (s *Sink) hasDiverged(st *Status) bool {
	return st.HasDigest && s.store.isComplete() && st.To == s.store.resumePosition && st.Digest != s.store.Digest()
}

// handleRepair stores the Source's content of mismatched buckets.
func (s *Sink) handleRepair(r *Repair) Output {
	if r.Position != s.store.resumePosition || !s.store.isComplete() {
		return Output{}
	}
	changed, newer := s.store.applyRepair(r)
	out := s.applyChanges(changed)
	if len(newer) > 0 {
		out.Messages = append(out.Messages, s.newAck(Ack{
			Received:      s.store.resumePosition,
			NewerVersions: newer[:min(len(newer), maxNewerVersions)],
		}))
	}
	return out
}

// applyChanges applies changed items, or withholds them until the state is
// confirmed to be no older than the start.
func (s *Sink) applyChanges(changed []Item) Output {
	s.updateAsOf()
	if !s.hasSynced {
		if !s.hasAsOf || s.asOf < s.startedAt || !s.store.isComplete() {
			return Output{}
		}
		s.hasSynced = true
		changed = s.store.Items()
	}
	s.store.dropBodies(changed)
	return Output{Applied: changed}
}

// addConfirmedHead adds a confirmed head. At the bound it ignores the new head and
// keeps the old ones: the store reaches those even while a stream of changes moves
// the Source's head.
func (s *Sink) addConfirmedHead(h confirmedHead) {
	if len(s.confirmedHeads) < maxConfirmedHeads {
		s.confirmedHeads = append(s.confirmedHeads, h)
	}
}

// updateAsOf sets asOf to the latest time of the confirmed heads that the store has
// reached, and removes those heads.
func (s *Sink) updateAsOf() {
	if s.store.inFullTransfer {
		return
	}
	s.confirmedHeads = slices.DeleteFunc(s.confirmedHeads, func(h confirmedHead) bool {
		if h.head.Newer(s.store.completePosition) {
			return false
		}
		if !s.hasAsOf || h.asOf > s.asOf {
			s.hasAsOf, s.asOf = true, h.asOf
		}
		return true
	})
}

func (s *Sink) newMessage(m UpstreamMessage) UpstreamMessage {
	m.Session = s.session
	return m
}

func (s *Sink) newAck(a Ack) UpstreamMessage {
	a.Applied = s.Applied()
	return s.newMessage(UpstreamMessage{Ack: &a})
}

func (s *Sink) newProbe(now time.Duration) UpstreamMessage {
	s.lastNonce++
	s.lastProbeAt = now
	s.pendingProbes = append(s.pendingProbes, probe{nonce: s.lastNonce, sentAt: now})
	if extra := len(s.pendingProbes) - maxProbes; extra > 0 {
		s.pendingProbes = slices.Delete(s.pendingProbes, 0, extra)
	}
	return s.newAck(Ack{Received: s.store.resumePosition, Nonce: s.lastNonce})
}

// takeProbe returns the pending probe that st answers, and removes it unless st is not
// confirmed: the Source answers it again once a quorum has confirmed its state.
func (s *Sink) takeProbe(st *Status) (p probe, ok bool) {
	i := slices.IndexFunc(s.pendingProbes, func(p probe) bool { return p.nonce == st.Nonce })
	if i < 0 {
		return probe{}, false
	}
	p = s.pendingProbes[i]
	if st.Confirmed {
		s.pendingProbes = slices.Delete(s.pendingProbes, i, i+1)
	}
	return p, true
}
