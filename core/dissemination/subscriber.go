package dissemination

import (
	"slices"
	"time"
)

// inflightBatch is a batch that was sent and not yet acknowledged.
type inflightBatch struct {
	from, to   Position
	transferID uint32
	hasMore    bool
}

// subscriber is one session of a Source.
type subscriber struct {
	peer    PeerID
	id      string
	session uint64
	isRelay bool
	keys    map[string]struct{} // nil: every key

	// ackedPosition is the latest acknowledged position. needsFullTransfer is set
	// while the subscriber cannot continue from there.
	ackedPosition     Position
	needsFullTransfer bool
	// isResolved is set once resolvePosition has determined where to continue.
	isResolved bool
	// storeTransferCount and storeMinDeltaNumber are the store's values at the time
	// when the position was resolved.
	storeTransferCount, storeMinDeltaNumber uint64
	// skipDeletedUpTo is the number up to which deletions need not be sent.
	skipDeletedUpTo uint64

	isPending      bool
	sentPosition   Position
	scannedNumber  uint64 // no unsent changes up to this number
	transferID     uint32 // current full transfer, or 0
	lastTransferID uint32
	inflight       []inflightBatch
	sentAt         time.Duration
	isCatchingUp   bool

	// unconfirmedNonce is that of the latest probe that was answered before any
	// confirmation by a quorum; 0 if there is none.
	unconfirmedNonce uint64

	receivedAt time.Duration
	applied    Position
	summary    *RelaySummary
}

func (sub *subscriber) needs(e *entry) bool {
	if e.item.Deleted && e.number <= sub.skipDeletedUpTo {
		return false
	}
	if sub.keys == nil {
		return true
	}
	_, ok := sub.keys[e.item.Key]
	return ok
}

// rewindIfUnacked resets the sent position to the start of the first unacknowledged
// batch if no batch was sent for the timeout.
func (sub *subscriber) rewindIfUnacked(now, timeout time.Duration) {
	if len(sub.inflight) == 0 || now-sub.sentAt < timeout {
		return
	}
	first := sub.inflight[0]
	sub.sentPosition, sub.scannedNumber, sub.transferID = first.from, first.from.Number, first.transferID
	sub.inflight, sub.isPending = nil, true
}

// recordAck records that the subscriber has stored every batch up to the
// acknowledged one, and its reported progress.
func (sub *subscriber) recordAck(a *Ack) {
	i := slices.IndexFunc(sub.inflight, func(s inflightBatch) bool {
		return s.to == a.Received && s.transferID == a.TransferID
	})
	for _, b := range sub.inflight[:i+1] {
		if b.transferID == 0 || !b.hasMore {
			sub.ackedPosition, sub.needsFullTransfer = b.to, false
		}
	}
	sub.inflight = slices.Delete(sub.inflight, 0, i+1)
	if a.TransferID == 0 && !sub.needsFullTransfer && a.Received.Newer(sub.ackedPosition) {
		sub.ackedPosition = a.Received
	}
	if a.Applied.Newer(sub.applied) {
		sub.applied = a.Applied
	}
	if a.Summary != nil {
		sub.summary = a.Summary
	}
}

// resolvePosition determines the position from which a subscriber continues. It
// returns false while the subscriber is ahead of the store.
func (s *Source) resolvePosition(sub *subscriber) bool {
	if sub.isResolved && sub.storeTransferCount == s.store.fullTransferCount && (sub.storeMinDeltaNumber == s.store.minDeltaNumber || sub.scannedNumber >= s.store.minDeltaNumber) {
		return true
	}
	if sub.ackedPosition.Newer(s.store.resumePosition) {
		return false
	}
	sub.isResolved, sub.storeTransferCount, sub.storeMinDeltaNumber = true, s.store.fullTransferCount, s.store.minDeltaNumber
	sub.inflight, sub.transferID = nil, 0
	s.endCatchUp(sub)
	n, ok := s.store.lastCommonNumber(sub.ackedPosition)
	switch {
	case sub.ackedPosition == Position{} && !sub.needsFullTransfer:
		sub.sentPosition, sub.scannedNumber, sub.skipDeletedUpTo = Position{}, 0, s.store.resumePosition.Number
	case ok && !sub.needsFullTransfer:
		sub.sentPosition, sub.scannedNumber = Position{Epoch: sub.ackedPosition.Epoch, Number: n}, n
	default:
		sub.needsFullTransfer = true
		sub.lastTransferID++
		sub.sentPosition, sub.scannedNumber, sub.transferID = Position{}, 0, sub.lastTransferID
		sub.skipDeletedUpTo = s.store.resumePosition.Number
	}
	return true
}

func (s *Source) handleSubscribe(now time.Duration, peer PeerID, session uint64, m *Subscribe) []Delivery {
	if old, ok := s.subscribersByPeer[peer]; ok && old.session >= session {
		return nil
	}
	s.removeSubscriber(peer)
	if old, ok := s.subscribersByID[m.DaemonID]; ok {
		s.removeSubscriber(old.peer)
	}
	if len(s.subscribers) >= s.opts.MaxSubscribers {
		return []Delivery{{Peer: peer, Message: DownstreamMessage{Session: session, Refusal: &Refusal{RetryAfter: s.randomRetryAfter()}}}}
	}
	sub := &subscriber{
		peer: peer, id: m.DaemonID, session: session, isRelay: m.IsRelay,
		ackedPosition: m.Position, needsFullTransfer: m.FullTransfer, isPending: true, receivedAt: now,
	}
	if len(m.Keys) > 0 {
		sub.keys = make(map[string]struct{}, len(m.Keys))
		for _, key := range m.Keys {
			sub.keys[key] = struct{}{}
		}
		for key := range sub.keys {
			s.subscribersByKey[key] = append(s.subscribersByKey[key], sub)
		}
	}
	s.disconnected = slices.DeleteFunc(s.disconnected, func(d disconnectedDaemon) bool { return d.id == m.DaemonID })
	s.subscribersByPeer[peer], s.subscribersByID[m.DaemonID] = sub, sub
	s.subscribers = append(s.subscribers, sub)
	return s.sendBatches(now, sub, nil)
}

// randomRetryAfter returns a delay uniformly distributed between 0.5 and 1.5 times
// SourceOptions.RetryAfter.
func (s *Source) randomRetryAfter() time.Duration {
	return s.opts.RetryAfter/2 + time.Duration(s.opts.Rand.Int64N(int64(s.opts.RetryAfter)))
}

// Disconnect ends the session of a lost connection.
func (s *Source) Disconnect(now time.Duration, peer PeerID) {
	if sub, ok := s.subscribersByPeer[peer]; ok {
		s.recordDisconnected(now, sub)
		s.removeSubscriber(peer)
	}
}

func (s *Source) removeSubscriber(peer PeerID) {
	sub, ok := s.subscribersByPeer[peer]
	if !ok {
		return
	}
	s.endCatchUp(sub)
	delete(s.subscribersByPeer, peer)
	delete(s.subscribersByID, sub.id)
	isRemoved := func(o *subscriber) bool { return o == sub }
	s.subscribers = slices.DeleteFunc(s.subscribers, isRemoved)
	for key := range sub.keys {
		s.subscribersByKey[key] = slices.DeleteFunc(s.subscribersByKey[key], isRemoved)
		if len(s.subscribersByKey[key]) == 0 {
			delete(s.subscribersByKey, key)
		}
	}
}

func (s *Source) disconnectTimedOut(now time.Duration) {
	for _, sub := range slices.Clone(s.subscribers) {
		if now-sub.receivedAt >= s.opts.SubscriberTimeout {
			s.Disconnect(now, sub.peer)
		}
	}
	s.disconnected = slices.DeleteFunc(s.disconnected, func(d disconnectedDaemon) bool {
		return now-d.disconnectedAt >= s.opts.DisconnectedRetention
	})
}

func (s *Source) handleAck(now time.Duration, sub *subscriber, a *Ack) []Delivery {
	sub.receivedAt = now
	sub.recordAck(a)
	s.recordNewerVersions(a.NewerVersions)
	out := s.sendBatches(now, sub, nil)
	if a.Nonce == 0 {
		return out
	}
	if !s.isConfirmed {
		sub.unconfirmedNonce = a.Nonce
	}
	return append(out, s.deliverStatus(now, sub, a.Nonce))
}

// answerUnconfirmed appends a second answer to a probe that was answered before any
// confirmation, once there is one: the subscriber need not wait for its next probe.
func (s *Source) answerUnconfirmed(now time.Duration, sub *subscriber, out []Delivery) []Delivery {
	if !s.isConfirmed || sub.unconfirmedNonce == 0 {
		return out
	}
	nonce := sub.unconfirmedNonce
	sub.unconfirmedNonce = 0
	return append(out, s.deliverStatus(now, sub, nonce))
}

func (s *Source) deliverStatus(now time.Duration, sub *subscriber, nonce uint64) Delivery {
	status := s.newStatus(now, sub, nonce)
	return Delivery{Peer: sub.peer, Message: DownstreamMessage{Session: sub.session, Status: status}}
}

func (s *Source) newStatus(now time.Duration, sub *subscriber, nonce uint64) *Status {
	st := &Status{Nonce: nonce, Head: s.store.completePosition}
	if s.isConfirmed {
		st.Confirmed, st.ConfirmationAge = true, addClockRateError(now-s.confirmedAt)
	}
	isCaughtUp := !sub.isPending && sub.isResolved && len(sub.inflight) == 0 && sub.storeTransferCount == s.store.fullTransferCount
	if !isCaughtUp || !s.store.isComplete() {
		return st
	}
	st.From, st.To = sub.sentPosition, s.flushedPosition
	if s.flushedPosition == s.store.resumePosition {
		st.HasDigest, st.Digest = true, digest(s.bucketDigestsFor(sub))
	}
	return st
}

// clockRateErrorDivisor is the reciprocal of the assumed maximum relative difference
// between the rates of two clocks.
const clockRateErrorDivisor = 1000

// addClockRateError increases an age by the maximum clock rate error, so that it is
// not too low on another clock.
func addClockRateError(age time.Duration) time.Duration { return age + age/clockRateErrorDivisor }
