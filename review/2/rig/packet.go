package main

import (
	"encoding/binary"
	"hash/crc32"
	"net"
	"net/netip"
)

// Flags of a packet.
const (
	flagFIN     = 1
	flagSYN     = 2
	flagBounced = 8
	flagACK     = 16
	flagRST     = 32
)

const headSize = 34

// packet is a packet of a flow. The sum covers all fields but echo, pad and BOUNCED.
type packet struct {
	flags    byte
	pad      [3]byte
	sum      uint32
	echo     uint32
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
	raw      []byte
}

const sumKey = "stand-in key"

func checksum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[2] &^= flagBounced
	clear(c[3:14]) // pad, sum, echo
	return crc32.ChecksumIEEE(append([]byte(sumKey), c...))
}

func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	b[2] = p.flags
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[14:], src[:])
	binary.BigEndian.PutUint16(b[18:], p.dst.Port())
	copy(b[20:], dst[:])
	binary.BigEndian.PutUint16(b[24:], p.src.Port())
	binary.BigEndian.PutUint32(b[26:], p.seq)
	binary.BigEndian.PutUint32(b[30:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[6:], checksum(b))
	return b
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b)) != len(b)-headSize {
		return packet{}, false
	}
	p := packet{
		flags: b[2], sum: binary.BigEndian.Uint32(b[6:]), echo: binary.BigEndian.Uint32(b[10:]),
		src: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[14:18])), binary.BigEndian.Uint16(b[24:])),
		dst: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[20:24])), binary.BigEndian.Uint16(b[18:])),
		seq: binary.BigEndian.Uint32(b[26:]), ack: binary.BigEndian.Uint32(b[30:]),
	}
	p.raw = append([]byte(nil), b...)
	p.data = p.raw[headSize:]
	return p, true
}

// genuine reports whether the sender wrote the packet so.
func (p *packet) genuine() bool { return p.sum == checksum(p.raw) }

func listenUDP(addr string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", a)
}

// cutAddr cuts an address with a port.
func cutAddr(addr string) (ip, port string, err error) { return net.SplitHostPort(addr) }
