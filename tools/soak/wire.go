package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"

	"github.com/joomcode/errorx"
)

// errs is the namespace of this program's error types.
var errs = errorx.NewNamespace("soak")

// errPacket is the error type for datagrams that are no packets.
var errPacket = errs.NewType("packet")

// The bits of a packet's flags byte.
const (
	flagFIN     = 1
	flagSYN     = 2
	flagBounced = 8
	flagACK     = 16
	flagRST     = 32
)

const (
	headerSize = 34
	// maxData is the largest payload of a packet, in bytes.
	maxData = 1200
	// sumKey is the key of the checksum, which only callers and backend servers know.
	sumKey = 0x5a17c0de
)

// tuple identifies a flow.
type tuple struct{ caller, service netip.AddrPort }

// packet is a decoded packet of the users' platform. In a SYN, ack counts the copies.
type packet struct {
	flags     byte
	echo, sum uint32
	src, dst  netip.AddrPort
	seq, ack  uint32
	data      []byte
}

// encode returns the packet with its checksum.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
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

// checksum covers all of an encoded packet except echo, padding, itself and the bounce flag.
func checksum(b []byte) uint32 {
	head := append([]byte(nil), b[:headerSize]...)
	head[2] &^= flagBounced
	clear(head[3:14])
	return crc32.Update(crc32.ChecksumIEEE(head), crc32.IEEETable, b[headerSize:]) ^ sumKey
}

func decode(b []byte) (p packet, err error) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b)) != len(b)-headerSize {
		return p, errPacket.New("%d bytes are no packet", len(b))
	}
	return packet{
		flags: b[2], sum: binary.BigEndian.Uint32(b[6:]), echo: binary.BigEndian.Uint32(b[10:]),
		src: addressAt(b, 14, 24), dst: addressAt(b, 20, 18),
		seq: binary.BigEndian.Uint32(b[26:]), ack: binary.BigEndian.Uint32(b[30:]),
		data: append([]byte(nil), b[headerSize:]...),
	}, nil
}

func addressAt(b []byte, ip, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
}

// The layout of a request and of a response, in bytes.
const (
	idSize         = 16
	requestSize    = idSize + 1 + 2 + 2 // ID, kind, size of the body, work in milliseconds
	responseHeader = idSize + 1         // ID, status
)

// The statuses of a response.
const (
	statusDone   = 0
	statusNotRun = 1
)

// request is what a caller asks for.
type request struct {
	id     string
	unsafe bool // may run at most once
	body   int  // bytes of the response's body
	workMS int
}

func (r *request) encode() []byte {
	b := append(make([]byte, 0, requestSize), r.id...)
	kind := byte(0)
	if r.unsafe {
		kind = 1
	}
	b = append(b, kind)
	b = binary.BigEndian.AppendUint16(b, uint16(r.body))
	return binary.BigEndian.AppendUint16(b, uint16(r.workMS))
}

func decodeRequest(b []byte) (r request, ok bool) {
	if len(b) != requestSize {
		return r, false
	}
	return request{
		id: string(b[:idSize]), unsafe: b[idSize] == 1,
		body: int(binary.BigEndian.Uint16(b[idSize+1:])), workMS: int(binary.BigEndian.Uint16(b[idSize+3:])),
	}, true
}

// response returns the whole response to a request: its body follows from the ID.
func (r *request) response(status byte) []byte {
	b := append(make([]byte, 0, responseHeader+r.body), r.id...)
	b = append(b, status)
	for i := range r.body {
		b = append(b, r.id[i%idSize]+byte(i/idSize))
	}
	return b
}
