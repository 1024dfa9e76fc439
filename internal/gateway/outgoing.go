package gateway

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"fulmarmount.org/core/admission"
	"fulmarmount.org/core/attempt"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// outgoing is one stream of an exchange to an agent.
type outgoing struct {
	e      *exchange
	num    uint32
	id     attempt.ID
	target attempt.Target
	// pass is closed when the body may be read.
	pass    chan struct{}
	cancel  context.CancelFunc
	started time.Time
	// counted is set for sends, whose end the service's hosts are told.
	counted bool
	ending  admission.Outcome
}

const chunkSize = 32 << 10 // bytes

func (e *exchange) open(num uint32, id attempt.ID, target attempt.Target) (*outgoing, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	o := &outgoing{
		e: e, num: num, id: id, target: target, pass: make(chan struct{}), cancel: cancel,
		started: e.g.o.Now(), ending: admission.Canceled,
	}
	e.streams[num] = o
	return o, ctx
}

// stop ends a stream. Without Cancel the attempt behind it goes on; the agent
// lets work that is not repeatable go on in any case once it has started.
func (e *exchange) stop(act attempt.Stop) {
	if o := e.streams[act.Stream]; o != nil {
		o.cancel()
		delete(e.streams, act.Stream)
	}
}

func (e *exchange) send(act attempt.Send) {
	o, ctx := e.open(act.Stream, act.ID, act.Target)
	o.counted = true
	open := requestOpen{
		ID: act.ID, Service: e.s.ID, Incarnation: act.Target.Incarnation,
		Key: e.key.value, Digest: e.digest, Repeatable: e.repeatable, Urgency: e.urgency,
		Timeout: e.deadline.Sub(e.g.o.Now()),
		Method:  e.r.Method, URI: e.r.URL.RequestURI(), Host: e.r.Host, Header: endToEnd(e.r.Header),
		Length: int64(len(e.body)), Offset: act.Offset, Validator: act.Validator,
	}
	addr := e.s.reach(act.Target)
	go o.run(func() { o.request(ctx, addr, open) })
}

// run runs a stream and tells the service's hosts how it ended.
func (o *outgoing) run(do func()) {
	defer o.cancel()
	do()
	if o.counted {
		now := o.e.g.o.Now()
		o.e.s.done(now, o.target.Server, o.ending, now.Sub(o.started))
	}
}

func (o *outgoing) post(in attempt.Input) { o.e.post(event{in: in}) }

// request sends the request and reads its answer.
func (o *outgoing) request(ctx context.Context, addr netip.AddrPort, open requestOpen) {
	s, err := o.dial(ctx, addr, KindRequest, false)
	if err != nil {
		o.ending = ending(ctx)
		o.post(attempt.NotSent{Stream: o.num})
		return
	}
	defer s.Abort()
	defer context.AfterFunc(ctx, s.Abort)()
	if s.Send(open) == nil {
		if _, err := s.Write(o.e.body); err == nil {
			_ = s.Close()
			o.read(ctx, s)
			return
		}
	}
	o.broken(ctx)
}

func (o *outgoing) dial(ctx context.Context, addr netip.AddrPort, kind string, fresh bool) (*peer.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	if fresh {
		return o.e.g.o.Pool.OpenFresh(ctx, addr, kind)
	}
	return o.e.g.o.Pool.Open(ctx, addr, kind)
}

// ending is how a stream that broke ended: from this side if ctx has ended.
func ending(ctx context.Context) admission.Outcome {
	if ctx.Err() != nil {
		return admission.Canceled
	}
	return admission.Failed
}

func (o *outgoing) broken(ctx context.Context) {
	o.ending = ending(ctx)
	o.post(attempt.Reset{Stream: o.num})
}

// read reads a head and, once it is passed, the body.
func (o *outgoing) read(ctx context.Context, s *peer.Stream) {
	var head answerHead
	if err := s.Recv(&head); err != nil {
		o.broken(ctx)
		return
	}
	if o.counted {
		o.e.s.report(o.e.g.o.Now(), o.target.Server, head.Load)
	}
	if head.Refused {
		o.ending = admission.Rejected
		o.post(attempt.Rejected{Stream: o.num, State: head.State, RetryAfter: head.RetryAfter})
		return
	}
	in := attempt.Head{
		Stream: o.num, ID: head.ID, Length: head.Length, Offset: head.Offset, Validator: head.Validator,
	}
	if !o.e.post(event{in: in, head: &head}) {
		return
	}
	select {
	case <-o.pass:
	case <-ctx.Done():
		return
	}
	o.copy(ctx, s, head.Offset)
}

// copy hands the body to the loop, one chunk at a time: the next is read when
// the caller has taken the last.
func (o *outgoing) copy(ctx context.Context, s io.Reader, total int64) {
	buf := make([]byte, chunkSize)
	for {
		n, err := s.Read(buf)
		if n > 0 {
			total += int64(n)
			if !o.chunk(buf[:n]) {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			o.ending = admission.Completed
			o.post(attempt.End{Stream: o.num, Total: total})
			return
		case err != nil:
			o.broken(ctx)
			return
		}
	}
}

func (o *outgoing) chunk(b []byte) bool {
	taken := make(chan struct{})
	if !o.e.post(event{in: attempt.Body{Stream: o.num, N: int64(len(b))}, chunk: b, taken: taken}) {
		return false
	}
	select {
	case <-taken:
		return true
	case <-o.e.ended:
		return false
	}
}

// settle asks the agent on a fresh connection.
func (e *exchange) settle(act attempt.Settle) {
	o, ctx := e.open(act.Stream, act.ID, act.Target)
	addr := e.s.reach(act.Target)
	in := settleRequest{ID: act.ID, Incarnation: act.Target.Incarnation, Repeatable: e.repeatable}
	go o.run(func() {
		s, err := o.dial(ctx, addr, KindSettle, true)
		if err != nil {
			o.broken(ctx)
			return
		}
		defer s.Abort()
		defer context.AfterFunc(ctx, s.Abort)()
		var reply settleReply
		if s.Send(in) != nil || s.Recv(&reply) != nil {
			o.broken(ctx)
			return
		}
		o.post(attempt.Settled{Stream: o.num, State: reply.State, HasResponse: reply.Held})
	})
}

// fetch reads the answer that the agent holds, on a fresh connection.
func (e *exchange) fetch(act attempt.Fetch) {
	o, ctx := e.open(act.Stream, act.ID, act.Target)
	addr := e.s.reach(act.Target)
	in := fetchRequest{ID: act.ID, Incarnation: act.Target.Incarnation, Offset: act.Offset}
	go o.run(func() {
		s, err := o.dial(ctx, addr, KindFetch, true)
		if err != nil {
			o.broken(ctx)
			return
		}
		defer s.Abort()
		defer context.AfterFunc(ctx, s.Abort)()
		if s.Send(in) != nil {
			o.broken(ctx)
			return
		}
		o.read(ctx, s)
	})
}
