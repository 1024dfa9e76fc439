// Package attempt sends a request from a gateway to an agent, retries it, and
// decides its outcome. An attempt is one send of a request, with its own ID. The
// package has three pure state machines:
//
//   - Coordinator, at the gateway: routing, sending, settling, retrying, finishing;
//   - Registry, at the agent: which attempts ran, run now, or must never run;
//   - Claims, at the primary and the backup of an Idempotency-Key: which attempt
//     of all the requests with one key may run.
//
// An agent fences an attempt that has not started: the attempt never runs. The
// primary of a key fences the key: it rejects the requests with the key that a
// gateway received before the fence.
//
// Time is an argument. None of the types is safe for concurrent use.
package attempt

import (
	"fmt"
	"time"

	"fulmarmount.org/core/view"
)

// ID identifies an attempt: one send of a request to one agent. A gateway never
// uses an ID twice. Sequence grows within a Run, and Run grows with every restart
// of the gateway.
type ID struct {
	Gateway  string `cbor:"1,keyasint"`
	Run      uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
}

// IsZero reports whether id is the zero ID, which identifies no attempt.
func (id ID) IsZero() bool { return id == ID{} }

// String formats id as gateway/run/sequence.
func (id ID) String() string { return fmt.Sprintf("%s/%d/%d", id.Gateway, id.Run, id.Sequence) }

// Digest is a hash of the method, path and body of a request. It detects a key
// that is used again for another request.
type Digest [32]byte

// Target is one incarnation of the agent of a backend server.
type Target struct {
	// Server is the ID of the backend server.
	Server      string           `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
}

// Outcome is the outcome of a request as reported to its caller.
type Outcome uint8

// The outcomes. Every request ends with one of them.
const (
	// Unknown: the request may have run, may be running or may not have run.
	Unknown Outcome = iota
	// Answered: the complete response of the backend server was delivered.
	Answered
	// NotRun: the request did not run and no copy of it can start later.
	NotRun
)

var outcomeNames = [...]string{"unknown", "answered", "not-run"}

// String returns the outcome as in a problem response.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Reason is the cause of an outcome.
type Reason uint8

// The reasons of a Result.
const (
	ReasonNone            Reason = iota
	ReasonNoServer               // no backend server accepts the request
	ReasonOverload               // rejected by admission control
	ReasonDeadline               // the deadline passed
	ReasonCancelled              // the caller disconnected
	ReasonAgentLost              // the agent is unreachable or has restarted
	ReasonStillRunning           // an earlier request with the key still runs
	ReasonResponseDropped        // the request ran, but its response is no longer stored
	ReasonTruncated              // the response body exceeds its announced length
	ReasonKeyReused              // the key was used for another request
	ReasonKeyUnavailable         // the replicas of the key cannot be reached
	ReasonKeyTooOld              // the key is older than the stored history
	ReasonKeyInvalid             // the key is not a UUID of version 7, or from the future
)

var reasonNames = [...]string{
	"", "no backend server available", "overload", "deadline exceeded",
	"cancelled by the caller", "agent lost", "an earlier send is still running",
	"it ran but its answer is no longer held", "answer truncated",
	"idempotency key used for another request", "holders of the idempotency key unavailable",
	"idempotency key older than the records", "idempotency key not a current UUID of version 7",
}

// String returns the title of the problem response. Callers see it, so the texts
// do not change with the terms of the code.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Abort is true if the response was delivered in part and the rest will not
	// follow. The gateway must then abort the caller's stream.
	Abort bool
}

// State is the state of an attempt at an agent.
type State uint8

// The states of an attempt.
const (
	StateUnknown State = iota // of another incarnation, evicted, or failed midway
	StateRunning              // queued or running
	StateDone                 // finished
	StateFenced               // did not run and must never run
)

var stateNames = [...]string{"unknown", "running", "done", "fenced"}

// String returns the state's lower-case name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}
