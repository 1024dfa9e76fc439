// Package packet encodes the envelope that carries one caller datagram between
// a balancer and an agent. The header has a fixed layout in network byte order;
// a keyed tag over header and payload follows the payload.
package packet

import (
	"encoding/binary"
	"net/netip"

	"fulmarmount.org/core/view"
)

// Kind tells what an envelope carries.
type Kind uint8

// The kinds of envelope.
const (
	Forward Kind = 1 // caller to backend server, from a balancer or relayed by an agent
	Reply   Kind = 2 // backend server to caller, from an agent
	Control Kind = 3 // agent to agent: a CBOR message about flow ownership
)

// Header describes one datagram on its way through the fleet.
type Header struct {
	Kind Kind
	// Fresh marks a packet that an earlier owner has sent back as not its own.
	Fresh bool
	// Hops counts the agents that have relayed the packet.
	Hops uint8
	// Service is the service that the caller addressed.
	Service view.ServiceID
	// View is the newest view the sender chose from.
	View view.Version
	// Incarnation is the run of the agent that the envelope is meant for. An
	// envelope for another run is refused.
	Incarnation view.Incarnation
	// Caller and Address are the two ends of the caller's flow.
	Caller  netip.AddrPort
	Address netip.AddrPort
	// ReplyTo is the envelope address of the balancer that took the packet.
	ReplyTo netip.AddrPort
	// Prior is the agent an earlier view placed the flow on; invalid where
	// both views agree.
	Prior            netip.AddrPort
	PriorIncarnation view.Incarnation
}

const (
	magic = 0xf1 // first byte of every envelope, layout version 1

	flagFresh = 1 << 0
	flagPrior = 1 << 1
	flagIPv6  = 1 << 2

	// fixedSize is the length of the part of the header before the addresses:
	// magic, kind, flags, key ID, session, sequence, service, epoch, number,
	// incarnation, hops.
	fixedSize = 4 + 8 + 8 + 4 + 8 + 8 + 8 + 1

	sessionOffset  = 4
	sequenceOffset = 12

	ipv4Size = 6  // bytes of an IPv4 address and port
	ipv6Size = 18 // bytes of an IPv6 address and port

	// TagSize is the length of the tag in bytes.
	TagSize = 16

	// MaxOverhead is the most bytes an envelope adds to a caller's datagram.
	MaxOverhead = fixedSize + 4*ipv6Size + 8 + TagSize
)

// is4 reports whether every address of h fits the short form.
func (h *Header) is4() bool {
	short := func(a netip.AddrPort) bool { return !a.IsValid() || a.Addr().Is4() }
	return short(h.Caller) && short(h.Address) && short(h.ReplyTo) && short(h.Prior)
}

// append writes h to b. The key ID, session and sequence fields are filled in
// by the Sealer.
func (h *Header) append(b []byte, keyID uint8, session, sequence uint64) []byte {
	var flags byte
	if h.Fresh {
		flags |= flagFresh
	}
	if h.Prior.IsValid() {
		flags |= flagPrior
	}
	wide := !h.is4()
	if wide {
		flags |= flagIPv6
	}
	b = append(b, magic, byte(h.Kind), flags, keyID)
	b = binary.BigEndian.AppendUint64(b, session)
	b = binary.BigEndian.AppendUint64(b, sequence)
	b = binary.BigEndian.AppendUint32(b, uint32(h.Service))
	b = binary.BigEndian.AppendUint64(b, h.View.Epoch)
	b = binary.BigEndian.AppendUint64(b, h.View.Number)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Incarnation))
	b = append(b, h.Hops)
	b = appendAddr(b, h.Caller, wide)
	b = appendAddr(b, h.Address, wide)
	b = appendAddr(b, h.ReplyTo, wide)
	if h.Prior.IsValid() {
		b = appendAddr(b, h.Prior, wide)
		b = binary.BigEndian.AppendUint64(b, uint64(h.PriorIncarnation))
	}
	return b
}

// parse reads h from b and returns the header's length, or 0 where b is not a
// whole envelope header.
func (h *Header) parse(b []byte) int {
	if len(b) < fixedSize || b[0] != magic {
		return 0
	}
	flags := b[2]
	wide := flags&flagIPv6 != 0
	size := headerSize(flags)
	if len(b) < size {
		return 0
	}
	h.Kind = Kind(b[1])
	h.Fresh = flags&flagFresh != 0
	h.Service = view.ServiceID(binary.BigEndian.Uint32(b[20:]))
	h.View.Epoch = binary.BigEndian.Uint64(b[24:])
	h.View.Number = binary.BigEndian.Uint64(b[32:])
	h.Incarnation = view.Incarnation(binary.BigEndian.Uint64(b[40:]))
	h.Hops = b[48]
	rest := b[fixedSize:]
	h.Caller, rest = parseAddr(rest, wide)
	h.Address, rest = parseAddr(rest, wide)
	h.ReplyTo, rest = parseAddr(rest, wide)
	h.Prior, h.PriorIncarnation = netip.AddrPort{}, 0
	if flags&flagPrior != 0 {
		h.Prior, rest = parseAddr(rest, wide)
		h.PriorIncarnation = view.Incarnation(binary.BigEndian.Uint64(rest))
	}
	return size
}

// headerSize returns the header length that the flags announce, in bytes.
func headerSize(flags byte) int {
	addr := ipv4Size
	if flags&flagIPv6 != 0 {
		addr = ipv6Size
	}
	size := fixedSize + 3*addr
	if flags&flagPrior != 0 {
		size += addr + 8
	}
	return size
}

func appendAddr(b []byte, a netip.AddrPort, wide bool) []byte {
	switch {
	case wide:
		ip := a.Addr().As16()
		b = append(b, ip[:]...)
	case a.IsValid():
		ip := a.Addr().As4()
		b = append(b, ip[:]...)
	default:
		b = append(b, 0, 0, 0, 0)
	}
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func parseAddr(b []byte, wide bool) (netip.AddrPort, []byte) {
	if wide {
		ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
		return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:])), b[ipv6Size:]
	}
	ip := netip.AddrFrom4([4]byte(b[:4]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[4:])), b[ipv4Size:]
}
