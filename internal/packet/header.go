// Package packet encodes the envelope that carries one caller datagram between
// a balancer and an agent. The header has a fixed layout in network byte order;
// a keyed tag over header and payload follows the payload.
package packet

import (
	"encoding/binary"
	"net/netip"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

// Kind tells what an envelope carries.
type Kind uint8

// The kinds of envelope.
const (
	Forward Kind = 1 // caller to backend server, from a balancer or relayed by an agent
	Reply   Kind = 2 // backend server to caller, from an agent
	Control Kind = 3 // agent to agent: a CBOR message about flow ownership
	// Returned brings a segment that a backend server does not take back to the
	// balancer that sent it.
	Returned Kind = 4
	Note     Kind = 5 // agent to balancer: a CBOR message about a segment's flow or the load
)

// Header describes one datagram on its way through the fleet.
type Header struct {
	Kind Kind
	// ReplyTo is the envelope address of the balancer that took the packet.
	ReplyTo netip.AddrPort
	// Flow is what balancers and agents decide by. A Reply carries its service
	// and tuple; a Control message its service and target.
	Flow flow.Packet
}

const (
	magic = 0xf2 // first byte of every envelope, layout version 2

	flagRetake   = 1 << 0
	flagInformed = 1 << 1
	flagIPv6     = 1 << 2
	flagAnswer   = 1 << 3
	flagHome     = 1 << 4
	flagRival    = 1 << 5

	// fixedSize is the length of the part of the header before the addresses:
	// magic, kind, flags, key ID, session, sequence, service, epoch, number,
	// incarnation, hops, counts.
	fixedSize = 4 + 8 + 8 + 4 + 8 + 8 + 8 + 1 + 1

	sessionOffset  = 4
	sequenceOffset = 12
	hopsOffset     = 48
	countsOffset   = 49

	// The counts byte holds the flow's kind, the number of priors and the
	// number of denials.
	kindBits   = 2
	priorsBits = 3
	denialBits = 3

	ipv4Size = 6  // bytes of an IPv4 address and port
	ipv6Size = 18 // bytes of an IPv6 address and port
	peerSize = 16 // bytes of an agent's seed and incarnation
	seedSize = 8  // bytes of a denial

	// TagSize is the length of the tag in bytes.
	TagSize = 16

	// MaxOverhead is the most bytes an envelope adds to a caller's datagram.
	MaxOverhead = fixedSize + 3*ipv6Size + (flow.MaxEarlierPicks+2)*(peerSize+ipv6Size) + flow.MaxNonOwners*seedSize + TagSize

	// reservedPeers and reservedDenials are what envelopes of one datagram may
	// carry beside the addresses without being refused for the MTU.
	reservedPeers   = 3
	reservedDenials = 3

	// ipUDPOverhead is the length of an IPv4 and a UDP header in bytes.
	ipUDPOverhead = 28
)

// is4 reports whether every address of h fits the short form.
func (h *Header) is4() bool {
	short := func(a netip.AddrPort) bool { return !a.IsValid() || a.Addr().Is4() }
	for i := range h.Flow.EarlierPicks {
		if !short(h.Flow.EarlierPicks[i].Addr) {
			return false
		}
	}
	return short(h.Flow.Tuple.Caller) && short(h.Flow.Tuple.Service) && short(h.ReplyTo) &&
		short(h.Flow.Home.Addr) && short(h.Flow.SupersededHome.Addr)
}

// MaxPayload returns the longest datagram in bytes that a balancer takes for an
// IP packet of mtu bytes. It leaves room for what relays add, so that a datagram
// that fits once fits through every change.
func (h *Header) MaxPayload(mtu int) int {
	addr := ipv4Size
	if !h.is4() {
		addr = ipv6Size
	}
	base := fixedSize + 3*addr + TagSize
	return mtu - ipUDPOverhead - base - reservedPeers*(peerSize+addr) - reservedDenials*seedSize
}

func (h *Header) flags() (flags byte, wide bool) {
	wide = !h.is4()
	for _, f := range [...]struct {
		set  bool
		flag byte
	}{
		{h.Flow.Ballot.Retake, flagRetake},
		{h.Flow.EarlierPicksComplete, flagInformed},
		{wide, flagIPv6},
		{h.Flow.PointerRequested, flagAnswer},
		{!h.Flow.Home.IsZero(), flagHome},
		{!h.Flow.SupersededHome.IsZero(), flagRival},
	} {
		if f.set {
			flags |= f.flag
		}
	}
	return flags, wide
}

// priors returns the earlier picks that have not denied the flow: the others
// need not travel on.
func (h *Header) priors() (p flow.EarlierPicks, n int) {
	for _, prior := range h.Flow.EarlierPicks {
		if !prior.IsZero() && !h.Flow.IsNonOwner(prior.Seed) {
			p[n] = prior
			n++
		}
	}
	return p, n
}

// append writes h to b. The key ID, session and sequence fields are filled in
// by the Sealer.
func (h *Header) append(b []byte, keyID uint8, session, sequence uint64) []byte {
	f := &h.Flow
	flags, wide := h.flags()
	priors, n := h.priors()
	b = append(b, magic, byte(h.Kind), flags, keyID)
	b = binary.BigEndian.AppendUint64(b, session)
	b = binary.BigEndian.AppendUint64(b, sequence)
	b = binary.BigEndian.AppendUint32(b, uint32(f.Service))
	b = binary.BigEndian.AppendUint64(b, f.Ballot.Version.Epoch)
	b = binary.BigEndian.AppendUint64(b, f.Ballot.Version.Number)
	b = binary.BigEndian.AppendUint64(b, uint64(f.TargetIncarnation))
	b = append(b, f.Hops, byte(f.Kind)|byte(n)<<kindBits|f.NonOwnerCount<<(kindBits+priorsBits))
	b = appendAddr(b, f.Tuple.Caller, wide)
	b = appendAddr(b, f.Tuple.Service, wide)
	b = appendAddr(b, h.ReplyTo, wide)
	for _, p := range priors[:n] {
		b = appendPeer(b, p, wide)
	}
	if !f.Home.IsZero() {
		b = appendPeer(b, f.Home, wide)
	}
	if !f.SupersededHome.IsZero() {
		b = appendPeer(b, f.SupersededHome, wide)
	}
	for _, seed := range f.NonOwners[:f.NonOwnerCount] {
		b = binary.BigEndian.AppendUint64(b, seed)
	}
	return b
}

// parse reads h from b and returns the header's length, or 0 where b is not a
// whole envelope header.
func (h *Header) parse(b []byte) int {
	if len(b) < fixedSize || b[0] != magic {
		return 0
	}
	flags, counts := b[2], b[countsOffset]
	size := headerSize(flags, counts)
	if len(b) < size || priorCount(counts) > flow.MaxEarlierPicks {
		return 0
	}
	wide := flags&flagIPv6 != 0
	h.Kind = Kind(b[1])
	h.Flow = flow.Packet{
		Kind:    flow.PacketKind(counts & (1<<kindBits - 1)),
		Service: view.ServiceID(binary.BigEndian.Uint32(b[20:])),
		Ballot: flow.Ballot{
			Version: view.Version{Epoch: binary.BigEndian.Uint64(b[24:]), Number: binary.BigEndian.Uint64(b[32:])},
			Retake:  flags&flagRetake != 0,
		},
		TargetIncarnation:    view.Incarnation(binary.BigEndian.Uint64(b[40:])),
		EarlierPicksComplete: flags&flagInformed != 0,
		PointerRequested:     flags&flagAnswer != 0,
		Hops:                 b[hopsOffset],
		NonOwnerCount:        denialCount(counts),
	}
	f, rest := &h.Flow, b[fixedSize:]
	f.Tuple.Caller, rest = parseAddr(rest, wide)
	f.Tuple.Service, rest = parseAddr(rest, wide)
	h.ReplyTo, rest = parseAddr(rest, wide)
	for i := range priorCount(counts) {
		f.EarlierPicks[i], rest = parsePeer(rest, wide)
	}
	if flags&flagHome != 0 {
		f.Home, rest = parsePeer(rest, wide)
	}
	if flags&flagRival != 0 {
		f.SupersededHome, rest = parsePeer(rest, wide)
	}
	for i := range f.NonOwnerCount {
		f.NonOwners[i] = binary.BigEndian.Uint64(rest[int(i)*seedSize:])
	}
	return size
}

func priorCount(counts byte) int { return int(counts >> kindBits & (1<<priorsBits - 1)) }

func denialCount(counts byte) uint8 { return counts >> (kindBits + priorsBits) & (1<<denialBits - 1) }

// headerSize returns the header length that the flags and counts announce, in
// bytes.
func headerSize(flags, counts byte) int {
	addr := ipv4Size
	if flags&flagIPv6 != 0 {
		addr = ipv6Size
	}
	peers := priorCount(counts)
	if flags&flagHome != 0 {
		peers++
	}
	if flags&flagRival != 0 {
		peers++
	}
	return fixedSize + 3*addr + peers*(peerSize+addr) + int(denialCount(counts))*seedSize
}

func appendPeer(b []byte, p flow.Peer, wide bool) []byte {
	b = binary.BigEndian.AppendUint64(b, p.Seed)
	b = binary.BigEndian.AppendUint64(b, uint64(p.Incarnation))
	return appendAddr(b, p.Addr, wide)
}

func parsePeer(b []byte, wide bool) (p flow.Peer, rest []byte) {
	p.Seed = binary.BigEndian.Uint64(b)
	p.Incarnation = view.Incarnation(binary.BigEndian.Uint64(b[8:]))
	p.Addr, rest = parseAddr(b[peerSize:], wide)
	return p, rest
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
