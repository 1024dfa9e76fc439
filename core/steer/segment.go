// Package steer decides where segments go: packets that name their flow, its
// transport flags and sequence numbers, so that no process between the two ends
// has to keep a connection.
//
// The backend server alone knows which flows it holds. A Balancer places a flow
// by load when its first segment arrives, and finds it again by asking the
// members of the service in a fixed order. A Host, beside each backend server,
// hands segments over and returns those that its backend server does not hold.
package steer

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
	// Tuple names the flow, whichever end has sent the segment.
	Tuple flow.Tuple
	Flags Flags
	// Seq and Ack are the sequence numbers of the sender's and the peer's bytes.
	Seq, Ack uint32
	// Retransmits counts the earlier copies of a SYN; 0 for the first.
	Retransmits uint32
	// Length is the number of bytes that the segment carries.
	Length int
}

// HasFlags reports whether every one of flags is set.
func (s *Segment) HasFlags(flags Flags) bool { return s.Flags&flags == flags }

// OpensFlow reports whether the segment asks for a new flow.
func (s *Segment) OpensFlow() bool { return s.Flags&(SYN|ACK) == SYN }

// MaxFlowLifetime is the longest that a flow lives.
const MaxFlowLifetime = 60 * time.Second
