package dissemination

import (
	"math/rand/v2"
	"slices"
	"time"
)

// PeerID identifies a connection of a Source. The caller assigns it.
type PeerID uint64

// Delivery is a message for one connection. Deliveries may share a message, so
// callers must not modify it.
type Delivery struct {
	Peer    PeerID
	Message DownstreamMessage
}

// SourceOptions configures a Source.
type SourceOptions struct {
	// BatchWindow is the minimum time between two batches of changes. The first
	// change after a longer pause is sent at the next Tick. The windows after the first
	// batches of a Source are shorter, see startBatches.
	BatchWindow time.Duration
	// MaxBatchBytes bounds the size of the changes in one batch. Zero means 64 KiB.
	MaxBatchBytes int
	// MaxInflightBatches bounds the unacknowledged batches of a subscriber. Zero
	// means 4.
	MaxInflightBatches int
	// MaxSubscribers bounds the number of sessions. Zero means 1,024.
	MaxSubscribers int
	// MaxCatchUps bounds the number of subscribers that are behind by more than one
	// batch and receive batches at the same time. Others wait. Zero means 32.
	MaxCatchUps int
	// ResendAfter is the time after which unacknowledged batches are sent again.
	// Zero means 2 s.
	ResendAfter time.Duration
	// SubscriberTimeout is how long nothing may be received from a subscriber before
	// it is disconnected. Zero means 15 s.
	SubscriberTimeout time.Duration
	// DisconnectedRetention is how long a disconnected subscriber still counts in
	// Progress. Zero means 1 minute.
	DisconnectedRetention time.Duration
	// RetryAfter is the mean delay in a Refusal. Zero means 2 s.
	RetryAfter time.Duration
	// Rand randomizes the delay in a Refusal. It is required.
	Rand *rand.Rand
}

func (o *SourceOptions) setDefaults() {
	setDefault(&o.MaxBatchBytes, 64<<10)
	setDefault(&o.MaxInflightBatches, 4)
	setDefault(&o.MaxSubscribers, 1024)
	setDefault(&o.MaxCatchUps, 32)
	setDefault(&o.ResendAfter, 2*time.Second)
	setDefault(&o.SubscriberTimeout, 15*time.Second)
	setDefault(&o.DisconnectedRetention, time.Minute)
	setDefault(&o.RetryAfter, 2*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Source serves the content of a Store to subscribers. It is not safe for
// concurrent use.
type Source struct {
	opts  SourceOptions
	store *Store

	subscribersByPeer map[PeerID]*subscriber
	subscribersByID   map[string]*subscriber
	subscribers       []*subscriber // in order of arrival, for reproducible runs
	subscribersByKey  map[string][]*subscriber

	flushedPosition      Position // position of the store at the latest flush
	flushedAt            time.Duration
	flushCount           int  // number of batch windows begun, up to startBatches
	hasFlushed           bool // whether flushedPosition and flushedAt are valid
	flushedTransferCount uint64
	catchUpCount         int
	sharedBatch          *Batch // latest batch for subscribers of every key

	isConfirmed   bool
	confirmedAt   time.Duration
	disconnected  []disconnectedDaemon
	newerVersions map[string]KeyVersion
}

// NewSource returns a Source without subscribers.
func NewSource(store *Store, opts SourceOptions) *Source {
	opts.setDefaults()
	return &Source{
		opts:              opts,
		store:             store,
		subscribersByPeer: map[PeerID]*subscriber{},
		subscribersByID:   map[string]*subscriber{},
		subscribersByKey:  map[string][]*subscriber{},
		newerVersions:     map[string]KeyVersion{},
	}
}

// Store returns the store that the Source serves.
func (s *Source) Store() *Store { return s.store }

// SubscriberCount returns the number of sessions.
func (s *Source) SubscriberCount() int { return len(s.subscribers) }

// Receive processes a message from a subscriber.
func (s *Source) Receive(now time.Duration, peer PeerID, m UpstreamMessage) []Delivery {
	if m.Subscribe != nil {
		return s.handleSubscribe(now, peer, m.Session, m.Subscribe)
	}
	sub, ok := s.subscribersByPeer[peer]
	if !ok {
		return nil
	}
	switch {
	case m.Session != sub.session:
		return nil
	case m.Ack != nil:
		return s.handleAck(now, sub, m.Ack)
	case m.Compare != nil:
		return s.handleCompare(sub, m.Compare)
	}
	return nil
}

// Tick sends a batch if one is due, sends unacknowledged batches again and
// disconnects subscribers that have timed out. Call it at least once per
// SourceOptions.BatchWindow, and when BatchDue reports true.
func (s *Source) Tick(now time.Duration) []Delivery {
	s.disconnectTimedOut(now)
	var out []Delivery
	if s.BatchDue(now) {
		s.flush(now)
	}
	for _, sub := range s.subscribers {
		sub.rewindIfUnacked(now, s.opts.ResendAfter)
		out = s.sendBatches(now, sub, out)
		out = s.answerUnconfirmed(now, sub, out)
	}
	return out
}

// BatchDue reports whether there are unsent changes and the batch window after the
// previous batch has ended.
func (s *Source) BatchDue(now time.Duration) bool {
	if s.flushedPosition == s.store.resumePosition || !s.store.isComplete() {
		return false
	}
	return !s.hasFlushed || now-s.flushedAt >= s.batchWindow()
}

// BatchDueAfter returns the time until BatchDue reports true, or 0 if it does or if
// there are no unsent changes.
func (s *Source) BatchDueAfter(now time.Duration) time.Duration {
	if s.flushedPosition == s.store.resumePosition || !s.store.isComplete() || !s.hasFlushed {
		return 0
	}
	return max(s.flushedAt+s.batchWindow()-now, 0)
}

// startBatches is the number of batches after which the batch window has its full
// length. It doubles from batch to batch until then.
//
// It answers the load after a loss of power: a new leader publishes the configuration,
// first views and complete views within a few round trips, and callers wait for each.
const startBatches = 4

func (s *Source) batchWindow() time.Duration {
	return s.opts.BatchWindow >> (startBatches - s.flushCount)
}

// flush ends a batch window: it marks the subscribers with changes since the
// previous flush as pending.
func (s *Source) flush(now time.Duration) {
	from, transferCount := s.flushedPosition, s.flushedTransferCount
	s.flushedPosition, s.flushedTransferCount = s.store.resumePosition, s.store.fullTransferCount
	s.hasFlushed, s.flushedAt = true, now
	s.flushCount = min(s.flushCount+1, startBatches)
	allPending := from.Epoch != s.flushedPosition.Epoch || transferCount != s.flushedTransferCount
	for e := s.store.firstAfter(from.Number); e != nil && !allPending; e = e.next {
		for _, sub := range s.subscribersByKey[e.item.Key] {
			sub.isPending = true
		}
	}
	for _, sub := range s.subscribers {
		sub.isPending = sub.isPending || allPending || sub.keys == nil
		if !sub.isPending && sub.isResolved {
			sub.scannedNumber = s.flushedPosition.Number
		}
	}
}

// sendBatches appends the pending batches of a subscriber to out, up to
// SourceOptions.MaxInflightBatches.
func (s *Source) sendBatches(now time.Duration, sub *subscriber, out []Delivery) []Delivery {
	for sub.isPending && len(sub.inflight) < s.opts.MaxInflightBatches && s.store.isComplete() && s.resolvePosition(sub) {
		batch := s.nextBatch(sub)
		if batch == nil {
			return out
		}
		sub.sentAt = now
		out = append(out, Delivery{Peer: sub.peer, Message: DownstreamMessage{Session: sub.session, Batch: batch}})
	}
	return out
}

// nextBatch returns the next batch for a subscriber. It returns nil if the batch is
// redundant or if the subscriber must wait because of SourceOptions.MaxCatchUps.
func (s *Source) nextBatch(sub *subscriber) *Batch {
	batch := s.buildBatch(sub)
	if batch.HasMore && !s.beginCatchUp(sub) {
		return nil
	}
	sub.scannedNumber = batch.To.Number
	if !batch.HasMore {
		s.endCatchUp(sub)
		sub.isPending = false
	}
	if batch.isRedundant(sub.keys != nil) {
		return nil
	}
	sub.inflight = append(sub.inflight, inflightBatch{from: batch.From, to: batch.To, transferID: batch.TransferID, hasMore: batch.HasMore})
	sub.sentPosition = batch.To
	if !batch.HasMore {
		sub.transferID = 0
	}
	return batch
}

// isRedundant reports whether b changes neither the items nor the position of a
// subscriber. The number of a position does not matter to one with a key filter.
func (b *Batch) isRedundant(hasKeyFilter bool) bool {
	if len(b.Changes) > 0 || b.TransferID != 0 {
		return false
	}
	return b.From == b.To || hasKeyFilter && b.From.Epoch == b.To.Epoch
}

func (s *Source) beginCatchUp(sub *subscriber) bool {
	if sub.isCatchingUp {
		return true
	}
	if s.catchUpCount >= s.opts.MaxCatchUps {
		return false
	}
	sub.isCatchingUp = true
	s.catchUpCount++
	return true
}

func (s *Source) endCatchUp(sub *subscriber) {
	if sub.isCatchingUp {
		sub.isCatchingUp = false
		s.catchUpCount--
	}
}

// buildBatch builds the batch that follows the subscriber's sent position.
// Subscribers of every key are mostly at the same position and share the batch.
func (s *Source) buildBatch(sub *subscriber) *Batch {
	isShareable := sub.keys == nil && sub.transferID == 0 && sub.skipDeletedUpTo <= sub.scannedNumber
	if b := s.sharedBatch; isShareable && b != nil && b.From == sub.sentPosition && b.To == s.store.resumePosition {
		return b
	}
	b := &Batch{From: sub.sentPosition, To: s.store.resumePosition, TransferID: sub.transferID}
	size := 0
	for e := s.store.firstAfter(sub.scannedNumber); e != nil; e = e.next {
		if !sub.needs(e) {
			continue
		}
		if size += e.item.encodedSize(); size > s.opts.MaxBatchBytes && len(b.Changes) > 0 {
			b.HasMore = true
			b.To.Number = b.Changes[len(b.Changes)-1].Number
			break
		}
		b.Changes = append(b.Changes, Change{Number: e.number, Item: e.item})
	}
	if b.From.Epoch != b.To.Epoch {
		b.Epochs = slices.Clone(s.store.epochs)
	}
	if isShareable && !b.HasMore {
		s.sharedBatch = b
	}
	return b
}

// recordConfirmation records that the store contains everything published before a
// time.
func (s *Source) recordConfirmation(at time.Duration) {
	if !s.isConfirmed || at > s.confirmedAt {
		s.isConfirmed, s.confirmedAt = true, at
	}
}
