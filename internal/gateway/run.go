package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"fulmarmount.org/core/admission"
	"fulmarmount.org/core/attempt"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// run is one attempt at an agent.
type run struct {
	a        *Agent
	s        *peer.Stream
	open     requestOpen
	body     []byte
	deadline time.Time
}

// serve takes the attempt through the record, the queue and the backend server.
// Work that may be repeated ends with its stream; other work goes on until its
// deadline, so that its answer can be fetched.
func (r *run) serve() {
	if !r.begin() {
		return
	}
	if r.open.Service != view.ServiceID(r.a.service.Load()) {
		r.fence(0) // meant for another service
		return
	}
	queued, stop := context.WithDeadline(r.s.Context(), r.deadline)
	defer stop()
	g, class := r.a.admission(r.open.Urgency)
	leave, d := g.enter(queued, class, r.deadline)
	if d.Verdict != admission.Admit {
		r.a.stats.shed.Add(1)
		r.fence(d.RetryAfter)
		return
	}
	defer leave()
	ctx := r.a.ctx
	if r.open.Repeatable {
		ctx = r.s.Context()
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.a.stats.runs.Add(1)
	r.call(ctx)
}

// begin records the attempt. If it may not run the gateway is told.
func (r *run) begin() bool {
	a := r.a
	a.mu.Lock()
	verdict := attempt.VerdictRun
	if r.open.Repeatable {
		if r.open.Incarnation != a.o.Self.Incarnation {
			verdict = attempt.VerdictUnknown
		} else {
			a.live[r.open.ID] = true
		}
	} else {
		verdict = a.record.Begin(a.o.Now(), attempt.Arrival{
			ID: r.open.ID, Incarnation: r.open.Incarnation, Key: r.open.Key, Digest: r.open.Digest, Deadline: r.deadline,
		})
	}
	a.mu.Unlock()
	switch verdict {
	case attempt.VerdictRun:
		return true
	case attempt.VerdictUnknown:
		r.refuse(attempt.StateUnknown, 0)
	default:
		r.refuse(attempt.StateFenced, time.Second)
	}
	return false
}

func (r *run) refuse(state attempt.State, retryAfter time.Duration) {
	_ = r.s.Send(answerHead{
		ID: r.open.ID, Refused: true, State: state, RetryAfter: retryAfter, Load: r.a.load(),
	})
}

// fence ends an attempt that has not started, and says so.
func (r *run) fence(retryAfter time.Duration) {
	r.a.mu.Lock()
	fenced := true
	if r.open.Repeatable {
		delete(r.a.live, r.open.ID)
	} else {
		fenced = r.a.record.Fence(r.a.o.Now(), r.open.ID)
	}
	r.a.mu.Unlock()
	if !fenced {
		r.refuse(attempt.StateUnknown, 0)
		return
	}
	r.a.stats.fenced.Add(1)
	r.refuse(attempt.StateFenced, retryAfter)
}

// done records the end of an attempt that ran. A nil answer is not kept.
func (r *run) done(answer *attempt.Response, failed bool) {
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	switch {
	case r.open.Repeatable:
		delete(r.a.live, r.open.ID)
	case failed:
		r.a.record.Fail(r.a.o.Now(), r.open.ID)
	default:
		r.a.record.Complete(r.a.o.Now(), r.open.ID, answer)
	}
}

func (r *run) fail() {
	r.a.stats.failed.Add(1)
	r.done(nil, true)
	r.s.Abort()
}

func (r *run) call(ctx context.Context) {
	resp, sent, err := r.a.backend.do(ctx, r.open, r.body)
	if err != nil && !sent {
		r.fence(time.Second)
		return
	}
	if err != nil {
		r.fail()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if retryAfter, shed := shedBy(resp); shed {
		r.a.stats.shed.Add(1)
		r.fence(retryAfter)
		return
	}
	head, err := r.head(resp)
	if err != nil {
		r.fail()
		return
	}
	if r.open.Repeatable {
		r.stream(head, resp.Body)
		return
	}
	r.keep(head, resp.Body)
}

// shedBy reports whether the backend server itself says that it did not take
// the request: overloaded, with the time after which to come back.
func shedBy(resp *http.Response) (time.Duration, bool) {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return 0, false
	}
	seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31)
	return time.Duration(seconds) * time.Second, err == nil
}

// head describes the answer. A resumed body must be the rest of the same
// version.
func (r *run) head(resp *http.Response) (answerHead, error) {
	h := answerHead{
		ID: r.open.ID, Status: resp.StatusCode, Header: endToEnd(resp.Header),
		Length: resp.ContentLength, Load: r.a.load(),
	}
	if r.open.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		h.Length = 0
		return h, nil
	}
	tag := resp.Header.Get("ETag")
	strong := tag != "" && !strings.HasPrefix(tag, "W/")
	if strong && resp.StatusCode == http.StatusOK && r.open.Method == http.MethodGet {
		h.Validator = tag
	}
	if r.open.Offset == 0 {
		return h, nil
	}
	if tag != r.open.Validator {
		return h, Backend.New("body of version %s can't be resumed from %s", tag, r.open.Validator)
	}
	h.Validator, h.Offset = tag, r.open.Offset
	if resp.StatusCode == http.StatusPartialContent {
		h.Length = resp.ContentLength + r.open.Offset
		return h, checkRange(resp.Header.Get("Content-Range"), r.open.Offset, h.Length)
	}
	_, err := io.CopyN(io.Discard, resp.Body, r.open.Offset)
	return h, err
}

// checkRange checks that a partial answer is the rest of a body.
func checkRange(got string, offset, length int64) error {
	want := "bytes " + strconv.FormatInt(offset, 10) + "-" + strconv.FormatInt(length-1, 10) + "/" + strconv.FormatInt(length, 10)
	if got != want {
		return Backend.New("content range is %q, not %q", got, want)
	}
	return nil
}

// stream passes an answer on as it comes. A broken one aborts the stream, so
// that it can't be taken for whole.
func (r *run) stream(head answerHead, body io.Reader) {
	if err := r.s.Send(head); err != nil {
		r.fail()
		return
	}
	if _, err := io.Copy(r.s, body); err != nil {
		r.fail()
		return
	}
	r.done(nil, false)
}

// keep records a whole answer before it is passed on. One that is too large to
// keep is passed on as it comes.
func (r *run) keep(head answerHead, body io.Reader) {
	var held bytes.Buffer
	_, err := io.CopyN(&held, body, maxAnswer)
	if err == nil {
		r.passLarge(head, &held, body)
		return
	}
	if !errors.Is(err, io.EOF) {
		r.fail()
		return
	}
	answer, err := newAnswer(head, held.Bytes())
	if err != nil {
		r.fail()
		return
	}
	r.done(answer, false)
	if r.s.Send(head) == nil {
		_, _ = r.s.Write(held.Bytes())
	}
}

// passLarge reads the answer to its end even where the gateway has gone.
func (r *run) passLarge(head answerHead, held *bytes.Buffer, body io.Reader) {
	lost := r.s.Send(head) != nil
	rest := io.MultiReader(held, body)
	if !lost {
		_, err := io.Copy(r.s, rest)
		lost = err != nil
	}
	_, err := io.Copy(io.Discard, rest)
	r.done(nil, err != nil)
	if lost || err != nil {
		r.s.Abort()
	}
}

func newAnswer(head answerHead, body []byte) (*attempt.Response, error) {
	header, err := cbor.Marshal(head.Header)
	if err != nil {
		return nil, errorx.Decorate(err, "encode the header fields of an answer")
	}
	return &attempt.Response{Status: head.Status, Header: header, Body: body}, nil
}

// heldHead describes an answer from the record.
func heldHead(id attempt.ID, answer *attempt.Response) (answerHead, error) {
	head := answerHead{ID: id, Status: answer.Status, Length: int64(len(answer.Body))}
	if err := cbor.Unmarshal(answer.Header, &head.Header); err != nil {
		return head, errorx.Decorate(err, "decode the header fields of an answer")
	}
	return head, nil
}
