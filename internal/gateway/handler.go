package gateway

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"fulmarmount.org/core/attempt"
	"fulmarmount.org/core/view"
)

// KeyHeader names a request that may not run twice. Its value is a UUID of
// version 7, whose time bounds how long it must be remembered.
const KeyHeader = "Idempotency-Key"

// Handler returns the HTTP handler of a service's addresses.
func (g *Gateway) Handler(id view.ServiceID) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.stats.requests.Add(1)
		s := g.service(id)
		if s == nil {
			refuse(w, attempt.Result{Outcome: attempt.NotRun, Reason: attempt.ReasonNoServer})
			return
		}
		e, ok := g.newExchange(s, w, r)
		if !ok {
			g.stats.notRun.Add(1)
			return
		}
		e.serve()
	})
}

// callerKey is a caller's Idempotency-Key.
type callerKey struct {
	value string
	made  attempt.UnixMillis
}

// parseKey reads the key, bare or quoted as a structured field.
func parseKey(h http.Header) (callerKey, bool) {
	value := strings.Trim(h.Get(KeyHeader), `"`)
	if value == "" {
		return callerKey{}, true
	}
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != 7 {
		return callerKey{}, false
	}
	return callerKey{value: id.String(), made: attempt.UnixMillisOf(time.Unix(id.Time().UnixTime()))}, true
}

// newExchange reads the request and sets up its attempt. It refuses a request
// that can't be carried, which therefore did not run.
func (g *Gateway) newExchange(s *service, w http.ResponseWriter, r *http.Request) (*exchange, bool) {
	key, ok := parseKey(r.Header)
	if !ok {
		refuse(w, attempt.Result{Outcome: attempt.NotRun, Reason: attempt.ReasonKeyInvalid})
		return nil, false
	}
	now := g.o.Now()
	deadline := now.Add(wait(r.Header, s.Policy.Deadline))
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(deadline.Sub(now)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		refuseBody(w, err)
		return nil, false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	e := &exchange{
		g: g, s: s, w: w, r: r, body: body, key: key,
		digest:     digest(r, body),
		urgency:    urgency(r.Header),
		repeatable: s.Policy.repeatable(r.Method, r.URL.Path),
		deadline:   deadline,
		events:     make(chan event),
		streams:    make(map[uint32]*outgoing),
		ended:      make(chan struct{}),
	}
	config := attempt.Config{
		Key: key.value, Repeatable: e.repeatable, Deadline: deadline,
		SettleAfter: silence, StallTimeout: stall, ReplyTimeout: answerLimit, MaxSends: maxSends, Retries: s,
	}
	if e.repeatable {
		config.HedgeAfter = s.Policy.HedgeAfter
	}
	e.attempt = attempt.New(config)
	return e, true
}

func refuseBody(w http.ResponseWriter, err error) {
	p := problem{
		Title: "request body not read", Status: http.StatusBadRequest,
		Detail: err.Error(), Outcome: attempt.NotRun.String(),
	}
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		p.Status = http.StatusRequestEntityTooLarge
		p.Detail = "The body is longer than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes."
	}
	writeProblem(w, p)
}

// digest identifies the request behind a key.
func digest(r *http.Request, body []byte) attempt.Digest {
	var b bytes.Buffer
	b.WriteString(r.Method)
	b.WriteByte(0)
	b.WriteString(r.URL.RequestURI())
	b.WriteByte(0)
	b.Write(body)
	return sha256.Sum256(b.Bytes())
}
