// Package packet encodes the envelopes that encapsulate datagrams between
// balancers and agents. An envelope is a header in network byte order, the
// payload, and an authentication tag over both.
package packet

import (
	"encoding/binary"
	"net/netip"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

// Kind is the type of an envelope's payload and its direction.
type Kind uint8

// The kinds of envelope.
const (
	Forward   Kind = 1 // caller to backend server, sent by a balancer or relayed by an agent
	Reply     Kind = 2 // backend server to caller, sent by an agent
	Ownership Kind = 3 // agent to agent: a CBOR message about flow ownership
	// Return sends a segment that the backend server has not accepted back to the
	// balancer that forwarded it.
	Return       Kind = 4
	Notification Kind = 5 // agent to balancer: a CBOR message about a flow's owner or the load
	// Query asks an agent whether its backend server owns a flow. It has no payload, like
	// the Return that says no; a Notification says yes, or asks for the packets.
	Query Kind = 6
)

// Header is the header of an envelope.
type Header struct {
	Kind Kind
	// ReplyTo is the envelope address to which the receiver responds: that of the
	// balancer that received the packet, or of the agent that sends a Return or a
	// Notification.
	ReplyTo netip.AddrPort
	// Flow is the routing state of the packet. A Reply sets its service and tuple
	// only, an Ownership message its service and target.
	Flow flow.Packet
}

const (
	magic = 0xf2 // first byte of every envelope, layout version 2

	flagRetake               = 1 << 0
	flagEarlierPicksComplete = 1 << 1
	flagIPv6                 = 1 << 2
	flagPointerRequested     = 1 << 3
	flagHome                 = 1 << 4
	flagSupersededHome       = 1 << 5

	// fixedSize is the length in bytes of the header before the addresses:
	// magic, kind, flags, key ID, session, sequence, service, epoch, number,
	// incarnation, hops, counts.
	fixedSize = 4 + 8 + 8 + 4 + 8 + 8 + 8 + 1 + 1

	sessionOffset  = 4
	sequenceOffset = 12
	hopsOffset     = 48
	countsOffset   = 49

	// Widths in bits of the fields of the counts byte: the kind of the flow
	// packet, the number of earlier picks and the number of non-owners.
	kindBits        = 2
	earlierPickBits = 3
	nonOwnerBits    = 3

	// Fails to compile if a header could name more non-owners than flow.Packet holds.
	_ = uint(flow.MaxNonOwners - (1<<nonOwnerBits - 1))

	ipv4Size = 6  // bytes of an IPv4 address and port
	ipv6Size = 18 // bytes of an IPv6 address and port
	peerSize = 16 // bytes of an agent's seed and incarnation
	seedSize = 8  // bytes of a non-owner's seed

	// TagSize is the length of the tag in bytes.
	TagSize = 16

	// MaxOverhead is the maximum number of bytes that an envelope adds to its
	// payload.
	MaxOverhead = fixedSize + 3*ipv6Size + (flow.MaxEarlierPicks+2)*(peerSize+ipv6Size) + flow.MaxNonOwners*seedSize + TagSize

	// reservedPeers and reservedNonOwners are the numbers of entries for which
	// MaxPayload reserves room.
	reservedPeers     = 3
	reservedNonOwners = 3

	// ipUDPOverhead is the length of an IPv4 and a UDP header in bytes.
	ipUDPOverhead = 28
)

// isIPv4 reports whether every address of h fits the IPv4 encoding.
func (h *Header) isIPv4() bool {
	fitsIPv4 := func(a netip.AddrPort) bool { return !a.IsValid() || a.Addr().Is4() }
	for i := range h.Flow.EarlierPicks {
		if !fitsIPv4(h.Flow.EarlierPicks[i].Addr) {
			return false
		}
	}
	return fitsIPv4(h.Flow.Tuple.Caller) && fitsIPv4(h.Flow.Tuple.Service) && fitsIPv4(h.ReplyTo) &&
		fitsIPv4(h.Flow.Home.Addr) && fitsIPv4(h.Flow.SupersededHome.Addr)
}

// MaxPayload returns the length in bytes of the longest datagram that a balancer
// accepts for an IP packet of mtu bytes. It reserves room for the entries that
// relaying agents add, so that a datagram that fits at the balancer fits on
// every later hop.
func (h *Header) MaxPayload(mtu int) int {
	addr := ipv4Size
	if !h.isIPv4() {
		addr = ipv6Size
	}
	base := fixedSize + 3*addr + TagSize
	return mtu - ipUDPOverhead - base - reservedPeers*(peerSize+addr) - reservedNonOwners*seedSize
}

func (h *Header) flags() (flags byte, isIPv6 bool) {
	isIPv6 = !h.isIPv4()
	for _, f := range [...]struct {
		set  bool
		flag byte
	}{
		{h.Flow.Ballot.Retake, flagRetake},
		{h.Flow.EarlierPicksComplete, flagEarlierPicksComplete},
		{isIPv6, flagIPv6},
		{h.Flow.PointerRequested, flagPointerRequested},
		{!h.Flow.Home.IsZero(), flagHome},
		{!h.Flow.SupersededHome.IsZero(), flagSupersededHome},
	} {
		if f.set {
			flags |= f.flag
		}
	}
	return flags, isIPv6
}

// remainingPicks returns the earlier picks that are not known as non-owners. The
// others are omitted from the envelope.
func (h *Header) remainingPicks() (p flow.EarlierPicks, n int) {
	for _, pick := range h.Flow.EarlierPicks {
		if !pick.IsZero() && !h.Flow.IsNonOwner(pick.Seed) {
			p[n] = pick
			n++
		}
	}
	return p, n
}

// append appends the encoded header to b. The Sealer supplies keyID, session and
// sequence.
func (h *Header) append(b []byte, keyID uint8, session, sequence uint64) []byte {
	f := &h.Flow
	flags, isIPv6 := h.flags()
	picks, n := h.remainingPicks()
	b = append(b, magic, byte(h.Kind), flags, keyID)
	b = binary.BigEndian.AppendUint64(b, session)
	b = binary.BigEndian.AppendUint64(b, sequence)
	b = binary.BigEndian.AppendUint32(b, uint32(f.Service))
	b = binary.BigEndian.AppendUint64(b, f.Ballot.Version.Epoch)
	b = binary.BigEndian.AppendUint64(b, f.Ballot.Version.Number)
	b = binary.BigEndian.AppendUint64(b, uint64(f.TargetIncarnation))
	b = append(b, f.Hops, byte(f.Kind)|byte(n)<<kindBits|f.NonOwnerCount<<(kindBits+earlierPickBits))
	b = appendAddr(b, f.Tuple.Caller, isIPv6)
	b = appendAddr(b, f.Tuple.Service, isIPv6)
	b = appendAddr(b, h.ReplyTo, isIPv6)
	for _, p := range picks[:n] {
		b = appendPeer(b, p, isIPv6)
	}
	if !f.Home.IsZero() {
		b = appendPeer(b, f.Home, isIPv6)
	}
	if !f.SupersededHome.IsZero() {
		b = appendPeer(b, f.SupersededHome, isIPv6)
	}
	for _, seed := range f.NonOwners[:f.NonOwnerCount] {
		b = binary.BigEndian.AppendUint64(b, seed)
	}
	return b
}

// parse decodes h from b and returns the header's length, or 0 if b does not
// start with a complete envelope header.
func (h *Header) parse(b []byte) int {
	if len(b) < fixedSize || b[0] != magic {
		return 0
	}
	flags, counts := b[2], b[countsOffset]
	size := headerSize(flags, counts)
	if len(b) < size || earlierPickCount(counts) > flow.MaxEarlierPicks {
		return 0
	}
	isIPv6 := flags&flagIPv6 != 0
	h.Kind = Kind(b[1])
	h.Flow = flow.Packet{
		Kind:    flow.PacketKind(counts & (1<<kindBits - 1)),
		Service: view.ServiceID(binary.BigEndian.Uint32(b[20:])),
		Ballot: flow.Ballot{
			Version: view.Version{Epoch: binary.BigEndian.Uint64(b[24:]), Number: binary.BigEndian.Uint64(b[32:])},
			Retake:  flags&flagRetake != 0,
		},
		TargetIncarnation:    view.Incarnation(binary.BigEndian.Uint64(b[40:])),
		EarlierPicksComplete: flags&flagEarlierPicksComplete != 0,
		PointerRequested:     flags&flagPointerRequested != 0,
		Hops:                 b[hopsOffset],
		NonOwnerCount:        nonOwnerCount(counts),
	}
	f, rest := &h.Flow, b[fixedSize:]
	f.Tuple.Caller, rest = parseAddr(rest, isIPv6)
	f.Tuple.Service, rest = parseAddr(rest, isIPv6)
	h.ReplyTo, rest = parseAddr(rest, isIPv6)
	for i := range earlierPickCount(counts) {
		f.EarlierPicks[i], rest = parsePeer(rest, isIPv6)
	}
	if flags&flagHome != 0 {
		f.Home, rest = parsePeer(rest, isIPv6)
	}
	if flags&flagSupersededHome != 0 {
		f.SupersededHome, rest = parsePeer(rest, isIPv6)
	}
	for i := range f.NonOwnerCount {
		f.NonOwners[i] = binary.BigEndian.Uint64(rest[int(i)*seedSize:])
	}
	return size
}

func earlierPickCount(counts byte) int { return int(counts >> kindBits & (1<<earlierPickBits - 1)) }

func nonOwnerCount(counts byte) uint8 {
	return counts >> (kindBits + earlierPickBits) & (1<<nonOwnerBits - 1)
}

// headerSize returns the header's length in bytes as given by its flags and
// counts.
func headerSize(flags, counts byte) int {
	addr := ipv4Size
	if flags&flagIPv6 != 0 {
		addr = ipv6Size
	}
	peers := earlierPickCount(counts)
	if flags&flagHome != 0 {
		peers++
	}
	if flags&flagSupersededHome != 0 {
		peers++
	}
	return fixedSize + 3*addr + peers*(peerSize+addr) + int(nonOwnerCount(counts))*seedSize
}

func appendPeer(b []byte, p flow.Peer, isIPv6 bool) []byte {
	b = binary.BigEndian.AppendUint64(b, p.Seed)
	b = binary.BigEndian.AppendUint64(b, uint64(p.Incarnation))
	return appendAddr(b, p.Addr, isIPv6)
}

func parsePeer(b []byte, isIPv6 bool) (p flow.Peer, rest []byte) {
	p.Seed = binary.BigEndian.Uint64(b)
	p.Incarnation = view.Incarnation(binary.BigEndian.Uint64(b[8:]))
	p.Addr, rest = parseAddr(b[peerSize:], isIPv6)
	return p, rest
}

func appendAddr(b []byte, a netip.AddrPort, isIPv6 bool) []byte {
	switch {
	case isIPv6:
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

func parseAddr(b []byte, isIPv6 bool) (netip.AddrPort, []byte) {
	if isIPv6 {
		ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
		return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:])), b[ipv6Size:]
	}
	ip := netip.AddrFrom4([4]byte(b[:4]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[4:])), b[ipv4Size:]
}
