// Package attempt follows one request from its arrival at a gateway to its
// outcome. It has three pure state machines:
//
//   - Attempt, at the gateway: routing, sending, settling, retrying, finishing;
//   - Record, at the agent: which attempts ran, run now, or may never run;
//   - Claims, at the agents that hold an Idempotency-Key: which attempt of all
//     the sends of one key may run.
//
// Time is passed in. None of the types is safe for concurrent use.
package attempt

import (
	"fmt"
	"time"

	"fulmarmount.org/core/view"
)

// ID names one send of a request to one agent. A gateway never sends an ID
// twice. Sequence grows within a Run, and Run grows with every restart of the
// gateway.
type ID struct {
	Gateway  string `cbor:"1,keyasint"`
	Run      uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
}

// IsZero reports whether id names no attempt.
func (id ID) IsZero() bool { return id == ID{} }

// String formats id as gateway/run/sequence.
func (id ID) String() string { return fmt.Sprintf("%s/%d/%d", id.Gateway, id.Run, id.Sequence) }

// Digest identifies the method, path and body of a request, so that a key used
// again for another request is recognised.
type Digest [32]byte

// Target is one run of the agent beside a backend server.
type Target struct {
	// Server is the ID of the backend server.
	Server      string           `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
}

// Outcome is what a caller is told about its request.
type Outcome uint8

// The outcomes. There are no others.
const (
	// Unknown: the request may have run, may be running or may not have run.
	Unknown Outcome = iota
	// Answered: the whole answer of the backend server was passed on.
	Answered
	// NotRun: the request did not run and no copy of it can start later.
	NotRun
)

var outcomeNames = [...]string{"unknown", "answered", "not-run"}

// String returns the outcome as it stands in a refusal.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Reason says why a request ended as it did.
type Reason uint8

// The reasons of a Result.
const (
	ReasonNone            Reason = iota
	ReasonNoServer               // no backend server can take the request
	ReasonOverload               // shed by admission
	ReasonDeadline               // the deadline passed
	ReasonCancelled              // the caller went away
	ReasonAgentLost              // the agent is gone or has restarted
	ReasonStillRunning           // an earlier send of the key still runs
	ReasonResponseDropped        // it ran, but its answer is no longer held
	ReasonTruncated              // the answer broke off after it had begun
	ReasonKeyReused              // the key was used for another request
	ReasonKeyUnavailable         // the holders of the key cannot be reached
	ReasonKeyTooOld              // the key is older than the records
	ReasonKeyInvalid             // the key is not a UUID of version 7, or from the future
)

var reasonNames = [...]string{
	"", "no backend server available", "overload", "deadline exceeded",
	"cancelled by the caller", "agent lost", "an earlier send is still running",
	"it ran but its answer is no longer held", "answer truncated",
	"idempotency key used for another request", "holders of the idempotency key unavailable",
	"idempotency key older than the records", "idempotency key not a current UUID of version 7",
}

// String describes the reason.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Result ends an attempt.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is how long the caller should wait before it sends again.
	RetryAfter time.Duration
	// Abort is set if part of an answer was passed on and the rest will not
	// follow. The gateway must break the caller's stream.
	Abort bool
}

// State is what an agent knows about an attempt.
type State uint8

// The states of an attempt at an agent.
const (
	StateUnknown State = iota // another incarnation, expired, or lost midway
	StateRunning              // queued or running
	StateDone                 // finished
	StateFenced               // did not run and never will
)

var stateNames = [...]string{"unknown", "running", "done", "fenced"}

// String returns the state's lower-case name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}
