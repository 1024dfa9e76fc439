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
	// Header holds the encoded header fields. Registry does not interpret them.
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

// Begin decides whether an attempt that arrived may run. After VerdictRun its
// end must be reported by Complete, Fail or Fence.
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
	rec := &record{id: in.ID, state: StateRunning, key: in.Key}
	r.byID[in.ID] = rec
	if in.Key != "" {
		r.byKey[in.Key] = rec
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
	rec := &record{id: id}
	r.byID[id] = rec
	r.endRecord(now, rec, StateFenced)
}

// endRecord changes e to a state in which it does not run.
func (r *Registry) endRecord(now time.Time, rec *record, state State) {
	rec.state = state
	rec.endedAt = now
	if state != StateFenced {
		r.ended = append(r.ended, rec)
		return
	}
	if r.byKey[rec.key] == rec {
		delete(r.byKey, rec.key)
	}
	r.fenced = append(r.fenced, rec)
	if len(r.fenced) > r.cfg.MaxFences {
		r.evict(r.fenced[0])
		r.fenced = r.fenced[1:]
	}
}

func (r *Registry) findRunning(id ID) *record {
	rec := r.byID[id]
	if rec == nil || rec.state != StateRunning {
		return nil
	}
	return rec
}

// Complete records the end of a running attempt and its response. If the response
// is nil or larger than MaxResponseBytes, only the attempt's end is recorded.
func (r *Registry) Complete(now time.Time, id ID, response *Response) {
	rec := r.findRunning(id)
	if rec == nil {
		return
	}
	if response != nil && response.size() <= r.cfg.MaxResponseBytes {
		rec.response = response
		r.responseBytes += response.size()
	}
	r.endRecord(now, rec, StateDone)
	r.evictResponses()
}

// Fail records that a running attempt failed midway: it may have had effects.
func (r *Registry) Fail(now time.Time, id ID) {
	if rec := r.findRunning(id); rec != nil {
		r.endRecord(now, rec, StateUnknown)
	}
}

// Fence records that an attempt was removed before it started. It reports
// whether the attempt is proven not to have run.
func (r *Registry) Fence(now time.Time, id ID) bool {
	rec := r.findRunning(id)
	if rec == nil {
		return false
	}
	r.endRecord(now, rec, StateFenced)
	return true
}

// Settle returns the state of an attempt and its stored response. It fences an
// attempt that has not arrived.
func (r *Registry) Settle(now time.Time, id ID, incarnation view.Incarnation) (State, *Response) {
	r.Expire(now)
	if rec := r.byID[id]; rec != nil {
		return rec.state, rec.response
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

func (r *Registry) evict(rec *record) {
	if rec.response != nil {
		r.responseBytes -= rec.response.size()
	}
	if r.byKey[rec.key] == rec {
		delete(r.byKey, rec.key)
	}
	delete(r.byID, rec.id)
	w := r.watermarks[rec.id.Gateway]
	if rec.id.Run > w.run || rec.id.Run == w.run && rec.id.Sequence > w.sequence {
		r.watermarks[rec.id.Gateway] = watermark{run: rec.id.Run, sequence: rec.id.Sequence}
	}
}

// evictResponses removes the oldest responses until the rest fit MaxTotalBytes.
// Their attempts stay recorded.
func (r *Registry) evictResponses() {
	for _, rec := range r.ended {
		if r.responseBytes <= r.cfg.MaxTotalBytes {
			return
		}
		if rec.response != nil {
			r.responseBytes -= rec.response.size()
			rec.response = nil
		}
	}
}
