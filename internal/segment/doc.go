// Package segment runs the balancer and agent roles for services of mode
// segment: it forwards packets that carry their flow's tuple between callers,
// balancers, agents and backend servers. core/routing makes the routing decisions.
//
// A balancer sends a caller's packet to an agent in an envelope. The agent
// delivers it to its backend server, or returns it to the balancer, which probes
// the next agent. The agent sends the backend server's packets directly to the
// caller.
package segment

import (
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/routing"
)

var (
	// Errors is the namespace of this package's error types.
	Errors = errorx.NewNamespace("segment")
	// ErrInvalidReport is the error type for reports that this agent cannot use.
	ErrInvalidReport = Errors.NewType("bad_announcement").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrStaleReport is the error type for reports that are older than the latest one.
	ErrStaleReport = Errors.NewType("stale").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
)

// Origin is the end of a flow that sent a packet.
type Origin bool

// The ends of a flow.
const (
	FromCaller  Origin = true
	FromBackend Origin = false
)

// Header is the decoded header of a packet.
type Header struct {
	routing.Segment
	// Origin is FromCaller also for a packet that the backend server bounced.
	Origin  Origin
	Bounced bool
	// Token is the token that the agent set on delivery.
	Token uint32
}

// Codec decodes and modifies the headers of packets. It leaves payloads unchanged.
type Codec interface {
	// Decode decodes the header of a packet received from one end of a flow.
	Decode(packet []byte, from Origin) (Header, error)
	// SetToken sets the token of a packet to the backend server, in place.
	SetToken(packet []byte, token uint32)
	// Restore clears the token and the bounce flag, in place.
	Restore(packet []byte)
	// AppendReset appends the reset that responds to a caller's segment.
	AppendReset(dst []byte, s *routing.Segment) []byte
}

// BackendReport is a backend server's report of its own state.
type BackendReport struct {
	ID      string
	Service string
	Zone    string
	// Address is the address at which the backend server receives packets.
	Address netip.AddrPort
	// Incarnation increases with every start of the backend server.
	Incarnation uint64 `json:"Run"`
	// StartedAt is when the backend server started by its VM's clock; zero if it is not
	// reported.
	StartedAt time.Time
	// Sequence increases with every report of one incarnation.
	Sequence uint64
	// Slots is the number of requests that it runs concurrently.
	Slots    uint16
	Draining bool
	// WarmupRemaining is the remaining time of reduced performance after a start.
	WarmupRemaining time.Duration `json:"Warming"`
}
