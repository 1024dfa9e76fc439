// Package segment runs the balancer and agent roles for services of mode
// segment: it moves packets that name their flow between callers, balancers,
// agents and backend servers as core/routing decides.
//
// A balancer wraps a caller's packet in an envelope for an agent. The agent
// hands it to its backend server, or returns it to the balancer, which asks the
// next agent. The backend server's packets go from the agent to the caller
// directly.
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
	// BadAnnouncement refuses what a backend server says of itself.
	BadAnnouncement = Errors.NewType("bad_announcement").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// Stale refuses what an earlier run of a backend server says of itself.
	Stale = Errors.NewType("stale").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
)

// Origin tells which end of a flow has written a packet.
type Origin bool

// The origins.
const (
	FromCaller  Origin = true
	FromBackend Origin = false
)

// Header is the decoded header of a packet.
type Header struct {
	routing.Segment
	// Origin is FromCaller for a packet that the backend server has bounced.
	Origin  Origin
	Bounced bool
	// Token is the mark that the agent has set.
	Token uint32
}

// Codec reads and writes the headers of packets. Payloads stay where they are.
type Codec interface {
	// Decode reads the header of a packet that came from one side.
	Decode(packet []byte, from Origin) (Header, error)
	// SetToken marks a packet on its way to the backend server, in place.
	SetToken(packet []byte, token uint32)
	// Restore removes the mark and the sign of a bounce, in place.
	Restore(packet []byte)
	// AppendReset appends the reset that answers a segment of a caller.
	AppendReset(dst []byte, s *routing.Segment) []byte
}

// Instance is what a backend server says of itself.
type Instance struct {
	ID      string
	Service string
	Zone    string
	// Address is where the backend server takes packets.
	Address netip.AddrPort
	// Run grows with every start of the backend server.
	Run uint64
	// Sequence grows with every report of one run.
	Sequence uint64
	// Slots is the number of requests it runs at once.
	Slots    uint16
	Draining bool
	// Warming is how much longer it is slow after its start.
	Warming time.Duration
}
