// Package routing decides where the segments of flows are forwarded. Every segment
// carries its flow's addresses, transport flags and sequence numbers, so no process
// between caller and backend server needs connection state to route it.
//
// The backend server alone knows which flows it owns. A Balancer places a new flow by
// load when its SYN arrives. If it has no cached owner for a later segment, it probes
// the members of the service in a fixed order until one owns the flow. An Agent, beside
// each backend server, delivers segments and returns those of flows that its backend
// server does not own.
package routing

import (
	"time"

	"fulmarmount.org/core/flow"
)

// Flags are the transport flags of a segment.
type Flags uint8

// The flags of segments.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Segment is the header of one packet of a flow.
type Segment struct {
	// Tuple identifies the flow and is the same in both directions.
	Tuple flow.Tuple
	Flags Flags
	// Seq is the sequence number of the segment's first byte, Ack the acknowledgement
	// number.
	Seq, Ack uint32
	// Retransmits is the number of times that the SYN has been sent before; 0 for the
	// first.
	Retransmits uint32
	// Length is the payload's length in bytes.
	Length int
}

// HasFlags reports whether all of flags are set.
func (s *Segment) HasFlags(flags Flags) bool { return s.Flags&flags == flags }

// OpensFlow reports whether the segment is a SYN without an ACK, which opens a flow.
func (s *Segment) OpensFlow() bool { return s.Flags&(SYN|ACK) == SYN }

// MaxFlowLifetime is the longest lifetime of a flow. For that long, balancers probe
// members that were removed from their view, and an agent that has restarted delivers
// segments of flows that it has no record of.
const MaxFlowLifetime = 60 * time.Second
