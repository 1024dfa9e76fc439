package attempt

import (
	"time"

	"fulmarmount.org/core/view"
)

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	// Incarnation is the incarnation of the agent.
	Incarnation view.Incarnation
	// Retention is how long an attempt is stored after its end. It must exceed
	// the longest timeout of any request.
	Retention time.Duration
	// MaxAttempts bounds the stored attempts that run or ran.
	MaxAttempts int
	// MaxFences bounds the stored attempts that never ran. Beyond it the oldest
	// are evicted.
	MaxFences int
	// MaxResponseBytes bounds the size of a response that is stored.
	MaxResponseBytes int
	// MaxTotalBytes bounds the size of all stored responses.
	MaxTotalBytes int
}

// Verdict is an agent's decision about an attempt that arrived.
type Verdict uint8

// The verdicts of Registry.Begin.
const (
	VerdictRun     Verdict = iota // run it
	VerdictFenced                 // rejected; it never runs
	VerdictUnknown                // rejected; its state is unknown
	VerdictFull                   // rejected because the registry is full; it never runs
)

// Response is a complete response of a backend server.
type Response struct {
	Status int
	// Header holds the header fields in the encoding of the caller of Registry.
	Header []byte
	Body   []byte
}

func (r *Response) size() int { return len(r.Header) + len(r.Body) }

// Arrival is an attempt that reached an agent.
type Arrival struct {
	ID          ID
	Incarnation view.Incarnation
	// Key and Digest are set for requests with an Idempotency-Key.
	Key    string
	Digest Digest
	// Deadline is a time of the agent's clock.
	Deadline time.Time
}

type record struct {
	id       ID
	state    State
	key      string
	response *Response
	endedAt  time.Time
}

// watermark is the highest run and sequence of a gateway's evicted attempts.
type watermark struct {
	run      uint64
	sequence uint64
}

// Registry stores the attempts of one agent. It rejects an evicted attempt that
// arrives again, because its ID is not above its gateway's watermark.
type Registry struct {
	cfg        RegistryConfig
	byID       map[ID]*record
	byKey      map[string]*record
	watermarks map[string]watermark
	// ended and fenced list the attempts that do not run, oldest first.
	ended         []*record
	fenced        []*record
	responseBytes int
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg RegistryConfig) *Registry {
	return &Registry{
		cfg:        cfg,
		byID:       make(map[ID]*record),
		byKey:      make(map[string]*record),
		watermarks: make(map[string]watermark),
	}
}

// Len returns the number of stored attempts.
func (r *Registry) Len() int { return len(r.byID) }

// ResponseBytes returns the size of the stored responses.
func (r *Registry) ResponseBytes() int { return r.responseBytes }

// Begin decides whether an attempt that arrived may run. After VerdictRun the
// caller must report its end by Complete, Fail or Fence.
func (r *Registry) Begin(now time.Time, in Arrival) Verdict {
	r.Expire(now)
	if existing := r.byID[in.ID]; existing != nil && existing.state == StateFenced {
		return VerdictFenced
	} else if existing != nil {
		return VerdictUnknown
	}
	if in.Incarnation != r.cfg.Incarnation || r.isEvicted(in.ID) {
		return VerdictUnknown
	}
	if r.isKeyUsed(in.Key) || !now.Before(in.Deadline) {
		r.addFenced(now, in.ID)
		return VerdictFenced
	}
	if len(r.byID)-len(r.fenced) >= r.cfg.MaxAttempts {
		r.addFenced(now, in.ID)
		return VerdictFull
	}
	e := &record{id: in.ID, state: StateRunning, key: in.Key}
	r.byID[in.ID] = e
	if in.Key != "" {
		r.byKey[in.Key] = e
	}
	return VerdictRun
}

// isKeyUsed reports whether an attempt of key runs or ran here. The replicas of
// the key already grant it to one attempt only; this is a second check.
func (r *Registry) isKeyUsed(key string) bool {
	return key != "" && r.byKey[key] != nil
}

func (r *Registry) isEvicted(id ID) bool {
	w, ok := r.watermarks[id.Gateway]
	if !ok || id.Run > w.run {
		return false
	}
	return id.Run < w.run || id.Sequence <= w.sequence
}

// addFenced fences an attempt that has no record.
func (r *Registry) addFenced(now time.Time, id ID) {
	e := &record{id: id}
	r.byID[id] = e
	r.endRecord(now, e, StateFenced)
}

// endRecord changes e to a state in which it does not run.
func (r *Registry) endRecord(now time.Time, e *record, state State) {
	e.state = state
	e.endedAt = now
	if state != StateFenced {
		r.ended = append(r.ended, e)
		return
	}
	if r.byKey[e.key] == e {
		delete(r.byKey, e.key)
	}
	r.fenced = append(r.fenced, e)
	if len(r.fenced) > r.cfg.MaxFences {
		r.evict(r.fenced[0])
		r.fenced = r.fenced[1:]
	}
}

func (r *Registry) findRunning(id ID) *record {
	e := r.byID[id]
	if e == nil || e.state != StateRunning {
		return nil
	}
	return e
}

// Complete records the end of a running attempt and its response. The response is
// not stored if it is nil or larger than MaxResponseBytes.
func (r *Registry) Complete(now time.Time, id ID, response *Response) {
	e := r.findRunning(id)
	if e == nil {
		return
	}
	if response != nil && response.size() <= r.cfg.MaxResponseBytes {
		e.response = response
		r.responseBytes += response.size()
	}
	r.endRecord(now, e, StateDone)
	r.evictResponses()
}

// Fail records that a running attempt failed midway: it may have had effects.
func (r *Registry) Fail(now time.Time, id ID) {
	if e := r.findRunning(id); e != nil {
		r.endRecord(now, e, StateUnknown)
	}
}

// Fence records that an attempt was removed before it started. It reports
// whether the attempt is proven not to have run.
func (r *Registry) Fence(now time.Time, id ID) bool {
	e := r.findRunning(id)
	if e == nil {
		return false
	}
	r.endRecord(now, e, StateFenced)
	return true
}

// Settle returns the state of an attempt and its stored response. It fences an
// attempt that has not arrived.
func (r *Registry) Settle(now time.Time, id ID, incarnation view.Incarnation) (State, *Response) {
	r.Expire(now)
	if e := r.byID[id]; e != nil {
		return e.state, e.response
	}
	if incarnation != r.cfg.Incarnation || r.isEvicted(id) {
		return StateUnknown, nil
	}
	r.addFenced(now, id)
	return StateFenced, nil
}

// Expire evicts the attempts that ended more than Retention ago.
func (r *Registry) Expire(now time.Time) {
	r.ended = r.expire(now, r.ended)
	r.fenced = r.expire(now, r.fenced)
}

func (r *Registry) expire(now time.Time, list []*record) []*record {
	n := 0
	for n < len(list) && now.Sub(list[n].endedAt) >= r.cfg.Retention {
		r.evict(list[n])
		n++
	}
	clear(list[:n])
	return list[n:]
}

func (r *Registry) evict(e *record) {
	if e.response != nil {
		r.responseBytes -= e.response.size()
	}
	if r.byKey[e.key] == e {
		delete(r.byKey, e.key)
	}
	delete(r.byID, e.id)
	w := r.watermarks[e.id.Gateway]
	if e.id.Run > w.run || e.id.Run == w.run && e.id.Sequence > w.sequence {
		r.watermarks[e.id.Gateway] = watermark{run: e.id.Run, sequence: e.id.Sequence}
	}
}

// evictResponses removes the oldest responses until the rest fit MaxTotalBytes.
// Their attempts stay recorded.
func (r *Registry) evictResponses() {
	for _, e := range r.ended {
		if r.responseBytes <= r.cfg.MaxTotalBytes {
			return
		}
		if e.response != nil {
			r.responseBytes -= e.response.size()
			e.response = nil
		}
	}
}
