// Package locator distributes pointers to the owners of flows, so that packets of a
// flow reach its owner after the view has changed. Each owner pushes pointers to the
// agents that packets of its flows may reach: the agent that the newest view places the
// flow on, and the agents that would replace it. Pointers are soft state that the owner
// can push again at any time; a missing pointer costs one relay.
package locator

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// PointerSize is the encoded size of one pointer in a batch, in bytes.
const PointerSize = 16

// Batch carries pointers from one agent to another.
type Batch struct {
	// Sequence is the number that the receiver acknowledges; 0 requests no
	// acknowledgement.
	Sequence uint64         `cbor:"1,keyasint"`
	Service  view.ServiceID `cbor:"2,keyasint"`
	// From is the sender.
	From flow.Peer `cbor:"3,keyasint"`
	// Owner is the owner of the flows. It is the sender, except in an answer, which has
	// Sequence 0 and may name another owner.
	Owner flow.Peer `cbor:"4,keyasint"`
	Flows []flow.ID `cbor:"5,keyasint"`
}

// Ack acknowledges a batch.
type Ack struct {
	Sequence uint64    `cbor:"1,keyasint"`
	From     flow.Peer `cbor:"2,keyasint"`
}

// Message is a batch and its receiver.
type Message struct {
	To    flow.Peer
	Batch Batch
}

// FlowTable is the flow table whose owned flows a Pusher pushes pointers for.
type FlowTable interface {
	// ForEachOwned calls f for each owned flow until f returns false.
	ForEachOwned(f func(flow.ID) bool)
	// Owns reports whether the flow is still owned.
	Owns(flow.ID) bool
}

// Options configure a Pusher. Zero durations and counts select the defaults.
type Options struct {
	// Self is the current incarnation of the agent.
	Self flow.Peer
	// Flows is the agent's flow table.
	Flows FlowTable
	// BatchSize is the maximum number of pointers in a batch.
	BatchSize int
	// BatchesPerTick is the maximum number of batches that one Tick pushes or resends,
	// which limits the rate of pushing. Answers are sent in addition.
	BatchesPerTick int
	// RetryDelay is the delay before the first resend of an unacknowledged batch. It
	// doubles with each resend up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// RefreshInterval is the interval between pushes of all pointers.
	RefreshInterval time.Duration
}

func (o *Options) setDefaults() {
	if o.BatchSize == 0 {
		o.BatchSize = 64
	}
	if o.BatchesPerTick == 0 {
		o.BatchesPerTick = 8
	}
	if o.RetryDelay == 0 {
		o.RetryDelay = 200 * time.Millisecond
	}
	if o.MaxRetryDelay == 0 {
		o.MaxRetryDelay = 5 * time.Second
	}
	if o.RefreshInterval == 0 {
		o.RefreshInterval = 4 * time.Minute
	}
}

// Stats are a Pusher's counters since its start.
type Stats struct {
	Pointers       uint64 // pointers pushed, including resends
	Batches        uint64 // batches pushed, including resends
	Resends        uint64 // batches resent
	AnswerPointers uint64 `json:"Told"` // pointers sent by QueueAnswer
	Acked          uint64 // batches acknowledged
}

// Pusher pushes the pointers of one agent. It is safe for concurrent use. Times are
// durations since an arbitrary fixed start.
type Pusher struct {
	options     Options
	mu          sync.Mutex
	view        *view.View
	holders     map[uint64]*holder
	answers     map[answerKey]*Batch
	sequence    uint64
	nextRefresh time.Duration
	stats       Stats
}

// holder is an agent that pointers are pushed to.
type holder struct {
	peer    flow.Peer
	queued  []flow.ID
	unacked []unackedBatch
	// pending holds the flows in queued and unacked. A holder that never acknowledges
	// collects each pointer once.
	pending map[flow.ID]struct{}
}

type unackedBatch struct {
	sequence   uint64
	flows      []flow.ID
	resendAt   time.Duration
	retryDelay time.Duration
}

// answerKey groups answers by receiver and owner.
type answerKey struct {
	to    flow.Peer
	owner flow.Peer
}

// NewPusher returns a Pusher without a view.
func NewPusher(o Options) *Pusher {
	o.setDefaults()
	return &Pusher{options: o, holders: make(map[uint64]*holder), answers: make(map[answerKey]*Batch)}
}

// AppendPointerHolders appends to peers the agents of v that must hold pointers to a
// flow owned by the agent with selfSeed: the first and the second choice of placement,
// and the first choice outside the availability zone of the first, so that after the
// loss of that agent or its zone packets reach an agent with a pointer. A flow that is
// owned by its first choice needs no pointers.
func AppendPointerHolders(peers []flow.Peer, key uint64, v *view.View, selfSeed uint64) []flow.Peer {
	first, second := placement.PickTwo(key, v)
	if first == placement.None || v.Seed(first) == selfSeed {
		return peers
	}
	peers = append(peers, flow.PeerOf(v, first))
	if second == placement.None {
		return peers
	}
	if v.Seed(second) != selfSeed {
		peers = append(peers, flow.PeerOf(v, second))
	}
	if v.Members[first].Zone != v.Members[second].Zone {
		return peers
	}
	outside := placement.PickOutsideZone(key, v, v.Members[first].Zone)
	if outside != placement.None && v.Seed(outside) != selfSeed {
		peers = append(peers, flow.PeerOf(v, outside))
	}
	return peers
}

// SetView adopts v if it is newer than the current view, and queues the pointers that v
// requires and the previous view did not. These include all pointers for an agent with a
// new incarnation, as it has lost those of the earlier one.
func (p *Pusher) SetView(now time.Duration, v *view.View) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view
	if old != nil && !v.Version.Newer(old.Version) {
		return false
	}
	p.view = v
	if old == nil {
		p.nextRefresh = now + p.options.RefreshInterval
	}
	p.updateHolders()
	var required, previous []flow.Peer
	p.options.Flows.ForEachOwned(func(id flow.ID) bool {
		previous = previous[:0]
		if old != nil {
			previous = AppendPointerHolders(previous, id.Key, old, p.options.Self.Seed)
		}
		required = AppendPointerHolders(required[:0], id.Key, v, p.options.Self.Seed)
		for _, peer := range required {
			if !slices.Contains(previous, peer) {
				p.enqueue(peer, id)
			}
		}
		return true
	})
	return true
}

// updateHolders deletes the holders that are gone from the view, and directs the batches
// for the others to their current incarnations.
func (p *Pusher) updateHolders() {
	for seed, h := range p.holders {
		i := p.view.IndexOfSeed(seed)
		if i < 0 || p.view.Members[i].State == view.Gone {
			delete(p.holders, seed)
			continue
		}
		next := flow.PeerOf(p.view, i)
		if next.Incarnation != h.peer.Incarnation {
			h.resendAll(p.options.RetryDelay)
		}
		h.peer = next
	}
}

// resendAll makes all batches due for a new incarnation of the holder.
func (h *holder) resendAll(retryDelay time.Duration) {
	for i := range h.unacked {
		h.unacked[i].resendAt, h.unacked[i].retryDelay = 0, retryDelay
	}
}

// forget removes flows from pending.
func (h *holder) forget(ids ...flow.ID) {
	for _, id := range ids {
		delete(h.pending, id)
	}
}

func (p *Pusher) enqueue(to flow.Peer, id flow.ID) {
	h := p.holders[to.Seed]
	if h == nil {
		h = &holder{peer: to, pending: make(map[flow.ID]struct{})}
		p.holders[to.Seed] = h
	}
	if _, isPending := h.pending[id]; isPending {
		return
	}
	h.pending[id] = struct{}{}
	h.queued = append(h.queued, id)
}

// AddFlow queues the pointers of a flow that the agent has just become the owner of.
func (p *Pusher) AddFlow(id flow.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return
	}
	var buf [3]flow.Peer
	for _, peer := range AppendPointerHolders(buf[:0], id.Key, p.view, p.options.Self.Seed) {
		p.enqueue(peer, id)
	}
}

// QueueAnswer queues a pointer to owner for the agent that has queried the owner of a
// flow. It is sent once, without an acknowledgement. Pointers beyond BatchSize for one
// receiver and owner are dropped until the next Tick.
func (p *Pusher) QueueAnswer(to, owner flow.Peer, id flow.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := answerKey{to: to, owner: owner}
	b := p.answers[key]
	if b == nil {
		b = &Batch{From: p.options.Self, Owner: owner}
		p.answers[key] = b
	}
	if len(b.Flows) < p.options.BatchSize && !slices.Contains(b.Flows, id) {
		b.Flows = append(b.Flows, id)
	}
}

// HandleAck processes an acknowledgement.
func (p *Pusher) HandleAck(a Ack) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.holders[a.From.Seed]
	if h == nil || h.peer.Incarnation != a.From.Incarnation {
		return
	}
	h.unacked = slices.DeleteFunc(h.unacked, func(b unackedBatch) bool {
		if b.sequence == a.Sequence {
			p.stats.Acked++
			h.forget(b.flows...)
			return true
		}
		return false
	})
}

// Tick returns the batches to send now.
func (p *Pusher) Tick(now time.Duration) []Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return nil
	}
	if now >= p.nextRefresh {
		p.nextRefresh = now + p.options.RefreshInterval
		p.enqueueAll()
	}
	var out []Message
	out = p.appendAnswers(out)
	limit := len(out) + p.options.BatchesPerTick
	for _, seed := range slices.Sorted(maps.Keys(p.holders)) {
		h := p.holders[seed]
		out = p.appendResends(out, h, now, limit)
		out = p.appendBatches(out, h, now, limit)
	}
	return out
}

// appendAnswers appends the batches of QueueAnswer, in a fixed order.
func (p *Pusher) appendAnswers(out []Message) []Message {
	for key, b := range p.answers {
		b.Service = p.view.Service
		out = append(out, Message{To: key.to, Batch: *b})
		p.stats.AnswerPointers += uint64(len(b.Flows))
	}
	clear(p.answers)
	slices.SortFunc(out, func(a, b Message) int {
		if c := cmp.Compare(a.To.Seed, b.To.Seed); c != 0 {
			return c
		}
		return cmp.Compare(a.Batch.Owner.Seed, b.Batch.Owner.Seed)
	})
	return out
}

// enqueueAll queues every pointer that the current view requires.
func (p *Pusher) enqueueAll() {
	var required []flow.Peer
	p.options.Flows.ForEachOwned(func(id flow.ID) bool {
		required = AppendPointerHolders(required[:0], id.Key, p.view, p.options.Self.Seed)
		for _, peer := range required {
			p.enqueue(peer, id)
		}
		return true
	})
}

// appendResends appends the batches whose acknowledgement is overdue, without the flows
// that are no longer owned.
func (p *Pusher) appendResends(out []Message, h *holder, now time.Duration, limit int) []Message {
	for i := range h.unacked {
		b := &h.unacked[i]
		if now < b.resendAt || len(out) >= limit {
			continue
		}
		b.flows = slices.DeleteFunc(b.flows, func(id flow.ID) bool {
			if p.options.Flows.Owns(id) {
				return false
			}
			h.forget(id)
			return true
		})
		b.retryDelay = min(2*b.retryDelay, p.options.MaxRetryDelay)
		b.resendAt = now + b.retryDelay
		if len(b.flows) > 0 {
			p.stats.Resends++
			out = append(out, p.newMessage(h, b))
		}
	}
	h.unacked = slices.DeleteFunc(h.unacked, func(b unackedBatch) bool { return len(b.flows) == 0 })
	return out
}

// appendBatches appends batches of the queued pointers until out has limit messages.
func (p *Pusher) appendBatches(out []Message, h *holder, now time.Duration, limit int) []Message {
	for len(h.queued) > 0 && len(out) < limit {
		n := min(len(h.queued), p.options.BatchSize)
		p.sequence++
		b := unackedBatch{
			sequence: p.sequence, flows: slices.Clone(h.queued[:n]),
			resendAt: now + p.options.RetryDelay, retryDelay: p.options.RetryDelay,
		}
		h.queued = h.queued[n:]
		h.unacked = append(h.unacked, b)
		out = append(out, p.newMessage(h, &b))
	}
	if len(h.queued) == 0 {
		h.queued = nil
	}
	return out
}

// newMessage returns a batch as a message and counts it.
func (p *Pusher) newMessage(h *holder, b *unackedBatch) Message {
	p.stats.Batches++
	p.stats.Pointers += uint64(len(b.flows))
	return Message{To: h.peer, Batch: Batch{
		Sequence: b.sequence,
		Service:  p.view.Service,
		From:     p.options.Self,
		Owner:    p.options.Self,
		Flows:    slices.Clone(b.flows),
	}}
}

// Stats returns the counters.
func (p *Pusher) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// UnacknowledgedPointers returns the number of pointers that are queued or sent without
// an acknowledgement.
func (p *Pusher) UnacknowledgedPointers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.holders {
		n += len(h.queued)
		for _, b := range h.unacked {
			n += len(b.flows)
		}
	}
	return n
}
