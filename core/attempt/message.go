package attempt

import "time"

// Input is what an Attempt is told. The concrete types are in this file.
type Input interface{ input() }

// Start begins the attempt.
type Start struct{}

// Routed answers Route: the request may go to Target under a fresh ID.
type Routed struct {
	ID     ID
	Target Target
}

// Unroutable answers Route: nothing can take the request now.
type Unroutable struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Claimed answers Claim and Refuse.
type Claimed struct {
	Stream uint32
	Status ClaimStatus
	// Owner is the attempt that holds the key, if Status is ClaimExists.
	Owner Assignment
	// RetryAfter is set if Status is ClaimHeldBack.
	RetryAfter time.Duration
}

// NotSent reports that no byte of a Send left this process.
type NotSent struct{ Stream uint32 }

// Rejected reports that the agent did not run a Send. State is StateFenced if
// it never will, else StateUnknown.
type Rejected struct {
	Stream     uint32
	State      State
	RetryAfter time.Duration
}

// Head is the beginning of an answer.
type Head struct {
	Stream uint32
	// ID is the attempt that the agent says it answers.
	ID ID
	// Length is the size of the whole body in bytes, or -1 if not yet known.
	Length int64
	// Offset is the place in the body at which this stream begins.
	Offset int64
	// Validator identifies the version of the body, such as an ETag. Without
	// one a broken answer is not resumed at another backend server.
	Validator string
}

// Body is progress of an answer by N bytes. Zero bytes mean that the stream
// waits for the caller rather than for the agent.
type Body struct {
	Stream uint32
	N      int64
}

// End is the agent's word that the body is complete, with its size in bytes.
type End struct {
	Stream uint32
	Total  int64
}

// Reset reports that a stream broke, whatever the reason.
type Reset struct{ Stream uint32 }

// Settled answers Settle.
type Settled struct {
	Stream uint32
	State  State
	// HasResponse is set if State is StateDone and the answer can be fetched.
	HasResponse bool
}

// Tick reports the passing of time.
type Tick struct{}

// Cancel reports that the caller has gone.
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

// Action is what an Attempt asks for. The concrete types are in this file.
type Action interface{ action() }

// Route asks for a backend server that is not in Exclude.
type Route struct{ Exclude []string }

// Claim asks the home of the key to let the attempt ID run at Target.
type Claim struct {
	Stream uint32
	ID     ID
	Target Target
	// Replaces is the attempt that held the key and is fenced, or zero.
	Replaces ID
	// Age is the time since the gateway received the request.
	Age time.Duration
}

// FenceKey asks the home of the key to hold back every send of the key that a
// gateway received earlier, so that "not run" stays true.
type FenceKey struct {
	Stream uint32
	// Replaces is the fenced attempt that holds the key, or zero.
	Replaces ID
}

// Send sends the request on a new stream.
type Send struct {
	Stream uint32
	ID     ID
	Target Target
	// Offset and Validator ask for the rest of a body of which Offset bytes
	// were passed on.
	Offset    int64
	Validator string
}

// Settle asks the same incarnation, on a fresh connection, what became of ID.
// An agent that has not seen ID fences it.
type Settle struct {
	Stream uint32
	ID     ID
	Target Target
}

// Fetch reads the answer that the agent holds, on a fresh connection.
type Fetch struct {
	Stream uint32
	ID     ID
	Target Target
	Offset int64
}

// Stop drops a stream.
type Stop struct {
	Stream uint32
	// Cancel asks the agent to cancel the attempt behind the stream. The agent
	// fences it if it is queued, and ends it if it runs and is repeatable.
	Cancel bool
}

// Pass lets the stream's head and body through to the caller. If the answer was
// already begun on another stream, only the body continues.
type Pass struct{ Stream uint32 }

// Finish ends the attempt. No action follows.
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
