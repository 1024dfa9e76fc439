// Package proto holds the messages that the processes of a fleet exchange over
// peer streams, and the kinds of those streams.
package proto

import (
	"net/netip"
	"slices"
	"time"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/view"
)

// The kinds of stream.
const (
	// Announce: an agent to control; view.Announcement one way, AnnounceReply back.
	Announce = "announce"
	// Subscribe: a daemon to control; dissemination.UpstreamMessage one way,
	// dissemination.DownstreamMessage back.
	Subscribe = "subscribe"
	// Tunnel: a balancer to an agent; TunnelOpen, TunnelReply, then raw bytes
	// both ways.
	Tunnel = "tunnel"
)

// AnnounceReply answers one announcement.
type AnnounceReply struct {
	Accepted bool `cbor:"1,keyasint"`
	// Reason tells why an announcement was refused.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Lease is how long the announcement holds without a renewal.
	Lease time.Duration `cbor:"3,keyasint"`
	// Loads are the flows owned by agents of the service, the announcing one
	// included.
	Loads []view.Load `cbor:"4,keyasint,omitempty"`
	// KnownIncarnation is the latest incarnation that was announced from the same VM,
	// if the announcement was refused for it; else 0.
	KnownIncarnation view.Incarnation `cbor:"5,keyasint,omitempty"`
}

// Mode is how a service is balanced.
type Mode string

// The modes of a service.
const (
	ModePacket  Mode = "packet"  // UDP datagrams, flow by flow
	ModeStream  Mode = "stream"  // TCP connections
	ModeRequest Mode = "request" // HTTP requests, each with an outcome of its own
	ModeSegment Mode = "segment" // packets that name their flow themselves
)

// Service is what daemons need to know of a service.
type Service struct {
	ID         view.ServiceID   `cbor:"1,keyasint"`
	Name       string           `cbor:"2,keyasint"`
	Mode       Mode             `cbor:"3,keyasint"`
	Addresses  []netip.AddrPort `cbor:"4,keyasint"`
	Share      fleet.Share      `cbor:"5,keyasint,omitempty"`
	Classes    []fleet.Class    `cbor:"6,keyasint,omitempty"`
	Repeatable []fleet.Route    `cbor:"7,keyasint,omitempty"`
	// Settings are in force for the service as a whole.
	Settings fleet.Settings `cbor:"8,keyasint"`
	// Inbound are the listeners that lead to a service of mode segment.
	Inbound []Inbound `cbor:"9,keyasint,omitempty"`
	// Version is that of the item that the service came in.
	Version view.Version `cbor:"-"`
}

// Inbound is a listener's address and the service's weight there. At weight 0 the
// service gets no new flows and may hold some from before.
type Inbound struct {
	Addr   netip.AddrPort `cbor:"1,keyasint"`
	Weight uint32         `cbor:"2,keyasint"`
	// Timeout, Objective, Urgency and Idempotent are those of the listener, see
	// fleet.Listener. They are zero at weight 0.
	Timeout    time.Duration `cbor:"3,keyasint,omitempty"`
	Objective  time.Duration `cbor:"4,keyasint,omitempty"`
	Urgency    uint8         `cbor:"5,keyasint,omitempty"`
	Idempotent bool          `cbor:"6,keyasint,omitempty"`
}

// Zones is what operators have ordered of availability zones.
type Zones struct {
	// Evacuated are the zones whose backend servers get no new flows, sorted.
	Evacuated []string `cbor:"1,keyasint,omitempty"`
}

// Equal reports whether both tell daemons the same.
func (s *Service) Equal(o *Service) bool {
	return s.ID == o.ID && s.Name == o.Name && s.Mode == o.Mode && s.Share == o.Share && s.Settings == o.Settings &&
		slices.Equal(s.Addresses, o.Addresses) &&
		slices.Equal(s.Classes, o.Classes) &&
		slices.Equal(s.Repeatable, o.Repeatable) &&
		slices.Equal(s.Inbound, o.Inbound)
}

// TunnelOpen asks an agent to connect to its backend server.
type TunnelOpen struct {
	Service     view.ServiceID   `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
	Caller      netip.AddrPort   `cbor:"3,keyasint"`
}

// TunnelReply tells whether the agent connected. Where it did not, no byte has
// reached a backend server and the balancer may try another agent.
type TunnelReply struct {
	Connected bool   `cbor:"1,keyasint"`
	Reason    string `cbor:"2,keyasint,omitempty"`
}
