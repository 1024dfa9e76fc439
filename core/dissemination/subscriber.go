package dissemination

import (
	"slices"
	"time"
)

// sending is a batch that was sent and not acknowledged.
type sending struct {
	from, to Position
	transfer uint32
	more     bool
}

// subscriber is one session of a Source.
type subscriber struct {
	peer    PeerID
	id      string
	session uint64
	relay   bool
	keys    map[string]struct{} // nil: every key

	// start is the last position that the subscriber holds for certain; rebuild
	// is set while it cannot continue from there.
	start    Position
	rebuild  bool
	resolved bool
	// rebuilds and floor are those of the store when the position was resolved.
	rebuilds, floor uint64
	// skipDeleted is the number up to which the subscriber needs no deletions.
	skipDeleted uint64

	due        bool
	sent       Position
	scanned    uint64 // nothing is due up to this number
	transfer   uint32 // the whole-state transfer under way, or 0
	transfers  uint32
	inflight   []sending
	sentAt     time.Duration
	catchingUp bool

	heardAt time.Duration
	inForce Position
	summary *RelaySummary
}

func (sub *subscriber) wants(e *entry) bool {
	if e.item.Deleted && e.number <= sub.skipDeleted {
		return false
	}
	if sub.keys == nil {
		return true
	}
	_, ok := sub.keys[e.item.Key]
	return ok
}

// rewind goes back to the first batch that was not acknowledged in time.
func (sub *subscriber) rewind(now, after time.Duration) {
	if len(sub.inflight) == 0 || now-sub.sentAt < after {
		return
	}
	first := sub.inflight[0]
	sub.sent, sub.scanned, sub.transfer = first.from, first.from.Number, first.transfer
	sub.inflight, sub.due = nil, true
}

// take records that everything up to a batch has arrived.
func (sub *subscriber) take(a *Ack) {
	i := slices.IndexFunc(sub.inflight, func(s sending) bool {
		return s.to == a.Received && s.transfer == a.TransferID
	})
	for _, b := range sub.inflight[:i+1] {
		if b.transfer == 0 || !b.more {
			sub.start, sub.rebuild = b.to, false
		}
	}
	sub.inflight = slices.Delete(sub.inflight, 0, i+1)
	if a.TransferID == 0 && !sub.rebuild && a.Received.Newer(sub.start) {
		sub.start = a.Received
	}
	if a.Applied.Newer(sub.inForce) {
		sub.inForce = a.Applied
	}
	if a.Summary != nil {
		sub.summary = a.Summary
	}
}

// resolve finds where a subscriber continues. It returns false while the
// subscriber is ahead of the store.
func (s *Source) resolve(sub *subscriber) bool {
	if sub.resolved && sub.rebuilds == s.store.rebuilds && (sub.floor == s.store.floor || sub.scanned >= s.store.floor) {
		return true
	}
	if sub.start.Newer(s.store.position) {
		return false
	}
	sub.resolved, sub.rebuilds, sub.floor = true, s.store.rebuilds, s.store.floor
	sub.inflight, sub.transfer = nil, 0
	s.endCatchUp(sub)
	n, ok := s.store.ancestor(sub.start)
	switch {
	case sub.start == Position{} && !sub.rebuild:
		sub.sent, sub.scanned, sub.skipDeleted = Position{}, 0, s.store.position.Number
	case ok && !sub.rebuild:
		sub.sent, sub.scanned = Position{Epoch: sub.start.Epoch, Number: n}, n
	default:
		sub.rebuild = true
		sub.transfers++
		sub.sent, sub.scanned, sub.transfer = Position{}, 0, sub.transfers
		sub.skipDeleted = s.store.position.Number
	}
	return true
}

func (s *Source) subscribe(now time.Duration, peer PeerID, session uint64, m *Subscribe) []Delivery {
	if old, ok := s.peers[peer]; ok && old.session >= session {
		return nil
	}
	s.remove(peer)
	if old, ok := s.byID[m.DaemonID]; ok {
		s.remove(old.peer)
	}
	if len(s.order) >= s.opts.MaxSubscribers {
		return []Delivery{{Peer: peer, Message: DownstreamMessage{Session: session, Refusal: &Refusal{RetryAfter: s.retryAfter()}}}}
	}
	sub := &subscriber{
		peer: peer, id: m.DaemonID, session: session, relay: m.IsRelay,
		start: m.Position, rebuild: m.FullTransfer, due: true, heardAt: now,
	}
	if len(m.Keys) > 0 {
		sub.keys = make(map[string]struct{}, len(m.Keys))
		for _, key := range m.Keys {
			sub.keys[key] = struct{}{}
		}
		for key := range sub.keys {
			s.byKey[key] = append(s.byKey[key], sub)
		}
	}
	s.departed = slices.DeleteFunc(s.departed, func(d departedDaemon) bool { return d.id == m.DaemonID })
	s.peers[peer], s.byID[m.DaemonID] = sub, sub
	s.order = append(s.order, sub)
	return s.serve(now, sub, nil)
}

// retryAfter is uniform between a half and one and a half of the mean.
func (s *Source) retryAfter() time.Duration {
	return s.opts.RetryAfter/2 + time.Duration(s.opts.Rand.Int64N(int64(s.opts.RetryAfter)))
}

// Disconnect ends the session of a connection that was lost.
func (s *Source) Disconnect(now time.Duration, peer PeerID) {
	if sub, ok := s.peers[peer]; ok {
		s.remember(now, sub)
		s.remove(peer)
	}
}

func (s *Source) remove(peer PeerID) {
	sub, ok := s.peers[peer]
	if !ok {
		return
	}
	s.endCatchUp(sub)
	delete(s.peers, peer)
	delete(s.byID, sub.id)
	same := func(o *subscriber) bool { return o == sub }
	s.order = slices.DeleteFunc(s.order, same)
	for key := range sub.keys {
		s.byKey[key] = slices.DeleteFunc(s.byKey[key], same)
		if len(s.byKey[key]) == 0 {
			delete(s.byKey, key)
		}
	}
}

func (s *Source) dropSilent(now time.Duration) {
	for _, sub := range slices.Clone(s.order) {
		if now-sub.heardAt >= s.opts.SubscriberTimeout {
			s.Disconnect(now, sub.peer)
		}
	}
	s.departed = slices.DeleteFunc(s.departed, func(d departedDaemon) bool {
		return now-d.at >= s.opts.DisconnectedRetention
	})
}

func (s *Source) acknowledge(now time.Duration, sub *subscriber, a *Ack) []Delivery {
	sub.heardAt = now
	sub.take(a)
	s.noteAhead(a.NewerVersions)
	out := s.serve(now, sub, nil)
	if a.Nonce == 0 {
		return out
	}
	status := s.status(now, sub, a.Nonce)
	return append(out, Delivery{Peer: sub.peer, Message: DownstreamMessage{Session: sub.session, Status: status}})
}

func (s *Source) status(now time.Duration, sub *subscriber, nonce uint64) *Status {
	st := &Status{Nonce: nonce, Head: s.store.complete}
	if s.confirmed {
		st.Confirmed, st.ConfirmationAge = true, widen(now-s.confirmedAt)
	}
	idle := !sub.due && sub.resolved && len(sub.inflight) == 0 && sub.rebuilds == s.store.rebuilds
	if !idle || !s.store.whole() {
		return st
	}
	st.From, st.To = sub.sent, s.flushed
	if s.flushed == s.store.position {
		st.HasDigest, st.Digest = true, digest(s.bucketsFor(sub))
	}
	return st
}

// clockRateError is the divisor of the greatest relative error between the
// rates of two clocks, as a share of the time measured.
const clockRateError = 1000

// widen returns an age that holds on any clock within the rate error.
func widen(age time.Duration) time.Duration { return age + age/clockRateError }
