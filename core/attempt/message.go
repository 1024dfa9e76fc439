package attempt

import "time"

// Input is an event that Coordinator.Step handles. The concrete types are in this
// file.
type Input interface{ input() }

// Start starts the request.
type Start struct{}

// Routed is the reply to Route: the request may be sent to Target under a new ID.
type Routed struct {
	ID     ID
	Target Target
}

// Unroutable is the reply to Route if no backend server accepts the request now.
type Unroutable struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Claimed is the reply to Claim and FenceKey.
type Claimed struct {
	Stream uint32
	Status ClaimStatus
	// Owner is the attempt that owns the key, if Status is ClaimExists.
	Owner Assignment
	// RetryAfter is set if Status is ClaimFenced.
	RetryAfter time.Duration
}

// NotSent reports that no byte of a Send was written to the network.
type NotSent struct{ Stream uint32 }

// Rejected reports that the agent rejected a Send. State is StateFenced if the
// attempt never runs, else StateUnknown.
type Rejected struct {
	Stream     uint32
	State      State
	RetryAfter time.Duration
}

// Head is the head of a response.
type Head struct {
	Stream uint32
	// ID is the attempt that the response belongs to, as the agent reports it.
	ID ID
	// Length is the size of the complete body in bytes, or -1 if unknown.
	Length int64
	// Offset is the offset in the body at which this stream starts.
	Offset int64
	// Validator identifies the version of the body, such as an ETag. Without
	// one a broken response is not resumed at another backend server.
	Validator string
}

// Body reports N further bytes of a response body. N is 0 if the caller accepted
// data, so that a slow caller does not count as a stall of the agent.
type Body struct {
	Stream uint32
	N      int64
}

// End reports that the agent has sent the complete body of Total bytes.
type End struct {
	Stream uint32
	Total  int64
}

// Reset reports that a stream failed for any reason.
type Reset struct{ Stream uint32 }

// Settled is the reply to Settle.
type Settled struct {
	Stream uint32
	State  State
	// HasResponse is true if State is StateDone and the response can be fetched.
	HasResponse bool
}

// Tick reports that time has passed, see Coordinator.NextTick.
type Tick struct{}

// Cancel reports that the caller has disconnected.
type Cancel struct{}

func (Start) input()      {}
func (Routed) input()     {}
func (Unroutable) input() {}
func (Claimed) input()    {}
func (NotSent) input()    {}
func (Rejected) input()   {}
func (Head) input()       {}
func (Body) input()       {}
func (End) input()        {}
func (Reset) input()      {}
func (Settled) input()    {}
func (Tick) input()       {}
func (Cancel) input()     {}

// Action is an action that Coordinator.Step requests. The concrete types are in
// this file.
type Action interface{ action() }

// Route requests a backend server that is not in Exclude.
type Route struct{ Exclude []string }

// Claim claims the key for the attempt ID at Target, at the primary of the key.
type Claim struct {
	Stream uint32
	ID     ID
	Target Target
	// Replaces is the owner of the key that ID replaces, or zero. It is fenced
	// or was never sent.
	Replaces ID
	// Age is the time since the gateway received the request.
	Age time.Duration
}

// FenceKey fences the key at its primary: every request with the key that a
// gateway received earlier is rejected, so that NotRun remains true.
type FenceKey struct {
	Stream uint32
	// Replaces is as in Claim.
	Replaces ID
}

// Send sends the request on a new stream.
type Send struct {
	Stream uint32
	ID     ID
	Target Target
	// Offset and Validator request the rest of a body of which Offset bytes were
	// delivered.
	Offset    int64
	Validator string
}

// Settle queries the state of ID at the same incarnation, on a new connection. An
// agent that has not received ID fences it.
type Settle struct {
	Stream uint32
	ID     ID
	Target Target
}

// Fetch reads the response that the agent stores, on a new connection.
type Fetch struct {
	Stream uint32
	ID     ID
	Target Target
	Offset int64
}

// Stop closes a stream.
type Stop struct {
	Stream uint32
	// Cancel requests that the agent cancel the attempt of the stream. The agent
	// fences it if it is queued, and ends it if it runs and is repeatable.
	Cancel bool
}

// Pass delivers the stream's head and body to the caller. If another stream has
// delivered the head already, only the body is delivered.
type Pass struct{ Stream uint32 }

// Finish ends the request. No action follows.
type Finish struct{ Result Result }

func (Route) action()    {}
func (Claim) action()    {}
func (FenceKey) action() {}
func (Send) action()     {}
func (Settle) action()   {}
func (Fetch) action()    {}
func (Stop) action()     {}
func (Pass) action()     {}
func (Finish) action()   {}
