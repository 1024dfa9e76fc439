// Package gateway carries HTTP requests of services in request mode. Gateway,
// at a balancer, serves callers and runs core/attempt for every request. Agent,
// beside a backend server, runs core/admission, keeps the record of what ran
// and holds claims of idempotency keys.
package gateway

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/attempt"
	"fulmarmount.org/core/view"
)

// Errors of the package.
var (
	Errors = errorx.NewNamespace("gateway")

	// BadRequest: a request of a caller can't be carried.
	BadRequest = Errors.NewType("bad_request")
	// Backend: the backend server did not answer whole.
	Backend = Errors.NewType("backend")
)

// The kinds of stream between gateways and agents, and between agents.
const (
	// KindRequest: requestOpen and the body one way, answerHead and the body back.
	KindRequest = "request"
	// KindSettle: settleRequest one way, settleReply back.
	KindSettle = "settle"
	// KindFetch: fetchRequest one way, answerHead and the body back.
	KindFetch = "fetch"
	// KindClaim: attempt.ClaimRequest one way, attempt.ClaimReply back.
	KindClaim = "claim"
	// KindHold: attempt.StoreRequest one way, attempt.StoreReply back.
	KindHold = "hold"
	// KindLookup: attempt.LookupRequest one way, attempt.LookupReply back.
	KindLookup = "lookup"
	// KindHistory: historyRequest one way, attempt.History back.
	KindHistory = "history"
	// KindProbe: probeRequest one way, probeReply back.
	KindProbe = "probe"
)

// requestOpen starts a request. Its body follows as raw bytes to the end of the
// stream.
type requestOpen struct {
	ID          attempt.ID       `cbor:"1,keyasint"`
	Service     view.ServiceID   `cbor:"2,keyasint"`
	Incarnation view.Incarnation `cbor:"3,keyasint"`
	Key         string           `cbor:"4,keyasint,omitempty"`
	Digest      attempt.Digest   `cbor:"5,keyasint"`
	Repeatable  bool             `cbor:"6,keyasint"`
	Urgency     uint8            `cbor:"7,keyasint"`
	// Timeout is the time left until the deadline.
	Timeout time.Duration `cbor:"8,keyasint"`
	Method  string        `cbor:"9,keyasint"`
	URI     string        `cbor:"10,keyasint"`
	Host    string        `cbor:"11,keyasint"`
	Header  http.Header   `cbor:"12,keyasint"`
	Length  int64         `cbor:"13,keyasint"`
	// Offset and Validator ask for the rest of a body.
	Offset    int64  `cbor:"14,keyasint"`
	Validator string `cbor:"15,keyasint,omitempty"`
}

// answerHead is the agent's first message about a request. Unless Refused is
// set, the body follows as raw bytes; the end of the stream is the agent's word
// that the body is complete.
type answerHead struct {
	ID      attempt.ID `cbor:"1,keyasint"`
	Refused bool       `cbor:"2,keyasint"`
	// State and RetryAfter are set if Refused is.
	State      attempt.State `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint"`
	Status     int           `cbor:"5,keyasint"`
	Header     http.Header   `cbor:"6,keyasint"`
	// Length is the size of the whole body in bytes, or -1.
	Length    int64  `cbor:"7,keyasint"`
	Offset    int64  `cbor:"8,keyasint"`
	Validator string `cbor:"9,keyasint,omitempty"`
	// Load is the number of requests that run or wait at the agent.
	Load int `cbor:"10,keyasint"`
}

type settleRequest struct {
	ID          attempt.ID       `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
	Repeatable  bool             `cbor:"3,keyasint"`
}

type settleReply struct {
	State attempt.State `cbor:"1,keyasint"`
	Held  bool          `cbor:"2,keyasint"`
}

type fetchRequest struct {
	ID          attempt.ID       `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
	Offset      int64            `cbor:"3,keyasint"`
}

type historyRequest struct{}

type probeRequest struct{}

type probeReply struct {
	Healthy bool `cbor:"1,keyasint"`
}
