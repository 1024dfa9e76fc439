package attempt

import (
	"time"

	"fulmarmount.org/core/view"
)

// RegistryConfig bounds a Record.
type RegistryConfig struct {
	// Incarnation is the run of the agent that keeps the record.
	Incarnation view.Incarnation
	// Retention is how long an attempt is kept after it ended. It must exceed
	// the longest deadline of any request.
	Retention time.Duration
	// MaxAttempts bounds the attempts that are kept.
	MaxAttempts int
	// MaxFences bounds the attempts that are kept because they never ran.
	// Beyond it the oldest are forgotten.
	MaxFences int
	// MaxResponseBytes is the size in bytes of the largest answer that is kept.
	MaxResponseBytes int
	// MaxTotalBytes bounds all answers that are kept.
	MaxTotalBytes int
}

// Verdict is an agent's decision about an attempt that arrived.
type Verdict uint8

// The verdicts of Record.Begin.
const (
	VerdictRun     Verdict = iota // run it
	VerdictFenced                 // refused, and never run
	VerdictUnknown                // refused; what became of it is not known here
	VerdictFull                   // refused, and never run: the record is full
)

// Response is a whole answer of a backend server.
type Response struct {
	Status int
	// Header is the answer's header block in the adapter's encoding.
	Header []byte
	Body   []byte
}

func (a *Response) size() int { return len(a.Header) + len(a.Body) }

// Arrival is an attempt that reached an agent.
type Arrival struct {
	ID          ID
	Incarnation view.Incarnation
	// Key and Digest are set for requests with an Idempotency-Key.
	Key    string
	Digest Digest
	// Deadline is in the agent's own time.
	Deadline time.Time
}

type recorded struct {
	id     ID
	state  State
	key    string
	answer *Response
	ended  time.Time
}

// floor is the highest attempt of a gateway that was forgotten.
type floor struct {
	run      uint64
	sequence uint64
}

// Registry is what one agent knows of attempts. An attempt that it forgot is
// never run again: its gateway's floor refuses it.
type Registry struct {
	cfg    RegistryConfig
	byID   map[ID]*recorded
	byKey  map[string]*recorded
	floors map[string]floor
	// ended and fenced hold the attempts that are not running, oldest first.
	ended  []*recorded
	fenced []*recorded
	bytes  int
}

// NewRegistry returns an empty record.
func NewRegistry(cfg RegistryConfig) *Registry {
	return &Registry{
		cfg:    cfg,
		byID:   make(map[ID]*recorded),
		byKey:  make(map[string]*recorded),
		floors: make(map[string]floor),
	}
}

// Len returns the number of attempts that are kept.
func (r *Registry) Len() int { return len(r.byID) }

// ResponseBytes returns the size of the answers that are kept.
func (r *Registry) ResponseBytes() int { return r.bytes }

// Begin decides on an attempt that arrived. After VerdictRun the caller must
// report its end by Done, Failed or Fence.
func (r *Registry) Begin(now time.Time, in Arrival) Verdict {
	r.Expire(now)
	if have := r.byID[in.ID]; have != nil && have.state == StateFenced {
		return VerdictFenced
	} else if have != nil {
		return VerdictUnknown
	}
	if in.Incarnation != r.cfg.Incarnation || r.forgotten(in.ID) {
		return VerdictUnknown
	}
	if r.keyTaken(in.Key) || !now.Before(in.Deadline) {
		r.refuse(now, in.ID)
		return VerdictFenced
	}
	if len(r.byID)-len(r.fenced) >= r.cfg.MaxAttempts {
		r.refuse(now, in.ID)
		return VerdictFull
	}
	e := &recorded{id: in.ID, state: StateRunning, key: in.Key}
	r.byID[in.ID] = e
	if in.Key != "" {
		r.byKey[in.Key] = e
	}
	return VerdictRun
}

// keyTaken reports whether an attempt of key runs or ran here. The holders of
// the key let only one attempt run; this is the last check.
func (r *Registry) keyTaken(key string) bool {
	return key != "" && r.byKey[key] != nil
}

func (r *Registry) forgotten(id ID) bool {
	f, ok := r.floors[id.Gateway]
	if !ok || id.Run > f.run {
		return false
	}
	return id.Run < f.run || id.Sequence <= f.sequence
}

// refuse fences an attempt that has no entry.
func (r *Registry) refuse(now time.Time, id ID) {
	e := &recorded{id: id}
	r.byID[id] = e
	r.end(now, e, StateFenced)
}

// end moves e to a state in which it no longer runs.
func (r *Registry) end(now time.Time, e *recorded, state State) {
	e.state = state
	e.ended = now
	if state != StateFenced {
		r.ended = append(r.ended, e)
		return
	}
	if r.byKey[e.key] == e {
		delete(r.byKey, e.key)
	}
	r.fenced = append(r.fenced, e)
	if len(r.fenced) > r.cfg.MaxFences {
		r.forget(r.fenced[0])
		r.fenced = r.fenced[1:]
	}
}

func (r *Registry) running(id ID) *recorded {
	e := r.byID[id]
	if e == nil || e.state != StateRunning {
		return nil
	}
	return e
}

// Complete records the whole answer of a running attempt. A nil answer, or one
// that is too large, is not kept; that it ran is.
func (r *Registry) Complete(now time.Time, id ID, answer *Response) {
	e := r.running(id)
	if e == nil {
		return
	}
	if answer != nil && answer.size() <= r.cfg.MaxResponseBytes {
		e.answer = answer
		r.bytes += answer.size()
	}
	r.end(now, e, StateDone)
	r.dropAnswers()
}

// Fail records that a running attempt broke off: it may have had effects.
func (r *Registry) Fail(now time.Time, id ID) {
	if e := r.running(id); e != nil {
		r.end(now, e, StateUnknown)
	}
}

// Fence records that an attempt was taken out of the queue before it started.
// It reports whether the attempt is proven not to have run.
func (r *Registry) Fence(now time.Time, id ID) bool {
	e := r.running(id)
	if e == nil {
		return false
	}
	r.end(now, e, StateFenced)
	return true
}

// Settle says what became of an attempt. One that has not arrived is fenced.
func (r *Registry) Settle(now time.Time, id ID, incarnation view.Incarnation) (State, *Response) {
	r.Expire(now)
	if e := r.byID[id]; e != nil {
		return e.state, e.answer
	}
	if incarnation != r.cfg.Incarnation || r.forgotten(id) {
		return StateUnknown, nil
	}
	r.refuse(now, id)
	return StateFenced, nil
}

// Expire forgets attempts whose lifetime has passed.
func (r *Registry) Expire(now time.Time) {
	r.ended = r.expire(now, r.ended)
	r.fenced = r.expire(now, r.fenced)
}

func (r *Registry) expire(now time.Time, list []*recorded) []*recorded {
	n := 0
	for n < len(list) && now.Sub(list[n].ended) >= r.cfg.Retention {
		r.forget(list[n])
		n++
	}
	clear(list[:n])
	return list[n:]
}

func (r *Registry) forget(e *recorded) {
	if e.answer != nil {
		r.bytes -= e.answer.size()
	}
	if r.byKey[e.key] == e {
		delete(r.byKey, e.key)
	}
	delete(r.byID, e.id)
	f := r.floors[e.id.Gateway]
	if e.id.Run > f.run || e.id.Run == f.run && e.id.Sequence > f.sequence {
		r.floors[e.id.Gateway] = floor{run: e.id.Run, sequence: e.id.Sequence}
	}
}

// dropAnswers frees the oldest answers until the rest fit. That they ran stays
// recorded.
func (r *Registry) dropAnswers() {
	for _, e := range r.ended {
		if r.bytes <= r.cfg.MaxTotalBytes {
			return
		}
		if e.answer != nil {
			r.bytes -= e.answer.size()
			e.answer = nil
		}
	}
}
