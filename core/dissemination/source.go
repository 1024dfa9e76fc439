package dissemination

import (
	"math/rand/v2"
	"slices"
	"time"
)

// PeerID names one connection of a Source. The caller assigns it.
type PeerID uint64

// Delivery is a message for one connection. Messages may be shared between
// deliveries: do not change them.
type Delivery struct {
	Peer    PeerID
	Message DownstreamMessage
}

// SourceOptions configures a Source.
type SourceOptions struct {
	// BatchWindow is the least time between two batches of changes. A change that
	// follows none goes at the next Tick.
	BatchWindow time.Duration
	// MaxBatchBytes bounds the changes in one batch. Zero means 64 KiB.
	MaxBatchBytes int
	// MaxInflightBatches bounds the batches sent and not yet acknowledged by a
	// subscriber. Zero means 4.
	MaxInflightBatches int
	// MaxSubscribers bounds the fan-out; zero means 1,024.
	MaxSubscribers int
	// MaxCatchUps bounds the subscribers that are served more than one batch
	// at a time; others wait. Zero means 32.
	MaxCatchUps int
	// ResendAfter is when unacknowledged batches are sent again. Zero means
	// 2 s.
	ResendAfter time.Duration
	// SubscriberTimeout is when a silent subscriber is dropped; zero means 15 s.
	SubscriberTimeout time.Duration
	// DisconnectedRetention is how long a dropped subscriber is still reported as
	// lagging; zero means 1 minute.
	DisconnectedRetention time.Duration
	// RetryAfter is the mean delay asked of refused subscribers. Zero means
	// 2 s.
	RetryAfter time.Duration
	// Rand spreads the delays asked of refused subscribers. It is required.
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

	peers map[PeerID]*subscriber
	byID  map[string]*subscriber
	order []*subscriber // by arrival, so that runs can be reproduced
	byKey map[string][]*subscriber

	flushed   Position // the store's position at the last flush
	flushedAt time.Duration
	hasFlush  bool
	rebuilds  uint64
	catchUps  int
	shared    *Batch // the last one cut for subscribers of every key

	confirmed   bool
	confirmedAt time.Duration
	departed    []departedDaemon
	ahead       map[string]KeyVersion
}

// NewSource returns a Source without subscribers.
func NewSource(store *Store, opts SourceOptions) *Source {
	opts.setDefaults()
	return &Source{
		opts:  opts,
		store: store,
		peers: map[PeerID]*subscriber{},
		byID:  map[string]*subscriber{},
		byKey: map[string][]*subscriber{},
		ahead: map[string]KeyVersion{},
	}
}

// Store returns the store that is served.
func (s *Source) Store() *Store { return s.store }

// SubscriberCount returns the number of open sessions.
func (s *Source) SubscriberCount() int { return len(s.order) }

// Receive takes a message of a subscriber.
func (s *Source) Receive(now time.Duration, peer PeerID, m UpstreamMessage) []Delivery {
	if m.Subscribe != nil {
		return s.subscribe(now, peer, m.Session, m.Subscribe)
	}
	sub, ok := s.peers[peer]
	if !ok {
		return nil
	}
	switch {
	case m.Session != sub.session:
		return nil
	case m.Ack != nil:
		return s.acknowledge(now, sub, m.Ack)
	case m.Compare != nil:
		return s.compare(sub, m.Compare)
	}
	return nil
}

// Tick cuts a batch if the window has passed, repeats what was not
// acknowledged and drops silent subscribers. Call it at least once per
// BatchWindow, and where Due reports true.
func (s *Source) Tick(now time.Duration) []Delivery {
	s.dropSilent(now)
	var out []Delivery
	if s.BatchDue(now) {
		s.markChanged(now)
	}
	for _, sub := range s.order {
		sub.rewind(now, s.opts.ResendAfter)
		out = s.serve(now, sub, out)
	}
	return out
}

// BatchDue reports whether changes wait and the window after the last ones has passed.
func (s *Source) BatchDue(now time.Duration) bool {
	if s.flushed == s.store.position || !s.store.whole() {
		return false
	}
	return !s.hasFlush || now-s.flushedAt >= s.opts.BatchWindow
}

// markChanged marks the subscribers for which something changed since the last
// flush.
func (s *Source) markChanged(now time.Duration) {
	from, rebuilds := s.flushed, s.rebuilds
	s.flushed, s.rebuilds = s.store.position, s.store.rebuilds
	s.hasFlush, s.flushedAt = true, now
	every := from.Epoch != s.flushed.Epoch || rebuilds != s.rebuilds
	for e := s.store.after(from.Number); e != nil && !every; e = e.next {
		for _, sub := range s.byKey[e.item.Key] {
			sub.due = true
		}
	}
	for _, sub := range s.order {
		sub.due = sub.due || every || sub.keys == nil
		if !sub.due && sub.resolved {
			sub.scanned = s.flushed.Number
		}
	}
}

// serve sends what is due to a subscriber, as far as its window allows.
func (s *Source) serve(now time.Duration, sub *subscriber, out []Delivery) []Delivery {
	for sub.due && len(sub.inflight) < s.opts.MaxInflightBatches && s.store.whole() && s.resolve(sub) {
		batch := s.next(sub)
		if batch == nil {
			return out
		}
		sub.sentAt = now
		out = append(out, Delivery{Peer: sub.peer, Message: DownstreamMessage{Session: sub.session, Batch: batch}})
	}
	return out
}

// next cuts the next batch for a subscriber. It returns nil if nothing is due
// or if the subscriber must wait for its turn to catch up.
func (s *Source) next(sub *subscriber) *Batch {
	batch := s.cut(sub)
	if batch.HasMore && !s.beginCatchUp(sub) {
		return nil
	}
	sub.scanned = batch.To.Number
	if !batch.HasMore {
		s.endCatchUp(sub)
		sub.due = false
	}
	if batch.idle(sub.keys != nil) {
		return nil
	}
	sub.inflight = append(sub.inflight, sending{from: batch.From, to: batch.To, transfer: batch.TransferID, more: batch.HasMore})
	sub.sent = batch.To
	if !batch.HasMore {
		sub.transfer = 0
	}
	return batch
}

// idle reports whether a subscriber learns nothing from b.
func (b *Batch) idle(restricted bool) bool {
	if len(b.Changes) > 0 || b.TransferID != 0 {
		return false
	}
	return b.From == b.To || restricted && b.From.Epoch == b.To.Epoch
}

func (s *Source) beginCatchUp(sub *subscriber) bool {
	if sub.catchingUp {
		return true
	}
	if s.catchUps >= s.opts.MaxCatchUps {
		return false
	}
	sub.catchingUp = true
	s.catchUps++
	return true
}

func (s *Source) endCatchUp(sub *subscriber) {
	if sub.catchingUp {
		sub.catchingUp = false
		s.catchUps--
	}
}

// cut builds the batch that follows what a subscriber was sent. Subscribers of
// every key are mostly at the same position and share it.
func (s *Source) cut(sub *subscriber) *Batch {
	shareable := sub.keys == nil && sub.transfer == 0 && sub.skipDeleted <= sub.scanned
	if b := s.shared; shareable && b != nil && b.From == sub.sent && b.To == s.store.position {
		return b
	}
	b := &Batch{From: sub.sent, To: s.store.position, TransferID: sub.transfer}
	size := 0
	for e := s.store.after(sub.scanned); e != nil; e = e.next {
		if !sub.wants(e) {
			continue
		}
		if size += e.item.size(); size > s.opts.MaxBatchBytes && len(b.Changes) > 0 {
			b.HasMore = true
			b.To.Number = b.Changes[len(b.Changes)-1].Number
			break
		}
		b.Changes = append(b.Changes, Change{Number: e.number, Item: e.item})
	}
	if b.From.Epoch != b.To.Epoch {
		b.Epochs = slices.Clone(s.store.epochs)
	}
	if shareable && !b.HasMore {
		s.shared = b
	}
	return b
}

// confirm records that everything published before a given time is held.
func (s *Source) confirm(at time.Duration) {
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed, s.confirmedAt = true, at
	}
}
