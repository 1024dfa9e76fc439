// Package locator keeps the owners of flows findable after a view has moved on.
// Each owner pushes pointers to the agents that packets of its flows may reach:
// the pick of the newest view and the agents that would replace it. Pointers
// can be rebuilt by their owner at any time; losing one costs a relay.
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

// PointerSize is the length of one pointer in a batch, in bytes.
const PointerSize = 16

// Batch carries pointers from one agent to another.
type Batch struct {
	// Sequence is acknowledged by the receiver; 0 asks for no acknowledgement.
	Sequence uint64         `cbor:"1,keyasint"`
	Service  view.ServiceID `cbor:"2,keyasint"`
	// From is the sender.
	From flow.Peer `cbor:"3,keyasint"`
	// Owner holds the flows; the sender itself, unless Sequence is 0.
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

// FlowTable is the flow table whose owned flows are pushed.
type FlowTable interface {
	// ForEachOwned calls f with every owned flow until f returns false.
	ForEachOwned(f func(flow.ID) bool)
	// Owns reports whether the flow is still owned.
	Owns(flow.ID) bool
}

// Options configure a Pusher. Zero durations and counts take defaults.
type Options struct {
	// Self is this run of the agent.
	Self flow.Peer
	// Flows is the agent's flow table.
	Flows FlowTable
	// BatchSize is the number of pointers in a batch at most.
	BatchSize int
	// BatchesPerTick is the number of batches that one Tick sends at most, which
	// bounds the rate of pushing.
	BatchesPerTick int
	// RetryDelay is the wait for an acknowledgement before the first resend. It
	// doubles with each resend up to RetryLimit.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// RefreshInterval is the time between pushes of all pointers.
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

// Stats are a Pusher's counts since its start.
type Stats struct {
	Pointers       uint64 // pointers sent, resends included
	Batches        uint64 // batches sent, resends included
	Resends        uint64 // batches sent again
	AnswerPointers uint64 `json:"Told"` // pointers sent in answer to a question
	Acked          uint64 // batches acknowledged
}

// Pusher pushes the pointers of one agent. Its methods may be called from
// several goroutines. Times are durations since any fixed start.
type Pusher struct {
	options  Options
	mu       sync.Mutex
	view     *view.View
	holders  map[uint64]*holder
	told     map[tellKey]*Batch
	sequence uint64
	refresh  time.Duration
	stats    Stats
}

// holder is an agent that pointers are pushed to.
type holder struct {
	peer    flow.Peer
	pending []flow.ID
	sent    []sentBatch
}

type sentBatch struct {
	sequence uint64
	flows    []flow.ID
	due      time.Duration
	wait     time.Duration
}

// tellKey groups answers by receiver and owner.
type tellKey struct {
	to    flow.Peer
	owner flow.Peer
}

// NewPusher returns a Pusher without a view.
func NewPusher(o Options) *Pusher {
	o.setDefaults()
	return &Pusher{options: o, holders: make(map[uint64]*holder), told: make(map[tellKey]*Batch)}
}

// AppendPointerHolders appends to peers the agents of v that are to hold pointers to a flow
// that self owns: the pick, the second choice, and the first choice outside the
// pick's availability zone, so that the loss of the pick or of its zone leads
// to an agent with a pointer. A flow that is owned by its pick needs none.
func AppendPointerHolders(peers []flow.Peer, key uint64, v *view.View, self uint64) []flow.Peer {
	first, second := placement.PickTwo(key, v)
	if first == placement.None || v.Seed(first) == self {
		return peers
	}
	peers = append(peers, flow.PeerOf(v, first))
	if second == placement.None {
		return peers
	}
	if v.Seed(second) != self {
		peers = append(peers, flow.PeerOf(v, second))
	}
	if v.Members[first].Zone != v.Members[second].Zone {
		return peers
	}
	outside := placement.PickOutsideZone(key, v, v.Members[first].Zone)
	if outside != placement.None && v.Seed(outside) != self {
		peers = append(peers, flow.PeerOf(v, outside))
	}
	return peers
}

// SetView adopts v if it is newer than the view in force, and queues the
// pointers that v requires and the view before did not.
func (p *Pusher) SetView(now time.Duration, v *view.View) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view
	if old != nil && !v.Version.Newer(old.Version) {
		return false
	}
	p.view = v
	if old == nil {
		p.refresh = now + p.options.RefreshInterval
	}
	p.retarget()
	var required, held []flow.Peer
	p.options.Flows.ForEachOwned(func(id flow.ID) bool {
		held = held[:0]
		if old != nil {
			held = AppendPointerHolders(held, id.Key, old, p.options.Self.Seed)
		}
		required = AppendPointerHolders(required[:0], id.Key, v, p.options.Self.Seed)
		for _, peer := range required {
			if !slices.Contains(held, peer) {
				p.queue(peer, id)
			}
		}
		return true
	})
	return true
}

// retarget forgets holders that have left the view and restarts the pushing to
// those that run anew.
func (p *Pusher) retarget() {
	for seed, h := range p.holders {
		i := p.view.IndexOfSeed(seed)
		if i < 0 || p.view.Members[i].State == view.Gone {
			delete(p.holders, seed)
			continue
		}
		h.peer = flow.PeerOf(p.view, i)
	}
}

func (p *Pusher) queue(to flow.Peer, id flow.ID) {
	h := p.holders[to.Seed]
	if h == nil {
		h = &holder{peer: to}
		p.holders[to.Seed] = h
	}
	h.pending = append(h.pending, id)
}

// AddFlow queues the pointers of a flow that the agent has just taken.
func (p *Pusher) AddFlow(id flow.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return
	}
	var buf [3]flow.Peer
	for _, peer := range AppendPointerHolders(buf[:0], id.Key, p.view, p.options.Self.Seed) {
		p.queue(peer, id)
	}
}

// QueueAnswer queues an answer: to learns that owner holds the flow.
func (p *Pusher) QueueAnswer(to, owner flow.Peer, id flow.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := tellKey{to: to, owner: owner}
	b := p.told[key]
	if b == nil {
		b = &Batch{From: p.options.Self, Owner: owner}
		p.told[key] = b
	}
	if len(b.Flows) < p.options.BatchSize && !slices.Contains(b.Flows, id) {
		b.Flows = append(b.Flows, id)
	}
}

// HandleAck notes an acknowledgement.
func (p *Pusher) HandleAck(a Ack) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.holders[a.From.Seed]
	if h == nil || h.peer.Incarnation != a.From.Incarnation {
		return
	}
	h.sent = slices.DeleteFunc(h.sent, func(s sentBatch) bool {
		if s.sequence == a.Sequence {
			p.stats.Acked++
			return true
		}
		return false
	})
}

// Tick returns the batches that are due.
func (p *Pusher) Tick(now time.Duration) []Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return nil
	}
	if now >= p.refresh {
		p.refresh = now + p.options.RefreshInterval
		p.requeue()
	}
	var out []Message
	out = p.answers(out)
	limit := len(out) + p.options.BatchesPerTick
	for _, seed := range slices.Sorted(maps.Keys(p.holders)) {
		h := p.holders[seed]
		out = p.resend(out, h, now, limit)
		out = p.send(out, h, now, limit)
	}
	return out
}

// answers appends the batches of Tell.
func (p *Pusher) answers(out []Message) []Message {
	for key, b := range p.told {
		b.Service = p.view.Service
		out = append(out, Message{To: key.to, Batch: *b})
		p.stats.AnswerPointers += uint64(len(b.Flows))
	}
	clear(p.told)
	slices.SortFunc(out, func(a, b Message) int {
		if c := cmp.Compare(a.To.Seed, b.To.Seed); c != 0 {
			return c
		}
		return cmp.Compare(a.Batch.Owner.Seed, b.Batch.Owner.Seed)
	})
	return out
}

// requeue queues every pointer that the view in force requires.
func (p *Pusher) requeue() {
	var required []flow.Peer
	p.options.Flows.ForEachOwned(func(id flow.ID) bool {
		required = AppendPointerHolders(required[:0], id.Key, p.view, p.options.Self.Seed)
		for _, peer := range required {
			p.queue(peer, id)
		}
		return true
	})
}

// resend appends the batches that have waited too long for their
// acknowledgement, without the flows that have ended.
func (p *Pusher) resend(out []Message, h *holder, now time.Duration, limit int) []Message {
	for i := range h.sent {
		s := &h.sent[i]
		if now < s.due || len(out) >= limit {
			continue
		}
		s.flows = slices.DeleteFunc(s.flows, func(id flow.ID) bool { return !p.options.Flows.Owns(id) })
		s.wait = min(2*s.wait, p.options.MaxRetryDelay)
		s.due = now + s.wait
		if len(s.flows) > 0 {
			p.stats.Resends++
			out = append(out, p.message(h, s))
		}
	}
	h.sent = slices.DeleteFunc(h.sent, func(s sentBatch) bool { return len(s.flows) == 0 })
	return out
}

// send appends batches of the pending pointers until out holds limit messages.
func (p *Pusher) send(out []Message, h *holder, now time.Duration, limit int) []Message {
	for len(h.pending) > 0 && len(out) < limit {
		n := min(len(h.pending), p.options.BatchSize)
		p.sequence++
		s := sentBatch{
			sequence: p.sequence, flows: slices.Clone(h.pending[:n]),
			due: now + p.options.RetryDelay, wait: p.options.RetryDelay,
		}
		h.pending = h.pending[n:]
		h.sent = append(h.sent, s)
		out = append(out, p.message(h, &s))
	}
	if len(h.pending) == 0 {
		h.pending = nil
	}
	return out
}

func (p *Pusher) message(h *holder, s *sentBatch) Message {
	p.stats.Batches++
	p.stats.Pointers += uint64(len(s.flows))
	return Message{To: h.peer, Batch: Batch{
		Sequence: s.sequence,
		Service:  p.view.Service,
		From:     p.options.Self,
		Owner:    p.options.Self,
		Flows:    slices.Clone(s.flows),
	}}
}

// Stats returns the counts.
func (p *Pusher) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// UnacknowledgedPointers returns the number of pointers sent or queued whose receipt is
// not known.
func (p *Pusher) UnacknowledgedPointers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.holders {
		n += len(h.pending)
		for _, s := range h.sent {
			n += len(s.flows)
		}
	}
	return n
}
