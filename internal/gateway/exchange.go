package gateway

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"fulmarmount.org/core/admission"
	"fulmarmount.org/core/attempt"
)

// event is an input for the attempt, with what the adapter needs beside it.
type event struct {
	in    attempt.Input
	head  *answerHead
	chunk []byte
	// taken is closed once the chunk was written to the caller.
	taken chan<- struct{}
}

// exchange is one request of a caller. Its loop owns the attempt and the
// response; the goroutines of its streams talk to it by events.
type exchange struct {
	g          *Gateway
	s          *service
	w          http.ResponseWriter
	r          *http.Request
	body       []byte
	key        callerKey
	digest     attempt.Digest
	urgency    uint8
	repeatable bool
	deadline   time.Time

	attempt  *attempt.Coordinator
	events   chan event
	streams  map[uint32]*outgoing
	leave    func() // returns the slot of the gate
	begun    bool   // the response's head was written
	unsized  bool   // the length of the body is not known in advance
	admitted bool
	result   *attempt.Result
	ended    chan struct{}
}

// serve runs the request to its end. A response that can't be completed is
// broken off, so that the caller does not take it for whole.
func (e *exchange) serve() {
	defer func() {
		close(e.ended)
		if e.leave != nil {
			e.leave()
		}
	}()
	e.step(event{in: attempt.Start{}})
	timer := time.NewTimer(e.pause())
	defer timer.Stop()
	gone := e.r.Context().Done()
	for e.result == nil {
		select {
		case ev := <-e.events:
			e.step(ev)
		case <-timer.C:
			e.step(event{in: attempt.Tick{}})
		case <-gone:
			gone = nil
			e.step(event{in: attempt.Cancel{}})
		}
		timer.Reset(e.pause())
	}
	e.count()
	// The deadline of this request must not end the next one's response.
	_ = http.NewResponseController(e.w).SetWriteDeadline(time.Time{})
	switch {
	case e.result.Outcome == attempt.Answered:
	case e.result.Abort:
		panic(http.ErrAbortHandler)
	default:
		refuse(e.w, *e.result)
	}
}

func (e *exchange) pause() time.Duration {
	return max(0, e.attempt.NextTick().Sub(e.g.o.Now()))
}

func (e *exchange) count() {
	switch {
	case e.result.Outcome == attempt.Answered:
		e.g.stats.answered.Add(1)
	case e.result.Abort:
		e.g.stats.aborted.Add(1)
	case e.result.Outcome == attempt.NotRun:
		e.g.stats.notRun.Add(1)
	default:
		e.g.stats.unknown.Add(1)
	}
}

// step feeds one event to the attempt and carries out what follows.
func (e *exchange) step(ev event) {
	acts := e.attempt.Step(e.g.o.Now(), ev.in)
	// Carrying out an action may step the attempt again.
	for _, act := range append([]attempt.Action(nil), acts...) {
		e.perform(act, ev)
	}
	if ev.chunk != nil {
		e.write(ev)
	}
}

func (e *exchange) perform(act attempt.Action, ev event) {
	switch act := act.(type) {
	case attempt.Route:
		e.route(act)
	case attempt.Claim:
		e.claim(act.Stream, attempt.ClaimRequest{
			Owner: attempt.Assignment{ID: act.ID, Target: act.Target}, Replaces: act.Replaces, Age: act.Age,
		})
	case attempt.FenceKey:
		e.claim(act.Stream, attempt.ClaimRequest{Replaces: act.Replaces, Fence: true})
	case attempt.Send:
		e.send(act)
	case attempt.Settle:
		e.settle(act)
	case attempt.Fetch:
		e.fetch(act)
	case attempt.Stop:
		e.stop(act)
	case attempt.Pass:
		e.pass(act, ev.head)
	case attempt.Finish:
		e.result = &act.Result
	}
}

// route takes a slot of the gateway for the first send, and a backend server.
func (e *exchange) route(act attempt.Route) {
	if !e.admitted {
		ctx, cancel := context.WithDeadline(e.r.Context(), e.deadline)
		defer cancel()
		class := e.s.firstClass + e.s.Policy.class(e.urgency)
		leave, d := e.g.currentGate().enter(ctx, class, e.deadline)
		if d.Verdict != admission.Admit {
			e.step(event{in: attempt.Unroutable{Reason: attempt.ReasonOverload, RetryAfter: max(d.RetryAfter, time.Second)}})
			return
		}
		e.admitted, e.leave = true, leave
		e.s.deposit()
	} else {
		e.g.stats.retries.Add(1)
	}
	target, ok := e.s.route(e.g.o.Now(), e.g.random(), act.Exclude)
	if !ok {
		e.step(event{in: attempt.Unroutable{Reason: attempt.ReasonNoServer, RetryAfter: time.Second}})
		return
	}
	id := attempt.ID{Gateway: e.g.o.Name, Run: e.g.o.Run, Sequence: e.g.sequence.Add(1)}
	e.step(event{in: attempt.Routed{ID: id, Target: target}})
}

// post hands an event to the loop. It reports false after the end.
func (e *exchange) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.ended:
		return false
	}
}

// claim asks the home of the key. A lost answer is not reported: the attempt
// asks again when its time is over.
func (e *exchange) claim(stream uint32, in attempt.ClaimRequest) {
	in.Key, in.KeyTime, in.Digest = e.key.value, e.key.made, e.digest
	addr, ok := e.s.home(in.Key)
	if !ok {
		return
	}
	go func() {
		reply, err := call[attempt.ClaimReply](context.Background(), e.g.o.Pool, addr, KindClaim, in, answerLimit)
		if err == nil {
			e.post(event{in: attempt.Claimed{
				Stream: stream, Status: reply.Status, Owner: reply.Owner, RetryAfter: reply.RetryAfter,
			}})
		}
	}()
}

// pass writes the head of the answer, unless that was done on another stream.
func (e *exchange) pass(act attempt.Pass, head *answerHead) {
	o := e.streams[act.Stream]
	if o == nil || head == nil {
		return
	}
	close(o.pass)
	if e.begun {
		return
	}
	e.begun, e.unsized = true, head.Length < 0
	maps.Copy(e.w.Header(), endToEnd(head.Header))
	if head.Length >= 0 && e.r.Method != http.MethodHead && head.Status != http.StatusNotModified && head.Status != http.StatusNoContent {
		e.w.Header().Set("Content-Length", strconv.FormatInt(head.Length, 10))
	}
	e.w.WriteHeader(head.Status)
}

// write passes a chunk to the caller. The time that the caller takes counts as
// progress of the stream; a caller that takes none until the deadline has gone.
func (e *exchange) write(ev event) {
	body := ev.in.(attempt.Body)
	defer close(ev.taken)
	if e.streams[body.Stream] == nil || e.result != nil {
		return
	}
	control := http.NewResponseController(e.w)
	_ = control.SetWriteDeadline(time.Now().Add(e.deadline.Sub(e.g.o.Now())))
	_, err := e.w.Write(ev.chunk)
	if err == nil && e.unsized {
		err = control.Flush()
	}
	if err != nil {
		e.step(event{in: attempt.Cancel{}})
		return
	}
	e.step(event{in: attempt.Body{Stream: body.Stream}})
}
